// Package escrow decides how the prepaid tokens of a team are divided among entry VMs. A reservation is recorded in
// the platform's store with a conditional append, so that the reservations of all holders never pass the limit; an entry
// VM spends from its own reservation alone. Nothing here has a clock, a goroutine or I/O.
package escrow

import (
	"math"
	"time"
)

// Tuning of the size of a reservation.
const (
	// Horizon is how long a reservation should last without the store; its outages take up to 9 s.
	Horizon = 10 * time.Second
	// rateWindow is the averaging time of the use of a team.
	rateWindow = 4 * time.Second
	// spread covers the variation of the use over the horizon, in hundredths.
	spread = 130
	// lowShare of the target is where a new reservation is asked for, in hundredths.
	lowShare = 80
	// highShare of the target is where idle tokens are returned, in hundredths.
	highShare = 160
)

// Record is the reservation of one holder as the store keeps it.
type Record struct {
	// Reserved is the sum of tokens that the holder may use, over all its lives.
	Reserved int64 `json:"reserved"`
	// Used is what the holder had used when it wrote the record.
	Used int64 `json:"used"`
	// Want is the number of unused tokens that the holder would like to have. The others leave it a part of what is
	// free in proportion.
	Want int64 `json:"want,omitempty"`
	// Closed means that the holder stopped and uses nothing beyond Reserved, which equals Used.
	Closed bool `json:"closed,omitempty"`
}

// Book is the fold of all records of one team.
type Book struct {
	records map[string]Record
	sum     int64
	used    int64
	want    int64
}

// Set takes the newest record of a holder.
func (b *Book) Set(holder string, r Record) {
	if b.records == nil {
		b.records = map[string]Record{}
	}
	old := b.records[holder]
	b.sum += r.Reserved - old.Reserved
	b.used += r.Used - old.Used
	b.want += r.Want - old.Want
	b.records[holder] = r
}

// Reserved returns the record of a holder.
func (b *Book) Reserved(holder string) Record { return b.records[holder] }

// Free is what the limit leaves unreserved; it may be negative after the limit was lowered.
func (b *Book) Free(limit int64) int64 { return limit - b.sum }

// Used is what the holders have reported to be used.
func (b *Book) Used() int64 { return b.used }

// Account is one entry VM's part of a team's budget. It is not safe for concurrent use.
type Account struct {
	// reserved is confirmed by the store. ceiling is at most reserved; it is lower while a return is under way.
	reserved, ceiling int64
	// spent is used for good, held is reserved for calls that run.
	spent, held int64
	rate        float64
	rateAt      time.Time
	// shortage is the largest amount that a waiting call lacks.
	shortage int64
	// lowest is the smallest reservation among the writes whose outcome isn't known; noWrite if there are none. The
	// store may still carry such a write out, so that nothing beyond it may be spent.
	lowest int64
}

const noWrite = math.MaxInt64

// NewAccount returns the account of an entry VM that starts: all that earlier lives of it reserved counts as used.
func NewAccount(r Record) *Account {
	return &Account{reserved: r.Reserved, ceiling: r.Reserved, spent: r.Reserved, lowest: noWrite}
}

// Left is what can still be admitted.
func (a *Account) Left() int64 { return a.ceiling - a.spent - a.held }

// Used is what was used for good.
func (a *Account) Used() int64 { return a.spent }

// Held is what running calls hold.
func (a *Account) Held() int64 { return a.held }

// Reserved is what the store has confirmed.
func (a *Account) Reserved() int64 { return a.reserved }

// Admit holds tokens for a call.
func (a *Account) Admit(tokens int64) bool {
	if a.Left() < tokens {
		a.shortage = max(a.shortage, tokens-a.Left())
		return false
	}
	a.held += tokens
	return true
}

// Settle ends the hold of a call that used some of its tokens.
func (a *Account) Settle(now time.Time, held, used int64) {
	used = min(max(used, 0), held)
	a.held -= held
	a.spent += used
	a.decay(now)
	a.rate += float64(used) / rateWindow.Seconds()
}

// decay ages the rate. An exponential average needs no history.
func (a *Account) decay(now time.Time) {
	if !a.rateAt.IsZero() && now.After(a.rateAt) {
		age := now.Sub(a.rateAt)
		if age >= 8*rateWindow {
			a.rate = 0
		}
		steps := float64(age) / float64(rateWindow)
		a.rate /= 1 + steps + steps*steps/2
	}
	if a.rateAt.IsZero() || now.After(a.rateAt) {
		a.rateAt = now
	}
}

// Want is the number of unused tokens that the account should have, running calls not counted. floor is what an idle
// account keeps.
func (a *Account) want(now time.Time, floor int64) int64 {
	a.decay(now)
	return int64(a.rate*Horizon.Seconds()*spread/100) + floor
}

// target bounds the want of a holder by its part of what is free: in proportion to the wants of all.
func (a *Account) target(want int64, holder string, limit int64, book *Book) int64 {
	free := max(book.Free(limit), 0)
	all := book.want - book.records[holder].Want + want
	if all <= 0 {
		return 0
	}
	part := int64(float64(free) * float64(want) / float64(all))
	return min(want, max(a.Left(), 0)+part)
}

// Plan is the reservation that an account should have.
type Plan struct {
	Record Record
	// Raise is set when more is asked for, Lower when something is returned.
	Raise, Lower bool
}

// Plan returns what a holder should write to the store next, if anything.
func (a *Account) Plan(now time.Time, holder string, floor, limit int64, book *Book) Plan {
	want := a.want(now, floor)
	target := a.target(want, holder, limit, book)
	free := max(book.Free(limit), 0)
	need := a.shortage
	a.shortage = 0
	left := a.Left()
	switch {
	case need > 0 || left*100 < target*lowShare:
		more := min(max(target-left, need), free)
		if more <= 0 || more < need {
			return Plan{}
		}
		return Plan{Record: Record{Reserved: a.reserved + more, Used: a.spent, Want: want}, Raise: true}
	case left*100 > want*highShare:
		return Plan{Record: Record{Reserved: a.ceiling - (left - want), Used: a.spent, Want: want}, Lower: true}
	}
	return Plan{}
}

// Wants reports whether Plan would ask for a write: the account is short, low or holds far more than it needs.
func (a *Account) Wants(now time.Time, holder string, floor, limit int64, book *Book) bool {
	want := a.want(now, floor)
	target := a.target(want, holder, limit, book)
	left := a.Left()
	return a.shortage > 0 || left*100 < target*lowShare && book.Free(limit) > 0 || left*100 > want*highShare
}

// Writing notes that a record is on its way to the store.
func (a *Account) Writing(r Record) {
	a.lowest = min(a.lowest, r.Reserved)
	a.ceiling = min(a.ceiling, r.Reserved)
}

// Confirm takes the record that the store has accepted. A later write that is accepted rules all earlier ones out.
func (a *Account) Confirm(r Record) {
	a.lowest = noWrite
	a.reserved, a.ceiling = r.Reserved, r.Reserved
}

// Observe takes the record that the store holds while a write may still be under way.
func (a *Account) Observe(r Record) {
	a.reserved = r.Reserved
	a.ceiling = min(r.Reserved, a.lowest)
}

// Close returns everything that isn't used or held.
func (a *Account) Close() Record {
	a.ceiling = a.spent + a.held
	return Record{Reserved: a.ceiling, Used: a.spent, Closed: a.held == 0}
}
