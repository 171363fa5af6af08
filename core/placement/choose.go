package placement

import (
	"math"
	"time"

	"ibiswinch/core/cost"
)

const (
	// minAffinityTokens is the length from which a shared prefix decides the server. Shorter ones go to a server with little
	// work.
	minAffinityTokens = 600
	// rankedCandidates is the number of servers in the ranking of a prefix that may take its calls, further ones only if they
	// are sampled at random.
	rankedCandidates = 4
	// sampledLocal and sampledServers are the numbers of servers, of the own zone and of all, that are sampled at random where what
	// the other entry VMs report decides. All of them have the same figures for some time: if each sent to the best of all
	// servers, they would send to the same one.
	sampledLocal   = 3
	sampledServers = 2
	// maxSampleDraws bounds the draws for servers of the own zone.
	maxSampleDraws = 16
	// scannedServers is the number of servers up to which all are compared, as a sample of few would miss the best too often.
	scannedServers = 8
	// nearEqualPercent of the usual time is the difference between servers up to which chance decides. Entry VMs with the same
	// figures would otherwise all prefer the server that looks a little faster, until it is the slower one.
	nearEqualPercent = 50
	// missWeight is the weight of shared tokens that a server must read again. They delay the calls behind this one too, and
	// displace other prompts from the cache.
	missWeight = 2
	// streamWeight is the weight of the time that the output of a call is expected to take, which a slow server and prompts that it
	// reads meanwhile prolong. It counts less than the first event, as most of it passes unnoticed between events.
	streamWeight = 0.25
	// remoteZonePenalty is added for servers in other zones, in calls.
	remoteZonePenalty = 1.5
)

// cachedShares are the parts of a shared prefix that the servers of its ranking probably have in their caches. Calls that its
// first choice had no time for went to the next ones.
var cachedShares = [rankedCandidates]float64{1, 0.5, 0.25, 0}

// Choose places a call where its first event is expected first, with the work counted that it would cause. It reports false if
// no server takes calls.
func (t *Table) Choose(now time.Time, r Request) (Placement, bool) {
	usable := t.usable(now, r, false)
	if len(usable) == 0 {
		usable = t.usable(now, r, true)
	}
	if len(usable) == 0 {
		return Placement{}, false
	}
	q := query{table: t, now: now, request: r, costs: t.costsOf(r.Service), usable: usable}
	q.usual = q.usualTime()
	q.expectOutput()
	if r.PrefixID != 0 && r.PrefixTokens >= minAffinityTokens {
		q.choosePreferred()
	} else {
		q.chooseLeastLoaded()
	}
	return q.place(), true
}

// candidate is a server that may take the call.
type candidate struct {
	*server
	// rank is the position of the server in the ranking for the prefix, cached the number of shared tokens that it probably
	// has in its cache.
	rank   int
	cached int64
	price  float64
}

// query is one choice. usual is the price at a server of usual speed without work.
type query struct {
	usual float64
	// expectedOutput is the number of output tokens that the call is likely to get, outputTime the seconds that they take.
	expectedOutput int64
	outputTime     float64
	table          *Table
	now            time.Time
	request        Request
	costs          *serviceCosts
	usable         []*server
	best           candidate
}

// consider makes the server the choice if its price, in seconds, is the lowest so far.
func (q *query) consider(c candidate, penalty float64) {
	c.price = q.price(&c) + penalty
	if q.best.server == nil || c.price < q.best.price {
		q.best = c
	}
}

// price is the expected time to the first event, with missWeight for tokens that are read again, and with streamWeight that of
// the output.
func (q *query) price(c *candidate) float64 {
	factor := c.factor(q.now)
	if q.request.Tokens <= 0 {
		// Idle servers are equal, or all calls of a quiet service would go to the one that seems a little faster.
		return factor * q.costs.callTime(q.request.Route) * c.running(q.now, q.costs) / c.slots()
	}
	t := q.predict(c.server, q.uncached(c.cached), factor)
	if missed := q.request.PrefixTokens - c.cached; missed > 0 {
		t += (missWeight - 1) * q.costs.prefill.PerToken().Seconds() * float64(missed)
	}
	batch := c.running(q.now, q.costs) / c.slots()
	return t + streamWeight*q.outputTime*factor*(1+batch+c.promptShare(q.now, q.costs))
}

// uncached returns the number of prompt tokens that a server reads if it has some in its cache.
func (q *query) uncached(cached int64) int64 {
	if q.request.Tokens <= 0 {
		return 0
	}
	return max(q.request.Tokens-cached, 1)
}

// predict returns the expected seconds to the first event, or to the answer of a call without a prompt, at a server that takes
// factor times as long as usual.
func (q *query) predict(s *server, uncached int64, factor float64) float64 {
	if q.request.Tokens <= 0 {
		return factor * q.costs.callTime(q.request.Route) * (1 + s.running(q.now, q.costs)/s.slots())
	}
	perToken := q.costs.prefill.PerToken().Seconds()
	running := s.running(q.now, q.costs)
	t := q.costs.prefill.Base().Seconds()*(1+running/s.slots()) + perToken*(s.waiting(q.now, perToken*factor)+float64(uncached))
	return factor*t + s.slotWait(q.now, q.costs)*factor
}

// usualTime returns the seconds that the call takes at a server of usual speed without work.
func (q *query) usualTime() float64 {
	if q.request.Tokens <= 0 {
		return q.costs.callTime(q.request.Route)
	}
	return q.costs.prefill.Predict(float64(q.request.Tokens)).Seconds()
}

// expectOutput predicts the output of the call.
func (q *query) expectOutput() {
	q.expectedOutput = q.table.outputs.Expected(q.outputRequest())
	q.outputTime = float64(q.expectedOutput) * q.costs.tokenTime
}

func (q *query) outputRequest() cost.OutputRequest {
	r := &q.request
	return cost.OutputRequest{Kind: cost.OutputKind{Route: r.Route, Team: r.Team}, Max: r.MaxOutputTokens, Hint: r.LengthHint}
}

// callUnit returns the seconds by which one further call delays the next one, in which penalties are counted.
func (q *query) callUnit(s *server) float64 {
	if q.request.Tokens <= 0 {
		return q.costs.callTime(q.request.Route) / s.slots()
	}
	return (q.costs.prefill.Base().Seconds() + streamWeight*q.outputTime) / s.slots()
}

// penalty is what a server that isn't chosen for a prefix is charged beside its work. The random part decides between servers
// with about the same work.
func (q *query) penalty(s *server) float64 {
	calls := 0.0
	if s.Zone != q.table.zone {
		calls += remoteZonePenalty
	}
	if s.limit != nil {
		calls += limitedPenalty
	}
	tie := q.callUnit(s) / 2
	if q.request.Tokens > 0 && q.table.HasReports(q.now) {
		tie = max(tie, q.usual*nearEqualPercent/100)
	}
	return calls*q.callUnit(s) + q.table.random.Float64()*tie
}

// choosePreferred chooses among the first servers of the ranking for the prefix and some others. All entry VMs rank alike, so the
// first one has the prefix in its cache. Of the next ones only one takes part, at random, so that entry VMs with the same
// figures don't all send their calls there.
func (q *query) choosePreferred() {
	ranking, n := q.rank()
	shared := float64(q.request.PrefixTokens)
	q.consider(candidate{server: ranking[0].server, cached: int64(shared)}, 0)
	if n > 1 {
		i := 1
		if q.table.HasReports(q.now) {
			i += q.table.random.IntN(n - 1)
		}
		q.consider(candidate{server: ranking[i].server, rank: i, cached: int64(shared * cachedShares[i])}, 0)
	}
	for range min(sampledServers, len(q.usable)-n) {
		s := q.usable[q.table.random.IntN(len(q.usable))]
		if !isRanked(ranking[:n], s) {
			q.consider(candidate{server: s, rank: rankedCandidates}, q.penalty(s))
		}
	}
}

// rankedServer is a server with its weight for a prefix.
type rankedServer struct {
	*server
	weight uint64
}

func isRanked(ranking []rankedServer, s *server) bool {
	for _, r := range ranking {
		if r.server == s {
			return true
		}
	}
	return false
}

// rank returns the usable servers with the highest weights for the prefix, and their number.
func (q *query) rank() (ranking [rankedCandidates]rankedServer, n int) {
	for _, s := range q.usable {
		weight := mix(q.request.PrefixID ^ s.key)
		i := n
		for i > 0 && weight > ranking[i-1].weight {
			i--
		}
		if i == rankedCandidates {
			continue
		}
		n = min(n+1, rankedCandidates)
		copy(ranking[i+1:n], ranking[i:n-1])
		ranking[i] = rankedServer{server: s, weight: weight}
	}
	return ranking, n
}

// mix spreads the differences of keys over all bits.
func mix(h uint64) uint64 {
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	h *= 0xc4ceb9fe1a85ec53
	return h ^ h>>33
}

// chooseLeastLoaded chooses a server with little work, preferably of the own zone: the best of all by the own calls, or the best
// of some by the reports of the other entry VMs.
func (q *query) chooseLeastLoaded() {
	if len(q.usable) <= scannedServers || !q.table.HasReports(q.now) {
		for _, s := range q.usable {
			q.consider(candidate{server: s}, q.penalty(s))
		}
		return
	}
	for range sampledServers {
		s := q.draw()
		q.consider(candidate{server: s}, q.penalty(s))
	}
	for local, draws := 0, 0; local < sampledLocal && draws < maxSampleDraws; draws++ {
		if s := q.draw(); s.Zone == q.table.zone {
			q.consider(candidate{server: s}, q.penalty(s))
			local++
		}
	}
}

func (q *query) draw() *server { return q.usable[q.table.random.IntN(len(q.usable))] }

// place counts the call at the chosen server.
func (q *query) place() Placement {
	s, r := q.best.server, &q.request
	factor, uncached := s.factor(q.now), q.uncached(q.best.cached)
	usual := q.predict(s, uncached, 1)
	p := Placement{
		Server: s.Server, Rank: q.best.rank, Candidates: len(q.usable),
		Predicted: seconds(q.predict(s, uncached, factor)), tokens: uncached, sentAt: q.now,
		usual: seconds(usual), behind: s.waiting(q.now, q.costs.prefill.PerToken().Seconds()), route: r.Route, hasPrompt: r.Tokens > 0,
		output: q.outputRequest(), expectedOutput: q.expectedOutput,
	}
	if r.TargetLatency > 0 {
		p.overloadedAt = q.now.Add(r.TargetLatency * overloadedPercent / 100)
	}
	s.countCall()
	s.add(q.now, &p)
	return p
}

func seconds(s float64) time.Duration {
	return time.Duration(min(max(s, 0), math.MaxInt32) * float64(time.Second))
}
