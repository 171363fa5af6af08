package gateway

import (
	"context"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"ibiswinch/core/escrow"
	"ibiswinch/core/keyed"
)

// newShareFixture returns gateways of three entry VMs that reach each other, and a function that ends the third as a crash
// would.
func newShareFixture(t *testing.T) (f *fixture, peers *memoryPeers, third *Gateway, stop func()) {
	peers = &memoryPeers{gateways: map[netip.AddrPort]*Gateway{}}
	port := uint16(7200)
	f = newFixtureWith(t, func(cfg *Config) {
		answerAll(cfg)
		port++
		cfg.Peers, cfg.Address = peers, netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), port)
	})
	other := f.start("vm-2")
	third, stop = f.startStoppable("vm-3")
	peers.mu.Lock()
	for _, g := range []*Gateway{f.gateway, other, third} {
		peers.gateways[g.cfg.Address] = g
	}
	peers.mu.Unlock()
	f.waitFor("members", func() bool { return len(f.gateway.fleet.peers()) == 2 && len(third.fleet.peers()) == 2 })
	f.waitForMembers(f.gateway, other, third)
	return f, peers, third, stop
}

// TestReservationKnownToDeadProcess guards against tokens that are reserved a second time because a process was killed, and
// the store restored from an older copy, before anybody else had read its reservation.
func TestReservationKnownToDeadProcess(t *testing.T) {
	f, peers, third, stop := newShareFixture(t)
	var others []*Gateway
	for _, g := range peers.gateways {
		if g != third {
			others = append(others, g)
		}
	}
	ends := f.log.ends()
	for _, g := range others {
		g.budgets.partitions[0].ioMu.Lock()
	}
	sum := f.spend(60_000, third)
	stop()
	f.log.restore(ends, nil)
	for _, g := range others {
		g.budgets.partitions[0].ioMu.Unlock()
	}
	f.c.Assert(sum > 40_000, qt.IsTrue, qt.Commentf("%d tokens", sum))
	f.waitWithin(2*escrow.RewriteTimeout, "reserving again", func() bool {
		return *others[0].budgets.settledEra() == 2 && *others[1].budgets.settledEra() == 2
	})
	f.c.Assert(f.ledgerRecord("team/vm-3").Reserved >= sum-credit(third), qt.IsTrue)
}

// TestUnsharedTokensAreUsed guards against tokens of a reservation that are used while no other entry VM knows it.
func TestUnsharedTokensAreUsed(t *testing.T) {
	f, peers, third, _ := newShareFixture(t)
	for _, g := range peers.gateways {
		if g != third {
			lp := g.budgets.partitions[0]
			lp.ioMu.Lock()
			defer lp.ioMu.Unlock()
		}
	}
	known := third.FreeTokens()
	peers.mu.Lock()
	peers.cutOff = true
	peers.mu.Unlock()
	sum := f.spend(60_000, third)
	f.c.Assert(sum <= known, qt.IsTrue, qt.Commentf("%d tokens used, %d known to others", sum, known))
}

// TestRecordOfEarlierEraIsAnsweredFor guards against an answer for a record of an earlier era by an entry VM that may have
// confirmed already that all it knew was rewritten. It writes the record all the same.
func TestRecordOfEarlierEraIsAnsweredFor(t *testing.T) {
	f := newFixture(t)
	f.waitForMembers(f.gateway)
	record := escrow.Record{Reserved: 1000, Base: 500, Used: 500, At: time.Now().UnixMilli(), Sequence: 1, Era: uint64(firstEra)}
	share := func(holder string) bool {
		r, err := encodeReservation("team", holder, record)
		f.c.Assert(err, qt.IsNil)
		return f.gateway.LearnReservations([]keyed.Record{r})
	}
	f.c.Assert(share("vm-2"), qt.IsTrue)
	f.log.restore(f.log.ends(), nil)
	f.waitFor("new era", func() bool { return *f.gateway.budgets.settledEra() == 2 })
	f.c.Assert(f.ledgerRecord("team/vm-2").Reserved, qt.Equals, record.Reserved)
	f.c.Assert(share("vm-3"), qt.IsFalse)
	f.waitFor("record of vm-3", func() bool { return f.ledgerRecord("team/vm-3").Reserved == record.Reserved })
}

// TestStopKeepsKnowledge guards against the record of a dead process that is lost because the only process that knows it
// stops before the log is restored.
func TestStopKeepsKnowledge(t *testing.T) {
	f, _, third, stop := newShareFixture(t)
	record := escrow.Record{Reserved: 1000, Base: 500, Used: 500, At: time.Now().UnixMilli(), Sequence: 1, Era: uint64(firstEra)}
	r, err := encodeReservation("team", "vm-9", record)
	f.c.Assert(err, qt.IsNil)
	f.c.Assert(third.LearnReservations([]keyed.Record{r}), qt.IsTrue)
	stop()
	f.c.Assert(third.ReturnReservations(context.Background(), time.Now().Add(time.Second)), qt.IsNil)
	f.waitFor("record of vm-9", func() bool { return f.gateway.budgets.usedBy("team", "vm-9") == record.Base })
}
