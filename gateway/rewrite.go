package gateway

import (
	"context"
	"errors"
	"maps"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"ibiswinch/core/escrow"
	"ibiswinch/core/event"
	"ibiswinch/core/keyed"
	"ibiswinch/io/apexlog"
)

const (
	// rewriteInterval is the time between two renewals while reservations are rewritten into a restored log, in a small
	// fleet; rewriteIntervalPerVM times the number of entry VMs is the least one.
	rewriteInterval      = 100 * time.Millisecond
	rewriteIntervalPerVM = 2 * time.Millisecond
	// rewriteReadInterval is the time between two reads of what others rewrite, in a small fleet; rewriteReadIntervalPerVM
	// times the number of entry VMs is the least one.
	rewriteReadInterval      = 300 * time.Millisecond
	rewriteReadIntervalPerVM = 20 * time.Millisecond
	// maxRewriteRecords bounds the records of one append, so that it stays far below the store's limit of 2 MB.
	maxRewriteRecords = 2000
)

// beginEra prepares for the first snapshot of an era. A process that has read no earlier era has nothing to rewrite, and one
// that hadn't learned of all entry VMs there doesn't know whom to wait for.
func (lp *ledgerPartition) beginEra(now time.Time, restored bool) {
	lp.mu.Lock()
	defer lp.mu.Unlock()
	era := uint64(lp.follow.era)
	lp.remembersEra = restored && lp.lastSettledEra != nil && lp.budgets.fleet.knewMembersBefore(lp.follow.era)
	lp.rewrite.Begin(now, era)
	lp.ceilings.begin(now)
	if restored {
		lp.budgets.checkLayout()
	}
	lp.mayReserve, lp.restoreAnnounced, lp.eraRead, lp.readEnd = false, false, false, 0
	for _, a := range lp.accounts {
		a.Restored(era)
	}
}

// errEraChanged is returned by appends to a log that was restored from a copy since it was last read.
var errEraChanged = eris.Wrap(keyed.ErrUnavailable, "restored from a copy since the last read")

// checkEra requests a read, as another stream was found restored from a copy.
func (lp *ledgerPartition) checkEra() {
	lp.eraChanged.Store(true)
	lp.wakeLoop()
}

// isRewriting reports whether reservations may not be raised yet.
func (lp *ledgerPartition) isRewriting() bool {
	lp.mu.Lock()
	defer lp.mu.Unlock()
	return !lp.mayReserve
}

// restoredEra is the latest era in which the log has had all the records that this entry VM knows, nil if it has read none.
func (lp *ledgerPartition) restoredEra() *keyed.Era {
	lp.mu.Lock()
	defer lp.mu.Unlock()
	if lp.ready && lp.isRestored() {
		era := keyed.Era(lp.rewrite.Era())
		lp.lastRestoredEra = &era
	}
	return lp.lastRestoredEra
}

// settledEra is the latest era in which tokens may be reserved, nil if there is none.
func (lp *ledgerPartition) settledEra() *keyed.Era {
	lp.mu.Lock()
	defer lp.mu.Unlock()
	return lp.lastSettledEra
}

// remembers reports whether this process could reserve tokens in an earlier era of the log, so that it knows the others.
func (lp *ledgerPartition) remembers() bool {
	lp.mu.Lock()
	defer lp.mu.Unlock()
	return lp.remembersEra
}

// isRestored reports whether the log has all the records that this entry VM knows. The caller holds mu.
func (lp *ledgerPartition) isRestored() bool {
	if !lp.eraRead || !lp.rewrite.IsDone() {
		return false
	}
	for _, a := range lp.accounts {
		if a.NeedsRewrite() {
			return false
		}
	}
	return true
}

// restore rewrites what the log has lost and reports whether tokens may be reserved. The partition has just been read.
func (lp *ledgerPartition) restore(ctx context.Context) (bool, error) {
	if lp.isSettled() {
		return true, nil
	}
	own, err := lp.rewriteOwn(ctx)
	if err != nil {
		return false, err
	}
	others := 0
	if own == 0 {
		others, err = lp.rewriteOthers(ctx, lp.rewrite.Stale)
		var conflict *keyed.ConflictError
		if err != nil && !errors.As(err, &conflict) {
			return false, err
		}
	}
	lp.logRewrite(own, others)
	return lp.decideReserving(ctx)
}

// isSettled reports whether tokens may be reserved and no record of the log is older than known.
func (lp *ledgerPartition) isSettled() bool {
	lp.mu.Lock()
	defer lp.mu.Unlock()
	return lp.mayReserve && lp.rewrite.IsDone()
}

// decideReserving decides whether tokens may be reserved.
func (lp *ledgerPartition) decideReserving(ctx context.Context) (bool, error) {
	era := lp.follow.era
	if lp.announceRestored() {
		lp.budgets.fleet.requestAnnounce()
	}
	othersDone := lp.budgets.fleet.haveRestored(era, lp.remembers())
	if !lp.canSettle(othersDone) {
		return false, nil
	}
	if done, err := lp.complete(ctx); err != nil || !done {
		return false, err
	}
	lp.settle(era, othersDone)
	return true, nil
}

// canSettle reports whether all entry VMs have rewritten what they know, or were waited for.
func (lp *ledgerPartition) canSettle(othersDone bool) bool {
	lp.mu.Lock()
	defer lp.mu.Unlock()
	return lp.mayReserve || lp.isRestored() && lp.rewrite.MayReserve(lp.budgets.cfg.Now(), othersDone)
}

// settle allows tokens to be reserved.
func (lp *ledgerPartition) settle(era keyed.Era, othersDone bool) {
	lp.mu.Lock()
	defer lp.mu.Unlock()
	if lp.mayReserve {
		return
	}
	lp.mayReserve = true
	lp.lastSettledEra = &era
	if lp.remembersEra {
		// Entry VMs that have just started wait for this one's word.
		lp.budgets.fleet.requestAnnounce()
	}
	lp.notifyWaiters()
	lp.budgets.cfg.Events.Event(event.ReservingAgain, apexlog.Fields{
		"partition": lp.follow.partition.Number, "era": era, "waitedMs": lp.rewrite.Waited(lp.budgets.cfg.Now()).Milliseconds(), "othersDone": othersDone,
	})
}

// announceRestored reports, once in an era, that the log has all the records that this entry VM knows.
func (lp *ledgerPartition) announceRestored() bool {
	lp.mu.Lock()
	defer lp.mu.Unlock()
	if lp.restoreAnnounced || !lp.isRestored() {
		return false
	}
	lp.restoreAnnounced = true
	return true
}

// waitsForOthers reports whether this entry VM has rewritten what it knows, others haven't yet, and it has read lately what
// they have rewritten. The records of holders that are gone must not stay the knowledge of one process.
func (lp *ledgerPartition) waitsForOthers() bool {
	interval := max(rewriteReadInterval, time.Duration(lp.budgets.fleet.count())*rewriteReadIntervalPerVM)
	lp.mu.Lock()
	now := lp.budgets.cfg.Now()
	waiting := !lp.mayReserve && lp.isRestored() && lp.rewrite.Waited(now) < escrow.RewriteTimeout && now.Sub(lp.lastRenewal) < interval
	era, remembers := keyed.Era(lp.rewrite.Era()), lp.remembersEra
	lp.mu.Unlock()
	return waiting && !lp.eraChanged.Load() && !lp.budgets.fleet.haveRestored(era, remembers)
}

// rewriteOwn writes the records of this process that a restored log may lack and returns their number. They neither
// reserve nor return tokens, so they are written on no condition.
func (lp *ledgerPartition) rewriteOwn(ctx context.Context) (int, error) {
	plans := lp.rewritePlans()
	var records []keyed.Record
	for _, p := range plans {
		r, err := encodeReservation(p.team, lp.budgets.cfg.Name, p.Record)
		if err != nil {
			return 0, err
		}
		records = append(records, r)
	}
	for chunk := range slices.Chunk(records, maxRewriteRecords) {
		if _, err := lp.appendRecords(ctx, chunk, nil); err != nil {
			return 0, err
		}
	}
	lp.mu.Lock()
	defer lp.mu.Unlock()
	for _, p := range plans {
		lp.confirm(p, lp.follow.next)
	}
	return len(plans), nil
}

func (lp *ledgerPartition) rewritePlans() []plan {
	lp.mu.Lock()
	defer lp.mu.Unlock()
	var plans []plan
	now := lp.budgets.cfg.Now()
	for _, team := range slices.Sorted(maps.Keys(lp.accounts)) {
		a := lp.accounts[team]
		if !a.NeedsRewrite() {
			continue
		}
		p := a.Rewrite(lp.budgets.fleet.timeOfDay())
		a.WriteSent(now, escrow.Unconditional, p.Record)
		plans = append(plans, plan{team: team, Plan: p})
	}
	return plans
}

// rewriteOthers writes the known records of the first keys that choose returns, on the condition that nobody has written
// since the partition was read. It returns their number.
func (lp *ledgerPartition) rewriteOthers(ctx context.Context, choose func(now time.Time) []string) (int, error) {
	records, err := lp.knownRecords(choose)
	if err != nil || len(records) == 0 {
		return 0, err
	}
	expected := lp.follow.next
	appended, err := lp.appendRecords(ctx, records, &expected)
	if err != nil {
		return 0, err
	}
	lp.follow.next = appended.End
	lp.mu.Lock()
	defer lp.mu.Unlock()
	for _, r := range records {
		lp.rewrite.Observe(r.Key, false)
	}
	return len(records), nil
}

// rewriteMissing writes all known records that are newer than those of the log, for a process that stops. The partition has
// just been read.
func (lp *ledgerPartition) rewriteMissing(ctx context.Context) error {
	missing := func(time.Time) []string { return lp.rewrite.Missing() }
	total := 0
	for {
		n, err := lp.rewriteOthers(ctx, missing)
		total += n
		if n == 0 || err != nil {
			lp.logRewrite(0, total)
			return err
		}
	}
}

// logRewrite logs the numbers of records that were written again.
func (lp *ledgerPartition) logRewrite(own, others int) {
	if own+others == 0 {
		return
	}
	lp.budgets.cfg.Events.Event(event.ReservationsRewritten, apexlog.Fields{
		"partition": lp.follow.partition.Number, "era": lp.follow.era, "own": own, "others": others,
	})
}

// knownRecords returns the known records of the first keys that choose returns.
func (lp *ledgerPartition) knownRecords(choose func(now time.Time) []string) ([]keyed.Record, error) {
	lp.mu.Lock()
	defer lp.mu.Unlock()
	keys := choose(lp.budgets.cfg.Now())
	var records []keyed.Record
	for _, key := range keys[:min(len(keys), maxRewriteRecords)] {
		team, holder, _ := parseLedgerKey(key)
		r, err := encodeReservation(team, holder, lp.recordsOf(team).Record(holder))
		if err != nil {
			return nil, err
		}
		records = append(records, r)
	}
	return records, nil
}

// appendRecords appends to the partition. An append that lands in another era than that of the last read fails with
// errEraChanged: it may contradict records that were never read.
func (lp *ledgerPartition) appendRecords(ctx context.Context, records []keyed.Record, expected *uint64) (keyed.Appended, error) {
	appended, err := lp.budgets.cfg.Log.Append(ctx, lp.follow.partition, records, expected)
	if err == nil && appended.Era != lp.follow.era {
		lp.follow.started = false
		err = errEraChanged
	}
	return appended, err
}
