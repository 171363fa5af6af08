package escrow

import (
	"math"
	"slices"
	"time"
)

// Tuning of the size of a reservation.
const (
	// Horizon is how long a reservation should last without the store; its outages take up to 9 s.
	Horizon = 11 * time.Second
	// rateWindow is the averaging time of the use of a team.
	rateWindow = 4 * time.Second
	// spread covers the variation of the use over the horizon, in hundredths; callers of entry VMs that stop come too.
	spread = 200
	// lowShare of the target is where more is asked for, highShare where tokens are returned, in hundredths.
	lowShare  = 80
	highShare = 135
	// minReturn is the least number of tokens that is worth a write.
	minReturn = 1000
	// ampleShare of a budget, in hundredths, may be used before its end is near. Until then the usable part grows at
	// amplePace of the recent rate without a confirmation, afterwards at endPace, so that a death leaves little unusable.
	ampleShare = 60
	amplePace  = 150
	endPace    = 25
	// requestTokens is the size of a large request.
	requestTokens = 9000
	// giveParts is the number of parts of what is left, of which one is given beyond the need of the receiver.
	giveParts = 4
	// ampleBurst is the number of large requests that are usable at once before the end of a budget is near.
	ampleBurst = 2
)

// Floors are the least amounts of an account, whatever its recent use.
type Floors struct {
	// Want is the number of unused tokens that an idle account keeps.
	Want int64
	// Burst is the most that is usable at once after a confirmation, but for a single larger call.
	Burst int64
	// Rate is the least growth of the usable part, in tokens a second.
	Rate int64
	// Refresh is the age at which a record is written again, so that little is lost if the process dies.
	Refresh time.Duration
	// Guest accounts get their tokens from other entry VMs: they never raise their reservation, keep no more than Want,
	// and write only what they used or return.
	Guest bool
	// Scarce is the number of unused tokens of the whole budget below which nobody keeps a reserve, so that the last
	// tokens aren't split into parts that are too small for a call.
	Scarce int64
}

// Account is one entry VM's part of a team's budget. It is not safe for concurrent use.
type Account struct {
	holder string
	// confirmed is the record that the store holds, sentAt when it was sent.
	confirmed Record
	sentAt    time.Time
	// writes are records whose outcome isn't known. The store may still carry them out, so that nothing beyond any of
	// them may be spent.
	writes []write
	// inherited is the last record of the life before, until its unused part is known.
	inherited *Record
	// proven is set when the store has accepted a write of this life. It rules out writes of the life before that are
	// still under way; until then nothing of the reservation may be spent.
	proven bool

	// spent is used for good, held is reserved for calls that run. credit is what other entry VMs gave to this account
	// less what it gave to them; they have charged it to their own reservations.
	spent, held, credit int64
	// opening is what was charged when this life began.
	opening int64
	rate    float64
	rateAt  time.Time
	// rateBeforeDrain is the rate before a planned stop began.
	rateBeforeDrain float64
	// waiting is the sum of tokens of the calls that wait for them.
	waiting int64
}

type write struct {
	record Record
	sentAt time.Time
	at     uint64
}

// NewAccount returns the account of an entry VM that starts. All that its life before reserved counts as used, until
// Recover says otherwise; its rate is where the new one begins, since the same callers come back.
func NewAccount(now time.Time, holder string, r Record) *Account {
	a := &Account{holder: holder, confirmed: r, sentAt: now, spent: r.Reserved + r.Credit, credit: r.Credit, opening: r.Reserved}
	a.rate, a.rateAt = float64(r.Rate), now
	if r.Reserved > r.Base {
		a.inherited = &r
	}
	return a
}

// Recover takes back what the life before can't have used: it was written last at most age before it ended.
func (a *Account) Recover(age time.Duration) int64 {
	if a.inherited == nil {
		return 0
	}
	unused := a.inherited.Reserved - a.inherited.Bound(age)
	a.inherited = nil
	a.spent -= unused
	a.opening -= unused
	return unused
}

// Inherited returns the last record of the life before if its use isn't known yet.
func (a *Account) Inherited() (Record, bool) {
	if a.inherited == nil {
		return Record{}, false
	}
	return *a.inherited, true
}

// charged is what the own reservation pays for.
func (a *Account) charged() int64 { return a.spent + a.held - a.credit }

// usable is the most that may be charged now. Before the first accepted write only what others give may be spent.
func (a *Account) usable(now time.Time) int64 {
	if !a.proven {
		return a.opening
	}
	most := a.confirmed.Bound(now.Sub(a.sentAt))
	for _, w := range a.writes {
		most = min(most, w.record.Bound(now.Sub(w.sentAt)))
	}
	return most
}

// Left is what can still be admitted.
func (a *Account) Left(now time.Time) int64 { return a.usable(now) - a.charged() }

// Idle is what is reserved and neither used nor held.
func (a *Account) Idle() int64 {
	reserved := a.confirmed.Reserved
	for _, w := range a.writes {
		reserved = min(reserved, w.record.Reserved)
	}
	return reserved - a.charged()
}

// Used is what was used for good.
func (a *Account) Used() int64 { return a.spent }

// Held is what running calls hold.
func (a *Account) Held() int64 { return a.held }

// Credit is what other entry VMs gave less what they got.
func (a *Account) Credit() int64 { return a.credit }

// Reserved is what the store has confirmed.
func (a *Account) Reserved() int64 { return a.confirmed.Reserved }

// Admit holds tokens for a call.
func (a *Account) Admit(now time.Time, tokens int64) bool {
	if a.Left(now) < tokens {
		return false
	}
	a.held += tokens
	return true
}

// Give takes tokens out of the account for another entry VM and returns how many: what is needed if there is as much,
// and up to want while most of the rest is kept. What it gives is charged here, whether it arrives or not.
func (a *Account) Give(now time.Time, need, want int64) int64 {
	left := max(a.Left(now), 0)
	n := min(left, max(need, 0))
	n += min(max(want-n, 0), (left-n)/giveParts)
	a.credit -= n
	a.decay(now)
	a.rate += float64(n) / rateWindow.Seconds()
	return n
}

// GiveAll takes everything that is neither used nor held out of the account.
func (a *Account) GiveAll(now time.Time) int64 {
	n := max(a.Left(now), 0)
	a.credit -= n
	return n
}

// Receive takes tokens that another entry VM has given.
func (a *Account) Receive(tokens int64) { a.credit += tokens }

// Await notes that a call waits for tokens; Leave ends that.
func (a *Account) Await(tokens int64) { a.waiting += tokens }

// Waiting is the sum of tokens that calls wait for.
func (a *Account) Waiting() int64 { return a.waiting }

// RateAt is the recent use in tokens a second.
func (a *Account) RateAt(now time.Time) float64 {
	a.decay(now)
	return a.rate
}

// Leave notes that a call waits no more.
func (a *Account) Leave(tokens int64) { a.waiting -= tokens }

// Settle ends the hold of a call that used some of its tokens.
func (a *Account) Settle(now time.Time, held, used int64) {
	used = min(max(used, 0), held)
	a.held -= held
	a.spent += used
	a.decay(now)
	a.rate += float64(used) / rateWindow.Seconds()
}

// decay ages the rate.
func (a *Account) decay(now time.Time) {
	if !a.rateAt.IsZero() && now.After(a.rateAt) {
		a.rate *= math.Exp(-float64(now.Sub(a.rateAt)) / float64(rateWindow))
	}
	if a.rateAt.IsZero() || now.After(a.rateAt) {
		a.rateAt = now
	}
}

// Writing notes that a record is on its way to the store, to be written if the partition ends at offset at.
func (a *Account) Writing(now time.Time, at uint64, r Record) {
	a.writes = append(a.writes, write{record: r, sentAt: now, at: at})
}

// Observe takes the record that the store holds when the partition ends at end. Writes for an earlier end are ruled out
// unless they are that record; a write for this end may still be carried out.
func (a *Account) Observe(r Record, end uint64) {
	own := slices.IndexFunc(a.writes, func(w write) bool { return w.record == r })
	switch {
	case own >= 0:
		a.confirmed, a.sentAt, a.proven = r, a.writes[own].sentAt, true
	case r != a.confirmed:
		a.adopt(r)
	}
	a.writes = slices.DeleteFunc(a.writes, func(w write) bool { return w.at < end })
}

// adopt takes over a write of the life before that was carried out after the start of this one.
func (a *Account) adopt(r Record) {
	if a.inherited != nil {
		reserved, credit := r.Reserved-a.inherited.Reserved, r.Credit-a.inherited.Credit
		a.spent += reserved + credit
		a.credit += credit
		a.opening += reserved
		a.inherited = &r
	}
	a.confirmed = r
}

// Drain keeps the rate for the next life of the entry VM, before its callers go elsewhere.
func (a *Account) Drain(now time.Time) {
	a.decay(now)
	a.rateBeforeDrain = a.rate
}
