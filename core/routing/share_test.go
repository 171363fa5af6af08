package routing_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"ibiswinch/core/record"
	"ibiswinch/core/routing"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		_ = f.Value.Set("1")
	}
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

// entryVM is one incarnation of a simulated entry VM.
type entryVM struct {
	*routing.Table
	domain string
	slot   int
	ids    []uint64
}

// fleet is a set of entry VMs in front of servers. It keeps all rows that were sent, so that they can be repeated late.
type fleet struct {
	domains        []routing.DomainSlots
	slotsPerServer int
	servers        []routing.Server
	vms            []*entryVM
	starts         int
	rows           [][]routing.ShareRow
}

func (f *fleet) start(domain string, slot int) *entryVM {
	f.starts++
	self := routing.Incarnation{
		Author:  record.Author{VM: fmt.Sprint(domain, slot), Incarnation: fmt.Sprint(f.starts)},
		Started: epoch.Add(time.Duration(f.starts) * time.Second),
	}
	table, err := routing.NewTable(routing.Config{
		Self: self, Domain: domain, Slot: slot, Domains: f.domains, SlotsPerServer: f.slotsPerServer, Seed: uint64(f.starts),
	})
	if err != nil {
		panic(err)
	}
	table.SetServers(f.servers)
	return &entryVM{Table: table, domain: domain, slot: slot}
}

func (f *fleet) startAll() {
	for _, d := range f.domains {
		for slot := range d.Slots {
			f.vms = append(f.vms, f.start(d.Name, slot))
		}
	}
}

// exchange delivers the rows and offers of all VMs to all others.
func (f *fleet) exchange(now time.Time) {
	for _, a := range f.vms {
		a.Tick(now)
		offers := a.Offers(now, 1000)
		for _, b := range f.vms {
			if a == b {
				continue
			}
			if a.domain == b.domain {
				b.MergeRows(now, a.RowsFor(b.slot, 1000))
			} else {
				b.MergeOffers(offers)
			}
		}
	}
}

// usage returns for each server the sums over all running VMs of the held tokens, and of the larger of limit and held.
func (f *fleet) usage(now time.Time) (held, limits map[string]int64) {
	held, limits = map[string]int64{}, map[string]int64{}
	for _, vm := range f.vms {
		for _, d := range vm.Dump(now) {
			held[d.Server] += d.HeldTokens
			limits[d.Server] += max(d.LimitTokens, d.HeldTokens)
		}
	}
	return held, limits
}

func (f *fleet) choose(now time.Time, vm *entryVM, r routing.Request) error {
	p, err := vm.Choose(now, r)
	if err == nil {
		vm.ids = append(vm.ids, p.ID)
	}
	return err
}

// TestSharesNeverExceedCapacity guards against entry VMs that together exceed the capacity of a server while rows are
// lost, repeated and reordered, VMs are killed and restarted, and load reports lag. It checks the sums over the
// running VMs of what they hold and of what they may hold.
func TestSharesNeverExceedCapacity(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := &fleet{
			domains: []routing.DomainSlots{
				{Name: "x", Slots: rapid.IntRange(2, 4).Draw(t, "slots")}, {Name: "y", Slots: 1},
				{Name: "z", Slots: 1}, {Name: "w", Slots: 1},
			},
			slotsPerServer: rapid.IntRange(1, 4).Draw(t, "spread"),
		}
		capacity := rapid.Int64Range(1, 400).Draw(t, "capacity")
		f.servers = []routing.Server{
			{Name: "s", Domain: "x", Target: "m", Versions: []string{"1"}, Capacity: capacity},
			{Name: "s2", Domain: "y", Target: "m", Versions: []string{"1"}, Capacity: capacity},
		}
		f.startAll()
		// The steps come from a separate generator, since drawing thousands of values from rapid is slow.
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "steps"), 1))
		for step := range 400 {
			now := epoch.Add(time.Duration(step) * 100 * time.Millisecond)
			f.step(now, random, capacity)
			held, limits := f.usage(now)
			for _, s := range f.servers {
				if held[s.Name] > capacity || limits[s.Name] > capacity {
					t.Fatalf("step %d: %s holds %d, could hold %d of %d", step, s.Name, held[s.Name], limits[s.Name], capacity)
				}
			}
		}
	})
}

func (f *fleet) step(now time.Time, random *rand.Rand, capacity int64) {
	i := random.IntN(len(f.vms))
	vm, peer := f.vms[i], f.vms[random.IntN(len(f.vms))]
	switch action := random.IntN(60); {
	case action < 3:
		f.vms[i] = f.start(vm.domain, vm.slot)
	case action < 30 && vm.domain == peer.domain:
		vm.Tick(now)
		rows := vm.RowsFor(peer.slot, 3)
		f.rows = append(f.rows, rows)
		if random.IntN(3) > 0 {
			peer.MergeRows(now, rows)
		}
	case action < 30:
		peer.MergeOffers(vm.Offers(now, 3))
	case action < 38 && len(f.rows) > 0:
		late := f.rows[max(0, len(f.rows)-1-random.IntN(60))]
		for _, to := range f.vms {
			if to.domain == "x" && len(late) > 0 && to.slot == late[0].ToSlot {
				to.MergeRows(now, late)
			}
		}
	case action < 54:
		tokens := 1 + random.Int64N(capacity/8+1)
		for range 1 + random.IntN(8) {
			_ = f.choose(now, vm, routing.Request{Target: "m", Version: "1", Tokens: tokens, Priority: routing.High})
		}
		vm.ObserveLoad(routing.Load{Server: "s", At: now.Add(-3 * time.Second), Tokens: capacity / 3})
	default:
		keep := random.IntN(len(vm.ids) + 1)
		for _, id := range vm.ids[keep:] {
			vm.Release(now, id, routing.Outcome{})
		}
		vm.ids = vm.ids[:keep]
	}
}

// TestSharesFollowDemand guards against shares that stay at VMs without demand, and against a part of the capacity that
// no VM may use.
func TestSharesFollowDemand(t *testing.T) {
	c := qt.New(t)
	f := &fleet{domains: []routing.DomainSlots{{Name: "x", Slots: 3}, {Name: "y", Slots: 1}}}
	f.servers = []routing.Server{{Name: "s", Domain: "x", Target: "m", Versions: []string{"1"}, Capacity: 90_000}}
	f.startAll()
	now := epoch
	fill := func(vm *entryVM) (n int64) {
		for f.choose(now, vm, routing.Request{Target: "m", Version: "1", Tokens: 500, Priority: routing.High}) == nil {
			n += 500
		}
		return n
	}
	for range 20 {
		now = now.Add(500 * time.Millisecond)
		f.exchange(now)
	}
	c.Assert(f.vms[0].Dump(now)[0].LimitTokens, qt.Equals, int64(27_000))
	for range 20 {
		fill(f.vms[0])
		now = now.Add(500 * time.Millisecond)
		f.exchange(now)
	}
	// A third of the fixed part, and both pair pools of the VM: 6,750 + 2 x 20,250.
	c.Assert(f.vms[0].Dump(now)[0].HeldTokens, qt.Equals, int64(47_000))
	for range 3 {
		for _, vm := range f.vms {
			fill(vm)
		}
		now = now.Add(500 * time.Millisecond)
		f.exchange(now)
	}
	held, limits := f.usage(now)
	c.Assert(limits["s"], qt.Equals, int64(90_000))
	// Nothing is offered to the other domain while the shares are nearly used up, so its tenth stays free.
	c.Assert(held["s"] > 79_000, qt.IsTrue, qt.Commentf("%d", held["s"]))
	// A restarted VM starts with its fixed share, and gets tokens of the pools again after two exchanges.
	f.vms[0] = f.start("x", 0)
	c.Assert(fill(f.vms[0]), qt.Equals, int64(6_500))
	for range 3 {
		now = now.Add(500 * time.Millisecond)
		f.exchange(now)
		fill(f.vms[0])
	}
	c.Assert(f.vms[0].Dump(now)[0].HeldTokens > 20_000, qt.IsTrue)
	_, limits = f.usage(now)
	c.Assert(limits["s"], qt.Equals, int64(90_000))
}
