package rollout

import (
	"hash/fnv"
	"time"
)

const (
	// controlShare stays on the old version at the 100% stage until the change is final: without a control group, a
	// slow fleet can't be told from a slow version.
	controlShare Share = 100
	// probeShare is the share while a late fault is examined (the probe). Equal halves give a result soonest.
	probeShare Share = 5000
	// minProbe is the least duration of a probe.
	minProbe = 5 * time.Second
	// logTimeout is how long a VM waits to read its proposal from the log before it enters the next stage without it.
	logTimeout = 5 * time.Second
	// noEvidenceWait delays a takeBack for missing evidence after the deadline, so that the done record of a VM
	// with more evidence gets into the log first.
	noEvidenceWait = 5 * time.Second
	// peerTakeBackWait is how long a VM waits for the takeBack of the peer that stopped the change, which may have
	// died.
	peerTakeBackWait = 10 * time.Second
	// minSeen is the least number of requests to the new version that a done record requires.
	minSeen = 20
	// defaultWarmUpRequests is the number of requests to the new version at this VM before latencies count. With little
	// traffic the first requests come after the warm-up time and are still slow.
	defaultWarmUpRequests = 6
	// largePeriodRequests is the number of requests in a comparison period from which a fault that starts late is
	// tested in a new period, since the earlier requests would dilute it.
	largePeriodRequests = 50
)

// routeState is the state of a route that isn't exchanged with peers.
type routeState struct {
	latency [2]histogram
	// baseline counts the samples of the old version over all periods.
	baseline [metricCount]tally
	cusum    [metricCount]cusum
}

// tracker follows the newest change of one model at one entry VM.
type tracker struct {
	change         Change
	seed           uint64
	warmUpRequests uint32
	// stage is the stage in force at this VM. It is ahead of change.Stage when the log can't be read.
	stage    int
	entered  time.Time
	evidence *evidenceSet
	// own is the part of evidence from this VM. routes is indexed like evidence.routes.
	own    *authorEvidence
	routes []routeState
	// finding is the result of the last test.
	finding Finding
	// stop is set when this VM or a peer found a fault in the version; it is never reset.
	stop   Stop
	stopAt time.Time
	// withdrawn, expired and localDone are decisions of this VM that apply until the log decides otherwise.
	withdrawn bool
	expired   bool
	localDone bool
	// dirty is true when samples or evidence were added since the last test.
	dirty    bool
	testedAt time.Time
	// alarm is set by a CUSUM test and handled by the next tick.
	alarm         bool
	probing       bool
	probeUntil    time.Time
	cooldownUntil time.Time
	// proposedFrom is the highest stage that this VM proposed to leave, -1 for none.
	proposedFrom int
	proposedAt   time.Time
	doneAt       time.Time
	takeBackSent bool
	waiting      Waiting
	lastEvidence time.Time
}

func newTracker(change Change, c *Controller, now time.Time) *tracker {
	h := fnv.New64a()
	h.Write([]byte(change.ID))
	t := &tracker{
		change: change, seed: h.Sum64(), evidence: newEvidenceSet(), proposedFrom: -1, waiting: WaitingStageTime,
		warmUpRequests: uint32(c.warmUpRequests),
	}
	t.own = t.evidence.author(c.author)
	t.enterStage(change.Stage, now)
	return t
}

// enterStage starts a stage, and a new comparison period because the share changes.
func (t *tracker) enterStage(stage int, now time.Time) {
	t.stage = stage
	t.entered = now
	t.probing = false
	t.nextPeriod()
}

// nextPeriod starts a comparison period without counts.
func (t *tracker) nextPeriod() {
	t.own.nextPeriod(t.own.period + 1)
	for i := range t.routes {
		t.routes[i].cusum = [metricCount]cusum{}
	}
	t.alarm = false
	t.dirty = true
}

func (t *tracker) stopped() bool { return t.stop.Change != "" }

func (t *tracker) open() bool { return t.change.State == StateOpen && !t.stopped() }

// share returns the share of the traffic that the new version gets at this VM.
func (t *tracker) share() Share {
	switch {
	case t.stopped() || t.change.State == StateTakenBack:
		return 0
	case t.change.State == StateDone:
		return FullShare
	case t.withdrawn || t.expired:
		return 0
	case t.localDone:
		return FullShare
	case t.probing:
		return min(t.change.Rule.Stages[t.stage], probeShare)
	}
	return min(t.change.Rule.Stages[t.stage], FullShare-controlShare)
}

// choose reports whether a request gets the new version. The same hash keeps its version while the share stays, and a
// growing share only moves requests to the new version.
func (t *tracker) choose(hash uint64) bool {
	return Share(mix(hash^t.seed)%uint64(FullShare)) < t.share()
}

// mix spreads the bits of a hash (finalizer of SplitMix64).
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// stageDuration is the time left until the deadline, divided equally among the stages left, including the last one.
func (t *tracker) stageDuration() time.Duration {
	left := t.change.Rule.Deadline.Sub(t.entered)
	parts := t.change.Rule.lastStage() - t.stage + 1
	return max(0, left/time.Duration(parts))
}

// warmUp is the time at the start of a stage during which latencies don't count. A version that starts, or gets a
// higher load, fills its caches first. The first stage has few requests, so that a long warm-up costs little there.
func (t *tracker) warmUp() time.Duration {
	if t.stage == 0 {
		return t.stageDuration() / 2
	}
	return t.stageDuration() / 8
}

// cooldownTime is how long alarms are ignored after a new comparison period or a probe.
func (t *tracker) cooldownTime() time.Duration { return max(2*minProbe, t.stageDuration()/2) }

func (t *tracker) probeTime() time.Duration { return max(minProbe, t.stageDuration()/8) }

func (t *tracker) record(now time.Time, s Sample) {
	i := t.evidence.routeIndex(s.Route)
	if i < 0 {
		return
	}
	for len(t.routes) <= i {
		t.routes = append(t.routes, routeState{})
	}
	p, r := t.own.route(i), &t.routes[i]
	if s.New && s.Metric == MetricFailure {
		t.own.seen++
		t.lastEvidence = now
	}
	bad := s.Failed
	if s.Metric != MetricFailure {
		var counts bool
		if bad, counts = t.slow(now, r, s); !counts {
			return
		}
	}
	t.dirty = true
	if !s.New {
		p.old.add(s.Metric, bad)
		r.baseline[s.Metric].n++
		if bad {
			r.baseline[s.Metric].bad++
		}
		return
	}
	p.new.add(s.Metric, bad)
	if r.cusum[s.Metric].add(bad, r.baseline[s.Metric].badShare()) {
		t.alarm = true
	}
}

// slow reports whether a latency is above the old version's 90th percentile on the route, and whether it counts.
func (t *tracker) slow(now time.Time, r *routeState, s Sample) (isSlow, counts bool) {
	h := &r.latency[s.Metric-MetricFirstToken]
	bucket := bucketOf(s.Latency)
	isSlow = bucket > h.p90Bucket
	counts = h.known && now.Sub(t.entered) >= t.warmUp() && t.own.seen >= t.warmUpRequests
	if !s.New {
		h.add(bucket)
	}
	return isSlow, counts
}

func (t *tracker) ownEvidence(route int) Evidence {
	p := t.own.routes[route]
	return Evidence{
		Author: t.own.author,
		Change: t.change.ID,
		Route:  t.evidence.routes[route],
		Period: t.own.period,
		Seen:   t.own.seen,
		Old:    p.old,
		New:    p.new,
	}
}

func (t tally) badShare() float64 {
	if t.n == 0 {
		return 0
	}
	return float64(t.bad) / float64(t.n)
}
