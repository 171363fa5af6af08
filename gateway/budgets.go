package gateway

import (
	"context"
	"errors"
	"hash/fnv"
	"sync"
	"time"

	"ibiswinch/core/catalog"
	"ibiswinch/core/escrow"
	"ibiswinch/core/keyed"
	"ibiswinch/core/refusal"
)

const (
	// planInterval is how often the reservations are looked at without a request that lacks tokens.
	planInterval = 450 * time.Millisecond
	// pacePerVM is the least time between two such looks for each entry VM of the fleet.
	pacePerVM = 50 * time.Millisecond
	// reserveWait bounds how long a call waits for a larger reservation.
	reserveWait = 120 * time.Millisecond
	// floorParts is the number of parts of a budget of which all entry VMs together hold one when idle.
	floorParts = 8
	// maxBurst bounds what is usable between two records; burstShare is the part of a budget, in hundredths, that the bursts
	// of all entry VMs may have. rateParts is the number of seconds in which idle accounts would use up a budget.
	maxBurst   = 60_000
	burstShare = 12
	rateParts  = 200
	// scarceTokens is the reserve for each entry VM that is worth keeping.
	scarceTokens = 12_000
	// lookMemory is how long a look at the ledger answers further calls for tokens that it does not have.
	lookMemory = 150 * time.Millisecond
	// eagerAccounts bounds the accounts that a process opens before the first call of their teams.
	eagerAccounts = 256
	// conflictTries bounds the appends of one look that lose against other entry VMs.
	conflictTries = 6
	// reserveRetry is when a repeat may find tokens that are reserved elsewhere now.
	reserveRetry = 400 * time.Millisecond
	// homeTime is how long an entry VM reserves tokens of a team itself after it got none from the homes.
	homeTime = 5 * time.Second
	// guestPerVM is the least of that pause for each entry VM of the fleet.
	guestPerVM = 100 * time.Millisecond
	// guestTokens is the most that an entry VM that isn't a home of a team keeps of its tokens, guestParts bounds what all
	// of them keep to one part of a budget, since it is lost when they die; guestRefresh is the pause between their writes.
	guestTokens  = 10_000
	guestParts   = 50
	guestRefresh = 2 * time.Second
	// settleTries bounds the attempts to return tokens at a planned stop.
	settleTries = 8
)

// budgetController reserves tokens in the ledger and admits calls against the reservations.
type budgetController struct {
	cfg      Config
	catalogs *catalogController
	fleet    *fleetController
	books    []*ledger
}

func newBudgetController(cfg Config, catalogs *catalogController, fleet *fleetController) *budgetController {
	b := &budgetController{cfg: cfg, catalogs: catalogs, fleet: fleet}
	for i := range max(cfg.LedgerPartitions, 1) {
		k := &ledger{
			b: b, wake: make(chan struct{}, 1), teams: map[string]*escrow.Book{}, accounts: map[string]*escrow.Account{},
			changed: make(chan struct{}), drawings: map[string]*drawing{}, emptyUntil: map[string]time.Time{},
			homeUntil: map[string]time.Time{},
		}
		k.follow = follower{cfg: cfg, partition: keyed.Partition{Stream: keyed.Ledger, Number: i}, apply: k.apply, snapshot: k.snapshot,
			lost: func(time.Time) { k.setAway(true) }, regained: func(time.Time) { k.setAway(false) }}
		b.books = append(b.books, k)
	}
	return b
}

func (b *budgetController) loop(ctx context.Context) error {
	var wg sync.WaitGroup
	for _, k := range b.books {
		wg.Go(func() { k.loop(ctx) })
	}
	if b.cfg.Peers != nil {
		wg.Go(func() { b.runHandBack(ctx) })
	}
	wg.Wait()
	return ctx.Err()
}

func (b *budgetController) wakeAll() {
	for _, k := range b.books {
		k.wakeLoop()
	}
}

func (b *budgetController) loaded() bool {
	for _, k := range b.books {
		if !k.isReady() {
			return false
		}
	}
	return true
}

func (b *budgetController) bookOf(team string) *ledger {
	h := fnv.New32a()
	_, _ = h.Write([]byte(team))
	return b.books[h.Sum32()%uint32(len(b.books))]
}

// admit holds tokens of a team for a call.
func (b *budgetController) admit(ctx context.Context, id string, team *catalog.Team, tokens int64, until time.Time) *refusal.Error {
	if team == nil || !team.Limited || tokens == 0 {
		return nil
	}
	k := b.bookOf(team.Name)
	if !k.isReady() {
		return refusal.New(refusal.NotReady, "the ledger isn't read yet").After(b.cfg.Now().Add(reserveRetry))
	}
	admitted, mark := k.admit(team.Name, tokens)
	if admitted {
		return nil
	}
	defer k.leave(team.Name, tokens)
	if latest := b.cfg.Now().Add(reserveWait); until.After(latest) {
		until = latest
	}
	timer := time.NewTimer(until.Sub(b.cfg.Now()))
	defer timer.Stop()
	retry := time.NewTimer(lookPatience)
	defer retry.Stop()
	impatient := false
	for {
		admitted, changed, hopeless := k.retry(team.Name, tokens, mark)
		switch {
		case admitted:
			return nil
		case !b.cfg.Now().Before(until) || k.exhausted(team.Name, tokens):
			return k.refuse(id, team.Name, tokens)
		case hopeless || impatient:
			if b.draw(ctx, k, team.Name, tokens) {
				return nil
			}
			mark = k.becomeHome(team.Name)
			impatient = false
			retry.Reset(redrawPause)
		}
		select {
		case <-changed:
		case <-retry.C:
			impatient = true
		case <-timer.C:
		case <-ctx.Done():
			return refusal.New(refusal.CallerGone, "the caller left while tokens were reserved")
		}
	}
}

// settle ends the hold of a call.
func (b *budgetController) settleCall(team *catalog.Team, held, used int64) {
	if team == nil || !team.Limited || held == 0 {
		return
	}
	k := b.bookOf(team.Name)
	k.mu.Lock()
	defer k.mu.Unlock()
	k.account(team.Name).Settle(b.cfg.Now(), held, used)
	b.cfg.Metrics.Billed(team.Name, uint64(used))
}

// free is the number of tokens that may be admitted now.
func (b *budgetController) free() int64 {
	sum, now := int64(0), b.cfg.Now()
	for _, k := range b.books {
		k.mu.Lock()
		for _, a := range k.accounts {
			sum += max(a.Left(now), 0)
		}
		k.mu.Unlock()
	}
	return sum
}

// drain begins a planned stop.
func (b *budgetController) drain() {
	b.fleet.leave()
	for _, k := range b.books {
		k.mu.Lock()
		for _, a := range k.accounts {
			a.Drain(b.cfg.Now())
		}
		k.mu.Unlock()
	}
}

// settle returns all reservations at a planned stop.
func (b *budgetController) settle(ctx context.Context) error {
	var errs []error
	for _, k := range b.books {
		errs = append(errs, k.settle(ctx))
	}
	err := errors.Join(errs...)
	if err != nil {
		b.handAll(context.WithoutCancel(ctx))
	}
	return err
}
