package gateway

import (
	"context"
	"time"

	"ibiswinch/core/event"
	"ibiswinch/io/apexlog"
)

const (
	// giveWait is how long another entry VM's draw waits for a renewal of this one.
	giveWait = 50 * time.Millisecond
	// returnInterval is the time between two returns of unneeded tokens to the primaries.
	returnInterval = time.Second
	// handOverTimeout bounds one transfer to another entry VM.
	handOverTimeout = 150 * time.Millisecond
)

// give takes tokens out of the account for another entry VM. If there are too few it waits for a renewal, up to
// giveWait.
func (b *budgetController) give(ctx context.Context, team string, need, want int64) int64 {
	lp := b.partitionOf(team)
	if lp == nil || !lp.isReady() || lp.limit(team) == 0 {
		return 0
	}
	given, waits, renewalsBefore := lp.give(team, need, want)
	if !waits {
		return given
	}
	defer lp.endWait(team, need-given)
	timer := time.NewTimer(giveWait)
	defer timer.Stop()
	for {
		more, changed, noTokens := lp.retryGive(team, need-given, want-given, renewalsBefore)
		if more > 0 || noTokens {
			return given + more
		}
		select {
		case <-changed:
		case <-timer.C:
			return given
		case <-ctx.Done():
			return given
		}
	}
}

// give takes what is available now. If that is too little and a write is worth waiting for, it requests a renewal, unless the last
// one found no tokens.
func (lp *ledgerPartition) give(team string, need, want int64) (given int64, waits bool, renewalsBefore uint64) {
	lp.mu.Lock()
	defer lp.mu.Unlock()
	a := lp.account(team)
	given = a.Give(lp.budgets.cfg.Now(), need, want)
	if given >= need || !lp.policy(team, 0).WritesSoon() {
		return given, false, 0
	}
	a.AddWaiting(need - given)
	if !lp.isKnownEmpty(team, need-given) {
		lp.wakeLoop()
	}
	return given, true, lp.renewalsStarted
}

func (lp *ledgerPartition) retryGive(
	team string, need, want int64, renewalsBefore uint64,
) (given int64, changed <-chan struct{}, noTokens bool) {
	lp.mu.Lock()
	defer lp.mu.Unlock()
	return lp.account(team).Give(lp.budgets.cfg.Now(), need, want), lp.changed,
		lp.logDown || lp.renewalsEnded > renewalsBefore || lp.isKnownEmpty(team, need)
}

func (lp *ledgerPartition) takeAll(tokens map[string]int64) {
	lp.mu.Lock()
	defer lp.mu.Unlock()
	for team, a := range lp.accounts {
		if n := a.GiveAll(lp.budgets.cfg.Now()); n > 0 {
			tokens[team] += n
		}
	}
}

// handOverAll transfers all unused tokens to another entry VM at a planned stop during which the ledger is unavailable.
func (b *budgetController) handOverAll(ctx context.Context) {
	if b.cfg.Peers == nil {
		return
	}
	for _, p := range b.fleet.peers() {
		if p.unreachable || ctx.Err() != nil {
			continue
		}
		tokens := map[string]int64{}
		for _, lp := range b.openedPartitions() {
			lp.takeAll(tokens)
		}
		if len(tokens) == 0 {
			return
		}
		if b.handOver(ctx, p, tokens) {
			b.cfg.Events.Event(event.TokensHandedOver, apexlog.Fields{"peer": p.name, "teams": len(tokens)})
			return
		}
	}
}

// runReturnUnused periodically returns the tokens that this entry VM doesn't need as a secondary to the primaries.
func (b *budgetController) runReturnUnused(ctx context.Context) {
	for ctx.Err() == nil {
		pause(ctx, returnInterval)
		for _, lp := range b.openedPartitions() {
			_ = b.cfg.protect("return unused tokens", func() error {
				b.returnUnused(ctx, lp)
				return nil
			})
		}
	}
}

func (b *budgetController) returnUnused(ctx context.Context, lp *ledgerPartition) {
	byPrimary := map[peer]map[string]int64{}
	for _, team := range lp.secondaryTeams() {
		peers := b.drawOrder(lp, team)
		if len(peers) == 0 || peers[0].unreachable {
			continue
		}
		n := lp.takeUnused(team)
		if n == 0 {
			continue
		}
		if byPrimary[peers[0]] == nil {
			byPrimary[peers[0]] = map[string]int64{}
		}
		byPrimary[peers[0]][team] = n
	}
	for primary, tokens := range byPrimary {
		b.handOver(ctx, primary, tokens)
	}
}

// secondaryTeams are the teams for which this entry VM is a secondary and has more tokens than it keeps.
func (lp *ledgerPartition) secondaryTeams() []string {
	lp.mu.Lock()
	defer lp.mu.Unlock()
	var teams []string
	for team, a := range lp.accounts {
		if p := lp.policy(team, 0); p.Secondary && a.Idle() > p.IdleReserve {
			teams = append(teams, team)
		}
	}
	return teams
}

func (lp *ledgerPartition) takeUnused(team string) int64 {
	lp.mu.Lock()
	defer lp.mu.Unlock()
	return lp.account(team).GiveSurplus(lp.budgets.cfg.Now(), lp.policy(team, 0))
}

// handOver transfers tokens to another entry VM and reports whether they arrived. They stay charged to this one in any
// case: a peer that doesn't answer may have received them.
func (b *budgetController) handOver(ctx context.Context, p peer, tokens map[string]int64) bool {
	ctx, cancel := context.WithTimeout(ctx, handOverTimeout)
	defer cancel()
	if err := b.cfg.Peers.HandOver(ctx, p.addr, tokens); err != nil {
		b.fleet.markUnreachable(p)
		b.cfg.Events.Event(event.PeerUnreachable, apexlog.Fields{"peer": p.name, "error": err.Error()})
		return false
	}
	return true
}

// receive adds tokens that another entry VM has handed over.
func (b *budgetController) receive(tokens map[string]int64) {
	for team, n := range tokens {
		if n <= 0 {
			continue
		}
		// Nothing is kept for a team without a budget: callers can't use its tokens.
		lp := b.partitionOf(team)
		if lp == nil || lp.limit(team) == 0 {
			continue
		}
		lp.mu.Lock()
		if lp.ready {
			lp.account(team).TakeBack(b.cfg.Now(), n)
			lp.notifyWaiters()
		}
		lp.mu.Unlock()
	}
}
