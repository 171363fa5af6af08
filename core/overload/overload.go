// Package overload decides when an entry VM has more work than its link or its processor share carries. Nothing here has a
// clock, a goroutine or I/O.
package overload

import "time"

const (
	// enterShare of a resource is where overload begins, leaveShare where it ends. Above about three quarters, queues on
	// the link add more than the objectives of short calls.
	enterShare = 0.7
	leaveShare = 0.5
	// window is the averaging time.
	window = 600 * time.Millisecond
	// minTime is the least duration of an overload: the balancer needs 2 s to notice, and moved callers as long to show.
	// It doubles up to maxTime if the next overload begins within calmTime, since the balancer then sends the same callers
	// back.
	minTime  = 5 * time.Second
	maxTime  = 40 * time.Second
	calmTime = 15 * time.Second
	// shedDelay is the time until the balancer sends new connections elsewhere; shedShare is the share of answers after
	// which a connection is closed from then on.
	shedDelay = 2200 * time.Millisecond
	shedShare = 0.3
)

// Limits are what the entry VM has.
type Limits struct {
	// LinkBytes is the number of bytes a second in each direction, Cores the share of the processor; 0 for no limit.
	LinkBytes float64
	Cores     float64
}

// Sample is the use of resources since the start of the process.
type Sample struct {
	At      time.Time
	In, Out int64
	CPU     time.Duration
}

// Monitor follows the use of the resources. It is not safe for concurrent use.
type Monitor struct {
	limits  Limits
	samples []Sample
	share   float64
	// since is when the overload began, zero without one.
	since time.Time
	// least is the least duration of this overload, ended the end of the last one.
	least time.Duration
	ended time.Time
}

// NewMonitor returns a monitor without samples.
func NewMonitor(l Limits) *Monitor { return &Monitor{limits: l} }

// Add takes a sample and reports whether an overload has begun or ended.
func (m *Monitor) Add(s Sample) bool {
	m.samples = append(m.samples, s)
	for len(m.samples) > 2 && s.At.Sub(m.samples[1].At) >= window {
		m.samples = m.samples[1:]
	}
	m.share = m.shareSince(m.samples[0], s)
	switch {
	case m.since.IsZero() && m.share >= enterShare && s.At.Sub(m.samples[0].At) >= window:
		m.begin(s.At)
		return true
	case !m.since.IsZero() && m.share <= leaveShare && s.At.Sub(m.since) >= m.least:
		m.since, m.ended = time.Time{}, s.At
		return true
	}
	return false
}

func (m *Monitor) begin(now time.Time) {
	m.since = now
	if m.ended.IsZero() || now.Sub(m.ended) > calmTime {
		m.least = minTime
		return
	}
	m.least = min(2*m.least, maxTime)
}

func (m *Monitor) shareSince(from, to Sample) float64 {
	passed := to.At.Sub(from.At).Seconds()
	if passed <= 0 {
		return 0
	}
	share := 0.0
	if m.limits.LinkBytes > 0 {
		share = float64(max(to.In-from.In, to.Out-from.Out)) / passed / m.limits.LinkBytes
	}
	if m.limits.Cores > 0 {
		share = max(share, (to.CPU-from.CPU).Seconds()/passed/m.limits.Cores)
	}
	return share
}

// Share is the use of the scarcest resource, 1 for all of it.
func (m *Monitor) Share() float64 { return m.share }

// Overloaded reports whether new connections should go elsewhere.
func (m *Monitor) Overloaded() bool { return !m.since.IsZero() }

// Sheds reports whether the connection of an answer should be closed, so that its caller goes elsewhere. random is in
// [0, 1).
func (m *Monitor) Sheds(now time.Time, random float64) bool {
	return m.Overloaded() && m.share > leaveShare && now.Sub(m.since) >= shedDelay && random < shedShare
}

// Queue estimates how long bytes wait at the sending side of a link. It is not safe for concurrent use.
type Queue struct {
	// LinkBytes is the number of bytes a second of the link, 0 for no limit.
	LinkBytes float64

	at    time.Time
	sent  int64
	bytes float64
}

// Wait takes the number of bytes sent so far and returns how long a further one would wait.
func (q *Queue) Wait(now time.Time, sent int64) time.Duration {
	if q.LinkBytes <= 0 {
		return 0
	}
	if !q.at.IsZero() {
		q.bytes = max(q.bytes+float64(sent-q.sent)-now.Sub(q.at).Seconds()*q.LinkBytes, 0)
	}
	q.at, q.sent = now, sent
	return time.Duration(q.bytes / q.LinkBytes * float64(time.Second))
}
