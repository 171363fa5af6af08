package gateway

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"ibiswinch/core/call"
	"ibiswinch/core/keyed"
	"ibiswinch/core/membership"
	"ibiswinch/core/refusal"
)

// memoryPeers connects gateways without a network. Calls can be cut, or their replies lost.
type memoryPeers struct {
	mu       sync.Mutex
	gateways map[netip.AddrPort]*Gateway
	cut      bool
	lose     bool
}

var errCut = errors.New("cut")

func (m *memoryPeers) at(addr netip.AddrPort) *Gateway {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.cut {
		return nil
	}
	return m.gateways[addr]
}

func (m *memoryPeers) Draw(ctx context.Context, addr netip.AddrPort, team string, need, want int64) (int64, error) {
	g := m.at(addr)
	if g == nil {
		return 0, errCut
	}
	n := g.GiveTokens(ctx, team, need, want)
	if m.lose {
		return 0, errCut
	}
	return n, nil
}

func (m *memoryPeers) Hand(_ context.Context, addr netip.AddrPort, tokens map[string]int64) error {
	g := m.at(addr)
	if g == nil {
		return errCut
	}
	g.TakeTokens(tokens)
	return nil
}

// pool is a bench with two entry VMs of one failure domain, of which one is the home of the team.
type pool struct {
	*bench
	peers       *memoryPeers
	home, guest *Gateway
}

func newPool(t *testing.T) *pool {
	p := &pool{peers: &memoryPeers{gateways: map[netip.AddrPort]*Gateway{}}}
	p.bench = newBenchWith(t, func(cfg *Config) {
		port := uint16(7200 + len(p.peers.gateways))
		cfg.Peers, cfg.Address = p.peers, netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), port)
	})
	p.home = p.gateway
	p.peers.gateways[p.home.cfg.Address] = p.home
	p.await("digest", func() bool { return p.log.end(keyed.Fleet) > 0 })
	p.guest = p.start(guestName(p.home.cfg.Name))
	p.peers.gateways[p.guest.cfg.Address] = p.guest
	p.await("members", func() bool {
		return len(p.home.fleet.peers()) == 1 && len(p.guest.fleet.peers()) == 1
	})
	p.await("reserve", func() bool { return reservedBy(p.home) > 0 })
	return p
}

// guestName is the name of an entry VM that isn't the home of the team beside another one.
func guestName(home string) string {
	for i := 2; ; i++ {
		if name := fmt.Sprint("vm-", i); membership.Hash("team", name) < membership.Hash("team", home) {
			return name
		}
	}
}

func reservedBy(g *Gateway) int64 {
	for _, d := range g.Dump().Budgets {
		return d.Reserved
	}
	return 0
}

func (p *pool) ask(g *Gateway, tokens int64) *recorder {
	p.backend.tries = []try{answered("ok")}
	return p.serveAt(g, &call.Call{Path: "/order/1", InputTokens: tokens})
}

// TestGuestDrawsWithoutTheLog guards against calls that are refused during an outage of the log while another entry VM
// has tokens of their team.
func TestGuestDrawsWithoutTheLog(t *testing.T) {
	p := newPool(t)
	p.log.setAway(true)
	for range 3 {
		p.c.Assert(p.ask(p.guest, 400).body, qt.Equals, "ok")
	}
	p.c.Assert(reservedBy(p.guest), qt.Equals, int64(0))
}

// TestGuestReservesWithoutHomes guards against calls that are refused because the homes of their team are out of reach.
func TestGuestReservesWithoutHomes(t *testing.T) {
	p := newPool(t)
	p.peers.cut = true
	p.await("own reserve", func() bool { return p.ask(p.guest, 400).body == "ok" })
	p.c.Assert(reservedBy(p.guest) > 0, qt.IsTrue)
}

// TestLostReplyStaysCharged guards against tokens that are spent twice because the reply that carried them was lost.
func TestLostReplyStaysCharged(t *testing.T) {
	p := newPool(t)
	p.log.setAway(true)
	before := p.home.FreeTokens()
	p.peers.lose = true
	p.c.Assert(p.ask(p.guest, 400).refused.Reason, qt.Equals, refusal.BudgetUnavailable)
	p.c.Assert(p.guest.FreeTokens(), qt.Equals, int64(0))
	p.c.Assert(p.home.FreeTokens() < before+400, qt.IsTrue)
	p.c.Assert(credit(p.home) <= -400, qt.IsTrue)
}

func credit(g *Gateway) int64 {
	k := g.budgets.bookOf("team")
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.account("team").Credit()
}

// TestStopWithoutTheLogHandsTokensOver guards against tokens that a planned stop leaves unusable when the log is away.
func TestStopWithoutTheLogHandsTokensOver(t *testing.T) {
	p := newPool(t)
	p.log.setAway(true)
	p.home.Drain()
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	p.c.Assert(p.home.Settle(ctx), qt.IsNotNil)
	p.c.Assert(p.guest.FreeTokens() > 0, qt.IsTrue)
	p.c.Assert(p.home.FreeTokens(), qt.Equals, int64(0))
}
