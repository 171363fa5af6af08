package retry_test

import (
	"flag"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"ibiswinch/core/record"
	"ibiswinch/core/retry"
	"ibiswinch/core/routing"
)

const (
	stepInterval = 20 * time.Millisecond
	// innocentPerStep makes 150 requests/s of 4 s on average, so that about 50 are in flight at each of 12 servers.
	innocentPerStep = 3
	restartAfter    = 8 * time.Second
	requestTimeout  = 60 * time.Second
)

type call struct {
	fingerprint string
	// crasher is the index of the fingerprint, -1 for an innocent request.
	crasher  int
	server   string
	id       uint64
	end      time.Time
	deadline time.Time
	runs     int
	started  time.Time
	nextTry  time.Time
}

type simulatedVM struct {
	table      *routing.Table
	quarantine *retry.Quarantine
	policy     retry.Policy
	domain     string
	slot       int
	waiting    []*call
	running    []*call
}

type crashSimulation struct {
	random    *rand.Rand
	vms       []*simulatedVM
	downUntil map[string]time.Time
	domainOf  map[string]string
	// crashAt is when a server crashes because of a running request; crashCause is the index of its fingerprint.
	crashAt    map[string]time.Time
	crashCause map[string]int
	// serversLost counts the crashes per fingerprint and domain.
	serversLost map[string]int
	// wronglyRefused counts innocent requests refused by the quarantine; missedDeadline counts those that missed their
	// deadline or ran out of retries; ranThreeTimes counts those that ran a third time.
	wronglyRefused, missedDeadline, ranThreeTimes, innocent, crashes int
	longestRequest                                                   time.Duration
	// nextArrival is when the caller of a crashing request sends it next, by index of its fingerprint; zero while the
	// request is with an entry VM.
	nextArrival map[int]time.Time
}

func newCrashSimulation(fingerprints int, seed uint64) *crashSimulation {
	s := &crashSimulation{
		random: rand.New(rand.NewPCG(seed, 1)), downUntil: map[string]time.Time{}, domainOf: map[string]string{},
		crashAt: map[string]time.Time{}, crashCause: map[string]int{}, serversLost: map[string]int{}, nextArrival: map[int]time.Time{},
	}
	domains := []routing.DomainSlots{{Name: "x", Slots: 3}, {Name: "y", Slots: 3}, {Name: "z", Slots: 2}}
	var servers []routing.Server
	for i := range 12 {
		server := routing.Server{Name: fmt.Sprintf("s%02d", i), Domain: domains[i%3].Name, Target: "m", Versions: []string{"1"}, Capacity: 200}
		servers = append(servers, server)
		s.domainOf[server.Name] = server.Domain
	}
	for _, d := range domains {
		for slot := range d.Slots {
			table, err := routing.NewTable(routing.Config{
				Self:   routing.Incarnation{Author: record.Author{VM: fmt.Sprint(d.Name, slot), Incarnation: "1"}, Started: epoch},
				Domain: d.Name, Slot: slot, Domains: domains, Seed: uint64(len(s.vms)),
			})
			if err != nil {
				panic(err)
			}
			table.SetServers(servers)
			s.vms = append(s.vms, &simulatedVM{
				table: table, domain: d.Name, slot: slot,
				quarantine: retry.NewQuarantine(retry.QuarantineConfig{}),
				policy:     retry.Policy{Budget: retry.NewBudget(0)},
			})
		}
	}
	for i := range fingerprints {
		s.nextArrival[i] = epoch.Add(6*time.Second + time.Duration(i)*4*time.Second)
	}
	return s
}

// sendEntries sends the entries of vm to its domain and to one VM of each other domain; one message in ten is lost.
func (s *crashSimulation) sendEntries(now time.Time, vm *simulatedVM) {
	entries := vm.quarantine.Entries(1000)
	first := map[string]bool{}
	for _, i := range s.random.Perm(len(s.vms)) {
		other := s.vms[i]
		if other == vm || other.domain != vm.domain && first[other.domain] {
			continue
		}
		first[other.domain] = true
		if s.random.IntN(10) > 0 {
			other.quarantine.Merge(now, entries)
		}
	}
}

func (s *crashSimulation) exchange(now time.Time) {
	for _, vm := range s.vms {
		vm.table.Tick(now)
		vm.quarantine.Expire(now)
		s.sendEntries(now, vm)
		offers := vm.table.Offers(now, 100)
		for _, other := range s.vms {
			if other.domain != vm.domain {
				other.table.MergeOffers(offers)
			} else if other != vm {
				other.table.MergeRows(now, vm.table.RowsFor(other.slot, 100))
			}
		}
	}
}

func (s *crashSimulation) run() {
	for i := range 6000 {
		now := epoch.Add(time.Duration(i) * stepInterval)
		if i%25 == 0 {
			s.exchange(now)
		}
		for range innocentPerStep {
			if i < 3000 {
				s.arrive(now, &call{crasher: -1})
			}
		}
		for f := range len(s.nextArrival) {
			if at := s.nextArrival[f]; !at.IsZero() && !now.Before(at) {
				s.nextArrival[f] = time.Time{}
				s.arrive(now, &call{crasher: f, fingerprint: fmt.Sprint("bad", f)})
			}
		}
		s.crashServers(now)
		for _, vm := range s.vms {
			s.step(now, vm)
		}
	}
}

func (s *crashSimulation) arrive(now time.Time, c *call) {
	if c.crasher < 0 {
		s.innocent++
		c.fingerprint = fmt.Sprint("innocent", s.innocent)
	}
	c.deadline = now.Add(requestTimeout)
	vm := s.vms[s.random.IntN(len(s.vms))]
	vm.policy.Budget.AddRequest()
	vm.waiting = append(vm.waiting, c)
}

func (s *crashSimulation) step(now time.Time, vm *simulatedVM) {
	vm.running = slices.DeleteFunc(vm.running, func(c *call) bool {
		if now.Before(c.end) {
			return false
		}
		vm.table.Release(now, c.id, routing.Outcome{})
		vm.quarantine.Completed(now, c.fingerprint)
		s.longestRequest = max(s.longestRequest, now.Sub(c.deadline.Add(-requestTimeout)))
		return true
	})
	// Of the suspects, those that started last go first: a crash follows soon after the start of the request that
	// caused it.
	slices.SortStableFunc(vm.waiting, func(a, b *call) int { return b.started.Compare(a.started) })
	for _, c := range slices.Clone(vm.waiting) {
		s.dispatch(now, vm, c)
	}
}

func (s *crashSimulation) dispatch(now time.Time, vm *simulatedVM, c *call) {
	if now.Before(c.nextTry) {
		return
	}
	check := vm.quarantine.Check(now, c.fingerprint)
	if check.State == retry.Quarantined || !now.Before(c.deadline) {
		s.refuse(now, vm, c, check.State)
		return
	}
	r := routing.Request{Target: "m", Version: "1", Tokens: 1, PromptTokens: 1, Suspect: check.State == retry.Suspect, Exclude: check.Avoid}
	p, err := vm.table.Choose(now, r)
	if err != nil {
		c.nextTry = now.Add(100 * time.Millisecond)
		return
	}
	s.dequeue(vm, c)
	if now.Before(s.downUntil[p.Server]) {
		vm.table.Release(now, p.ID, routing.Outcome{Crashed: true})
		vm.waiting = append(vm.waiting, c)
		return
	}
	c.server, c.id = p.Server, p.ID
	c.runs++
	c.started = now
	if c.runs == 3 && c.crasher < 0 {
		s.ranThreeTimes++
	}
	c.end = now.Add(2*time.Second + time.Duration(s.random.IntN(4000))*time.Millisecond)
	vm.running = append(vm.running, c)
	if r.Suspect {
		s.announceSuspect(now, vm)
	}
	if c.crasher >= 0 {
		s.crashAt[c.server] = now.Add(100 * time.Millisecond)
		s.crashCause[c.server] = c.crasher
	}
}

// announceSuspect tells the other VMs of the domain that a suspect runs; one message in ten is lost.
func (s *crashSimulation) announceSuspect(now time.Time, vm *simulatedVM) {
	for _, other := range s.vms {
		if other != vm && other.domain == vm.domain && s.random.IntN(10) > 0 {
			other.table.MergeRows(now, vm.table.RowsFor(other.slot, 100))
		}
	}
}

func (s *crashSimulation) dequeue(vm *simulatedVM, c *call) {
	vm.waiting = slices.DeleteFunc(vm.waiting, func(w *call) bool { return w == c })
}

// refuse ends a call. The caller of a crashing request repeats it through another entry VM.
func (s *crashSimulation) refuse(now time.Time, vm *simulatedVM, c *call, state retry.State) {
	s.dequeue(vm, c)
	switch {
	case c.crasher >= 0:
		s.nextArrival[c.crasher] = now.Add(200 * time.Millisecond)
	case state == retry.Quarantined:
		s.wronglyRefused++
	default:
		s.missedDeadline++
	}
}

// crashServers crashes the servers whose time has come. Each entry VM notices the loss of its own connections and tells
// its domain at once.
func (s *crashSimulation) crashServers(now time.Time) {
	for i := range 12 {
		server := fmt.Sprintf("s%02d", i)
		at, dying := s.crashAt[server]
		if !dying || now.Before(at) {
			continue
		}
		delete(s.crashAt, server)
		s.downUntil[server] = now.Add(restartAfter)
		s.crashes++
		s.serversLost[fmt.Sprint(s.crashCause[server], s.domainOf[server])]++
		for _, vm := range s.vms {
			s.handleCrash(now, vm, server)
		}
	}
}

func (s *crashSimulation) handleCrash(now time.Time, vm *simulatedVM, server string) {
	var lost []*call
	var requests []retry.InFlight
	vm.running = slices.DeleteFunc(vm.running, func(c *call) bool {
		if c.server == server {
			lost = append(lost, c)
			requests = append(requests, retry.InFlight{Fingerprint: c.fingerprint, Started: c.started})
		}
		return c.server == server
	})
	if vm.quarantine.Crashed(now, server, requests) {
		s.sendEntries(now, vm)
	}
	for _, c := range lost {
		vm.table.Release(now, c.id, routing.Outcome{Crashed: true})
		d := vm.policy.Decide(now, retry.Attempt{Count: c.runs, Idempotent: true, Deadline: c.deadline})
		if d != retry.Retry {
			s.refuse(now, vm, c, retry.Suspect)
			continue
		}
		vm.waiting = append(vm.waiting, c)
	}
}

var crashSeeds = flag.Uint64("crash.seeds", 1, "seeds per row of TestCrashingRequests")

// TestCrashingRequests guards against a request that crashes one server after another, and against innocent requests
// that are refused because they were in flight at those crashes. With 3 and 10 fingerprints on 12 servers the targets
// are not met on every seed, see docs/quarantine.md; the bounds here are the worst of 8 seeds. The table there comes
// from -v -crash.seeds 8.
func TestCrashingRequests(t *testing.T) {
	c := qt.New(t)
	maxServersLost := map[int]int{1: 2, 3: 3, 10: 4}
	for _, n := range []int{1, 3, 10} {
		for seed := range *crashSeeds {
			s := newCrashSimulation(n, seed)
			s.run()
			lost := slices.Max(slices.Collect(maps.Values(s.serversLost)))
			t.Logf("| %d | %d | %d | %d | %d | %d | %d | %d | %.1f s |",
				n, seed, s.crashes, lost, s.innocent, s.wronglyRefused, s.missedDeadline, s.ranThreeTimes, s.longestRequest.Seconds())
			c.Check(lost <= maxServersLost[n], qt.IsTrue)
			if n == 1 {
				c.Check(s.wronglyRefused+s.missedDeadline+s.ranThreeTimes, qt.Equals, 0)
			}
		}
	}
}
