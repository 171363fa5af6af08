package routing_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rotisserie/eris"

	"ibiswinch/core/routing"
)

// singleVM returns the only entry VM of a domain with n servers of the given capacity.
func singleVM(n int, capacity int64) *entryVM {
	f := &fleet{domains: []routing.DomainSlots{{Name: "x", Slots: 1}}}
	for i := range n {
		f.servers = append(f.servers, routing.Server{
			Name: fmt.Sprintf("s%04d", i), Domain: "x", Target: "m", Versions: []string{"1"}, Capacity: capacity,
		})
	}
	return f.start("x", 0)
}

func newRequest(tokens int64) routing.Request {
	return routing.Request{Target: "m", Version: "1", Tokens: tokens, PromptTokens: tokens / 2}
}

func reasonOf(err error) routing.Reason {
	var refusal *routing.Refusal
	if !eris.As(err, &refusal) {
		return routing.ReasonChosen
	}
	return refusal.Reason
}

// TestRefusals guards against requests to servers that must not get any, and against refusals with a wrong reason.
func TestRefusals(t *testing.T) {
	c := qt.New(t)
	vm := singleVM(1, 1000)
	now := epoch
	try := func(r routing.Request) routing.Reason {
		return reasonOf(eris.Wrap(emptyFleet.choose(now, vm, r), "try"))
	}
	c.Assert(vm.MergeRows(now, []routing.ShareRow{{Server: "s0000"}}), qt.Equals, 1)
	c.Assert(vm.MergeOffers([]routing.Offer{{Server: "s0000", Tokens: -1}}), qt.Equals, 1)
	c.Assert(try(routing.Request{Target: "m", Version: "2", Tokens: 1}), qt.Equals, routing.ReasonNoServer)
	c.Assert(try(newRequest(1001)), qt.Equals, routing.ReasonTooLarge)
	excluded := newRequest(1)
	excluded.Exclude = []string{"s0000"}
	c.Assert(try(excluded), qt.Equals, routing.ReasonExcluded)
	for _, leave := range []func(bool){
		func(on bool) {
			vm.SetServers([]routing.Server{{Name: "s0000", Domain: "x", Target: "m", Versions: []string{"1"}, Capacity: 1000, Leaving: on}})
		},
		func(on bool) { vm.SetPlatformLeaving(map[bool][]string{true: {"s0000"}}[on]) },
		func(on bool) {
			now = now.Add(time.Second)
			vm.ObserveLoad(routing.Load{Server: "s0000", At: now, Leaving: on})
		},
	} {
		leave(true)
		c.Assert(try(newRequest(1)), qt.Equals, routing.ReasonLeaving)
		leave(false)
	}
	now = now.Add(time.Second)
	vm.ObserveLoad(routing.Load{Server: "s0000", At: now, Tokens: 700})
	c.Assert(try(newRequest(301)), qt.Equals, routing.ReasonServerLoaded)
	c.Assert(try(newRequest(300)), qt.Equals, routing.ReasonChosen)
	// What was sent since the report counts, although the report doesn't show it.
	c.Assert(try(newRequest(1)), qt.Equals, routing.ReasonServerLoaded)
	now = now.Add(time.Minute)
	c.Assert(try(newRequest(600)), qt.Equals, routing.ReasonChosen)
	low, high := newRequest(60), newRequest(100)
	low.Priority, high.Priority = routing.Low, routing.High
	c.Assert(try(low), qt.Equals, routing.ReasonShareFull)
	c.Assert(try(newRequest(100)), qt.Equals, routing.ReasonShareFull)
	c.Assert(try(high), qt.Equals, routing.ReasonChosen)
	vm.Stop()
	c.Assert(try(newRequest(1)), qt.Equals, routing.ReasonLeaving)
}

var emptyFleet = &fleet{}

// TestGradualRecovery guards against a failed server that gets its full load at once when it recovers.
func TestGradualRecovery(t *testing.T) {
	c := qt.New(t)
	vm := singleVM(1, 1_000_000)
	now := epoch
	p, err := vm.Choose(now, newRequest(1))
	c.Assert(err, qt.IsNil)
	vm.Release(now, p.ID, routing.Outcome{Crashed: true})
	_, err = vm.Choose(now, newRequest(1))
	c.Assert(err.(*routing.Refusal), qt.DeepEquals, &routing.Refusal{Reason: routing.ReasonUnhealthy, RetryAt: now.Add(time.Second)})
	now = now.Add(time.Second)
	for _, want := range []int{1, 2, 4, 8, 100} {
		var ids []uint64
		for len(ids) < 100 {
			p, err := vm.Choose(now, newRequest(1))
			if err != nil {
				break
			}
			ids = append(ids, p.ID)
		}
		c.Assert(ids, qt.HasLen, want)
		for _, id := range ids {
			vm.Release(now, id, routing.Outcome{})
		}
	}
}

// TestPrefixAffinity guards against requests that miss a cached prefix, and against lost or late cache events after
// which requests keep going to a server that no longer has the prefix.
func TestPrefixAffinity(t *testing.T) {
	c := qt.New(t)
	vm := singleVM(20, 1_000_000)
	now := epoch
	r := newRequest(8000)
	r.Prefixes = []uint64{11, 12, 13}
	place := func() routing.Placement {
		now = now.Add(time.Second)
		p, err := vm.Choose(now, r)
		c.Assert(err, qt.IsNil)
		vm.Release(now, p.ID, routing.Outcome{})
		return p
	}
	first := place()
	again := place()
	c.Assert(again.Server, qt.Equals, first.Server)
	c.Assert(again.CachedTokens, qt.Equals, int64(3*256))
	event := func(sequence uint64, at time.Time, evicted ...uint64) {
		vm.ObserveCache(routing.CacheEvent{Server: first.Server, Sequence: sequence, At: at, Evicted: evicted})
	}
	event(1, now.Add(-time.Second), 11, 12, 13)
	c.Assert(place().CachedTokens, qt.Equals, int64(3*256))
	event(3, now.Add(time.Millisecond))
	c.Assert(place().CachedTokens, qt.Equals, int64(3*256/2))
	event(4, now.Add(time.Millisecond), 12, 13)
	c.Assert(place().CachedTokens, qt.Equals, int64(256))
	vm.ObserveCache(routing.CacheEvent{Server: first.Server, Sequence: 5, At: now.Add(time.Millisecond), Cleared: true})
	c.Assert(place().CachedTokens, qt.Equals, int64(0))
}

// TestOfferToOtherDomain guards against requests to another domain beyond the share it offers, or after it has
// withdrawn the offer.
func TestOfferToOtherDomain(t *testing.T) {
	c := qt.New(t)
	f := &fleet{domains: []routing.DomainSlots{{Name: "x", Slots: 1}, {Name: "y", Slots: 1}}}
	f.servers = []routing.Server{{Name: "s", Domain: "y", Target: "m", Versions: []string{"1"}, Capacity: 1000}}
	f.startAll()
	x, y := f.vms[0], f.vms[1]
	c.Assert(reasonOf(f.choose(epoch, x, newRequest(10))), qt.Equals, routing.ReasonNotOffered)
	f.exchange(epoch)
	c.Assert(f.choose(epoch, x, newRequest(90)), qt.IsNil)
	c.Assert(reasonOf(f.choose(epoch, x, newRequest(20))), qt.Equals, routing.ReasonShareFull)
	c.Assert(f.choose(epoch, y, newRequest(800)), qt.IsNil)
	f.exchange(epoch.Add(time.Second))
	c.Assert(reasonOf(f.choose(epoch, x, newRequest(1))), qt.Equals, routing.ReasonNotOffered)
}

// TestQueueOrder guards against a queue that grows without bound, serves in the wrong order or keeps expired requests.
func TestQueueOrder(t *testing.T) {
	c := qt.New(t)
	q := routing.NewQueue[string](3)
	at := func(s int) time.Time { return epoch.Add(time.Duration(s) * time.Second) }
	q.Push("late", routing.Normal, at(9))
	q.Push("low", routing.Low, at(1))
	q.Push("soon", routing.Normal, at(5))
	dropped, full := q.Push("high", routing.High, at(20))
	c.Assert(full, qt.IsTrue)
	c.Assert(dropped, qt.Equals, "low")
	c.Assert(q.Expire(at(5)), qt.DeepEquals, []string{"soon"})
	var order []string
	q.Admit(1, func(s string) bool { order = append(order, s); return s == "high" })
	c.Assert(order, qt.DeepEquals, []string{"high", "late"})
	c.Assert(q.Remove(func(s string) bool { return s == "late" }), qt.Equals, 1)
	c.Assert(q.Len(), qt.Equals, 0)
}

// BenchmarkChoose fails if a choice allocates more than twice. The time should grow far less than the number of
// servers.
func BenchmarkChoose(b *testing.B) {
	for _, n := range []int{10, 100, 1000, 7100} {
		vm := singleVM(n, 1_000_000)
		r := newRequest(2000)
		r.Prefixes = []uint64{1, 2, 3, 4, 5, 6, 7, 8}
		choose := func() {
			p, err := vm.Choose(epoch, r)
			if err != nil {
				b.Fatal(err)
			}
			vm.FirstToken(epoch.Add(time.Second), p.ID)
			vm.Release(epoch, p.ID, routing.Outcome{})
			r.Prefixes[0]++
		}
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				choose()
			}
		})
		if allocs := testing.AllocsPerRun(1000, choose); allocs > 2 {
			b.Fatalf("choice among %d servers allocates %v times", n, allocs)
		}
	}
}
