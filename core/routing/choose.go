package routing

import (
	"slices"
	"time"
)

const (
	// sampleSize is the number of servers that are compared, in addition to those known to cache a prefix.
	sampleSize = 8
	// maxProbes bounds the servers that are tried when none of the sample has room.
	maxProbes = 64
	// requestOverheadTokens is the fixed cost of a request, in tokens.
	requestOverheadTokens = 64
	// loadWeight is the part of the tokens at a server that a new request is assumed to wait for. Most of them are
	// decoded beside it, and the report lags by seconds, so a higher weight sends the requests of all entry VMs to the
	// same server until the next report.
	loadWeight = 0.01
	// refusalRetryDelay is the delay after which a request refused for lack of room may be retried.
	refusalRetryDelay = 250 * time.Millisecond
)

// reservedPercent is the part of a share that is kept for higher priorities.
func (p Priority) reservedPercent() int64 {
	switch {
	case p < Normal:
		return 15
	case p == Normal:
		return 5
	}
	return 0
}

// candidate is the best server found so far, and the reasons against the others.
type candidate struct {
	server *server
	cost   float64
	cached int64
	// refusedReasons is the set of reasons found, as bits in the order of reasonOrder.
	refusedReasons uint32
	probeAt        time.Time
	// leastFull is the local server with the most room among those whose share is full. A refusal raises the demand
	// there.
	leastFull *server
}

// Choose places a request and holds its tokens until Release. An error is always a *Refusal.
func (t *Table) Choose(now time.Time, r Request) (Placement, error) {
	var c candidate
	if t.stopped {
		return Placement{}, &Refusal{Reason: ReasonLeaving}
	}
	cached := t.prefixes.lookup(now, r.Prefixes, t.cfg.BlockTokens)
	t.search(now, &r, t.cfg.Domain, cached[:], &c)
	for i := 0; c.server == nil && !r.Suspect && i < len(t.cfg.Domains); i++ {
		if d := t.cfg.Domains[i].Name; d != t.cfg.Domain {
			t.search(now, &r, d, cached[:], &c)
		}
	}
	if c.server == nil {
		return Placement{}, t.refuse(now, &r, &c)
	}
	return t.place(now, &r, &c), nil
}

// search evaluates servers of a domain and keeps the best one in c.
func (t *Table) search(now time.Time, r *Request, domain string, cached []cachedPrefix, c *candidate) {
	group := t.groups[groupKey{target: r.Target, version: r.Version, domain: domain}]
	n := len(group)
	if n == 0 {
		return
	}
	size := sampleSize
	if r.Suspect {
		size = maxProbes
	}
	for _, k := range cached {
		if k.server != nil && k.server.Domain == domain && k.server.Target == r.Target &&
			k.server.maxLimit > 0 && slices.Contains(k.server.Versions, r.Version) {
			t.evaluate(now, r, k.server, k.tokens, c)
		}
	}
	if len(r.Prefixes) > 0 {
		// When no location is known, all entry VMs send equal prefixes to the same server as far as their shares allow.
		t.evaluate(now, r, group[r.Prefixes[0]%uint64(n)], 0, c)
	}
	start := int(t.nextRandom() % uint64(n))
	// Servers are tried in order from a random start, so that none is tried twice.
	for i := 0; i < min(n, maxProbes) && (i < size || c.server == nil); i++ {
		s := group[(start+i)%n]
		t.evaluate(now, r, s, cachedTokensAt(cached, s), c)
	}
}

func cachedTokensAt(cached []cachedPrefix, s *server) int64 {
	for _, k := range cached {
		if k.server == s {
			return k.tokens
		}
	}
	return 0
}

// nextRandom returns the next number of a SplitMix64 generator.
func (t *Table) nextRandom() uint64 {
	t.random += 0x9e3779b97f4a7c15
	z := t.random
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return z ^ z>>31
}

// evaluate checks whether the server admits the request and replaces the candidate if the server costs less.
func (t *Table) evaluate(now time.Time, r *Request, s *server, cached int64, c *candidate) {
	if s == c.server {
		return
	}
	reason := s.checkAdmission(now, r)
	if r.Suspect && reason == ReasonChosen {
		reason = s.checkSuspectAdmission(now, t.cfg.Slot)
	}
	s.lastReason, s.lastAt = reason, now
	if reason != ReasonChosen {
		c.addRefusal(s, reason)
		return
	}
	cost := t.cost(now, r, s, cached)
	if c.server != nil && c.cost <= cost {
		s.lastReason = ReasonOutscored
		return
	}
	if c.server != nil {
		c.server.lastReason = ReasonOutscored
	}
	c.server, c.cost, c.cached = s, cost, cached
}

func (c *candidate) addRefusal(s *server, reason Reason) {
	c.refusedReasons |= 1 << slices.Index(reasonOrder, reason)
	switch reason {
	case ReasonUnhealthy:
		if c.probeAt.IsZero() || s.probeAt.Before(c.probeAt) {
			c.probeAt = s.probeAt
		}
	case ReasonShareFull:
		if s.local && (c.leastFull == nil || s.limit-s.held > c.leastFull.limit-c.leastFull.held) {
			c.leastFull = s
		}
	}
}

// checkAdmission returns ReasonChosen, or the reason why the server can't take the request.
func (s *server) checkAdmission(now time.Time, r *Request) Reason {
	if s.isLeaving() {
		return ReasonLeaving
	}
	if slices.Contains(r.Exclude, s.Name) {
		return ReasonExcluded
	}
	if reason := s.check(now); reason != "" {
		return reason
	}
	if r.Tokens > s.maxLimit {
		return ReasonTooLarge
	}
	limit := s.limit
	if !s.local {
		limit = min(limit, s.offered(now))
		if limit == 0 {
			return ReasonNotOffered
		}
	}
	// The reserve for higher priorities doesn't apply while nothing is held, or small shares would never admit a
	// request.
	if s.held > 0 {
		limit -= limit * r.Priority.reservedPercent() / 100
	}
	if s.held+r.Tokens > limit {
		return ReasonShareFull
	}
	if s.loadAt(now)+r.Tokens > s.Capacity {
		return ReasonServerLoaded
	}
	return ReasonChosen
}

// checkSuspectAdmission isolates crash suspects: one entry VM and one suspect per server at a time.
func (s *server) checkSuspectAdmission(now time.Time, slot int) Reason {
	if s.hasSuspect(now) || suspectSlot(now, s.slots, s.ordinal) != slot {
		return ReasonSuspects
	}
	return ReasonChosen
}

// work is the number of prompt tokens that are computed before the first token: the uncached part of the request, and
// that of requests at the server without a first token. This VM knows only its own and assumes as many for each other
// slot. A small part of the total load is added.
func work(now time.Time, r *Request, s *server, cached int64) int64 {
	others := int64(len(s.pools) + 1)
	return uncached(r, cached) + s.pending*others + int64(loadWeight*float64(s.loadAt(now)))
}

func uncached(r *Request, cached int64) int64 {
	return max(r.PromptTokens-cached, 0) + requestOverheadTokens
}

// hasSuspect reports whether a crash suspect is known to run at the server.
func (s *server) hasSuspect(now time.Time) bool {
	return s.suspects > 0 || slices.ContainsFunc(s.pools, func(p pairPool) bool { return now.Before(p.suspectUntil) })
}

// besideSuspectCost is added to the cost of a server where a crash suspect runs, so that it is only chosen when no
// other server has room. If such servers were excluded, a suspect could cause refusals of other requests.
const besideSuspectCost = 1e6

// cost estimates the seconds to the first token. For a crash suspect it is the load, so that it goes where the fewest
// tokens are in flight.
func (t *Table) cost(now time.Time, r *Request, s *server, cached int64) float64 {
	if !r.Suspect && s.hasSuspect(now) {
		return besideSuspectCost + float64(s.held)
	}
	if r.Suspect {
		return float64(s.loadAt(now))
	}
	speed := s.secondsPerToken
	if speed == 0 {
		speed = t.meanSecondsPerToken
	}
	if speed == 0 {
		speed = 1
	}
	return speed * float64(work(now, r, s, cached))
}

// place records the request at the candidate server.
func (t *Table) place(now time.Time, r *Request, c *candidate) Placement {
	s := c.server
	t.lastID++
	h := hold{
		server:  s,
		tokens:  r.Tokens,
		sentAt:  now,
		work:    work(now, r, s, c.cached),
		pending: uncached(r, c.cached),
		suspect: r.Suspect,
	}
	s.pending += h.pending
	t.holds[t.lastID] = h
	s.held += r.Tokens
	s.inFlight++
	if r.Suspect {
		s.suspects++
	}
	s.demand = max(s.demand, s.held)
	s.sent.add(now, r.Tokens)
	for _, p := range r.Prefixes[:min(len(r.Prefixes), maxBlocks)] {
		t.prefixes.add(p, s, now)
	}
	return Placement{ID: t.lastID, Server: s.Name, Domain: s.Domain, CachedTokens: c.cached}
}

// refuse returns the most promising of the reasons found, and raises the demand where the share was full.
func (t *Table) refuse(now time.Time, r *Request, c *candidate) *Refusal {
	if s := c.leastFull; s != nil {
		s.demand = max(s.demand, s.held+r.Tokens)
	}
	for i, reason := range reasonOrder {
		if c.refusedReasons&(1<<i) == 0 {
			continue
		}
		switch reason {
		case ReasonUnhealthy:
			return &Refusal{Reason: reason, RetryAt: c.probeAt}
		case ReasonShareFull, ReasonServerLoaded, ReasonSuspects, ReasonProbing, ReasonNotOffered:
			return &Refusal{Reason: reason, RetryAt: now.Add(refusalRetryDelay)}
		}
		return &Refusal{Reason: reason}
	}
	return &Refusal{Reason: ReasonNoServer}
}
