package gateway

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"ibiswinch/core/escrow"
	"ibiswinch/core/event"
	"ibiswinch/core/keyed"
	"ibiswinch/io/apexlog"
)

// wakeLoop requests a renewal now.
func (lp *ledgerPartition) wakeLoop() {
	select {
	case lp.wake <- struct{}{}:
	default:
	}
}

// writeInterval is the time between two renewals that no call waits for. It grows with the number of entry VMs that
// write to the partition.
func (lp *ledgerPartition) writeInterval() time.Duration {
	return max(minWriteInterval, time.Duration(lp.writerCount())*writeIntervalPerVM)
}

// renewInterval is the time until the next renewal that no call waits for.
func (lp *ledgerPartition) renewInterval() time.Duration {
	if lp.isRewriting() {
		return max(rewriteInterval, time.Duration(lp.budgets.fleet.count())*rewriteIntervalPerVM)
	}
	return lp.writeInterval()
}

// writerCount is the expected number of entry VMs that write to the partition: one for each of its teams and failure
// domain.
func (lp *ledgerPartition) writerCount() int {
	vms := lp.budgets.fleet.count()
	c := lp.budgets.catalogs.now()
	if c == nil {
		return vms
	}
	return min(vms, len(c.Teams())*lp.budgets.fleet.zoneCount()/len(lp.budgets.partitions)+1)
}

func (lp *ledgerPartition) loop(ctx context.Context) {
	for ctx.Err() == nil {
		if err := lp.budgets.cfg.protect("renew reservations", func() error { return lp.renew(ctx) }); err != nil && ctx.Err() == nil {
			lp.follow.handleError(err)
			pause(ctx, retryPause)
		}
		interval := lp.renewInterval()
		timer := time.NewTimer(interval*9/10 + rand.N(interval/5))
		select {
		case <-ctx.Done():
		case <-timer.C:
		case <-lp.wake:
		}
		timer.Stop()
	}
}

func (lp *ledgerPartition) needsWrite() bool {
	lp.mu.Lock()
	defer lp.mu.Unlock()
	now, interval := lp.budgets.cfg.Now(), lp.writeInterval()
	for team, a := range lp.accounts {
		lp.boundReservations(team, now)
		if _, write := lp.proposedCeiling(team, a, now); write {
			return true
		}
		if a.NeedsSync(now, lp.policy(team, interval), lp.limit(team), lp.recordsOf(team)) {
			return true
		}
	}
	return false
}

// renew reads the partition and appends the changed reservations of the accounts, on the condition that no other entry
// VM has appended in between.
func (lp *ledgerPartition) renew(ctx context.Context) error {
	lp.ioMu.Lock()
	defer lp.ioMu.Unlock()
	if lp.closed || lp.accountsCreated && !lp.needsWrite() && !lp.hasUnshared() && !lp.isRewriting() && !lp.eraChanged.Load() || lp.waitsForOthers() {
		return nil
	}
	defer lp.endRenewal()
	for range maxAppendAttempts {
		lp.startRenewal()
		begun := lp.budgets.cfg.Now()
		if err := lp.follow.step(ctx); err != nil {
			return err
		}
		if !lp.follow.started {
			continue
		}
		lp.eraChanged.Store(false)
		lp.setReadTime(begun)
		if !lp.accountsCreated {
			lp.accountsCreated = lp.budgets.catalogs.now() != nil
			lp.createAccounts()
		}
		lp.observe()
		if mayReserve, err := lp.restore(ctx); err != nil || !mayReserve {
			return err
		}
		plans := lp.plan()
		ceilings, err := lp.proposedCeilings()
		if err != nil {
			return err
		}
		if len(plans) == 0 && len(ceilings) == 0 {
			lp.shareRaises(ctx)
			return nil
		}
		err = lp.append(ctx, plans, ceilings)
		if err == nil {
			lp.shareRaises(ctx)
		}
		var conflict *keyed.ConflictError
		if !errors.As(err, &conflict) {
			return err
		}
	}
	return nil
}

// createAccounts creates the accounts for the teams of the configuration before their first call, so that they have a
// reserve if the log becomes unavailable soon after the start.
func (lp *ledgerPartition) createAccounts() {
	c := lp.budgets.catalogs.now()
	if c == nil {
		return
	}
	lp.mu.Lock()
	defer lp.mu.Unlock()
	for _, name := range c.Teams() {
		if len(lp.accounts) >= maxInitialAccounts {
			return
		}
		if c.Team(name).Limited && lp.budgets.partitionOf(name) == lp {
			lp.account(name)
		}
	}
}

// setReadTime records that the partition was read in the present era after a time.
func (lp *ledgerPartition) setReadTime(at time.Time) {
	lp.mu.Lock()
	defer lp.mu.Unlock()
	lp.ceilings.readAt = at
}

// startRenewal and endRenewal count the renewals. Waiting calls try again after each.
func (lp *ledgerPartition) startRenewal() {
	lp.mu.Lock()
	defer lp.mu.Unlock()
	lp.renewalsStarted++
	if lp.writeBegun.IsZero() {
		lp.writeBegun = lp.budgets.cfg.Now()
	}
}

func (lp *ledgerPartition) endRenewal() {
	lp.mu.Lock()
	defer lp.mu.Unlock()
	lp.renewalsEnded, lp.lastRenewal = lp.renewalsStarted, lp.budgets.cfg.Now()
	lp.writeBegun = time.Time{}
	lp.notifyWaiters()
}

// plan is a change of one team's reservation.
type plan struct {
	team string
	escrow.Plan
}

func (lp *ledgerPartition) plan() []plan {
	lp.mu.Lock()
	defer lp.mu.Unlock()
	var plans []plan
	now, interval := lp.budgets.cfg.Now(), lp.writeInterval()
	for _, team := range slices.Sorted(maps.Keys(lp.accounts)) {
		a := lp.accounts[team]
		lp.boundReservations(team, lp.ceilings.readAt)
		p := a.Plan(now, lp.budgets.fleet.timeOfDay(), lp.policy(team, interval), lp.limit(team), lp.recordsOf(team))
		if p.Reason == escrow.None {
			continue
		}
		a.WriteSent(now, lp.follow.next, p.Record)
		plans = append(plans, plan{team: team, Plan: p})
	}
	return plans
}

// append writes plans and ceilings on the condition that nobody has written since the partition was read.
func (lp *ledgerPartition) append(ctx context.Context, plans []plan, ceilings []keyed.Record) error {
	records := make([]keyed.Record, 0, len(plans)+len(ceilings))
	for _, p := range plans {
		r, err := encodeReservation(p.team, lp.budgets.cfg.Name, p.Record)
		if err != nil {
			return err
		}
		records = append(records, r)
	}
	records = append(records, ceilings...)
	expected := lp.follow.next
	lp.budgets.cfg.Metrics.CountAppend()
	appended, err := lp.appendRecords(ctx, records, &expected)
	lp.mu.Lock()
	defer lp.mu.Unlock()
	if err != nil {
		var conflict *keyed.ConflictError
		if !errors.As(err, &conflict) {
			lp.budgets.cfg.Events.Event(event.ReservationFailed, apexlog.Fields{"offset": expected, "error": err.Error()})
			return err
		}
		for _, p := range plans {
			lp.accounts[p.team].WriteRejected(p.Record)
		}
		return err
	}
	lp.follow.next = appended.End
	if !lp.writeBegun.IsZero() {
		lp.writeTime = lp.budgets.cfg.Now().Sub(lp.writeBegun)
	}
	for i, r := range ceilings {
		r.Offset = appended.End - uint64(len(ceilings)-i)
		lp.set(r)
	}
	for _, p := range plans {
		lp.confirm(p, appended.End)
		if p.Reason == escrow.Refresh {
			continue
		}
		lp.budgets.cfg.Events.Event(event.ReservationChanged, apexlog.Fields{
			"team": p.team, "reason": string(p.Reason), "reserved": p.Record.Reserved, "used": p.Record.Used,
			"want": p.Record.Want, "offset": expected, "free": lp.recordsOf(p.team).Free(lp.limit(p.team)),
		})
	}
	lp.notifyWaiters()
	return nil
}

// confirm records that the log, which ends at end, has accepted a plan. The caller holds mu.
func (lp *ledgerPartition) confirm(p plan, end uint64) {
	lp.recordsOf(p.team).Set(lp.budgets.cfg.Name, p.Record)
	lp.accounts[p.team].Observe(p.Record, end)
	lp.rewrite.Observe(ledgerKey(p.team, lp.budgets.cfg.Name), false)
}

func encodeReservation(team, holder string, r escrow.Record) (keyed.Record, error) {
	value, err := json.Marshal(r)
	if err != nil {
		return keyed.Record{}, eris.Wrap(err, "encode reservation")
	}
	return keyed.Record{Key: ledgerKey(team, holder), Value: value}, nil
}

// observe tells the accounts which of their records the ledger holds.
func (lp *ledgerPartition) observe() {
	lp.mu.Lock()
	defer lp.mu.Unlock()
	lp.readEnd = lp.follow.next
	for team, a := range lp.accounts {
		a.Observe(lp.recordsOf(team).Record(lp.budgets.cfg.Name), lp.follow.next)
		lp.recover(team, a)
	}
}

// returnReservations returns all unused tokens to the ledger, after it has rewritten the records that a restored log lacks.
// There are no renewals afterwards.
func (lp *ledgerPartition) returnReservations(ctx context.Context) error {
	lp.ioMu.Lock()
	defer lp.ioMu.Unlock()
	lp.closed = true
	var err error
	for range maxSettleAttempts {
		if err = lp.follow.step(ctx); err != nil {
			pause(ctx, retryPause)
			continue
		}
		if !lp.follow.started {
			continue
		}
		if err = lp.rewriteMissing(ctx); err != nil {
			if ctx.Err() != nil {
				break
			}
			continue
		}
		lp.observe()
		plans := lp.closingPlans()
		if len(plans) == 0 {
			return nil
		}
		if err = lp.append(ctx, plans, nil); err == nil {
			return nil
		}
		if ctx.Err() != nil {
			break
		}
	}
	return err
}

// closingPlans returns the changes that return the unused tokens of all accounts. While reservations are rewritten, a process
// that hasn't written returns nothing: the newest record of the process before it may not be back yet, and a newer one would
// void it.
func (lp *ledgerPartition) closingPlans() []plan {
	lp.mu.Lock()
	defer lp.mu.Unlock()
	var plans []plan
	for _, team := range slices.Sorted(maps.Keys(lp.accounts)) {
		a := lp.accounts[team]
		if _, inherited := a.PendingRecovery(); inherited || a.Reserved() == a.Used() && !a.NeedsRewrite() {
			continue
		}
		if !lp.mayReserve && !a.HasWritten() {
			continue
		}
		p := a.Close(lp.budgets.cfg.Now(), lp.budgets.fleet.timeOfDay())
		a.WriteSent(lp.budgets.cfg.Now(), lp.follow.next, p.Record)
		plans = append(plans, plan{team: team, Plan: p})
	}
	return plans
}

// teamEscaper and teamUnescaper keep a slash in the name of a team apart from the one that ends it in a key of the ledger.
var (
	teamEscaper   = strings.NewReplacer("\x1f", "\x1f\x1f", "/", "\x1f-")
	teamUnescaper = strings.NewReplacer("\x1f\x1f", "\x1f", "\x1f-", "/")
)

// ledgerKey returns the key of a holder's record of a team in the ledger.
func ledgerKey(team, holder string) string {
	return teamEscaper.Replace(cmp.Or(team, "-")) + "/" + holder
}

// parseLedgerKey is the reverse of ledgerKey. It reports whether the key is one.
func parseLedgerKey(key string) (team, holder string, ok bool) {
	escaped, holder, ok := strings.Cut(key, "/")
	return teamUnescaper.Replace(escaped), holder, ok
}
