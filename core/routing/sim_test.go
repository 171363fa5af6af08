package routing_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"ibiswinch/core/routing"
)

// The simulation has 12 engines in 3 failure domains. An engine has room for simCapacity tokens, computes prefillPerS
// prompt tokens and decodes decodePerS tokens of each request a second, and caches cacheBlocks blocks of simBlock
// tokens.
const (
	simCapacity   = 100_000
	prefillPerS   = 15_000
	decodePerS    = 50
	cacheBlocks   = 200
	simSeconds    = 40
	drainSeconds  = 15
	requestsPerS  = 100
	simBlock      = 256
	targetTTFT    = 380 * time.Millisecond
	queueDeadline = 2 * time.Second
)

// engine is a simulated backend server: prefill is first come, first served; decoding has a fixed speed.
type engine struct {
	routing.Server
	index        int
	speed        float64
	busyUntil    time.Time
	used         int64
	cache        []uint64
	overCapacity bool
	down         bool
	sequence     uint64
	reported     routing.Load
}

func (e *engine) start(now time.Time, prompt int64, prefixes []uint64) (first time.Time, cached int64, evicted []uint64) {
	for i, p := range prefixes {
		if at := slices.Index(e.cache, p); at >= 0 {
			e.cache = slices.Delete(e.cache, at, at+1)
			cached = int64(i+1) * simBlock
		}
		e.cache = append(e.cache, p)
	}
	if n := len(e.cache) - cacheBlocks; n > 0 {
		evicted = slices.Clone(e.cache[:n])
		e.cache = e.cache[n:]
	}
	work := float64(max(prompt-cached, 0)+20) / e.speed
	if e.used > e.Capacity {
		// An engine over its memory limit evicts running requests and computes them again.
		e.overCapacity = true
		work *= 2
	}
	if e.busyUntil.Before(now) {
		e.busyUntil = now
	}
	e.busyUntil = e.busyUntil.Add(time.Duration(work * float64(time.Second)))
	return e.busyUntil, cached, evicted
}

type simRequest struct {
	routing.Request
	vm      int
	arrived time.Time
	output  int64
	first   time.Time
	end     time.Time
	engine  *engine
	id      uint64
}

type simResult struct {
	total, withinTarget, refused, overCapacity, cacheHits int
	ttft                                                  []time.Duration
}

func (r *simResult) p95() time.Duration {
	if len(r.ttft) == 0 {
		return 0
	}
	slices.Sort(r.ttft)
	return r.ttft[len(r.ttft)*95/100]
}

// sim simulates one routing policy under one kind of load.
type sim struct {
	fleet
	policy  string
	load    string
	random  *rand.Rand
	engines []*engine
	byName  map[string]*engine
	queues  []*routing.Queue[*simRequest]
	running []*simRequest
	// roundRobinNext and outstanding are the state of the two baseline policies, per VM.
	roundRobinNext []int
	outstanding    [][]int
	result         simResult
}

func newSim(policy, load string) *sim {
	s := &sim{policy: policy, load: load, random: rand.New(rand.NewPCG(7, 7)), byName: map[string]*engine{}}
	s.domains = []routing.DomainSlots{{Name: "x", Slots: 3}, {Name: "y", Slots: 3}, {Name: "z", Slots: 2}}
	for i := range 12 {
		e := &engine{index: i, speed: prefillPerS, Server: routing.Server{
			Name: fmt.Sprintf("s%02d", i), Domain: s.domains[i%3].Name, Target: "m", Versions: []string{"1"}, Capacity: simCapacity,
		}}
		if load == "slow server" && i == 0 {
			e.speed /= 4
		}
		s.engines = append(s.engines, e)
		s.byName[e.Name] = e
		s.servers = append(s.servers, e.Server)
	}
	s.startAll()
	for range s.vms {
		s.queues = append(s.queues, routing.NewQueue[*simRequest](200))
		s.roundRobinNext = append(s.roundRobinNext, s.random.IntN(12))
		s.outstanding = append(s.outstanding, make([]int, 12))
	}
	return s
}

// arrival draws a request. The load balancer spreads callers evenly over the entry VMs.
func (s *sim) arrival(now time.Time, n int) *simRequest {
	r := &simRequest{vm: n % len(s.vms), arrived: now, output: 64 + s.random.Int64N(192)}
	prompt := 200 + s.random.Int64N(1600)
	switch {
	case s.load == "skewed prefixes":
		group := uint64(160 * s.random.Float64() * s.random.Float64())
		for b := range uint64(6) {
			r.Prefixes = append(r.Prefixes, group*100+b+1)
		}
		prompt = 6*simBlock + 100 + s.random.Int64N(200)
	case s.load == "overload":
		prompt += 2500
	case s.load == "long prompts" && s.random.IntN(20) == 0:
		prompt = 8000 + s.random.Int64N(4000)
	}
	r.Request.Target, r.Version = "m", "1"
	r.PromptTokens, r.Tokens = prompt, prompt+256
	return r
}

func (s *sim) run() *simResult {
	const step = 10 * time.Millisecond
	for i := range (simSeconds + drainSeconds) * 100 {
		now := epoch.Add(time.Duration(i) * step)
		failing := s.load == "failing domain" && i >= 1000 && i < 3000
		for _, e := range s.engines {
			e.down = failing && e.Domain == "z"
		}
		if i%50 == 0 {
			s.exchange(now)
		}
		if i%100 == 0 {
			s.report(now)
		}
		s.finish(now)
		for range requestsPerS / 100 {
			if i >= simSeconds*100 {
				break
			}
			r := s.arrival(now, s.result.total)
			s.result.total++
			s.queues[r.vm].Push(r, routing.Normal, now.Add(queueDeadline))
		}
		for vm, q := range s.queues {
			s.result.refused += len(q.Expire(now))
			q.Admit(4, func(r *simRequest) bool { return s.try(now, vm, r) })
		}
	}
	for _, e := range s.engines {
		if e.overCapacity {
			s.result.overCapacity++
		}
	}
	return &s.result
}

// report delivers the load reports of a second ago and measures new ones.
func (s *sim) report(now time.Time) {
	for _, e := range s.engines {
		for _, vm := range s.vms {
			vm.ObserveLoad(e.reported)
		}
		e.reported = routing.Load{Server: e.Name, At: now, Tokens: e.used}
	}
}

func (s *sim) finish(now time.Time) {
	s.running = slices.DeleteFunc(s.running, func(r *simRequest) bool {
		if !now.Before(r.first) {
			s.vms[r.vm].FirstToken(r.first, r.id)
		}
		if now.Before(r.end) {
			return false
		}
		r.engine.used -= r.PromptTokens + r.output
		s.outstanding[r.vm][r.engine.index]--
		s.vms[r.vm].Release(now, r.id, routing.Outcome{})
		wait := r.first.Sub(r.arrived)
		s.result.ttft = append(s.result.ttft, wait)
		if wait <= targetTTFT {
			s.result.withinTarget++
		}
		return true
	})
}

// try places a request. After a refused connection it tries another engine at once, up to 8 attempts.
func (s *sim) try(now time.Time, vm int, r *simRequest) bool {
	for range 8 {
		e := s.pick(now, vm, r)
		if e == nil {
			return false
		}
		if e.down {
			s.vms[vm].Release(now, r.id, routing.Outcome{Failed: true})
			r.Exclude = append(r.Exclude, e.Name)
			continue
		}
		first, cached, evicted := e.start(now, r.PromptTokens, r.Prefixes)
		if cached > 0 {
			s.result.cacheHits++
		}
		s.cacheEvent(now, e, evicted)
		e.used += r.PromptTokens + r.output
		s.outstanding[vm][e.index]++
		r.engine, r.first = e, first
		r.end = first.Add(time.Duration(r.output) * time.Second / decodePerS)
		s.running = append(s.running, r)
		return true
	}
	r.Exclude = nil
	return false
}

// cacheEvent delivers an eviction to all VMs with a time 200 ms in the past. One event in five is lost.
func (s *sim) cacheEvent(now time.Time, e *engine, evicted []uint64) {
	e.sequence++
	if len(evicted) == 0 || s.random.IntN(5) == 0 {
		return
	}
	for _, vm := range s.vms {
		vm.ObserveCache(routing.CacheEvent{Server: e.Name, Sequence: e.sequence, At: now.Add(-200 * time.Millisecond), Evicted: evicted})
	}
}

func (s *sim) pick(now time.Time, vm int, r *simRequest) *engine {
	if s.policy == "ibiswinch" {
		p, err := s.vms[vm].Choose(now, r.Request)
		if err != nil {
			return nil
		}
		r.id = p.ID
		return s.byName[p.Server]
	}
	var best *engine
	for i := range s.engines {
		e := s.engines[(s.roundRobinNext[vm]+i)%len(s.engines)]
		if slices.Contains(r.Exclude, e.Name) || e.Domain != s.vms[vm].domain && len(r.Exclude) < 4 {
			continue
		}
		if best == nil || s.policy == "least outstanding" && s.outstanding[vm][e.index] < s.outstanding[vm][best.index] {
			best = e
		}
	}
	if best != nil {
		s.roundRobinNext[vm] = best.index + 1
	}
	return best
}

// TestRoutingAgainstSimplePolicies guards against routing that exceeds the capacity of servers or does worse than round
// robin and least outstanding. Run with -v for the table of docs/routing.md.
func TestRoutingAgainstSimplePolicies(t *testing.T) {
	c := qt.New(t)
	for _, load := range []string{"uniform", "skewed prefixes", "long prompts", "slow server", "failing domain", "overload"} {
		results := map[string]*simResult{}
		for _, policy := range []string{"ibiswinch", "round robin", "least outstanding"} {
			r := newSim(policy, load).run()
			results[policy] = r
			t.Logf("| %s | %s | %.1f/s | %d of %d | %d | %.0f%% | %d ms |", load, policy, float64(r.withinTarget)/simSeconds,
				r.refused, r.total, r.overCapacity, 100*float64(r.cacheHits)/float64(r.total), r.p95().Milliseconds())
		}
		ours := results["ibiswinch"]
		c.Assert(ours.overCapacity, qt.Equals, 0)
		// With a failing domain or overload, requests are refused that the baseline policies send to full servers.
		if load == "failing domain" || load == "overload" {
			continue
		}
		c.Assert(ours.refused, qt.Equals, 0)
		for policy, r := range results {
			c.Assert(ours.withinTarget >= r.withinTarget && ours.p95() <= r.p95(), qt.IsTrue, qt.Commentf("%s with %s", policy, load))
		}
	}
}
