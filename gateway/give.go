package gateway

import (
	"context"
	"time"

	"ibiswinch/core/event"
	"ibiswinch/io/apexlog"
)

const (
	// giveWait is how long another entry VM waits for this one to look at the ledger.
	giveWait = 50 * time.Millisecond
	// handPause separates the returns of what guests don't need.
	handPause   = time.Second
	handTimeout = 150 * time.Millisecond
)

// give takes tokens out of the account for another entry VM.
func (b *budgetController) give(ctx context.Context, team string, need, want int64) int64 {
	k := b.bookOf(team)
	if !k.isReady() || k.limit(team) == 0 {
		return 0
	}
	given, mark := k.give(team, need, want)
	if given >= need {
		return given
	}
	defer k.leave(team, need-given)
	timer := time.NewTimer(giveWait)
	defer timer.Stop()
	for {
		more, changed, hopeless := k.giveAgain(team, need-given, want-given, mark)
		if more > 0 || hopeless {
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

// give gives what it can at once; if that is too little, the ledger is looked at.
func (k *ledger) give(team string, need, want int64) (given int64, mark uint64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	a := k.account(team)
	given = a.Give(k.b.cfg.Now(), need, want)
	if given < need {
		a.Await(need - given)
		if !k.isFutile(team, need-given) {
			k.wakeLoop()
		}
	}
	return given, k.begun
}

func (k *ledger) giveAgain(team string, need, want int64, mark uint64) (given int64, changed <-chan struct{}, hopeless bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.account(team).Give(k.b.cfg.Now(), need, want), k.changed, k.away || k.ended > mark || k.isFutile(team, need)
}

func (k *ledger) giveAll(tokens map[string]int64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for team, a := range k.accounts {
		if n := a.GiveAll(k.b.cfg.Now()); n > 0 {
			tokens[team] += n
		}
	}
}

// handAll brings all unused tokens to another entry VM at a stop without the ledger.
func (b *budgetController) handAll(ctx context.Context) {
	if b.cfg.Peers == nil {
		return
	}
	for _, p := range b.fleet.peers() {
		if p.suspect || ctx.Err() != nil {
			continue
		}
		tokens := map[string]int64{}
		for _, k := range b.books {
			k.giveAll(tokens)
		}
		if len(tokens) == 0 {
			return
		}
		if b.hand(ctx, p, tokens) {
			b.cfg.Events.Event(event.TokensHanded, apexlog.Fields{"peer": p.name, "teams": len(tokens)})
			return
		}
	}
}

// runHandBack returns what the accounts of guests don't need to the homes, until ctx ends.
func (b *budgetController) runHandBack(ctx context.Context) {
	for ctx.Err() == nil {
		pause(ctx, handPause)
		for _, k := range b.books {
			b.handBack(ctx, k)
		}
	}
}

func (b *budgetController) handBack(ctx context.Context, k *ledger) {
	homes := map[peer]map[string]int64{}
	for _, team := range k.guestTeams() {
		holders := b.holders(k, team)
		if len(holders) == 0 || holders[0].suspect {
			continue
		}
		n := k.giveBack(team)
		if n == 0 {
			continue
		}
		if homes[holders[0]] == nil {
			homes[holders[0]] = map[string]int64{}
		}
		homes[holders[0]][team] = n
	}
	for home, tokens := range homes {
		b.hand(ctx, home, tokens)
	}
}

// guestTeams are the teams with an account here that reserve elsewhere.
func (k *ledger) guestTeams() []string {
	k.mu.Lock()
	defer k.mu.Unlock()
	var teams []string
	for team, a := range k.accounts {
		if !k.isHome(team) && a.Idle() > k.guestKeeps(team) {
			teams = append(teams, team)
		}
	}
	return teams
}

func (k *ledger) giveBack(team string) int64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.account(team).GiveBack(k.b.cfg.Now(), k.floors(team, 0))
}

// hand brings tokens to another entry VM and reports whether they arrived. If that isn't known they stay charged here.
func (b *budgetController) hand(ctx context.Context, p peer, tokens map[string]int64) bool {
	ctx, cancel := context.WithTimeout(ctx, handTimeout)
	defer cancel()
	if err := b.cfg.Peers.Hand(ctx, p.addr, tokens); err != nil {
		b.fleet.unreachable(p)
		b.cfg.Events.Event(event.PeerUnreachable, apexlog.Fields{"peer": p.name, "error": err.Error()})
		return false
	}
	return true
}

// take adds tokens that another entry VM has handed over.
func (b *budgetController) take(tokens map[string]int64) {
	for team, n := range tokens {
		if n <= 0 {
			continue
		}
		k := b.bookOf(team)
		k.mu.Lock()
		if k.ready {
			k.account(team).Receive(n)
			k.signal()
		}
		k.mu.Unlock()
	}
}
