package placement

import (
	"slices"
	"time"

	"ibiswinch/core/cost"
)

// Outcome says how a call ended at a server.
type Outcome string

// Outcomes.
const (
	Answered Outcome = "answered"
	// Unreachable means that no connection to the server could be made.
	Unreachable Outcome = "unreachable"
	// Interrupted means that no whole answer to the call arrived: the connection ended early, the answer was too large,
	// or it wasn't signed by the server or belonged to another request.
	Interrupted Outcome = "broken"
	// TimedOut means that the server didn't answer in time.
	TimedOut Outcome = "silent"
	// Failed means that the server answered with an error.
	Failed Outcome = "failed"
	// Rejected means that the server rejected the call without running it.
	Rejected Outcome = "full"
	// Misdirected means that another server now listens at the address.
	Misdirected Outcome = "misdirected"
	// Cancelled means that the caller cancelled the call.
	Cancelled Outcome = "abandoned"
)

// pendingCall is a call without a first event. expected is the time that its first event was expected to take.
type pendingCall struct {
	sentAt   time.Time
	expected time.Duration
}

// minFirstEventTime is what shorter times to the first event count as.
const minFirstEventTime = 5 * time.Millisecond

// FirstEvent records that the first event of a call arrived, which means that the server has processed the prompt.
func (t *Table) FirstEvent(now time.Time, p *Placement) {
	s := t.servers[p.Server.ID]
	if s == nil || !s.Born.Equal(p.Server.Born) || p.tokens == 0 {
		return
	}
	s.waitingTokens -= p.tokens
	s.clearPending(p.sentAt)
	if p.showsOverload(now) {
		s.window.shrink(now, s.runningCalls)
	} else {
		s.window.grow()
	}
	took := max(now.Sub(p.sentAt), minFirstEventTime)
	if p.Rank == 0 && p.behind < float64(p.tokens)/2 {
		// Behind other prompts, or with a cache that may lack the prefix, the time tells little about the prompt's own cost.
		t.costsOf(s.Service).prefill.Observe(p.behind+float64(p.tokens), took, s.speed.Factor(now))
	}
	s.observeSpeed(now, cost.LogRatio(took, p.usual))
	p.tokens = 0
}

func (s *server) clearPending(sentAt time.Time) {
	i := slices.IndexFunc(s.pendingCalls, func(p pendingCall) bool { return p.sentAt.Equal(sentAt) })
	if i >= 0 {
		s.pendingCalls = slices.Delete(s.pendingCalls, i, i+1)
	}
}

func (p *Placement) showsOverload(now time.Time) bool {
	return !p.overloadedAt.IsZero() && now.After(p.overloadedAt)
}

// Release ends a placement and updates the health of the server by the outcome. If that starts a pause, it returns the
// end of the pause, else the zero time.
func (t *Table) Release(now time.Time, p Placement, o Outcome) time.Time {
	s := t.servers[p.Server.ID]
	if s == nil || !s.Born.Equal(p.Server.Born) {
		return time.Time{}
	}
	s.runningCalls--
	s.waitingTokens -= p.tokens
	s.expectedOutput -= p.expectedOutput
	if p.tokens > 0 {
		if o == TimedOut || o == Rejected || o == Cancelled && p.showsOverload(now) {
			s.window.shrink(now, s.runningCalls+1)
		}
		if s.overdue(now) > 0 {
			s.observeSpeed(now, cost.LogRatio(now.Sub(p.sentAt), p.usual))
		}
		s.clearPending(p.sentAt)
	}
	if p.usual > 0 && o == Answered && !p.hasPrompt {
		took := max(now.Sub(p.sentAt), time.Millisecond)
		t.costsOf(s.Service).observeCall(p.route, took.Seconds()/s.speed.Factor(now))
		s.observeSpeed(now, cost.LogRatio(took, p.usual))
	}
	before := s.pausedUntil
	t.applyOutcome(now, s, o)
	if s.pausedUntil.After(now) && !now.Before(before) {
		return s.pausedUntil
	}
	return time.Time{}
}

func (t *Table) applyOutcome(now time.Time, s *server, o Outcome) {
	switch o {
	case Answered:
		t.updateFailureRate(s, 0)
		s.consecutiveFailures = 0
		s.pausedUntil = time.Time{}
	case Unreachable, TimedOut:
		t.pauseAfterFailure(now, s)
	case Interrupted:
		t.updateFailureRate(s, 1)
		t.pauseAfterFailure(now, s)
	case Failed:
		t.updateFailureRate(s, 1)
		s.consecutiveFailures = 0
		s.pausedUntil = time.Time{}
		if s.countedCalls > 4 && s.failureRate > t.failureRates[s.Service]+maxExcessFailureRate {
			t.pauseAfterFailure(now, s)
		}
	case Rejected:
		s.pausedUntil = now.Add(rejectedPause)
	case Misdirected:
		s.misdirected = true
	}
}

func (t *Table) updateFailureRate(s *server, failed float64) {
	s.countedCalls++
	s.failureRate += (failed - s.failureRate) * failureRateWeight
	t.failureRates[s.Service] += (failed - t.failureRates[s.Service]) * failureRateWeight / float64(max(len(t.byService[s.Service]), 1))
}

func (t *Table) pauseAfterFailure(now time.Time, s *server) {
	s.consecutiveFailures++
	s.pausedUntil = now.Add(s.pauseDuration())
}

func (s *server) pauseDuration() time.Duration {
	return min(initialPause<<min(max(s.consecutiveFailures-1, 0), 5), maxPause)
}
