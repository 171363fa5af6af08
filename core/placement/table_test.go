package placement_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"ibiswinch/core/placement"
)

const service = "engines"

var start = time.Unix(1000, 0)

func server(i int) placement.Server {
	return placement.Server{
		ID: fmt.Sprint("s-", i), Service: service, Zone: "a", Version: "v1",
		Addr: netip.AddrPortFrom(netip.MustParseAddr("10.0.0.1"), uint16(1000+i)), Born: start,
	}
}

func table(n int, seed uint64) *placement.Table {
	t := placement.NewTable("a", seed)
	for i := range n {
		t.Set(server(i))
	}
	return t
}

func chain(id uint64) placement.Request {
	return placement.Request{Service: service, Session: id, SharedTokens: 5000, Tokens: 8000}
}

// TestSameChainSameServer guards against entry VMs that send the calls of one chain to different servers, which each
// have to read its shared parts.
func TestSameChainSameServer(t *testing.T) {
	c := qt.New(t)
	a, b := table(12, 1), table(12, 99)
	for id := range uint64(200) {
		p, _ := a.Choose(start, chain(id+1))
		q, _ := b.Choose(start, chain(id+1))
		c.Assert(p.Server.ID, qt.Equals, q.Server.ID)
		a.Release(start, p, placement.Answered)
		b.Release(start, q, placement.Answered)
	}
}

// TestOnlyItsChainsMove guards against a server's end that moves the chains of others.
func TestOnlyItsChainsMove(t *testing.T) {
	c := qt.New(t)
	a, b := table(12, 1), table(12, 1)
	b.Remove("s-3")
	moved := 0
	for id := range uint64(300) {
		p, _ := a.Choose(start, chain(id+1))
		q, _ := b.Choose(start, chain(id+1))
		if p.Server.ID != q.Server.ID {
			moved++
			c.Assert(p.Server.ID, qt.Equals, "s-3")
		}
		a.Release(start, p, placement.Answered)
		b.Release(start, q, placement.Answered)
	}
	c.Assert(moved > 0, qt.IsTrue)
}

// TestCrowdedFirstChoice guards against a hot chain that overloads one server while others are idle.
func TestCrowdedFirstChoice(t *testing.T) {
	c := qt.New(t)
	a := table(6, 1)
	used := map[string]int{}
	for range 60 {
		p, _ := a.Choose(start, chain(7))
		used[p.Server.ID]++
	}
	c.Assert(len(used) > 1, qt.IsTrue)
}

// TestFailingServerIsPaused guards against traffic to a server that refuses connections, and against losing it for good.
func TestFailingServerIsPaused(t *testing.T) {
	c := qt.New(t)
	a := table(2, 1)
	now := start
	var bad string
	for i := range 40 {
		p, ok := a.Choose(now, placement.Request{Service: service, Tokens: 10})
		c.Assert(ok, qt.IsTrue)
		if i == 0 {
			bad = p.Server.ID
		}
		outcome := placement.Answered
		if p.Server.ID == bad {
			outcome = placement.Unreachable
			c.Assert(i, qt.Equals, 0)
		}
		a.Release(now, p, outcome)
		now = now.Add(5 * time.Millisecond)
	}
	now = now.Add(time.Second)
	tried := false
	for range 20 {
		p, _ := a.Choose(now, placement.Request{Service: service, Tokens: 10})
		tried = tried || p.Server.ID == bad
		a.Release(now, p, placement.Answered)
	}
	c.Assert(tried, qt.IsTrue)
}

// TestAllPaused guards against refusing everything because every server has failed lately.
func TestAllPaused(t *testing.T) {
	c := qt.New(t)
	a := table(3, 1)
	for range 3 {
		p, ok := a.Choose(start, placement.Request{Service: service, Tokens: 10})
		c.Assert(ok, qt.IsTrue)
		a.Release(start, p, placement.Broken)
	}
	_, ok := a.Choose(start, placement.Request{Service: service, Tokens: 10})
	c.Assert(ok, qt.IsTrue)
}

// TestSilentServerIsSuspected guards against calls that keep going to a server that accepts them and never answers,
// since without a first event nothing is learned from it.
func TestSilentServerIsSuspected(t *testing.T) {
	c := qt.New(t)
	a := table(4, 1)
	now := start
	var mute string
	sent := 0
	for i := range 200 {
		p, _ := a.Choose(now, chain(uint64(i)))
		if mute == "" {
			mute = p.Server.ID
		}
		now = now.Add(20 * time.Millisecond)
		if p.Server.ID == mute {
			if i >= 100 {
				sent++
			}
			continue
		}
		a.FirstEvent(now, &p)
		a.Release(now, p, placement.Answered)
	}
	c.Assert(sent < 5, qt.IsTrue, qt.Commentf("%d of 100 calls", sent))
}

// TestOverdueFirstEvent guards against chains that keep waiting behind a call whose first event is overdue, until that
// call ends.
func TestOverdueFirstEvent(t *testing.T) {
	c := qt.New(t)
	a := table(4, 1)
	// Small prompts, so that the load of the first choice isn't what moves the chain.
	r := placement.Request{Service: service, Session: 1, SharedTokens: 900, Tokens: 1000}
	first, _ := a.Choose(start, r)
	soon, _ := a.Choose(start.Add(50*time.Millisecond), r)
	c.Assert(soon.Server.ID, qt.Equals, first.Server.ID)
	late, _ := a.Choose(start.Add(time.Second), r)
	c.Assert(late.Server.ID, qt.Not(qt.Equals), first.Server.ID)
}

// TestSlowServerLosesChains guards against chains that stay at a server that has become several times slower.
func TestSlowServerLosesChains(t *testing.T) {
	c := qt.New(t)
	a := table(4, 1)
	now := start
	first, _ := a.Choose(now, chain(1))
	a.Release(now, first, placement.Answered)
	for i := range 60 {
		p, _ := a.Choose(now, chain(uint64(i)))
		took := 100 * time.Millisecond
		if p.Server.ID == first.Server.ID && i > 20 {
			took = 600 * time.Millisecond
		}
		now = now.Add(took)
		a.FirstEvent(now, &p)
		a.Release(now, p, placement.Answered)
	}
	p, _ := a.Choose(now, chain(1))
	c.Assert(p.Server.ID, qt.Not(qt.Equals), first.Server.ID)
}

// TestRestartedServerIsAnother guards against a release that is counted for the next life of a server.
func TestRestartedServerIsAnother(t *testing.T) {
	c := qt.New(t)
	a := table(1, 1)
	p, _ := a.Choose(start, chain(1))
	again := server(0)
	again.Born = start.Add(time.Second)
	c.Assert(a.Set(again), qt.IsTrue)
	a.Release(start, p, placement.Broken)
	c.Assert(a.Dump()[0].Running, qt.Equals, 0)
	c.Assert(a.Dump()[0].PausedUntil.IsZero(), qt.IsTrue)
}

// TestMisdirectedServerGetsNothing guards against calls to an address that another server has now.
func TestMisdirectedServerGetsNothing(t *testing.T) {
	c := qt.New(t)
	a := table(1, 1)
	p, _ := a.Choose(start, chain(1))
	a.Release(start, p, placement.Misdirected)
	_, ok := a.Choose(start, chain(1))
	c.Assert(ok, qt.IsFalse)
}

func BenchmarkChoose(b *testing.B) {
	for _, n := range []int{10, 100, 1000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			a := table(n, 1)
			b.ReportAllocs()
			for i := range b.N {
				p, _ := a.Choose(start, chain(uint64(i)))
				a.Release(start, p, placement.Answered)
			}
		})
	}
}
