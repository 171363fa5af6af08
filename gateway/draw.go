package gateway

import (
	"cmp"
	"context"
	"net/netip"
	"slices"
	"time"

	"ibiswinch/core/cost"
	"ibiswinch/core/escrow"
	"ibiswinch/core/event"
	"ibiswinch/core/keyed"
	"ibiswinch/io/apexlog"
)

const (
	// drawDelay is how long a call waits for a renewal before tokens are drawn from other entry VMs.
	drawDelay = 40 * time.Millisecond
	// redrawDelay is the time after which tokens are drawn again for a call that got none.
	redrawDelay = 60 * time.Millisecond
	// drawTimeout is how long answers are awaited at a time once all were asked.
	drawTimeout = 100 * time.Millisecond
	// answerTimeout bounds one call to another entry VM. Its answer brings tokens that are lost otherwise, so it may come long
	// after others were asked.
	answerTimeout = time.Second
	// maxDrawPeers bounds the entry VMs that are asked in one draw.
	maxDrawPeers = 16
	// failedDrawTTL is how long no further draw is tried after one without result, unreachableTTL how long an entry VM
	// that didn't answer is asked last.
	failedDrawTTL  = emptyLedgerTTL
	unreachableTTL = 2 * time.Second
	// Entry VMs are asked in descending order of a rank: the unused tokens that they have recorded, up to maxReserveRank,
	// plus the amounts below. Primaries come first, then entry VMs of the own failure domain; restRank is subtracted for those
	// that had too few tokens lately or answered late, unreachableRank for those that didn't answer, which come last.
	maxReserveRank  = 1 << 30
	sameZoneRank    = 1 << 31
	primaryRank     = 1 << 32
	restRank        = 1 << 33
	unreachableRank = 1 << 34
)

// Peers calls the other entry VMs to exchange reserved tokens and loads.
type Peers interface {
	// Draw asks for at least need and up to want tokens of a team. If it fails the peer may have charged itself for them
	// all the same.
	Draw(ctx context.Context, addr netip.AddrPort, team string, need, want int64) (int64, error)
	// HandOver transfers tokens, by team, that are already charged to the account here.
	HandOver(ctx context.Context, addr netip.AddrPort, tokens map[string]int64) error
	// Share tells of records of the ledger and reports whether the peer will write them again if the ledger loses them.
	Share(ctx context.Context, addr netip.AddrPort, records []keyed.Record) (bool, error)
	// ExchangeLoads tells of the open work of this entry VM, or of its failure domain, and returns that of others.
	ExchangeLoads(ctx context.Context, addr netip.AddrPort, report cost.Report) ([]cost.Load, error)
}

// pendingDraw is a draw in progress. Further calls of the team wait for its end.
type pendingDraw struct{ done chan struct{} }

// draw gets tokens from other entry VMs and reports whether the call is admitted.
func (b *budgetController) draw(ctx context.Context, lp *ledgerPartition, team string, tokens int64) bool {
	if b.cfg.Peers == nil {
		return false
	}
	for {
		d, run, admitted := lp.beginDraw(team, tokens)
		switch {
		case admitted:
			return true
		case d == nil:
			return false
		case run:
			b.runDraw(ctx, lp, team, tokens)
			return lp.endDraw(team, d, tokens)
		}
		select {
		case <-d.done:
		case <-ctx.Done():
			return false
		}
	}
}

// runDraw asks one entry VM after the other until there are enough tokens for the call, or for a block if tokens is 0. The next
// one is asked once an answer is late, which counts all the same when it comes.
func (b *budgetController) runDraw(ctx context.Context, lp *ledgerPartition, team string, tokens int64) {
	peers := b.drawOrder(lp, team)
	peers = peers[:min(len(peers), maxDrawPeers)]
	answers := make(chan int64, len(peers))
	asked, open, drawn := 0, 0, int64(0)
	for ctx.Err() == nil {
		need, want, patience := lp.shortfall(team, tokens)
		if need <= 0 || asked == len(peers) && open == 0 {
			break
		}
		if asked == len(peers) {
			patience = drawTimeout
		} else {
			p := peers[asked]
			go func() { answers <- b.runAsk(lp, p, team, need, want) }()
			asked++
			open++
		}
		n, answered := awaitAnswer(ctx, answers, patience)
		if answered {
			open--
		} else {
			lp.recordLate(team, peers[asked-1])
		}
		drawn += n
	}
	lp.endAsking(team, tokens, drawn)
	b.cfg.Events.Event(event.TokensDrawn, apexlog.Fields{"team": team, "asked": asked, "tokens": drawn, "call": tokens})
}

// awaitAnswer returns the tokens of the next answer, and false if none came in time.
func awaitAnswer(ctx context.Context, answers <-chan int64, patience time.Duration) (int64, bool) {
	timer := time.NewTimer(patience)
	defer timer.Stop()
	select {
	case n := <-answers:
		return n, true
	case <-timer.C:
	case <-ctx.Done():
	}
	return 0, false
}

// runAsk asks an entry VM for tokens and adds what it gives to the account, however late. It returns their number.
func (b *budgetController) runAsk(lp *ledgerPartition, p peer, team string, need, want int64) int64 {
	ctx, cancel := context.WithTimeout(context.Background(), answerTimeout)
	defer cancel()
	begun := b.cfg.Now()
	n, err := b.cfg.Peers.Draw(ctx, p.addr, team, need, want)
	if err != nil {
		b.fleet.markUnreachable(p)
		b.cfg.Events.Event(event.PeerUnreachable, apexlog.Fields{"peer": p.name, "error": err.Error()})
		return 0
	}
	lp.mu.Lock()
	defer lp.mu.Unlock()
	now := b.cfg.Now()
	lp.asker(team).Answered(now, p.name, now.Sub(begun), need, n)
	lp.account(team).Receive(n)
	lp.notifyWaiters()
	return n
}

// drawAhead draws a block of tokens if the account needs one before calls lack them, and none is drawn already.
func (b *budgetController) drawAhead(lp *ledgerPartition, team string) {
	if b.cfg.Peers == nil || b.closing.Err() != nil {
		return
	}
	if d := lp.beginDrawAhead(team); d != nil {
		go b.runDrawAhead(lp, team, d)
	}
}

func (b *budgetController) runDrawAhead(lp *ledgerPartition, team string, d *pendingDraw) {
	ctx, cancel := context.WithTimeout(b.closing, answerTimeout)
	defer cancel()
	_ = b.cfg.protect("draw tokens ahead", func() error {
		b.runDraw(ctx, lp, team, 0)
		return nil
	})
	lp.mu.Lock()
	defer lp.mu.Unlock()
	delete(lp.pendingDraws, team)
	close(d.done)
}

// beginDrawAhead returns a new draw, nil if the account needs no block.
func (lp *ledgerPartition) beginDrawAhead(team string) *pendingDraw {
	lp.mu.Lock()
	defer lp.mu.Unlock()
	now := lp.budgets.cfg.Now()
	if lp.pendingDraws[team] != nil || now.Before(lp.noDrawUntil[team]) || !lp.account(team).DrawsAhead(now, lp.policy(team, 0)) {
		return nil
	}
	d := &pendingDraw{done: make(chan struct{})}
	lp.pendingDraws[team] = d
	return d
}

// drawOrder returns the other entry VMs in the order in which they are asked, without those that have recorded no unused
// tokens and reserve none.
func (b *budgetController) drawOrder(lp *ledgerPartition, team string) []peer {
	peers := b.fleet.peers()
	rank := b.drawRanks(lp, team, peers)
	peers = slices.DeleteFunc(peers, func(p peer) bool {
		_, found := rank[p.name]
		return !found
	})
	slices.SortFunc(peers, func(x, y peer) int { return cmp.Compare(rank[y.name], rank[x.name]) })
	return peers
}

// drawRanks returns the ranks of the peers that may have tokens.
func (b *budgetController) drawRanks(lp *ledgerPartition, team string, peers []peer) map[string]int64 {
	primaries := b.fleet.primariesOf(team)
	rank, now := make(map[string]int64, len(peers)), b.cfg.Now()
	lp.mu.Lock()
	defer lp.mu.Unlock()
	for _, p := range peers {
		r, isPrimary := lp.recordsOf(team).Record(p.name), slices.Contains(primaries, p.name)
		if r.Reserved <= r.Base && !isPrimary {
			continue
		}
		rank[p.name] = min(max(r.Reserved-r.Base, 0), maxReserveRank)
		if isPrimary {
			rank[p.name] += primaryRank
		}
		if p.zone == b.cfg.Zone {
			rank[p.name] += sameZoneRank
		}
		if lp.asker(team).Rests(now, p.name) {
			rank[p.name] -= restRank
		}
		if p.unreachable {
			rank[p.name] -= unreachableRank
		}
	}
	return rank
}

// actAsPrimary makes a secondary reserve tokens of the team itself for fallbackPrimaryTime. It returns the number of
// renewals started so far.
func (lp *ledgerPartition) actAsPrimary(team string) uint64 {
	lp.mu.Lock()
	defer lp.mu.Unlock()
	if !lp.isPrimary(team) {
		lp.primaryUntil[team] = lp.budgets.cfg.Now().Add(fallbackPrimaryTime)
		lp.wakeLoop()
	}
	return lp.renewalsStarted
}

// beginDraw admits the call, or returns the team's draw in progress. run is set if the draw is new and the caller must
// run it. It returns no draw if the last one failed recently.
func (lp *ledgerPartition) beginDraw(team string, tokens int64) (d *pendingDraw, run, admitted bool) {
	lp.mu.Lock()
	defer lp.mu.Unlock()
	now := lp.budgets.cfg.Now()
	if lp.account(team).Admit(now, tokens) {
		return nil, false, true
	}
	if d := lp.pendingDraws[team]; d != nil {
		return d, false, false
	}
	if now.Before(lp.noDrawUntil[team]) {
		return nil, false, false
	}
	d = &pendingDraw{done: make(chan struct{})}
	lp.pendingDraws[team] = d
	return d, true, false
}

// endDraw ends a draw and reports whether its call is admitted now.
func (lp *ledgerPartition) endDraw(team string, d *pendingDraw, tokens int64) bool {
	lp.mu.Lock()
	defer lp.mu.Unlock()
	delete(lp.pendingDraws, team)
	close(d.done)
	return lp.account(team).Admit(lp.budgets.cfg.Now(), tokens)
}

// shortfall returns what a draw asks for, see escrow.Account.Shortfall, and how long it waits for an answer.
func (lp *ledgerPartition) shortfall(team string, tokens int64) (need, want int64, patience time.Duration) {
	lp.mu.Lock()
	defer lp.mu.Unlock()
	need, want = lp.account(team).Shortfall(lp.budgets.cfg.Now(), tokens, lp.policy(team, 0))
	return need, want, lp.asker(team).Patience()
}

// asker remembers how the other entry VMs answer the draws of a team. The caller holds mu.
func (lp *ledgerPartition) asker(team string) *escrow.Asker {
	k := lp.askers[team]
	if k == nil {
		k = &escrow.Asker{}
		lp.askers[team] = k
	}
	return k
}

// recordLate records that an entry VM didn't answer in time.
func (lp *ledgerPartition) recordLate(team string, p peer) {
	lp.mu.Lock()
	defer lp.mu.Unlock()
	lp.asker(team).Late(lp.budgets.cfg.Now(), p.name)
}

// endAsking pauses the draws of a team after one that brought nothing though tokens are missing.
func (lp *ledgerPartition) endAsking(team string, tokens, drawn int64) {
	lp.mu.Lock()
	defer lp.mu.Unlock()
	now := lp.budgets.cfg.Now()
	if need, _ := lp.account(team).Shortfall(now, tokens, lp.policy(team, 0)); need > 0 && drawn == 0 {
		lp.noDrawUntil[team] = now.Add(failedDrawTTL)
	}
}
