package placement

import (
	"math"
	"time"

	"ibiswinch/core/cost"
)

const (
	// callTimeWeight is the weight of one call in the usual time of an answer, initialCallTime the time of a route without any.
	callTimeWeight  = 0.02
	initialCallTime = 20 * time.Millisecond
	// maxCallTimeRatio bounds a call's time relative to the usual one, so that stalled calls don't decide it.
	maxCallTimeRatio = 4
	// tokenTimeWeight is the weight of one call in the usual time of an output token, initialTokenTime that time at first.
	tokenTimeWeight  = 0.02
	initialTokenTime = 2 * time.Millisecond
	// maxExtrapolation bounds the time over which the work of the other entry VMs is extrapolated from their reports.
	maxExtrapolation = 500 * time.Millisecond
	// sentRateWeight is the weight of one report in the tokens that the other entry VMs send a server each second.
	sentRateWeight = 0.2
	// overdueFactor is how many times its expected time a first event may take before the server counts as slow. The
	// expected time is at least minExpectedTime. maxOverdue bounds how slow.
	overdueFactor   = 5
	minExpectedTime = 80 * time.Millisecond
	maxOverdue      = 10
)

// serviceCosts is what was learned of a service's calls.
type serviceCosts struct {
	prefill cost.Prefill
	// callTimes are the usual seconds of answers without a prompt, by route. meanCallTime is their mean over all routes.
	callTimes    map[string]float64
	meanCallTime float64
	// tokenTime is the usual seconds of an output token.
	tokenTime float64
}

func (t *Table) costsOf(service string) *serviceCosts {
	c := t.costs[service]
	if c == nil {
		c = &serviceCosts{callTimes: map[string]float64{}, meanCallTime: initialCallTime.Seconds(), tokenTime: initialTokenTime.Seconds()}
		t.costs[service] = c
	}
	return c
}

func (c *serviceCosts) callTime(route string) float64 {
	if usual, known := c.callTimes[route]; known {
		return usual
	}
	return c.meanCallTime
}

func (c *serviceCosts) observeCall(route string, took float64) {
	usual, known := c.callTimes[route]
	if !known {
		c.callTimes[route] = took
	} else {
		c.callTimes[route] = usual + (min(took, maxCallTimeRatio*usual)-usual)*callTimeWeight
	}
	c.meanCallTime += (min(took, maxCallTimeRatio*c.meanCallTime) - c.meanCallTime) * callTimeWeight
}

// reportedLoad is what the other entry VMs reported of a server.
type reportedLoad struct {
	cost.Load
	at, until time.Time
}

// speedSample holds observations that the other entry VMs haven't got yet.
type speedSample struct {
	sum   float64
	count int
}

// factor returns how many times as long as usual the server takes. A server whose oldest pending call is overdue counts as slow
// before its first event arrives.
func (s *server) factor(now time.Time) float64 {
	return max(s.speed.Factor(now), s.overdue(now))
}

// overdue returns how many times as long as usual a server takes by its oldest pending call, 0 if none is overdue.
func (s *server) overdue(now time.Time) float64 {
	if len(s.pendingCalls) == 0 {
		return 0
	}
	oldest := s.pendingCalls[0]
	late := float64(now.Sub(oldest.sentAt)) / float64(oldest.expected)
	if late <= overdueFactor {
		return 0
	}
	return min(late/2, maxOverdue)
}

// observeSpeed adds an observation of the server's speed.
func (s *server) observeSpeed(now time.Time, logRatio float64) {
	s.speed.Observe(now, logRatio, 1)
	s.unsent.sum += logRatio
	s.unsent.count++
}

// defaultSlots is the number of slots of a server that doesn't tell its own.
const defaultSlots = 16

func (s *server) slots() float64 {
	if s.Slots <= 0 {
		return defaultSlots
	}
	return float64(s.Slots)
}

// running returns the number of calls that the server probably runs. What the other entry VMs reported says little about calls
// that are shorter than its age.
func (s *server) running(now time.Time, c *serviceCosts) float64 {
	running := float64(s.runningCalls)
	if !now.Before(s.reported.until) {
		return running
	}
	life := c.meanCallTime
	if s.reported.Output > 0 {
		life = c.tokenTime * float64(s.reported.Output) / float64(max(s.reported.Running, 1))
	}
	age := now.Sub(s.reported.at).Seconds() + reportDelay.Seconds()
	return running + float64(s.reported.Running)*math.Exp(-age/max(life, minExpectedTime.Seconds()/10))
}

// waiting returns the number of prompt tokens that the server probably reads before those of a call sent now. perToken is the
// seconds that one takes.
func (s *server) waiting(now time.Time, perToken float64) float64 {
	own := float64(s.waitingTokens)
	if !now.Before(s.reported.until) {
		return own
	}
	age := min(now.Sub(s.reported.at), maxExtrapolation).Seconds()
	change := (float64(s.reported.Sent) - 1/perToken) * age
	return own + max(float64(s.reported.Waiting)+change, 0)
}

// promptShare returns the part of its time, from 0 to 1, in which the server reads prompts of the other entry VMs. Those of this one
// are a small part of a large fleet's.
func (s *server) promptShare(now time.Time, c *serviceCosts) float64 {
	if !now.Before(s.reported.until) {
		return 0
	}
	return min(s.sentRate*c.prefill.PerToken().Seconds()*s.speed.Factor(now), 1)
}

// slotWait returns the seconds until the server has a slot for a call sent now.
func (s *server) slotWait(now time.Time, c *serviceCosts) float64 {
	running := s.running(now, c)
	if s.Slots == 0 || running < s.slots() {
		return 0
	}
	left := float64(s.expectedOutput)
	if now.Before(s.reported.until) {
		left += float64(s.reported.Output)
	}
	// A call that runs has on average half of its output left.
	callLeft := c.tokenTime * left / 2 / max(running, 1)
	return callLeft * (running - s.slots() + 1) / s.slots()
}

// add counts a call that is sent to the server.
func (s *server) add(now time.Time, p *Placement) {
	s.runningCalls++
	s.waitingTokens += p.tokens
	s.sentTokens += p.tokens
	s.expectedOutput += p.expectedOutput
	if p.tokens > 0 {
		s.pendingCalls = append(s.pendingCalls, pendingCall{sentAt: now, expected: max(p.Predicted, minExpectedTime)})
	}
	if !s.pausedUntil.IsZero() {
		// A server whose pause has ended gets one call at a time until its outcome is known.
		s.pausedUntil = now.Add(s.pauseDuration())
	}
}

// reportDelay is the usual age of what a report says when it arrives.
const reportDelay = 200 * time.Millisecond

// HasReports reports whether the other entry VMs have lately told of their work.
func (t *Table) HasReports(now time.Time) bool { return now.Before(t.reportsUntil) }

// OwnLoads returns the work of this entry VM at each server, and what it has seen of their speeds since the last time.
func (t *Table) OwnLoads(now time.Time) []cost.Load {
	passed := now.Sub(t.ownLoadsAt).Seconds()
	first := t.ownLoadsAt.IsZero()
	t.ownLoadsAt = now
	var loads []cost.Load
	for _, s := range t.servers {
		sent := s.sentTokens
		s.sentTokens = 0
		if s.runningCalls == 0 && sent == 0 && s.unsent.count == 0 {
			continue
		}
		l := cost.Load{
			Server: s.incarnationKey, Running: int64(max(s.runningCalls, 0)), Waiting: max(s.waitingTokens, 0), Output: max(s.expectedOutput, 0),
			SpeedSum: s.unsent.sum, SpeedCount: float64(s.unsent.count),
		}
		if !first && passed > 0 {
			l.Sent = int64(float64(sent) / passed)
		}
		s.unsent = speedSample{}
		loads = append(loads, l)
	}
	return cost.Busiest(loads)
}

// SetReported replaces what the other entry VMs reported of their work. It holds until the given time.
func (t *Table) SetReported(now time.Time, loads []cost.Load, until time.Time) {
	byKey := make(map[uint64]*cost.Load, len(loads))
	for i := range loads {
		byKey[loads[i].Server] = &loads[i]
	}
	t.reportsUntil = until
	for _, s := range t.servers {
		l := byKey[s.incarnationKey]
		if l == nil {
			s.reported = reportedLoad{at: now, until: until}
			s.sentRate -= s.sentRate * sentRateWeight
			continue
		}
		s.sentRate += (float64(l.Sent) - s.sentRate) * sentRateWeight
		s.reported = reportedLoad{Load: *l, at: now, until: until}
		s.speed.Adopt(now, l.SpeedSum, l.SpeedCount)
	}
}

// Delivered records how many output tokens a whole answer had, and in which time after its first event.
func (t *Table) Delivered(p Placement, tokens int64, took time.Duration) {
	t.outputs.Observe(p.output, tokens)
	if tokens <= 0 || took <= 0 {
		return
	}
	c := t.costsOf(p.Server.Service)
	perToken := min(took.Seconds()/float64(tokens), maxCallTimeRatio*c.tokenTime)
	c.tokenTime += (perToken - c.tokenTime) * tokenTimeWeight
}
