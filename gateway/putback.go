package gateway

import (
	"context"
	"errors"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"ibiswinch/core/escrow"
	"ibiswinch/core/event"
	"ibiswinch/core/keyed"
	"ibiswinch/io/apexlog"
)

const (
	// putBackInterval is the time between two renewals while reservations are put back into a restored log, in a small
	// fleet; putBackIntervalPerVM times the number of entry VMs is the least one.
	putBackInterval      = 100 * time.Millisecond
	putBackIntervalPerVM = 2 * time.Millisecond
	// putBackReadInterval is the time between two reads of what others put back, in a small fleet; putBackReadIntervalPerVM
	// times the number of entry VMs is the least one.
	putBackReadInterval      = 300 * time.Millisecond
	putBackReadIntervalPerVM = 20 * time.Millisecond
	// maxPutBackRecords bounds the records of one append, so that it stays far below the store's limit of 2 MB.
	maxPutBackRecords = 2000
)

// beginEra prepares for the first snapshot of an era. A process that has read no earlier era has nothing to put back, and one
// that hadn't learned of all entry VMs there doesn't know whom to wait for.
func (lp *ledgerPartition) beginEra(now time.Time, restored bool) {
	lp.mu.Lock()
	defer lp.mu.Unlock()
	era := uint64(lp.follow.era)
	lp.remembersEra = restored && lp.lastSettledEra != nil && lp.budgets.fleet.knewMembersBefore(lp.follow.era)
	lp.putBack.Begin(now, era)
	lp.mayReserve, lp.restoreAnnounced, lp.eraRead = false, false, false
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

// isPuttingBack reports whether reservations may not be raised yet.
func (lp *ledgerPartition) isPuttingBack() bool {
	lp.mu.Lock()
	defer lp.mu.Unlock()
	return !lp.mayReserve
}

// restoredEra is the latest era in which the log has had all the records that this entry VM knows, nil if it has read none.
func (lp *ledgerPartition) restoredEra() *keyed.Era {
	lp.mu.Lock()
	defer lp.mu.Unlock()
	if lp.ready && lp.isRestored() {
		era := keyed.Era(lp.putBack.Era())
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
	if !lp.eraRead || !lp.putBack.IsDone() {
		return false
	}
	for _, a := range lp.accounts {
		if a.Unstated() {
			return false
		}
	}
	return true
}

// restore puts back what the log has lost and reports whether tokens may be reserved. The partition has just been read.
func (lp *ledgerPartition) restore(ctx context.Context) (bool, error) {
	if lp.isSettled() {
		return true, nil
	}
	own, err := lp.restateOwn(ctx)
	if err != nil {
		return false, err
	}
	others := 0
	if own == 0 {
		others, err = lp.restateOthers(ctx, lp.putBack.Stale)
		var conflict *keyed.ConflictError
		if err != nil && !errors.As(err, &conflict) {
			return false, err
		}
	}
	lp.logPutBack(own, others)
	return lp.decideReserving(), nil
}

// isSettled reports whether tokens may be reserved and no record of the log is older than known.
func (lp *ledgerPartition) isSettled() bool {
	lp.mu.Lock()
	defer lp.mu.Unlock()
	return lp.mayReserve && lp.putBack.IsDone()
}

// decideReserving decides whether tokens may be reserved.
func (lp *ledgerPartition) decideReserving() bool {
	era := lp.follow.era
	if lp.announceRestored() {
		lp.budgets.fleet.requestAnnounce()
	}
	othersDone := lp.budgets.fleet.haveRestored(era, lp.remembers())
	lp.mu.Lock()
	defer lp.mu.Unlock()
	now := lp.budgets.cfg.Now()
	if !lp.mayReserve && lp.isRestored() && lp.putBack.MayReserve(now, othersDone) {
		lp.mayReserve = true
		lp.lastSettledEra = &era
		if lp.remembersEra {
			// Entry VMs that have just started wait for this one's word.
			lp.budgets.fleet.requestAnnounce()
		}
		lp.notifyWaiters()
		lp.budgets.cfg.Events.Event(event.ReservingAgain, apexlog.Fields{
			"partition": lp.follow.partition.Number, "era": era, "waitedMs": lp.putBack.Waited(now).Milliseconds(), "othersDone": othersDone,
		})
	}
	return lp.mayReserve
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

// waitsForOthers reports whether this entry VM has put back what it knows, others haven't yet, and it has read lately what
// they have put back. The records of holders that are gone must not stay the knowledge of one process.
func (lp *ledgerPartition) waitsForOthers() bool {
	interval := max(putBackReadInterval, time.Duration(lp.budgets.fleet.count())*putBackReadIntervalPerVM)
	lp.mu.Lock()
	now := lp.budgets.cfg.Now()
	waiting := !lp.mayReserve && lp.isRestored() && lp.putBack.Waited(now) < escrow.PutBackTimeout && now.Sub(lp.lastRenewal) < interval
	era, remembers := keyed.Era(lp.putBack.Era()), lp.remembersEra
	lp.mu.Unlock()
	return waiting && !lp.eraChanged.Load() && !lp.budgets.fleet.haveRestored(era, remembers)
}

// restateOwn writes the records of this process that a restored log may lack and returns their number. They neither
// reserve nor return tokens, so they are written on no condition.
func (lp *ledgerPartition) restateOwn(ctx context.Context) (int, error) {
	plans := lp.restatements()
	var records []keyed.Record
	for _, p := range plans {
		r, err := encodeReservation(p.team, lp.budgets.cfg.Name, p.Record)
		if err != nil {
			return 0, err
		}
		records = append(records, r)
	}
	for chunk := range slices.Chunk(records, maxPutBackRecords) {
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

func (lp *ledgerPartition) restatements() []plan {
	lp.mu.Lock()
	defer lp.mu.Unlock()
	var plans []plan
	now := lp.budgets.cfg.Now()
	for _, team := range slices.Sorted(maps.Keys(lp.accounts)) {
		a := lp.accounts[team]
		if !a.Unstated() {
			continue
		}
		p := a.Restate(lp.budgets.fleet.timeOfDay())
		a.WriteSent(now, escrow.Unconditional, p.Record)
		plans = append(plans, plan{team: team, Plan: p})
	}
	return plans
}

// restateOthers writes the known records of the first keys that choose returns, on the condition that nobody has written
// since the partition was read. It returns their number.
func (lp *ledgerPartition) restateOthers(ctx context.Context, choose func(now time.Time) []string) (int, error) {
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
		lp.putBack.Observe(r.Key, false)
	}
	return len(records), nil
}

// restateMissing writes all known records that are newer than those of the log, for a process that stops. The partition has
// just been read.
func (lp *ledgerPartition) restateMissing(ctx context.Context) error {
	missing := func(time.Time) []string { return lp.putBack.Missing() }
	total := 0
	for {
		n, err := lp.restateOthers(ctx, missing)
		total += n
		if n == 0 || err != nil {
			lp.logPutBack(0, total)
			return err
		}
	}
}

// logPutBack logs the numbers of records that were written again.
func (lp *ledgerPartition) logPutBack(own, others int) {
	if own+others == 0 {
		return
	}
	lp.budgets.cfg.Events.Event(event.ReservationsPutBack, apexlog.Fields{
		"partition": lp.follow.partition.Number, "era": lp.follow.era, "own": own, "others": others,
	})
}

// knownRecords returns the known records of the first keys that choose returns.
func (lp *ledgerPartition) knownRecords(choose func(now time.Time) []string) ([]keyed.Record, error) {
	lp.mu.Lock()
	defer lp.mu.Unlock()
	keys := choose(lp.budgets.cfg.Now())
	var records []keyed.Record
	for _, key := range keys[:min(len(keys), maxPutBackRecords)] {
		team, holder, _ := strings.Cut(key, "/")
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
