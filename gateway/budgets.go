package gateway

import (
	"context"
	"errors"
	"hash/fnv"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"ibiswinch/core/catalog"
	"ibiswinch/core/escrow"
	"ibiswinch/core/keyed"
	"ibiswinch/core/refusal"
)

const (
	// minWriteInterval is the least time between two renewals of the reservations that no call waits for.
	minWriteInterval = 450 * time.Millisecond
	// writeIntervalPerVM times the number of entry VMs that write to the partition is the least such time as well.
	writeIntervalPerVM = 80 * time.Millisecond
	// maxReserveWait bounds how long a call waits for more reserved tokens.
	maxReserveWait = 120 * time.Millisecond
	// emptyLedgerTTL is how long a renewal that found too few free tokens is valid for further calls.
	emptyLedgerTTL = 150 * time.Millisecond
	// maxInitialAccounts bounds the accounts that a process creates before the first call of their teams.
	maxInitialAccounts = 256
	// maxAppendAttempts bounds the conditional appends of one renewal that conflict with those of other entry VMs.
	maxAppendAttempts = 6
	// reserveRetryDelay is the Retry-After for tokens that are reserved by other entry VMs.
	reserveRetryDelay = 400 * time.Millisecond
	// fallbackPrimaryTime is how long a secondary reserves tokens of a team itself after it got none from the primaries.
	fallbackPrimaryTime = 5 * time.Second
	// maxSettleAttempts bounds the attempts to return tokens to the ledger at a planned stop.
	maxSettleAttempts = 8
)

// budgetController reserves tokens in the ledger and admits calls against the reservations. Each team has one primary
// in each failure domain. Only primaries reserve tokens in the ledger; the other entry VMs, its secondaries, draw
// tokens from them.
type budgetController struct {
	cfg      Config
	catalogs *catalogController
	fleet    *fleetController
	// partitions are set before opened, once their number is known.
	partitions []*ledgerPartition
	opened     atomic.Bool
	// layoutSuspect requests a look whether the log has the layout.
	layoutSuspect chan struct{}
	// closing ends when the reservations are returned, by endRenewals. Renewals end with it.
	closing     context.Context
	endRenewals context.CancelFunc
}

func newBudgetController(cfg Config, catalogs *catalogController, fleet *fleetController) *budgetController {
	b := &budgetController{cfg: cfg, catalogs: catalogs, fleet: fleet, layoutSuspect: make(chan struct{}, 1)}
	b.closing, b.endRenewals = context.WithCancel(context.Background())
	return b
}

// open creates the partitions.
func (b *budgetController) open(count int) {
	for i := range count {
		lp := &ledgerPartition{
			budgets: b, wake: make(chan struct{}, 1), teamRecords: map[string]*escrow.Reservations{}, accounts: map[string]*escrow.Account{},
			changed: make(chan struct{}), askers: map[string]*escrow.Asker{}, pendingDraws: map[string]*pendingDraw{}, noDrawUntil: map[string]time.Time{},
			primaryUntil: map[string]time.Time{},
		}
		lp.follow = follower{
			cfg: b.cfg, partition: keyed.Partition{Stream: keyed.Ledger, Number: i}, apply: lp.apply, snapshot: lp.snapshot,
			onLogDown: func(time.Time) { lp.setLogDown(true) }, onLogUp: func(_, _ time.Time) { lp.setLogDown(false) },
			onEra: lp.beginEra,
		}
		b.partitions = append(b.partitions, lp)
	}
	b.opened.Store(true)
}

// openedPartitions returns the partitions, none before their number is known.
func (b *budgetController) openedPartitions() []*ledgerPartition {
	if !b.opened.Load() {
		return nil
	}
	return b.partitions
}

func (b *budgetController) loop(ctx context.Context) error {
	b.runRenewals(ctx)
	<-ctx.Done()
	return ctx.Err()
}

// runRenewals renews the reservations until ctx ends or they are returned.
func (b *budgetController) runRenewals(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(b.closing, cancel)()
	var wg sync.WaitGroup
	b.openPartitions(ctx)
	for _, lp := range b.openedPartitions() {
		wg.Go(func() { lp.loop(ctx) })
	}
	wg.Go(func() { b.runKeepLayout(ctx) })
	if b.cfg.Peers != nil {
		wg.Go(func() { b.runReturnUnused(ctx) })
	}
	wg.Wait()
}

func (b *budgetController) wakeAll() {
	for _, lp := range b.openedPartitions() {
		lp.wakeLoop()
	}
}

// checkEra makes all partitions look for a new era.
func (b *budgetController) checkEra() {
	for _, lp := range b.openedPartitions() {
		lp.checkEra()
	}
	b.checkLayout()
}

// isRewriting reports whether reservations are being rewritten into a restored log.
func (b *budgetController) isRewriting() bool {
	return slices.ContainsFunc(b.openedPartitions(), (*ledgerPartition).isRewriting)
}

// restoredEra is the latest era in which all partitions that were read have had all the records that this entry VM knows,
// nil if none was read.
func (b *budgetController) restoredEra() *keyed.Era {
	var first *keyed.Era
	for _, lp := range b.openedPartitions() {
		if era := lp.restoredEra(); era != nil && (first == nil || *era < *first) {
			first = era
		}
	}
	return first
}

// settledEra is the latest era in which tokens of all partitions may be reserved, nil if there is none.
func (b *budgetController) settledEra() *keyed.Era {
	var first *keyed.Era
	for _, lp := range b.openedPartitions() {
		era := lp.settledEra()
		if era == nil {
			return nil
		}
		if first == nil || *era < *first {
			first = era
		}
	}
	return first
}

func (b *budgetController) isReady() bool {
	if !b.opened.Load() {
		return false
	}
	for _, lp := range b.openedPartitions() {
		if !lp.isReady() {
			return false
		}
	}
	return true
}

// partitionOf returns the partition of a team, nil before the number of partitions is known.
func (b *budgetController) partitionOf(team string) *ledgerPartition {
	if !b.opened.Load() {
		return nil
	}
	h := fnv.New32a()
	_, _ = h.Write([]byte(team))
	return b.partitions[h.Sum32()%uint32(len(b.partitions))]
}

// admit holds tokens of a team for a call. It waits for tokens until the given time, for the ledger at most maxReserveWait. A
// call to another entry VM that has begun is not ended.
func (b *budgetController) admit(ctx context.Context, id string, team *catalog.Team, tokens int64, until time.Time) *refusal.Error {
	if team == nil || !team.Limited || tokens == 0 {
		return nil
	}
	lp := b.partitionOf(team.Name)
	if lp == nil || !lp.isReady() {
		return refusal.New(refusal.NotReady, "the ledger isn't read yet").WithRetryAt(b.cfg.Now().Add(reserveRetryDelay))
	}
	admitted, renewalsBefore := lp.admit(team.Name, tokens)
	b.drawAhead(lp, team.Name)
	if admitted {
		return nil
	}
	defer lp.endWait(team.Name, tokens)
	drawCtx, cancel := context.WithDeadline(ctx, until)
	defer cancel()
	if latest := b.cfg.Now().Add(maxReserveWait); until.After(latest) {
		until = latest
	}
	timer := time.NewTimer(until.Sub(b.cfg.Now()))
	defer timer.Stop()
	drawTimer := time.NewTimer(drawDelay)
	defer drawTimer.Stop()
	drawDue := false
	for {
		admitted, changed, noTokens := lp.retryAdmit(team.Name, tokens, renewalsBefore)
		switch {
		case admitted:
			return nil
		case !b.cfg.Now().Before(until) || lp.isExhausted(team.Name, tokens) || lp.isUnavailable(team.Name, tokens):
			return lp.refuse(id, team.Name, tokens)
		case noTokens || drawDue:
			if b.draw(drawCtx, lp, team.Name, tokens) {
				return nil
			}
			renewalsBefore = lp.actAsPrimary(team.Name)
			drawDue = false
			drawTimer.Reset(redrawDelay)
		}
		select {
		case <-changed:
		case <-drawTimer.C:
			drawDue = true
		case <-timer.C:
		case <-ctx.Done():
			return refusal.New(refusal.CallerGone, "the caller left while tokens were reserved")
		}
	}
}

// settleCall releases the tokens held for a call and charges those that it used.
func (b *budgetController) settleCall(team *catalog.Team, held, used int64) {
	if team == nil || !team.Limited || held == 0 {
		return
	}
	lp := b.partitionOf(team.Name)
	lp.mu.Lock()
	defer lp.mu.Unlock()
	lp.account(team.Name).Settle(b.cfg.Now(), held, used)
	b.cfg.Metrics.AddBilledTokens(team.Name, uint64(used))
}

// free is the number of tokens that calls can be admitted with now.
func (b *budgetController) free() int64 {
	sum, now := int64(0), b.cfg.Now()
	for _, lp := range b.openedPartitions() {
		lp.mu.Lock()
		for _, a := range lp.accounts {
			sum += max(a.Available(now), 0)
		}
		lp.mu.Unlock()
	}
	return sum
}

// drain begins a planned stop.
func (b *budgetController) drain() {
	b.fleet.announceLeaving()
	for _, lp := range b.openedPartitions() {
		lp.mu.Lock()
		for _, a := range lp.accounts {
			a.BeginDrain(b.cfg.Now())
		}
		lp.mu.Unlock()
	}
}

// returnReservations returns all unused tokens to the ledger at a planned stop, until ledgerUntil at most. If that fails
// they go to another entry VM. A renewal in progress is ended: the store may be silent for longer than there is time.
func (b *budgetController) returnReservations(ctx context.Context, ledgerUntil time.Time) error {
	b.endRenewals()
	err := b.returnToLedger(ctx, ledgerUntil)
	var wg sync.WaitGroup
	// The grace period is nearly over: both at once.
	wg.Go(func() { b.handOverKnowledge(ctx) })
	if err != nil {
		b.handOverAll(ctx)
	}
	wg.Wait()
	return err
}

func (b *budgetController) returnToLedger(ctx context.Context, until time.Time) error {
	ctx, cancel := context.WithDeadline(ctx, until)
	defer cancel()
	partitions := b.openedPartitions()
	errs := make([]error, len(partitions))
	var wg sync.WaitGroup
	for i, lp := range partitions {
		wg.Go(func() { errs[i] = lp.returnReservations(ctx) })
	}
	wg.Wait()
	return errors.Join(errs...)
}
