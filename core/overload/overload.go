// Package overload detects when an entry VM has more work than its network link or its CPU share can carry. It has no
// clock, goroutines or I/O.
package overload

import (
	"slices"
	"time"
)

const (
	// enterUtilization of a resource is where overload begins, exitUtilization where it ends. Above about three
	// quarters, queueing on the link alone takes longer than the target latencies of short calls.
	enterUtilization = 0.7
	exitUtilization  = 0.5
	// averagingWindow is the time over which the utilization is averaged.
	averagingWindow = 600 * time.Millisecond
	// A link that is used to fullUtilization over fullWindow is overloaded at once: a queue is building up. The CPU isn't judged
	// by so short a time, as garbage collections take all of a small share for about as long.
	fullUtilization = 0.9
	fullWindow      = 200 * time.Millisecond
	// maxSampleGap is the longest time between two samples that belong together. After a longer one, as that of a frozen
	// process, the utilization is measured anew, and an overload without samples ends.
	maxSampleGap = 2 * time.Second
	// minOverload is the least duration of an overload: the load balancer takes 2 s to notice it, and moving callers
	// takes as long to show in the load. It doubles up to maxOverload if the next overload begins within repeatWindow,
	// since the load balancer has then sent the same callers back.
	minOverload  = 5 * time.Second
	maxOverload  = 40 * time.Second
	repeatWindow = 15 * time.Second
	// minTeamOverload and maxTeamOverload are the same for an overload by a single team. Its callers come back as a whole as
	// soon as the entry VM is ready again, and overload it for 3 s until they have left: in at most a twentieth of the time.
	minTeamOverload = time.Minute
	maxTeamOverload = 4 * time.Minute
	// othersUtilization is the most that all other teams use in an overload by a single team.
	othersUtilization = 0.35
	// shedDelay is the time until the load balancer sends new connections elsewhere. From then on, the connection is
	// closed after shedFraction of the answers.
	shedDelay    = 2200 * time.Millisecond
	shedFraction = 0.3
)

// Limits are the resources of the entry VM.
type Limits struct {
	// LinkBytesPerSecond is the link capacity in bytes per second in each direction, Cores the number of CPU cores,
	// which may be a fraction; 0 for no limit.
	LinkBytesPerSecond float64
	Cores              float64
}

// Sample holds the resource usage since the start of the process: bytes received and sent, and CPU time.
type Sample struct {
	At                       time.Time
	ReceivedBytes, SentBytes int64
	CPUTime                  time.Duration
	// TeamShare is the part of the load that the team with the largest one brings.
	TeamShare float64
}

// Use is the utilization of each resource, 1 for full.
type Use struct {
	Incoming, Outgoing, CPU float64
}

// Max returns the utilization of the most used resource.
func (u Use) Max() float64 { return max(u.Incoming, u.Outgoing, u.CPU) }

// Monitor tracks the utilization of the resources. It is not safe for concurrent use.
type Monitor struct {
	limits      Limits
	samples     []Sample
	utilization float64
	// receiving is the utilization of what receives requests: the incoming link and the CPU.
	receiving float64
	// startedAt is when the current overload began, zero without one.
	startedAt time.Time
	// repeats is the number of overloads before the current or last one that followed each other, endedAt the end of the last one.
	repeats int
	endedAt time.Time
	// byTeam is set if a single team has caused the current overload.
	byTeam bool
}

// NewMonitor returns a monitor without samples.
func NewMonitor(l Limits) *Monitor { return &Monitor{limits: l} }

// Add adds a sample and reports whether an overload has begun or ended.
func (m *Monitor) Add(s Sample) bool {
	if n := len(m.samples); n > 0 && s.At.Sub(m.samples[n-1].At) > maxSampleGap {
		m.samples = m.samples[:0]
	}
	m.samples = append(m.samples, s)
	for len(m.samples) > 2 && s.At.Sub(m.samples[1].At) >= averagingWindow {
		m.samples = m.samples[1:]
	}
	average := m.Average()
	m.receiving, m.utilization = max(average.Incoming, average.CPU), average.Max()
	if m.isByTeam(s) {
		m.byTeam = true
	}
	switch {
	case m.startedAt.IsZero() && (m.isBusy(s) || m.isFull(s)):
		m.begin(s)
		return true
	case !m.startedAt.IsZero() && m.utilization <= exitUtilization && s.At.Sub(m.startedAt) >= m.minDuration():
		m.startedAt, m.endedAt = time.Time{}, s.At
		return true
	}
	return false
}

// isBusy reports whether a resource is used too much over averagingWindow.
func (m *Monitor) isBusy(s Sample) bool {
	return m.utilization >= enterUtilization && s.At.Sub(m.samples[0].At) >= averagingWindow
}

// isFull reports whether the link is full in one direction since fullWindow.
func (m *Monitor) isFull(s Sample) bool {
	for _, from := range slices.Backward(m.samples) {
		passed := s.At.Sub(from.At)
		if passed < fullWindow {
			continue
		}
		u := m.useBetween(from, s)
		return max(u.Incoming, u.Outgoing) >= fullUtilization
	}
	return false
}

// isByTeam reports whether the other teams alone would leave the entry VM with room.
func (m *Monitor) isByTeam(s Sample) bool {
	return !m.startedAt.IsZero() && m.utilization >= enterUtilization && m.utilization*(1-s.TeamShare) <= othersUtilization
}

func (m *Monitor) begin(s Sample) {
	repeated := !m.endedAt.IsZero() && s.At.Sub(m.endedAt) <= repeatWindow
	m.startedAt, m.byTeam = s.At, false
	m.byTeam = m.isByTeam(s)
	if repeated {
		m.repeats++
	} else {
		m.repeats = 0
	}
}

// minDuration is the least duration of the current overload.
func (m *Monitor) minDuration() time.Duration {
	least, most := minOverload, maxOverload
	if m.byTeam {
		least, most = minTeamOverload, maxTeamOverload
	}
	for range m.repeats {
		least = min(2*least, most)
	}
	return least
}

// linkUtilization returns the utilization of one direction of the link by a number of bytes.
func (m *Monitor) linkUtilization(bytes int64, passed time.Duration) float64 {
	if m.limits.LinkBytesPerSecond <= 0 || passed <= 0 {
		return 0
	}
	return float64(bytes) / passed.Seconds() / m.limits.LinkBytesPerSecond
}

// Utilization returns the utilization of the most used resource, 1 for full.
func (m *Monitor) Utilization() float64 { return m.utilization }

// Last returns the use between the last two samples, zero if there is only one.
func (m *Monitor) Last() Use {
	n := len(m.samples)
	if n < 2 {
		return Use{}
	}
	return m.useBetween(m.samples[n-2], m.samples[n-1])
}

// Average returns the use over averagingWindow.
func (m *Monitor) Average() Use {
	n := len(m.samples)
	if n < 2 {
		return Use{}
	}
	return m.useBetween(m.samples[0], m.samples[n-1])
}

func (m *Monitor) useBetween(from, to Sample) Use {
	passed := to.At.Sub(from.At)
	u := Use{
		Incoming: m.linkUtilization(to.ReceivedBytes-from.ReceivedBytes, passed),
		Outgoing: m.linkUtilization(to.SentBytes-from.SentBytes, passed),
	}
	if m.limits.Cores > 0 && passed > 0 {
		u.CPU = (to.CPUTime - from.CPUTime).Seconds() / passed.Seconds() / m.limits.Cores
	}
	return u
}

// Overloaded reports whether the load balancer should send new connections elsewhere.
func (m *Monitor) Overloaded() bool { return !m.startedAt.IsZero() }

// ByTeam reports whether a single team has caused the current overload.
func (m *Monitor) ByTeam() bool { return m.Overloaded() && m.byTeam }

// Moving reports whether the load balancer has had the time to send new connections elsewhere.
func (m *Monitor) Moving(now time.Time) bool {
	return m.Overloaded() && now.Sub(m.startedAt) >= shedDelay
}

// Expire ends an overload that no sample has confirmed for maxSampleGap, and reports whether it has.
func (m *Monitor) Expire(now time.Time) bool {
	n := len(m.samples)
	if m.startedAt.IsZero() || n == 0 || now.Sub(m.samples[n-1].At) <= maxSampleGap {
		return false
	}
	m.startedAt, m.endedAt, m.utilization, m.receiving = time.Time{}, now, 0, 0
	return true
}

// ReceivesLate reports whether requests may arrive late because of this entry VM: it is overloaded, and what receives
// requests is still busy. An overload lasts for some time after the load has fallen.
func (m *Monitor) ReceivesLate() bool { return m.Overloaded() && m.receiving > exitUtilization }

// ShouldClose reports whether the connection of an answer should be closed after it, so that the caller reconnects to
// another entry VM. random is a random number in [0, 1).
func (m *Monitor) ShouldClose(now time.Time, random float64) bool {
	return m.Moving(now) && m.utilization > exitUtilization && random < shedFraction
}

// LinkQueue estimates the queueing delay at the sending side of a link. It is not safe for concurrent use.
type LinkQueue struct {
	// LinkBytesPerSecond is the link capacity in bytes per second, 0 for no limit.
	LinkBytesPerSecond float64

	updatedAt   time.Time
	sentBytes   int64
	queuedBytes float64
}

// Delay takes the total number of bytes sent so far and returns the queueing delay of the next byte.
func (q *LinkQueue) Delay(now time.Time, sent int64) time.Duration {
	if q.LinkBytesPerSecond <= 0 {
		return 0
	}
	if !q.updatedAt.IsZero() {
		q.queuedBytes = max(q.queuedBytes+float64(sent-q.sentBytes)-now.Sub(q.updatedAt).Seconds()*q.LinkBytesPerSecond, 0)
	}
	q.updatedAt, q.sentBytes = now, sent
	return time.Duration(q.queuedBytes / q.LinkBytesPerSecond * float64(time.Second))
}
