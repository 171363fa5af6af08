package placement

import (
	"math"
	"time"

	"ibiswinch/core/membership"
)

const (
	// coldUsePercent of the allowance of a cold server is what the entry VMs send that agree on who may use it. The rest is for those
	// that are cut off and still take themselves for users after others have replaced them.
	coldUsePercent = 50
	// maxColdTimes times the usual cold time of a service is the longest time for which a server is taken for cold.
	maxColdTimes = 2
	// rampTime is the time after the cold one in which the rate of a server rises, doubled with each rampStep.
	rampTime = time.Second
	rampStep = 250 * time.Millisecond
	// steadyRate is the most calls a second that a bucket which holds a single call lets through without two in some second, and
	// bucketFactor how many times its rate a bucket lets through in a second if it holds more.
	steadyRate   = 0.9
	bucketFactor = 1.5
)

// ColdLimit bounds the calls that a cold server of a service gets from all entry VMs together. The zero value doesn't.
type ColdLimit struct {
	// PerSecond is the number of calls a second that the server takes while it is cold.
	PerSecond float64
	// Allowance is the largest number of calls that may reach it within a second.
	Allowance float64
	// ColdTime is how long a server is usually cold.
	ColdTime time.Duration
}

// budget is the number of calls within a second that the users of a cold server share.
func (l ColdLimit) budget() int {
	part := l.Allowance * coldUsePercent / 100
	if part < 1 {
		return 0
	}
	return int(max(min(part, l.PerSecond), 1))
}

// users is the number of entry VMs, of n, that may use a cold server.
func (l ColdLimit) users(n int) int { return min(l.budget(), n) }

// rate is the rate of each user of n entry VMs, with which no second has more calls than the budget.
func (l ColdLimit) rate(n int) float64 {
	users := l.users(n)
	if users == 0 {
		return 0
	}
	calls := float64(l.budget() / users)
	rate := max(calls/bucketFactor, min(calls, 2)-1+steadyRate)
	return min(rate, l.PerSecond/float64(users))
}

// warmup is the time in which a server is cold, and after that takes more and more calls.
type warmup struct {
	// since is when the server became cold as far as is known here, coldUntil when it is warm.
	since, coldUntil time.Time
	// isUser is set if this entry VM may use the server while it is cold.
	isUser bool
	// calls are those that this entry VM may send.
	calls tokenBucket
}

func (w *warmup) isCold(now time.Time) bool { return now.Before(w.coldUntil) }

// SetColdLimits sets the limits of cold servers by service. It reports whether they are the first ones.
func (t *Table) SetColdLimits(limits map[string]ColdLimit) (first bool) {
	first = t.coldLimits == nil
	t.coldLimits = limits
	return first
}

// SetMembersKnown sets whether the entry VMs of SetVMs are all that live. Before that this one uses no cold server.
func (t *Table) SetMembersKnown(now time.Time, known bool) {
	if t.membersKnown == known {
		return
	}
	t.membersKnown = known
	for _, s := range t.servers {
		t.setColdShare(now, s)
	}
}

// SetCold records that a server is cold for the given time, or no longer if that is 0. It reports whether a cold time begins.
func (t *Table) SetCold(now time.Time, id string, remaining time.Duration) bool {
	s := t.servers[id]
	if s == nil {
		return false
	}
	limit := t.coldLimits[s.Service]
	switch {
	case limit.PerSecond <= 0:
		s.warmup = nil
		return false
	case remaining <= 0:
		if s.warmup != nil && s.warmup.isCold(now) {
			s.warmup.coldUntil = now
		}
		return false
	}
	until := now.Add(min(remaining, maxColdTimes*limit.ColdTime))
	if s.warmup != nil && s.warmup.isCold(now) {
		s.warmup.coldUntil = until
		return false
	}
	s.warmup = &warmup{since: now, coldUntil: until, calls: tokenBucket{tokens: t.random.Float64(), refilledAt: now}}
	t.setColdShare(now, s)
	return true
}

// setColdShare decides whether this entry VM may use a cold server: the highest ranking entry VMs do, which all of them rank the same
// way without communication.
func (t *Table) setColdShare(now time.Time, s *server) {
	if s.warmup == nil || !s.warmup.isCold(now) {
		return
	}
	limit, vms := t.coldLimits[s.Service], t.vms[s.Service]
	n := max(len(vms), 1)
	s.warmup.isUser = t.membersKnown && ranksWithin(vms, s.Incarnation(), limit.users(n))
	s.warmup.calls.refill(now)
	s.warmup.calls.perSecond = limit.rate(n)
}

// ranksWithin reports whether the first of the entry VMs is among the highest ranking ones for key.
func ranksWithin(vms []VM, key string, highest int) bool {
	if len(vms) == 0 {
		return false
	}
	own := membership.Hash(key, vms[0].Name)
	for _, vm := range vms[1:] {
		if highest <= 0 {
			return false
		}
		if membership.Hash(key, vm.Name) > own {
			highest--
		}
	}
	return highest > 0
}

// HasColdServers reports whether a server of the service is cold, or was until lately.
func (t *Table) HasColdServers(service string) bool {
	for _, s := range t.byService[service] {
		if s.warmup != nil {
			return true
		}
	}
	return false
}

// takesColdCalls reports whether a server isn't cold, or this entry VM may send it a call now.
func (t *Table) takesColdCalls(now time.Time, s *server) bool {
	w := s.warmup
	if w == nil {
		return true
	}
	if now.Sub(w.coldUntil) >= rampTime {
		s.warmup = nil
		return true
	}
	if w.isCold(now) {
		if !w.isUser || w.calls.perSecond <= 0 {
			return false
		}
	} else {
		steps := float64(now.Sub(w.coldUntil)) / float64(rampStep)
		w.calls.perSecond = limitShare(t.coldLimits[s.Service].PerSecond*math.Exp2(steps), t.vms[s.Service])
	}
	w.calls.refill(now)
	return w.calls.tokens >= 1
}

// nextColdCall is when a server that takesColdCalls has turned down takes the next call of this entry VM.
func (s *server) nextColdCall(now time.Time) time.Time {
	w := s.warmup
	if w.calls.perSecond <= 0 {
		return w.coldUntil
	}
	next := w.calls.next()
	if w.isCold(now) && (!w.isUser || next.After(w.coldUntil)) {
		return w.coldUntil
	}
	return next
}

// becameCold reports whether a server has become cold after a call was placed there.
func (t *Table) becameCold(now time.Time, p Placement) bool {
	s := t.servers[p.Server.ID]
	return s != nil && s.warmup != nil && s.warmup.isCold(now) && s.warmup.since.After(p.sentAt)
}
