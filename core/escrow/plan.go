package escrow

import (
	"cmp"
	"math"
	"time"
)

// UsableAt returns when tokens can be admitted without another write. It returns the zero time if they never can.
func (a *Account) UsableAt(now time.Time, tokens int64) time.Time {
	need := a.charged() + tokens
	age, ok := a.confirmed.ageAtMaxUsed(need)
	if !ok || len(a.pending) > 0 && a.Idle() < tokens {
		return time.Time{}
	}
	if at := a.sentAt.Add(age); at.After(now) {
		return at
	}
	return now
}

// want returns the number of unused tokens that the account should have, without those of running calls.
func (a *Account) want(now time.Time, policy Policy) int64 {
	a.decayRate(now)
	horizon := cmp.Or(policy.Horizon, Horizon)
	return max(int64(a.rate*horizon.Seconds()*demandFactorPercent/100), policy.IdleReserve)
}

// target limits want to the holder's share of all unused tokens, in proportion to what each holder asks for.
func (a *Account) target(want int64, policy Policy, limit int64, reservations *Reservations) int64 {
	ownRecord := reservations.records[a.holder]
	allWanted := reservations.wanted - ownRecord.Want + want
	if allWanted <= 0 {
		return 0
	}
	unused := max(reservations.Free(limit), 0) + reservations.idle - ownRecord.idle() + max(a.Idle(), 0)
	if unused < policy.ReserveThreshold {
		return 0
	}
	return min(want, int64(float64(unused)*float64(want)/float64(allWanted)))
}

// Plan is a record to write to the store.
type Plan struct {
	Record Record
	Reason Reason
}

// Reason is the reason for a write.
type Reason string

// Reasons for a write. None means that nothing is to be written.
const (
	None Reason = ""
	// Raise reserves more tokens, Return gives unused ones back.
	Raise  Reason = "raise"
	Return Reason = "return"
	// Refresh keeps the reservation and reports the use, so that the usable part grows from there.
	Refresh Reason = "refresh"
	// Close gives all unused tokens back at a planned stop.
	Close Reason = "close"
)

// Plan decides what to write next. limit is the budget of the team. at is the time by the clock that the entry VMs
// agree on.
func (a *Account) Plan(now, at time.Time, policy Policy, limit int64, reservations *Reservations) Plan {
	if policy.Secondary {
		return a.planSecondary(now, at, policy)
	}
	want := a.want(now, policy)
	reason, reserved := a.nextWrite(now, want, policy, limit, reservations)
	if reason == None {
		return Plan{}
	}
	burst, growth := a.window(policy, limit, reservations)
	burst = max(burst, a.waiting)
	return Plan{Reason: reason, Record: Record{
		Reserved: reserved, Base: a.charged(), Used: a.spent, Credit: a.credit, Want: want, At: at.UnixMilli(), Burst: burst,
		SlowRate: growth, Rate: max(policy.MinRate, int64(a.rate)), Sequence: a.sequence + 1, Era: a.era,
	}}
}

// planSecondary returns tokens that a secondary doesn't need. The whole rest is usable at once, since it is too small
// to be worth a bound.
func (a *Account) planSecondary(now, at time.Time, policy Policy) Plan {
	reason, reserved := a.nextSecondaryWrite(now, policy)
	if reason == None {
		return Plan{}
	}
	base := a.charged()
	return Plan{Reason: reason, Record: Record{
		Reserved: reserved, Base: base, Used: a.spent, Credit: a.credit, At: at.UnixMilli(), Burst: max(reserved-base, 0), Sequence: a.sequence + 1, Era: a.era,
	}}
}

func (a *Account) nextSecondaryWrite(now time.Time, policy Policy) (Reason, int64) {
	interval := policy.RefreshInterval
	if a.confirmed.Reserved-a.confirmed.Base > policy.IdleReserve+largeCallTokens {
		// The record of an entry VM that was a primary shows a reserve that others look for in vain.
		interval = min(interval, formerPrimaryInterval)
	}
	idle := a.Idle()
	if len(a.pending) > 0 || now.Sub(a.sentAt) < interval {
		return None, 0
	}
	keep := a.keep(max(policy.IdleReserve, a.block(now, policy)))
	if a.confirmed.Reserved > a.confirmed.Base && idle > keep {
		return Return, a.confirmed.Reserved - (idle - keep)
	}
	// What was given to a primary counts as unused here until it is reported.
	if a.spent-a.confirmed.Used > minWriteTokens || a.charged()-a.confirmed.Base > minWriteTokens {
		return Refresh, a.confirmed.Reserved
	}
	return None, 0
}

// keep returns the number of unused tokens that are neither returned nor given away: the target, and at least what calls
// wait for if one of them can be admitted, as it may not have tried again yet. Tokens that are too few for each of the
// waiting calls may suffice for a call elsewhere.
func (a *Account) keep(target int64) int64 {
	if a.waiting == 0 || a.smallestWaiting() > a.Idle() {
		return target
	}
	return max(target, a.waiting)
}

// GiveSurplus takes the tokens that a secondary doesn't need out of its account, to be given to a primary.
func (a *Account) GiveSurplus(now time.Time, policy Policy) int64 {
	n := a.Available(now) - a.keep(max(policy.IdleReserve, a.block(now, policy)))
	if !policy.Secondary || n <= 0 || n < policy.MinReturn {
		return 0
	}
	a.credit -= n
	return n
}

// window returns Record.Burst and Record.SlowRate. The burst covers the variation of what calls take between two writes. Calls
// arrive at random, and a large one has largeCallTokens, so the standard deviation of what they take in a time is at most the
// square root of what they take on average times that size. What they take while one write is under way and the next one is
// must be usable as well. The growth lets calls go on at the recent rate while the store is expected to be available.
func (a *Account) window(policy Policy, limit int64, reservations *Reservations) (burst, growth int64) {
	deviation := int64(math.Sqrt(a.heldRate * policy.RefreshInterval.Seconds() * largeCallTokens))
	underWay := int64(max(a.heldRate, float64(a.held)) * 2 * policy.WriteTime.Seconds())
	if !isFarFromLimit(limit, reservations) {
		return min(largeCallTokens/4+deviation+underWay, policy.NearBurst), int64(a.rate * nearGrowthPercent / 100)
	}
	return min(max(farBurstCalls*largeCallTokens+deviation, policy.MinBurst)+underWay, policy.MaxBurst), int64(a.rate * farGrowthPercent / 100)
}

// isFarFromLimit compares what is charged, not what is recorded as used: most of the use is at secondaries, which report it
// seldom, while their primaries record at once what they gave them.
func isFarFromLimit(limit int64, reservations *Reservations) bool {
	return (reservations.reserved-reservations.idle)*100 < limit*nearLimitPercent
}

// NeedsSync reports whether the store should be read: a call waits, or Plan would return a write.
func (a *Account) NeedsSync(now time.Time, policy Policy, limit int64, reservations *Reservations) bool {
	if policy.Secondary {
		reason, _ := a.nextSecondaryWrite(now, policy)
		return reason != None
	}
	if a.waiting > 0 {
		return true
	}
	reason, _ := a.nextWrite(now, a.want(now, policy), policy, limit, reservations)
	return reason != None
}

func (a *Account) nextWrite(now time.Time, want int64, policy Policy, limit int64, reservations *Reservations) (Reason, int64) {
	target := a.target(want, policy, limit, reservations)
	idle, keep := a.Idle(), a.keep(target)
	free := max(reservations.Free(limit), 0)
	shortfall := max(a.waiting-idle, 0)
	switch {
	case shortfall > 0 && free > 0:
		return Raise, a.confirmed.Reserved + min(max(target-idle, shortfall), free)
	case idle*100 < target*refillBelowPercent && free > 0 && target-idle >= min(minWriteTokens, free):
		return Raise, a.confirmed.Reserved + min(target-idle, free)
	case idle*100 > keep*returnAbovePercent && idle-keep > policy.MinReturn && len(a.pending) == 0:
		return Return, a.confirmed.Reserved - (idle - keep)
	case a.waiting > max(a.Available(now), 0) && a.waiting <= idle || a.stale(now, policy):
		return Refresh, a.confirmed.Reserved
	}
	return None, 0
}

// stale reports whether a crash now would lose many tokens, since the stored record is old. While nothing has changed, only
// the growth of what counts as usable makes it older, and that is slow for slowGrowthPeriod.
func (a *Account) stale(now time.Time, policy Policy) bool {
	age, unreported := now.Sub(a.sentAt), a.charged()-a.confirmed.Base
	if max(unreported, -unreported) > minWriteTokens {
		return age >= policy.RefreshInterval
	}
	return a.Idle() > minWriteTokens && age >= max(policy.RefreshInterval, unchangedRefreshInterval)
}

// Close returns the write that gives up all tokens that are neither used nor held.
func (a *Account) Close(now, at time.Time) Plan {
	a.decayRate(now)
	charged := a.charged()
	return Plan{Reason: Close, Record: Record{
		Reserved: charged, Base: charged, Used: a.spent, Credit: a.credit, At: at.UnixMilli(), Rate: int64(max(a.rate, a.rateBeforeDrain)), Sequence: a.sequence + 1, Era: a.era,
	}}
}
