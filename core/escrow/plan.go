package escrow

import (
	"math"
	"time"
)

// UsableAt is when tokens can be admitted without another record, zero if never.
func (a *Account) UsableAt(now time.Time, tokens int64) time.Time {
	need := a.charged() + tokens
	age, ok := a.confirmed.ageOf(need)
	if !ok || len(a.writes) > 0 && a.Idle() < tokens {
		return time.Time{}
	}
	if at := a.sentAt.Add(age); at.After(now) {
		return at
	}
	return now
}

// want is the number of unused tokens that the account should have, running calls not counted.
func (a *Account) want(now time.Time, f Floors) int64 {
	a.decay(now)
	return max(int64(a.rate*Horizon.Seconds()*spread/100), f.Want)
}

// target bounds the want of a holder by its part of all that isn't used, in proportion to the wants.
func (a *Account) target(want int64, f Floors, limit int64, book *Book) int64 {
	own := book.records[a.holder]
	all := book.want - own.Want + want
	if all <= 0 {
		return 0
	}
	unused := max(book.Free(limit), 0) + book.idles - own.idle() + max(a.Idle(), 0)
	if unused < f.Scarce {
		return 0
	}
	return min(want, int64(float64(unused)*float64(want)/float64(all)))
}

// Plan is what an account should write to the store.
type Plan struct {
	Record Record
	// Reason says why.
	Reason Reason
}

// Reason is the cause of a write.
type Reason string

// Reasons of a write.
const (
	None    Reason = ""
	Raise   Reason = "raise"
	Return  Reason = "return"
	Refresh Reason = "refresh"
	Close   Reason = "close"
)

// Plan decides what to write next. limit is the budget of the team, at the fleet's time of day.
func (a *Account) Plan(now, at time.Time, f Floors, limit int64, book *Book) Plan {
	if f.Guest {
		return a.planGuest(now, at, f)
	}
	want := a.want(now, f)
	reason, reserved := a.decide(now, want, f, limit, book)
	burst := max(min(f.Burst, a.burst(limit, book)), a.waiting)
	if reason == None {
		return Plan{}
	}
	return Plan{Reason: reason, Record: Record{
		Reserved: reserved, Base: a.charged(), Used: a.spent, Credit: a.credit, Want: want, At: at.UnixMilli(), Burst: burst,
		Slow: a.slow(limit, book), Rate: max(f.Rate, int64(a.rate)),
	}}
}

// planGuest returns what the account doesn't need. All that is left is usable: it is too little to hold back.
func (a *Account) planGuest(now, at time.Time, f Floors) Plan {
	reason, reserved := a.decideGuest(now, f)
	if reason == None {
		return Plan{}
	}
	base := a.charged()
	return Plan{Reason: reason, Record: Record{
		Reserved: reserved, Base: base, Used: a.spent, Credit: a.credit, At: at.UnixMilli(), Burst: max(reserved-base, 0),
	}}
}

func (a *Account) decideGuest(now time.Time, f Floors) (Reason, int64) {
	idle := a.Idle()
	if len(a.writes) > 0 || now.Sub(a.sentAt) < f.Refresh {
		return None, 0
	}
	if a.confirmed.Reserved > a.confirmed.Base && idle > f.Want {
		return Return, a.confirmed.Reserved - (idle - f.Want)
	}
	if a.spent-a.confirmed.Used > minReturn {
		return Refresh, a.confirmed.Reserved
	}
	return None, 0
}

// GiveBack takes out of a guest's account what it doesn't need, to be handed to a home.
func (a *Account) GiveBack(now time.Time, f Floors) int64 {
	n := a.Left(now) - f.Want
	if !f.Guest || n < minReturn {
		return 0
	}
	a.credit -= n
	return n
}

// slow is the growth of the usable part while the store is expected to answer.
func (a *Account) slow(limit int64, book *Book) int64 {
	if isAmple(limit, book) {
		return int64(a.rate * amplePace / 100)
	}
	return int64(a.rate * endPace / 100)
}

// burst covers the variation of the use between two records: requests come at random, and each has about this size.
func (a *Account) burst(limit int64, book *Book) int64 {
	spread := int64(math.Sqrt(a.rate * requestTokens))
	if isAmple(limit, book) {
		return ampleBurst*requestTokens + spread
	}
	return requestTokens/4 + spread
}

func isAmple(limit int64, book *Book) bool { return book.used*100 < limit*ampleShare }

// Wants reports whether the ledger should be looked at: a call waits, or Plan would ask for a write.
func (a *Account) Wants(now time.Time, f Floors, limit int64, book *Book) bool {
	if f.Guest {
		reason, _ := a.decideGuest(now, f)
		return reason != None
	}
	if a.waiting > 0 {
		return true
	}
	reason, _ := a.decide(now, a.want(now, f), f, limit, book)
	return reason != None
}

func (a *Account) decide(now time.Time, want int64, f Floors, limit int64, book *Book) (Reason, int64) {
	target := a.target(want, f, limit, book)
	idle := a.Idle()
	free := max(book.Free(limit), 0)
	lack := max(a.waiting-idle, 0)
	switch {
	case lack > 0 && free > 0:
		return Raise, a.confirmed.Reserved + min(max(target-idle, lack), free)
	case idle*100 < target*lowShare && free > 0 && target-idle >= min(minReturn, free):
		return Raise, a.confirmed.Reserved + min(target-idle, free)
	case idle*100 > target*highShare && idle-target > minReturn && len(a.writes) == 0:
		return Return, a.confirmed.Reserved - (idle - target)
	case a.waiting > max(a.Left(now), 0) && a.waiting <= idle || a.stale(now, f):
		return Refresh, a.confirmed.Reserved
	}
	return None, 0
}

// stale reports whether the record in the store leaves much open if the process dies now.
func (a *Account) stale(now time.Time, f Floors) bool {
	behind := a.charged()-a.confirmed.Base > minReturn
	return (a.Idle() > minReturn || behind) && now.Sub(a.sentAt) >= f.Refresh
}

// Close returns everything that isn't used or held.
func (a *Account) Close(now, at time.Time) Plan {
	a.decay(now)
	charged := a.charged()
	return Plan{Reason: Close, Record: Record{
		Reserved: charged, Base: charged, Used: a.spent, Credit: a.credit, At: at.UnixMilli(), Rate: int64(max(a.rate, a.rateBeforeDrain)),
	}}
}
