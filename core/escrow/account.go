package escrow

import (
	"maps"
	"math"
	"slices"
	"time"
)

// Parameters for the size of a reservation.
const (
	// Horizon is how long a reservation should last while the store is unavailable; its outages take up to 9 s.
	Horizon = 11 * time.Second
	// rateWindow is the time constant of the moving average of a team's token use.
	rateWindow = 4 * time.Second
	// riseWindow is that of the average that shows a rise.
	riseWindow = 500 * time.Millisecond
	// demandFactorPercent of the average use is reserved for the horizon, since the use varies and callers of entry VMs
	// that stop move here.
	demandFactorPercent = 200
	// More tokens are reserved below refillBelowPercent of the target and returned above returnAbovePercent of it.
	refillBelowPercent = 80
	returnAbovePercent = 135
	// minWriteTokens is the smallest change of a reservation that is worth a write.
	minWriteTokens = 1000
	// A budget counts as near its limit once nearLimitPercent of it is charged. Before that, the usable part of a
	// reservation grows at farGrowthPercent of the recent rate without another write; afterwards at nearGrowthPercent, so
	// that few tokens become unusable if the process crashes.
	nearLimitPercent  = 60
	farGrowthPercent  = 100
	nearGrowthPercent = 25
	// farBurstCalls is the number of large calls whose tokens are usable at once while a budget is far from its limit.
	farBurstCalls = 2
	// unchangedRefreshInterval is the age at which a record is written again that says nothing new.
	unchangedRefreshInterval = time.Second
	// formerPrimaryInterval is the age of a record at which a secondary returns the reserve that it had as a primary.
	formerPrimaryInterval = time.Second
	// largeCallTokens is the assumed number of tokens of a large call.
	largeCallTokens = 9000
	// 1/surplusDivisor of what is left may be given to another entry VM beyond what it needs at once.
	surplusDivisor = 4
)

// Account is one entry VM's part of a team's budget. It is not safe for concurrent use.
type Account struct {
	holder string
	// confirmed is the record that the store holds, sentAt when it was sent.
	confirmed Record
	sentAt    time.Time
	// pending are writes with unknown outcome. The store may still apply them, so nothing beyond any of them may be
	// spent.
	pending []pendingWrite
	// previous is the last record of the previous process of this entry VM, until Recover takes its unused part back.
	previous *Record
	// writeAccepted is set when the store has accepted a write of this process. Writes of the previous process can't be
	// applied any more then; until then nothing of the reservation may be spent.
	writeAccepted bool
	// sequence is the number of the last write that was sent, era the era of the store.
	sequence, era uint64
	// sharing bounds what may be spent to what the fleet can't forget; nil if the whole reservation may be spent at once.
	sharing *sharing
	// needsRewrite is set if the store was restored from a copy and may lack the confirmed record.
	needsRewrite bool

	// spent is the use of finished calls, held is set aside for running calls. credit is what other entry VMs gave to
	// this account minus what it gave to them; the giver charges it to its own reservation.
	spent, held, credit int64
	// initialCharge is what was charged to the reservation when this process started.
	initialCharge int64
	// rate is the recent use in tokens per second at rateAt, givenRate the part of it that was given to other entry VMs.
	// heldRate is the recent rate of what calls and other entry VMs took, before the unused part came back.
	// riseRate is the same as heldRate over a shorter time, which shows a rise sooner.
	rate, givenRate, heldRate, riseRate float64
	rateAt                              time.Time
	// rateBeforeDrain is the rate at the start of a planned stop.
	rateBeforeDrain float64
	// waiting is the sum of tokens that calls wait for, waitingCalls the number of waiting calls by their tokens.
	waiting      int64
	waitingCalls map[int64]int
}

// Unconditional is the expected end of a write that may be applied at any end of the partition.
const Unconditional = math.MaxUint64

// pendingWrite is a record sent to the store on the condition that the partition with the records of the team ends at
// offset expectedEnd.
type pendingWrite struct {
	record      Record
	sentAt      time.Time
	expectedEnd uint64
}

// NewAccount returns the account of an entry VM that starts. All that its previous process reserved counts as used
// until Recover is called. The rate starts at the recorded one, since the same callers come back. r was read in era.
func NewAccount(now time.Time, holder string, r Record, era uint64) *Account {
	a := &Account{holder: holder, confirmed: r, sentAt: now, spent: r.Reserved + r.Credit, credit: r.Credit, initialCharge: r.Reserved, sequence: firstSequence(now, r), era: era}
	a.rate, a.rateAt = float64(r.Rate), now
	if r.Reserved > r.Base {
		a.previous = &r
	}
	return a
}

// processSequenceBits is the number of bits of a sequence number that count the writes of a process. The others hold the
// time of its start in Unix milliseconds, so that no write of an earlier process, however late, counts as newer.
const processSequenceBits = 16

// firstSequence returns the number that the writes of a process follow which starts at now with the record r.
func firstSequence(now time.Time, r Record) uint64 {
	return max(uint64(max(now.UnixMilli(), 0))<<processSequenceBits, r.Sequence+1)
}

// RequireSharing makes the tokens of each raise of the reservation usable only once Shared was called for it, or no copy of
// the store can lack it any more. Otherwise nobody could put the reservation back if the process died.
func (a *Account) RequireSharing() { a.sharing = newSharing(a.confirmed.Reserved) }

// HasUnshared reports whether the reservation has tokens that aren't usable before another entry VM knows it.
func (a *Account) HasUnshared() bool {
	return a.sharing != nil && a.writeAccepted && a.confirmed.Reserved > a.sharing.known
}

// Unshared returns the confirmed record if its reservation has tokens that aren't usable before another entry VM knows it.
// It must be called after each read of the store and each change of the confirmed record.
func (a *Account) Unshared(now time.Time) (Record, bool) {
	if a.sharing == nil || !a.writeAccepted {
		return Record{}, false
	}
	return a.confirmed, a.sharing.isOpen(now, a.confirmed.Reserved)
}

// Shared records that another entry VM knows a record of this account.
func (a *Account) Shared(r Record) {
	if a.sharing != nil {
		a.sharing.share(r, a.confirmed.Reserved)
	}
}

// Recover takes back what the previous process can't have used and returns the number of tokens. age bounds the time
// between its last record and its end.
func (a *Account) Recover(age time.Duration) int64 {
	if a.previous == nil {
		return 0
	}
	unused := a.previous.Reserved - a.previous.MaxUsed(age)
	a.previous = nil
	a.spent -= unused
	a.initialCharge -= unused
	a.sharing.add(-unused)
	return unused
}

// PendingRecovery returns the last record of the previous process until Recover has been called for it.
func (a *Account) PendingRecovery() (Record, bool) {
	if a.previous == nil {
		return Record{}, false
	}
	return *a.previous, true
}

// charged returns the tokens that are charged to the account's own reservation.
func (a *Account) charged() int64 { return a.spent + a.held - a.credit }

// usable returns the maximum that may be charged now. Before the first accepted write only tokens given by other entry
// VMs may be spent.
func (a *Account) usable(now time.Time) int64 {
	bound := a.initialCharge
	if a.writeAccepted {
		bound = a.confirmed.MaxUsed(now.Sub(a.sentAt))
	}
	for _, w := range a.pending {
		bound = min(bound, w.record.MaxUsed(now.Sub(w.sentAt)))
	}
	return a.sharing.bound(bound)
}

// Available returns the number of tokens that can be admitted now.
func (a *Account) Available(now time.Time) int64 { return a.usable(now) - a.charged() }

// Idle returns the reserved tokens that are neither used nor held.
func (a *Account) Idle() int64 {
	reserved := a.confirmed.Reserved
	for _, w := range a.pending {
		reserved = min(reserved, w.record.Reserved)
	}
	return reserved - a.charged()
}

// Used returns the tokens used by finished calls.
func (a *Account) Used() int64 { return a.spent }

// Held returns the tokens that running calls hold.
func (a *Account) Held() int64 { return a.held }

// Credit returns what other entry VMs gave to this account minus what it gave to them.
func (a *Account) Credit() int64 { return a.credit }

// Reserved returns the reservation that the store has confirmed.
func (a *Account) Reserved() int64 { return a.confirmed.Reserved }

// Admit holds tokens for a call. It returns false if too few are left.
func (a *Account) Admit(now time.Time, tokens int64) bool {
	if a.Available(now) < tokens {
		return false
	}
	a.held += tokens
	a.countHeld(now, tokens)
	return true
}

// Give takes tokens out of the account for another entry VM and returns how many: need if that much is left, and up to
// want as long as most of the rest is kept. They are charged here, whether they arrive or not.
func (a *Account) Give(now time.Time, need, want int64) int64 {
	left := max(a.Available(now), 0)
	n := min(left, max(need, 0))
	n += min(max(want-n, 0), (left-n)/surplusDivisor)
	a.credit -= n
	a.decayRate(now)
	a.rate += float64(n) / rateWindow.Seconds()
	a.givenRate += float64(n) / rateWindow.Seconds()
	a.countHeld(now, n)
	return n
}

// GiveAll takes all tokens that are left out of the account, for another entry VM.
func (a *Account) GiveAll(now time.Time) int64 {
	n := max(a.Available(now), 0)
	a.credit -= n
	return n
}

// Receive adds tokens that another entry VM has given.
func (a *Account) Receive(tokens int64) { a.credit += tokens }

// TakeBack adds tokens that another entry VM doesn't need. As far as they were given here, they no longer count as recent use.
func (a *Account) TakeBack(now time.Time, tokens int64) {
	a.credit += tokens
	a.decayRate(now)
	unused := min(float64(tokens)/rateWindow.Seconds(), a.givenRate)
	a.rate -= unused
	a.givenRate -= unused
}

// AddWaiting records that a call waits for tokens.
func (a *Account) AddWaiting(tokens int64) {
	if a.waitingCalls == nil {
		a.waitingCalls = map[int64]int{}
	}
	a.waitingCalls[tokens]++
	a.waiting += tokens
}

// Waiting returns the sum of tokens that calls wait for.
func (a *Account) Waiting() int64 { return a.waiting }

// RateAt returns the recent use in tokens per second.
func (a *Account) RateAt(now time.Time) float64 {
	a.decayRate(now)
	return a.rate
}

// RemoveWaiting records that a call no longer waits for tokens.
func (a *Account) RemoveWaiting(tokens int64) {
	a.waitingCalls[tokens]--
	if a.waitingCalls[tokens] == 0 {
		delete(a.waitingCalls, tokens)
	}
	a.waiting -= tokens
}

// smallestWaiting returns the tokens of the smallest waiting call, 0 if none waits.
func (a *Account) smallestWaiting() int64 {
	if len(a.waitingCalls) == 0 {
		return 0
	}
	return slices.Min(slices.Collect(maps.Keys(a.waitingCalls)))
}

// Settle releases the held tokens of a finished call and charges the used ones.
func (a *Account) Settle(now time.Time, held, used int64) {
	used = min(max(used, 0), held)
	a.held -= held
	a.spent += used
	a.decayRate(now)
	a.rate += float64(used) / rateWindow.Seconds()
}

// countHeld adds tokens that calls or other entry VMs take to their rates.
func (a *Account) countHeld(now time.Time, tokens int64) {
	a.decayRate(now)
	a.heldRate += float64(tokens) / rateWindow.Seconds()
	a.riseRate += float64(tokens) / riseWindow.Seconds()
}

// decayRate brings the exponentially decaying rate up to date.
func (a *Account) decayRate(now time.Time) {
	if !a.rateAt.IsZero() && now.After(a.rateAt) {
		decay := math.Exp(-float64(now.Sub(a.rateAt)) / float64(rateWindow))
		a.rate *= decay
		a.givenRate *= decay
		a.heldRate *= decay
		a.riseRate *= math.Exp(-float64(now.Sub(a.rateAt)) / float64(riseWindow))
	}
	if a.rateAt.IsZero() || now.After(a.rateAt) {
		a.rateAt = now
	}
}

// WriteSent records that a write has been sent to the store, on the condition that the partition ends at expectedEnd.
func (a *Account) WriteSent(now time.Time, expectedEnd uint64, r Record) {
	a.pending = append(a.pending, pendingWrite{record: r, sentAt: now, expectedEnd: expectedEnd})
	a.sequence = max(a.sequence, r.Sequence)
}

// WriteRejected records that the store has answered that it didn't apply a write, and never will.
func (a *Account) WriteRejected(r Record) {
	a.pending = slices.DeleteFunc(a.pending, func(w pendingWrite) bool { return w.record == r })
}

// Restored records that the store was restored from a copy and is in a new era. Writes with unknown outcome are void, whether the store had
// applied them or not: nothing beyond any of them may be spent, and the next write replaces them.
func (a *Account) Restored(era uint64) {
	a.era = era
	for _, w := range a.pending {
		a.confirmed.Reserved = min(a.confirmed.Reserved, w.record.Reserved)
		a.confirmed.Sequence = max(a.confirmed.Sequence, w.record.Sequence)
	}
	a.pending = nil
	a.sharing.restored()
	a.needsRewrite = a.writeAccepted
}

// HasWritten reports whether the store has accepted a write of this process.
func (a *Account) HasWritten() bool { return a.writeAccepted }

// NeedsRewrite reports whether the store may lack the record of this process, so that Rewrite must be written.
func (a *Account) NeedsRewrite() bool { return a.needsRewrite }

// Rewrite returns the write that rewrites the record of this process into a restored store. It neither reserves nor
// returns tokens, so it may be written whatever the others have written.
func (a *Account) Rewrite(at time.Time) Plan {
	r := a.confirmed
	r.Base, r.Used, r.Credit, r.At, r.Sequence, r.Era = a.charged(), a.spent, a.credit, at.UnixMilli(), a.sequence+1, a.era
	return Plan{Reason: Refresh, Record: r}
}

// Forfeit gives up what the previous process may have left over, since its last record isn't known for certain.
func (a *Account) Forfeit() { a.previous = nil }

// Observe takes the record that the store holds when the partition ends at end. Pending writes for an earlier end can't
// be applied any more; a write for this end still may be.
func (a *Account) Observe(r Record, end uint64) {
	i := slices.IndexFunc(a.pending, func(w pendingWrite) bool { return w.record == r })
	switch {
	case i >= 0:
		a.confirmed, a.sentAt, a.writeAccepted = r, a.pending[i].sentAt, true
		a.sharing.confirm(r)
		a.needsRewrite = false
		// An earlier rewrite reserves and returns nothing, so it doesn't matter when it is applied.
		a.pending = slices.DeleteFunc(a.pending, func(w pendingWrite) bool {
			return w.record == r || w.expectedEnd == Unconditional && w.record.Sequence < r.Sequence
		})
	case r != a.confirmed && (r.Sequence > a.confirmed.Sequence || r.Sequence == 0):
		a.adoptLateWrite(r)
	}
	a.pending = slices.DeleteFunc(a.pending, func(w pendingWrite) bool { return w.expectedEnd < end })
}

// adoptLateWrite takes over a record of the previous process that appears after the start of this one: a write that was
// applied late, or one that a restored store had lost. All that such a record reserves counts as used, unless Recover has
// shown that it is not.
func (a *Account) adoptLateWrite(r Record) {
	if a.previous != nil || r.Era != a.era {
		reserved, credit := r.Reserved-a.confirmed.Reserved, r.Credit-a.confirmed.Credit
		if a.previous == nil {
			// What the confirmed record reserved may have been recovered already.
			reserved = max(reserved, 0)
		}
		a.spent += reserved + credit
		a.credit += credit
		a.initialCharge += reserved
		a.sharing.add(reserved)
	}
	if a.previous != nil {
		a.previous = &r
	}
	a.confirmed = r
	a.sharing.confirm(r)
	a.sequence = max(a.sequence, r.Sequence)
}

// BeginDrain saves the current rate, before callers move to other entry VMs, so that Close can record it for the next
// process.
func (a *Account) BeginDrain(now time.Time) {
	a.decayRate(now)
	a.rateBeforeDrain = a.rate
}
