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
// excluded or aren't there, and after any update of the same incarnation.
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

// TestPeersTellOfLeaving guards against news of a server that leaves that isn't passed on, is passed on for good, or concerns
// another incarnation.
func TestPeersTellOfLeaving(t *testing.T) {
	c := qt.New(t)
	a, b := table(1, 1), table(1, 2)
	a.SetLeaving(start, server(0))
	told := a.Leaving(start.Add(-time.Second))
	c.Assert(told, qt.DeepEquals, []string{server(0).Incarnation()})
	c.Check(a.Leaving(start.Add(time.Second)), qt.HasLen, 0)
	c.Check(b.SetPeerLeaving(start, "s-0@1"), qt.IsFalse)
	c.Check(b.SetPeerLeaving(start, "s-9@1000000"), qt.IsFalse)
	c.Check(chosen(b, start, 1), qt.DeepEquals, map[string]int{"s-0": 1})
	c.Check(b.SetPeerLeaving(start, told[0]), qt.IsTrue)
	c.Check(b.SetPeerLeaving(start, told[0]), qt.IsFalse)
	c.Check(chosen(b, start, 1), qt.HasLen, 0)
	c.Check(b.Leaving(start.Add(-time.Second)), qt.HasLen, 0)
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
	c.Check(a.TakesCalls(start, p), qt.IsTrue)
	a.SetLeaving(start, server(0))
	c.Check(a.TakesCalls(start, p), qt.IsFalse)
}

// TestWaitingServerIsChosen guards against calls to a server before the time that it named: when there is no other one, when
// the others are paused, at the end of a shorter pause, after an answer of an earlier call, and after a refusal that names an
// earlier time.
func TestWaitingServerIsChosen(t *testing.T) {
	const wait = 2 * time.Second
	c := qt.New(t)
	a := table(2, 1)
	var earlier []placement.Placement
	for range 20 {
		p, _ := a.Choose(start, placement.Request{Service: service})
		earlier = append(earlier, p)
	}
	until, begins := a.SetWait(start, server(0), start.Add(wait))
	c.Assert(begins, qt.IsTrue)
	c.Assert(until.Before(start.Add(wait)), qt.IsFalse)
	c.Assert(until.Before(start.Add(wait+wait/2)), qt.IsTrue)
	again, begins := a.SetWait(start, server(0), start.Add(wait/4))
	c.Check(begins, qt.IsFalse)
	c.Check(again, qt.Equals, until)
	for i, p := range earlier {
		outcome := placement.Answered
		if i%2 == 1 {
			outcome = placement.Rejected
		}
		a.Release(start, p, outcome)
	}
	for at := start; at.Before(start.Add(wait)); at = at.Add(50 * time.Millisecond) {
		p, ok := a.Choose(at, placement.Request{Service: service})
		c.Assert(ok, qt.IsTrue)
		c.Assert(p.Server.ID, qt.Equals, "s-1")
		a.Release(at, p, placement.Unreachable)
		_, ok = a.Choose(at, placement.Request{Service: service, Excluded: []string{"s-1"}})
		c.Assert(ok, qt.IsFalse)
	}
	a.RemoveServer("s-0")
	a.SetServer(server(0))
	a.RemoveServer("s-1")
	c.Check(chosen(a, start.Add(wait/2), 10), qt.HasLen, 0)
	c.Check(chosen(a, until, 10), qt.DeepEquals, map[string]int{"s-0": 10})
}

// TestMalformedWaits guards against waits of no time or of years that keep a server from calls for good, or that fail.
func TestMalformedWaits(t *testing.T) {
	c := qt.New(t)
	a := table(1, 1)
	for _, wait := range []time.Duration{0, -time.Second, -1 << 63} {
		_, begins := a.SetWait(start, server(0), start.Add(wait))
		c.Check(begins, qt.IsFalse)
	}
	c.Check(chosen(a, start, 5), qt.DeepEquals, map[string]int{"s-0": 5})
	for _, wait := range []time.Duration{365 * 24 * time.Hour, 1<<63 - 1} {
		until, _ := a.SetWait(start, server(0), start.Add(wait))
		c.Check(until.Before(start.Add(time.Hour)), qt.IsFalse)
		c.Check(until.Before(start.Add(2*time.Hour)), qt.IsTrue)
	}
	c.Check(chosen(a, start.Add(59*time.Minute), 5), qt.HasLen, 0)
	c.Check(chosen(a, start.Add(2*time.Hour), 5), qt.DeepEquals, map[string]int{"s-0": 5})
	restarted := server(0)
	restarted.Born = start.Add(time.Second)
	a.SetServer(restarted)
	c.Check(chosen(a, start.Add(time.Second), 5), qt.DeepEquals, map[string]int{"s-0": 5})
}

// TestCallsComeBackAtOnce guards against entry VMs that all send calls again at the moment at which a server takes them, and
// against one that sends many.
func TestCallsComeBackAtOnce(t *testing.T) {
	const wait, vms = 4 * time.Second, 100
	c := qt.New(t)
	inTime := func(passed time.Duration) (calls, callers int) {
		for seed := range uint64(vms) {
			a := table(1, seed+1)
			a.SetWait(start, server(0), start.Add(wait))
			before := calls
			for at := start; !at.After(start.Add(wait + passed)); at = at.Add(10 * time.Millisecond) {
				if _, ok := a.Choose(at, placement.Request{Service: service}); ok {
					calls++
				}
			}
			if calls > before {
				callers++
			}
		}
		return calls, callers
	}
	calls, _ := inTime(0)
	c.Check(calls, qt.Equals, 0)
	calls, callers := inTime(100 * time.Millisecond)
	c.Check(callers < vms/4, qt.IsTrue, qt.Commentf("%d", callers))
	c.Check(calls < vms/2, qt.IsTrue, qt.Commentf("%d", calls))
	_, callers = inTime(time.Second)
	c.Check(callers, qt.Equals, vms)
	calls, _ = inTime(2500 * time.Millisecond)
	c.Check(calls > 50*vms, qt.IsTrue, qt.Commentf("%d", calls))
}

// TestNextCall guards against a time to return at that isn't the earliest at which some server takes a call, and against one
// while a server takes calls.
func TestNextCall(t *testing.T) {
	c := qt.New(t)
	a := table(3, 1)
	first, _ := a.SetWait(start, server(0), start.Add(2*time.Second))
	a.SetWait(start, server(1), start.Add(5*time.Second))
	c.Check(a.NextCall(start, service).IsZero(), qt.IsTrue)
	a.SetLeaving(start, server(2))
	c.Check(a.NextCall(start, service), qt.Equals, first)
	_, ok := a.Choose(first.Add(-time.Nanosecond), placement.Request{Service: service})
	c.Check(ok, qt.IsFalse)
	_, ok = a.Choose(first, placement.Request{Service: service})
	c.Check(ok, qt.IsTrue)
	c.Check(a.NextCall(first, service).After(first), qt.IsTrue)
}

// TestPlacedCallGoesToWaitingServer guards against a call that was placed before its server asked for a wait.
func TestPlacedCallGoesToWaitingServer(t *testing.T) {
	c := qt.New(t)
	a := table(1, 1)
	p, _ := a.Choose(start, placement.Request{Service: service})
	until, _ := a.SetWait(start, server(0), start.Add(time.Second))
	c.Check(a.TakesCalls(start, p), qt.IsFalse)
	c.Check(a.TakesCalls(until, p), qt.IsTrue)
}
