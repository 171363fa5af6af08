package placement

import (
	"math"
	"slices"
	"time"
)

const (
	// minLimit is the least limit that is used, in requests a second, so that some entry VM learns when the limit ends.
	minLimit = 0.25
	// manyVMs times the limit is the number of entry VMs from which each sends less than a call in some seconds. Their calls
	// come at random times then, so that they use only manySharePercent of the limit.
	manyVMs          = 2
	manySharePercent = 75
	// minSharePercent of an equal share is left to an entry VM that has few calls, so that it can place new ones.
	minSharePercent = 25
	// overusePercent is what entry VMs send beyond the limit rather than refuse a call that no other server takes.
	overusePercent = 25
	// burstTime is the time for which an entry VM may save up its share.
	burstTime = 500 * time.Millisecond
	// peerLimitDelay is how old what another entry VM says may be. An own answer within that time outweighs it.
	peerLimitDelay = 3 * time.Second
	// limitedPenalty is added to the load of servers with limits for calls that may go anywhere, so that what these servers
	// take is left for the prompts that they hold.
	limitedPenalty = 3
)

// VM is an entry VM that shares the limits of servers.
type VM struct {
	Name string
	// Calls is the number of calls that it had lately, relative to those of the others.
	Calls int
}

// tokenBucket holds the calls that may be sent at refilledAt. perSecond are added, up to burstTime's worth and at least 1.
type tokenBucket struct {
	perSecond, tokens float64
	refilledAt        time.Time
}

func (b *tokenBucket) refill(now time.Time) {
	if passed := now.Sub(b.refilledAt); passed > 0 {
		b.tokens = min(b.tokens+b.perSecond*passed.Seconds(), max(1, b.perSecond*burstTime.Seconds()))
	}
	b.refilledAt = now
}

// next is when a call may be sent.
func (b *tokenBucket) next() time.Time {
	wait := max(1-b.tokens, 0) / b.perSecond
	return b.refilledAt.Add(time.Duration(math.Ceil(wait * float64(time.Second))))
}

// requestLimit is a limit that a server named, and the own share of it.
type requestLimit struct {
	// perSecond is the limit for all entry VMs together, in requests a second.
	perSecond float64
	// share is the part of this entry VM, most what it uses if no other server takes a call.
	share, most tokenBucket
	// until is when the limit no longer holds unless some answer names it again.
	until time.Time
}

func (l *requestLimit) refill(now time.Time) {
	l.share.refill(now)
	l.most.refill(now)
}

func (l *requestLimit) setShare(now time.Time, perSecond float64) {
	l.refill(now)
	l.share.perSecond = perSecond
	l.most.perSecond = perSecond * (100 + overusePercent) / 100
}

// LimitUpdate is what an answer, or another entry VM, says of the limit of a server.
type LimitUpdate struct {
	// PerSecond is the number of requests a second that the server takes from all entry VMs together, if Limited is set.
	PerSecond float64
	Limited   bool
	// Until is when the limit no longer holds unless it is named again.
	Until time.Time
}

// SetLimit records what an answer of a server said of its limit. It reports whether that changes anything.
func (t *Table) SetLimit(now time.Time, of Server, update LimitUpdate) bool {
	s := t.servers[of.ID]
	if s == nil || !s.Born.Equal(of.Born) {
		return false
	}
	s.answeredAt = now
	return t.setLimit(now, s, update)
}

// SetPeerLimit records what another entry VM was told by a server. It reports whether that changes anything.
func (t *Table) SetPeerLimit(now time.Time, incarnation string, update LimitUpdate) bool {
	s := t.servers[incarnationID(incarnation)]
	if s == nil || s.Incarnation() != incarnation || now.Sub(s.answeredAt) <= peerLimitDelay {
		return false
	}
	return t.setLimit(now, s, update)
}

func (t *Table) setLimit(now time.Time, s *server, update LimitUpdate) bool {
	old := s.limit
	switch {
	case !update.Limited:
		s.limit = nil
		return old != nil
	case old != nil && old.perSecond == update.PerSecond:
		old.until = update.Until
		return false
	case old == nil:
		// Entry VMs that hear of the limit at the same time don't use it at the same time.
		bucket := tokenBucket{tokens: t.random.Float64(), refilledAt: now}
		s.limit = &requestLimit{share: bucket, most: bucket}
	}
	s.limit.perSecond, s.limit.until = update.PerSecond, update.Until
	s.limit.setShare(now, limitShare(update.PerSecond, t.vms[s.Service]))
	return true
}

// HasLimits reports whether a server of the service has a limit.
func (t *Table) HasLimits(service string) bool {
	return slices.ContainsFunc(t.byService[service], func(s *server) bool { return s.limit != nil })
}

// SetVMs sets the entry VMs that share the limits of a service's servers; the first is this one.
func (t *Table) SetVMs(now time.Time, service string, vms []VM) {
	if slices.Equal(t.vms[service], vms) {
		return
	}
	t.vms[service] = slices.Clone(vms)
	for _, s := range t.byService[service] {
		if s.limit != nil {
			s.limit.setShare(now, limitShare(s.limit.perSecond, vms))
		}
		t.setColdShare(now, s)
	}
}

// limitShare returns the part of a limit that the first of the entry VMs may use.
func limitShare(perSecond float64, vms []VM) float64 {
	perSecond = max(perSecond, minLimit)
	if len(vms) == 0 {
		return perSecond
	}
	share := perSecond * callShare(vms)
	if float64(len(vms)) > manyVMs*perSecond+1 {
		share = share * manySharePercent / 100
	}
	return share
}

// callShare returns the part of the calls that the first of the entry VMs gets. Each counts for at least minSharePercent
// of the mean.
func callShare(vms []VM) float64 {
	calls := 0
	for _, vm := range vms {
		calls += vm.Calls
	}
	if calls == 0 {
		return 1 / float64(len(vms))
	}
	least := float64(calls) / float64(len(vms)) * minSharePercent / 100
	sum := 0.0
	for _, vm := range vms {
		sum += max(float64(vm.Calls), least)
	}
	return max(float64(vms[0].Calls), least) / sum
}

// Limited returns the limits that servers named to this entry VM after since, by incarnation.
func (t *Table) Limited(since time.Time) map[string]float64 {
	var limits map[string]float64
	for _, s := range t.servers {
		if s.limit == nil || s.answeredAt.Before(since) {
			continue
		}
		if limits == nil {
			limits = map[string]float64{}
		}
		limits[s.Incarnation()] = s.limit.perSecond
	}
	return limits
}

// takesCalls reports whether the limit of the server allows a call now, if need be beyond the limit.
func (s *server) takesCalls(now time.Time, beyond bool) bool {
	if s.limit == nil {
		return true
	}
	if !now.Before(s.limit.until) {
		s.limit = nil
		return true
	}
	s.limit.refill(now)
	if beyond {
		return s.limit.most.tokens >= 1
	}
	return s.limit.share.tokens >= 1
}

// countCall takes a call from the limits of the server.
func (s *server) countCall() {
	if s.warmup != nil {
		s.warmup.calls.tokens--
	}
	if s.limit != nil {
		s.limit.share.tokens = max(s.limit.share.tokens-1, 0)
		s.limit.most.tokens--
	}
}
