package placement_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"ibiswinch/core/placement"
)

// chosen returns the ids of the servers that get n calls without a prompt, one each 10 ms.
func chosen(t *placement.Table, now time.Time, n int) map[string]int {
	ids := map[string]int{}
	for i := range n {
		at := now.Add(time.Duration(i) * 10 * time.Millisecond)
		if p, ok := t.Choose(at, placement.Request{Service: service}); ok {
			ids[p.Server.ID]++
			t.Release(at, p, placement.Answered)
		}
	}
	return ids
}

// TestLeavingServerIsChosen guards against calls to a server that said that it leaves: when all others are paused, are
// excluded or aren't there, and after any news of the same incarnation.
func TestLeavingServerIsChosen(t *testing.T) {
	c := qt.New(t)
	isChosen := func(t *placement.Table) bool { return chosen(t, start.Add(time.Minute), 50)["s-0"] > 0 }
	a := table(2, 1)
	c.Assert(isChosen(a), qt.IsTrue)
	c.Assert(a.SetLeaving(start, server(0)), qt.IsTrue)
	c.Assert(a.SetLeaving(start, server(0)), qt.IsFalse)
	c.Assert(isChosen(a), qt.IsFalse)
	_, ok := a.Choose(start, placement.Request{Service: service, Excluded: []string{"s-1"}})
	c.Check(ok, qt.IsFalse)

	p, _ := a.Choose(start, placement.Request{Service: service})
	a.Release(start, p, placement.Unreachable)
	p, ok = a.Choose(start, placement.Request{Service: service})
	c.Assert(ok, qt.IsTrue)
	c.Check(p.Server.ID, qt.Equals, "s-1")

	newer := server(0)
	newer.Sequence = 7
	a.SetServer(newer)
	c.Check(isChosen(a), qt.IsFalse)
	moved := newer
	moved.Addr = server(9).Addr
	a.SetServer(moved)
	c.Check(isChosen(a), qt.IsFalse)
	a.RemoveServer("s-0")
	a.SetServer(server(0))
	c.Check(isChosen(a), qt.IsFalse)
	a.RemoveServer("s-1")
	c.Check(isChosen(a), qt.IsFalse)
	c.Check(a.HasServers(service), qt.IsFalse)
}

// TestNextServerCountsAsLeaving guards against a server that gets no calls because one before it, under its id or at its
// address, said that it leaves.
func TestNextServerCountsAsLeaving(t *testing.T) {
	c := qt.New(t)
	a := table(1, 1)
	old, _ := a.Choose(start, placement.Request{Service: service})
	restarted := server(0)
	restarted.Born = start.Add(time.Second)
	a.SetServer(restarted)
	a.SetLeaving(start, old.Server)
	c.Check(chosen(a, start, 1), qt.DeepEquals, map[string]int{"s-0": 1})
	a.SetLeaving(start, restarted)
	c.Check(chosen(a, start, 1), qt.HasLen, 0)
	other := server(1)
	other.Addr = restarted.Addr
	a.SetServer(other)
	c.Check(chosen(a, start, 1), qt.DeepEquals, map[string]int{"s-1": 1})
}

// TestPlacedCallGoesToLeavingServer guards against a call that was placed before its server said that it leaves.
func TestPlacedCallGoesToLeavingServer(t *testing.T) {
	c := qt.New(t)
	a := table(1, 1)
	p, _ := a.Choose(start, placement.Request{Service: service})
	c.Check(a.TakesCalls(p), qt.IsTrue)
	a.SetLeaving(start, server(0))
	c.Check(a.TakesCalls(p), qt.IsFalse)
}
