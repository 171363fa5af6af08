package gateway

import (
	"cmp"
	"context"
	"net/netip"
	"slices"
	"time"

	"ibiswinch/core/event"
	"ibiswinch/io/apexlog"
)

const (
	// lookPatience is how long a call waits for the ledger before tokens are drawn from other entry VMs.
	lookPatience = 40 * time.Millisecond
	// redrawPause is the time after which a call that got no tokens has them drawn once more.
	redrawPause = 60 * time.Millisecond
	// drawTimeout bounds one call to another entry VM.
	drawTimeout = 100 * time.Millisecond
	// maxDraws is the number of entry VMs that are asked for one call.
	maxDraws = 8
	// drawAhead is the time for which tokens are drawn beyond what calls wait for.
	drawAhead = 400 * time.Millisecond
	// emptyMemory is how long a draw that brought nothing answers for further ones, unreachableMemory how long an entry
	// VM that didn't answer is asked last.
	emptyMemory       = 50 * time.Millisecond
	unreachableMemory = 2 * time.Second
	// Entry VMs are asked in the order of what they have, up to maxIdle tokens; homes come before others, those of the own
	// failure domain first, and those that didn't answer last.
	maxIdle     = 1 << 30
	zoneFirst   = 1 << 31
	homeFirst   = 1 << 32
	suspectLast = 1 << 33
)

// Peers are the other entry VMs, which share the reserves of budgets.
type Peers interface {
	// Draw asks for tokens of a team. If it fails the tokens may be charged there all the same.
	Draw(ctx context.Context, addr netip.AddrPort, team string, need, want int64) (int64, error)
	// Hand brings tokens that are charged here.
	Hand(ctx context.Context, addr netip.AddrPort, tokens map[string]int64) error
}

// drawing is a draw under way; further calls for the team wait for its end.
type drawing struct{ done chan struct{} }

// draw takes tokens from other entry VMs until the call is admitted or nobody has any.
func (b *budgetController) draw(ctx context.Context, k *ledger, team string, tokens int64) bool {
	if b.cfg.Peers == nil {
		return false
	}
	for {
		d, own, admitted := k.beginDraw(team, tokens)
		switch {
		case admitted:
			return true
		case d == nil:
			return false
		case own:
			b.runDraw(ctx, k, team, tokens)
			return k.endDraw(team, d, tokens)
		}
		select {
		case <-d.done:
		case <-ctx.Done():
			return false
		}
	}
}

// runDraw asks one entry VM after the other.
func (b *budgetController) runDraw(ctx context.Context, k *ledger, team string, tokens int64) {
	asked, drawn := 0, int64(0)
	for _, p := range b.holders(k, team) {
		need, want := k.lack(team, tokens)
		if need <= 0 || asked >= maxDraws || ctx.Err() != nil {
			break
		}
		asked++
		drawn += b.drawFrom(ctx, k, p, team, need, want)
	}
	k.noteDraw(team, drawn)
	b.cfg.Events.Event(event.TokensDrawn, apexlog.Fields{"team": team, "asked": asked, "tokens": drawn, "call": tokens})
}

func (b *budgetController) drawFrom(ctx context.Context, k *ledger, p peer, team string, need, want int64) int64 {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), drawTimeout)
	defer cancel()
	n, err := b.cfg.Peers.Draw(ctx, p.addr, team, need, want)
	if err != nil {
		b.fleet.unreachable(p)
		b.cfg.Events.Event(event.PeerUnreachable, apexlog.Fields{"peer": p.name, "error": err.Error()})
		return 0
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.account(team).Receive(n)
	k.signal()
	return n
}

// holders are the other entry VMs in the order in which they are asked.
func (b *budgetController) holders(k *ledger, team string) []peer {
	peers := b.fleet.peers()
	homes := b.fleet.homesOf(team)
	order := make(map[string]int64, len(peers))
	k.mu.Lock()
	for _, p := range peers {
		r := k.team(team).Record(p.name)
		order[p.name] = min(max(r.Reserved-r.Base, 0), maxIdle)
		if slices.Contains(homes, p.name) {
			order[p.name] += homeFirst
		}
		if p.zone == b.cfg.Zone {
			order[p.name] += zoneFirst
		}
		if p.suspect {
			order[p.name] -= suspectLast
		}
	}
	k.mu.Unlock()
	slices.SortFunc(peers, func(x, y peer) int { return cmp.Compare(order[y.name], order[x.name]) })
	return peers
}

// becomeHome lets this entry VM reserve tokens of the team itself, and returns the number of looks at the ledger that
// have begun.
func (k *ledger) becomeHome(team string) uint64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	if !k.isHome(team) {
		k.homeUntil[team] = k.b.cfg.Now().Add(homeTime)
		k.wakeLoop()
	}
	return k.begun
}

// beginDraw admits the call, or returns the draw to wait for; own is set if it is the caller's to run.
func (k *ledger) beginDraw(team string, tokens int64) (d *drawing, own, admitted bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.b.cfg.Now()
	if k.account(team).Admit(now, tokens) {
		return nil, false, true
	}
	if d := k.drawings[team]; d != nil {
		return d, false, false
	}
	if now.Before(k.emptyUntil[team]) {
		return nil, false, false
	}
	d = &drawing{done: make(chan struct{})}
	k.drawings[team] = d
	return d, true, false
}

// endDraw ends a draw and reports whether its call is admitted now.
func (k *ledger) endDraw(team string, d *drawing, tokens int64) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	delete(k.drawings, team)
	close(d.done)
	return k.account(team).Admit(k.b.cfg.Now(), tokens)
}

// lack is what a call, and all calls that wait, need beyond what is left.
func (k *ledger) lack(team string, tokens int64) (need, want int64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	a, now := k.account(team), k.b.cfg.Now()
	left := max(a.Left(now), 0)
	ahead := int64(a.RateAt(now) * drawAhead.Seconds())
	if !k.isHome(team) {
		ahead = min(ahead, k.guestKeeps(team))
	}
	return tokens - left, max(a.Waiting(), tokens) + ahead - left
}

func (k *ledger) noteDraw(team string, drawn int64) {
	if drawn > 0 {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.emptyUntil[team] = k.b.cfg.Now().Add(emptyMemory)
}
