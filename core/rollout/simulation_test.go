package rollout_test

import (
	"cmp"
	"math"
	"math/rand/v2"
	"time"

	"ibiswinch/core/rollout"
)

const (
	simVMs     = 8
	simDomains = 4
	simStep    = 50 * time.Millisecond
	// simLength is the time from the opening of a change to its deadline.
	simLength = 300 * time.Second
	// simTail is the time that is simulated after the deadline.
	simTail = 60 * time.Second
	// simSlots bounds the delay of a sample to simSlots steps.
	simSlots = 128
)

// policy is the way in which the versions of requests are decided.
type policy string

const (
	byController policy = "controller"
	// bySteps moves through the stages at fixed times, whatever the outcomes of requests.
	bySteps policy = "fixed steps"
	// byThreshold also stops all VMs at once when over 5% of at least 20 requests of the last 10 s failed.
	byThreshold policy = "5% errors"
)

// interval is a part of the simulated time. The zero value is empty.
type interval struct{ from, to time.Duration }

func (s interval) has(t time.Duration) bool { return s.from <= t && t < s.to }

// scenario is one test case. A fault lasts from faultAt to the end.
type scenario struct {
	name    string
	rate    float64
	faultAt time.Duration
	// failures and slowdown are the failure rate and the latency factor of the new version from faultAt.
	failures float64
	slowdown float64
	// onlyRoute limits the fault to one route, onlyAbove to a rate of requests to the new version.
	onlyRoute string
	onlyAbove float64
	// warmUp is how long the new version is slow after the start, and for the first requests at each VM.
	warmUp time.Duration
	// both applies the fault to the old version too.
	both bool
	// cut is when a network partition separates domain 1 from all others and from the log, logDown when no VM reaches the
	// log.
	cut, logDown interval
	// second adds a change of another model that fails at once.
	second bool
	// publishAt is when the operator replaces the rule, or withdraws it if replaced is false.
	publishAt time.Duration
	replaced  bool
	want      rollout.State
	reason    rollout.Reason
}

type pendingSample struct {
	vm        int
	mainModel bool
	rollout.Sample
}

type simulation struct {
	scenario
	policy policy
	rng    *rand.Rand
	t      time.Duration
	nodes  []*node
	log    [][]byte
	due    [simSlots][]pendingSample
	// stopAt is when each VM found the fault itself, 0 for never. stopped is the first of these times.
	stopAt  [simVMs]time.Duration
	stopped time.Duration
	seenBy  [simVMs]int
	total   int
	sentNew int
	// newRate is the rate of requests to the new version, averaged over about 2 s.
	newRate float64
	// recentRequests and recentFailures count the outcomes of the new version over about the last 10 s, for
	// byThreshold.
	recentRequests, recentFailures float64
	state                          rollout.State
	reason                         rollout.Reason
	// inTime is true when the decision was in force at all VMs by the deadline.
	inTime bool
	// ownAfter and peersAfter count requests to the new version after a VM found the fault, the latter for peersFor.
	ownAfter, peersAfter int
	peersFor             time.Duration
}

func newSimulation(s scenario, p policy, seed uint64) *simulation {
	sim := &simulation{scenario: s, policy: p, rng: rand.New(rand.NewPCG(seed, 1))}
	rules := []rollout.Rule{ruleFor(model, epoch.Add(simLength))}
	if s.second {
		rules = append(rules, ruleFor("other", epoch.Add(simLength)))
	}
	for i := range simVMs {
		sim.nodes = append(sim.nodes, newNode(i%simDomains, i, int(seed)))
		sim.nodes[i].SetRules(epoch, 1, rules)
	}
	return sim
}

func (sim *simulation) now() time.Time { return epoch.Add(sim.t) }

func (sim *simulation) reachable(a, b int) bool {
	return !sim.cut.has(sim.t) || (a%simDomains == 1) == (b%simDomains == 1)
}

func (sim *simulation) logReachable(vm int) bool {
	return !sim.logDown.has(sim.t) && (!sim.cut.has(sim.t) || vm%simDomains != 1)
}

func (sim *simulation) run() {
	end := simLength + simTail
	if sim.replaced {
		end += sim.publishAt
	}
	for ; sim.t < end; sim.t += simStep {
		if sim.publishAt > 0 && sim.t == sim.publishAt {
			sim.publish()
		}
		sim.requests()
		sim.deliverSamples()
		if sim.policy == byController {
			sim.tickFleet()
		}
		if sim.t == sim.deadline() {
			sim.inTime = sim.inForce()
		}
	}
	if sim.policy == byController {
		c, _ := sim.nodes[0].Changes().Latest(model)
		sim.state, sim.reason = c.State, c.Reason
	}
}

func (sim *simulation) deadline() time.Duration {
	if sim.replaced {
		return simLength + sim.publishAt
	}
	return simLength
}

func (sim *simulation) publish() {
	var rules []rollout.Rule
	if sim.replaced {
		rule := ruleFor(model, epoch.Add(sim.deadline()))
		rule.New = "v3"
		rules = append(rules, rule)
	}
	for _, n := range sim.nodes {
		n.SetRules(sim.now(), 2, rules)
	}
}

// inForce reports whether the wanted decision is in force at all VMs.
func (sim *simulation) inForce() bool {
	if sim.policy != byController {
		return (sim.stopped > 0) == (sim.want == rollout.StateTakenBack)
	}
	for _, n := range sim.nodes {
		d := n.Dump()[0]
		if sim.want == rollout.StateDone && d.Share < rollout.FullShare || sim.want == rollout.StateTakenBack && d.Share > 0 {
			return false
		}
	}
	return true
}

func (sim *simulation) requests() {
	mean := sim.rate * simStep.Seconds()
	n := int(mean)
	if sim.rng.Float64() < mean-float64(n) {
		n++
	}
	sent := sim.sentNew
	for range n {
		sim.request()
	}
	const decay = 1.0 / 40
	sim.newRate += decay * (float64(sim.sentNew-sent)/simStep.Seconds() - sim.newRate)
}

func (sim *simulation) request() {
	vm, name := sim.rng.IntN(simVMs), model
	if sim.second && sim.rng.IntN(2) == 0 {
		name = "other"
	}
	s := rollout.Sample{Route: [...]string{"a", "a", "a", "a", "a", "a", "a", "b", "b", "c"}[sim.rng.IntN(10)]}
	if sim.policy == byController {
		choice, _ := sim.nodes[vm].Choose(name, sim.rng.Uint64())
		s.Change, s.New = choice.Change, choice.New
	} else {
		stages := rollout.DefaultStages()
		stage := min(int(sim.t/(simLength/5)), len(stages)-1)
		s.New = sim.stopped == 0 && sim.rng.IntN(int(rollout.FullShare)) < int(stages[stage])
	}
	if sim.t < simLength && name == model {
		sim.total++
	}
	if s.New && name == model {
		sim.countNew(vm)
	}
	sim.drawOutcome(vm, name == model, s)
}

func (sim *simulation) countNew(vm int) {
	if sim.t < simLength {
		sim.sentNew++
	}
	sim.seenBy[vm]++
	for i, at := range sim.stopAt {
		switch {
		case at == 0:
		case i == vm:
			sim.ownAfter++
		case sim.reachable(i, vm) && sim.t >= sim.stopped:
			sim.peersAfter++
			sim.peersFor = max(sim.peersFor, sim.t-at)
			return
		}
	}
}

// drawOutcome draws the outcome of a request and queues its samples for the time when they are known.
func (sim *simulation) drawOutcome(vm int, mainModel bool, s rollout.Sample) {
	fail, slow := 0.005, 1+0.05*float64(vm%simDomains)
	faulty := sim.t >= sim.faultAt && (sim.onlyRoute == "" || sim.onlyRoute == s.Route) && sim.newRate >= sim.onlyAbove
	switch {
	case s.New && !mainModel:
		fail = 0.2
	case s.New && (sim.t < sim.warmUp || sim.warmUp > 0 && sim.seenBy[vm] <= 3):
		slow *= 3
	case faulty && mainModel && (s.New || sim.both):
		fail = max(fail, sim.failures)
		slow *= max(1, sim.slowdown)
	}
	first := time.Duration(80 * slow * math.Exp(0.4*sim.rng.NormFloat64()) * float64(time.Millisecond))
	gap := time.Duration(20 * slow * math.Exp(0.2*sim.rng.NormFloat64()) * float64(time.Millisecond))
	if s.Failed = sim.rng.Float64() < fail; s.Failed {
		sim.queue(100*time.Millisecond, vm, mainModel, s)
		return
	}
	sim.queue(first+20*gap, vm, mainModel, s)
	s.Metric, s.Latency = rollout.MetricFirstToken, first
	sim.queue(first, vm, mainModel, s)
	s.Metric, s.Latency = rollout.MetricGap, gap
	sim.queue(first+20*gap, vm, mainModel, s)
}

func (sim *simulation) queue(delay time.Duration, vm int, mainModel bool, s rollout.Sample) {
	slot := (sim.t/simStep + min(1+delay/simStep, simSlots-1)) % simSlots
	sim.due[slot] = append(sim.due[slot], pendingSample{vm, mainModel, s})
}

func (sim *simulation) deliverSamples() {
	slot := &sim.due[sim.t/simStep%simSlots]
	sim.recentRequests, sim.recentFailures = sim.recentRequests*0.995, sim.recentFailures*0.995
	for _, s := range *slot {
		if sim.policy == byController {
			sim.nodes[s.vm].Record(sim.now(), s.Sample)
		} else if s.New && s.mainModel && s.Metric == rollout.MetricFailure {
			sim.recentRequests++
			if s.Failed {
				sim.recentFailures++
			}
		}
	}
	*slot = (*slot)[:0]
	if sim.policy != byController {
		sim.runBaselinePolicy()
	}
}

// runBaselinePolicy decides for the policies without a controller.
func (sim *simulation) runBaselinePolicy() {
	if sim.policy == byThreshold && sim.stopped == 0 && sim.recentRequests >= 20 && sim.recentFailures*20 > sim.recentRequests {
		sim.stopped = sim.t
		sim.state, sim.reason = rollout.StateTakenBack, rollout.ReasonFailures
	}
	if sim.t >= simLength && sim.stopped == 0 {
		sim.state = rollout.StateDone
	}
}

// tickFleet runs the exchanges, log reads and writes and ticks of all VMs. A stop reaches the peers in the next step.
func (sim *simulation) tickFleet() {
	for i, n := range sim.nodes {
		for j, peer := range sim.nodes {
			if j != i && sim.reachable(i, j) {
				peer.receive(sim.now(), nil, n.unsentStops)
			}
		}
		n.unsentStops = nil
	}
	for i, n := range sim.nodes {
		round := int(sim.t/simStep) + i
		if round%10 == 0 {
			sim.exchange(i)
		}
		if round%2 == 0 {
			sim.tick(i, n)
		}
	}
}

func (sim *simulation) tick(i int, n *node) {
	n.handle(n.Tick(sim.now()))
	for _, stop := range n.unsentStops {
		if stop.Change == model+"@1" {
			sim.stopAt[i] = sim.t
			sim.stopped = cmp.Or(sim.stopped, sim.t)
		}
	}
	if sim.logReachable(i) {
		if data, _ := n.NextBatch(); data != nil {
			sim.log = append(sim.log, data)
		}
		n.pull(sim.now(), sim.log, len(sim.log))
	}
}

// exchange exchanges evidence and stops with the peers of the domain and one peer of each other domain.
func (sim *simulation) exchange(i int) {
	n, pick := sim.nodes[i], sim.rng.IntN(simVMs/simDomains)
	for j, peer := range sim.nodes {
		if j != i && sim.reachable(i, j) && (j%simDomains == i%simDomains || j/simDomains == pick) {
			peer.receive(sim.now(), n.Evidence(nil, 100), n.Stops())
			n.receive(sim.now(), peer.Evidence(nil, 100), peer.Stops())
		}
	}
}
