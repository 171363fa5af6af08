package rollout

import (
	"slices"

	"github.com/rotisserie/eris"

	"ibiswinch/core/record"
)

// Limits of the evidence kept per change.
const (
	maxRoutes  = 64
	maxAuthors = 4096
)

// Metric is what is compared between the versions.
type Metric uint8

// Metrics, in the order in which they are tested.
const (
	MetricFailure Metric = iota
	MetricFirstToken
	MetricGap
	metricCount
)

func (m Metric) reason() Reason {
	return [...]Reason{ReasonFailures, ReasonFirstToken, ReasonGap}[m]
}

// Counts holds the sample counts of one version on one route in a comparison period. They only grow.
type Counts struct {
	Requests        uint32 `json:"requests"`
	Failures        uint32 `json:"failures"`
	FirstTokens     uint32 `json:"firstTokens"`
	SlowFirstTokens uint32 `json:"slowFirstTokens"`
	Gaps            uint32 `json:"gaps"`
	SlowGaps        uint32 `json:"slowGaps"`
}

func (c *Counts) add(m Metric, bad bool) {
	n, b := &c.Requests, &c.Failures
	switch m {
	case MetricFirstToken:
		n, b = &c.FirstTokens, &c.SlowFirstTokens
	case MetricGap:
		n, b = &c.Gaps, &c.SlowGaps
	}
	*n++
	if bad {
		*b++
	}
}

func (c *Counts) tally(m Metric) tally {
	switch m {
	case MetricFirstToken:
		return tally{c.FirstTokens, c.SlowFirstTokens}
	case MetricGap:
		return tally{c.Gaps, c.SlowGaps}
	}
	return tally{c.Requests, c.Failures}
}

func (c *Counts) merge(o Counts) {
	c.Requests = max(c.Requests, o.Requests)
	c.Failures = max(c.Failures, o.Failures)
	c.FirstTokens = max(c.FirstTokens, o.FirstTokens)
	c.SlowFirstTokens = max(c.SlowFirstTokens, o.SlowFirstTokens)
	c.Gaps = max(c.Gaps, o.Gaps)
	c.SlowGaps = max(c.SlowGaps, o.SlowGaps)
}

func (c *Counts) valid() bool {
	return c.Failures <= c.Requests && c.SlowFirstTokens <= c.FirstTokens && c.SlowGaps <= c.Gaps
}

// Evidence holds the counts of one entry VM for both versions on one route. Both are sent together, so that they are
// always from the same period.
type Evidence struct {
	Author record.Author `json:"author"`
	Change string        `json:"change"`
	Route  string        `json:"route"`
	// Period numbers the comparison periods of the author. A higher one replaces the counts of a lower one.
	Period uint32 `json:"period"`
	// Seen counts the requests to the new version on all routes and in all periods.
	Seen uint32 `json:"seen"`
	Old  Counts `json:"old"`
	New  Counts `json:"new"`
}

// Validate checks the evidence of a peer.
func (e Evidence) Validate() error {
	switch {
	case e.Author.VM == "" || e.Author.Incarnation == "":
		return eris.New("evidence without author")
	case len(e.Author.VM) > maxNameBytes || len(e.Author.Incarnation) > maxNameBytes || len(e.Route) > maxNameBytes:
		return eris.New("evidence with a name that is too long")
	case !e.Old.valid() || !e.New.valid():
		return eris.New("evidence counts more bad samples than samples")
	}
	return validateID(e.Change)
}

// versionCounts holds the counts of both versions on one route.
type versionCounts struct{ old, new Counts }

// authorEvidence is the evidence of one author.
type authorEvidence struct {
	author record.Author
	period uint32
	seen   uint32
	// routes is indexed like evidenceSet.routes; it may be shorter.
	routes []versionCounts
}

func (s *authorEvidence) route(i int) *versionCounts {
	for len(s.routes) <= i {
		s.routes = append(s.routes, versionCounts{})
	}
	return &s.routes[i]
}

// nextPeriod discards the counts and starts the next period.
func (s *authorEvidence) nextPeriod(period uint32) {
	s.period = period
	clear(s.routes)
}

// evidenceSet holds the evidence of all authors for one change.
type evidenceSet struct {
	routes []string
	// index maps a route to its index in routes. It is never iterated, since map order is random.
	index map[string]int
	// authors are sorted by author, so that sums don't depend on the order of arrival.
	authors []*authorEvidence
	sums    []routeRatios
}

type routeRatios [metricCount]logRatios

func newEvidenceSet() *evidenceSet { return &evidenceSet{index: map[string]int{}} }

// routeIndex returns the index of route, or -1 when there are too many routes.
func (set *evidenceSet) routeIndex(route string) int {
	if i, ok := set.index[route]; ok {
		return i
	}
	if len(set.routes) >= maxRoutes {
		return -1
	}
	set.index[route] = len(set.routes)
	set.routes = append(set.routes, route)
	return len(set.routes) - 1
}

// author returns the evidence of an author, or nil when there are too many authors.
func (set *evidenceSet) author(author record.Author) *authorEvidence {
	i, ok := slices.BinarySearchFunc(set.authors, author, func(s *authorEvidence, a record.Author) int {
		return s.author.Compare(a)
	})
	if ok {
		return set.authors[i]
	}
	if len(set.authors) >= maxAuthors {
		return nil
	}
	s := &authorEvidence{author: author}
	set.authors = slices.Insert(set.authors, i, s)
	return s
}

// merge adds the evidence of a peer. It is idempotent and commutative.
func (set *evidenceSet) merge(e Evidence) {
	i := set.routeIndex(e.Route)
	s := set.author(e.Author)
	if i < 0 || s == nil {
		return
	}
	s.seen = max(s.seen, e.Seen)
	if e.Period < s.period {
		return
	}
	if e.Period > s.period {
		s.nextPeriod(e.Period)
	}
	p := s.route(i)
	p.old.merge(e.Old)
	p.new.merge(e.New)
}

func (set *evidenceSet) seen() uint64 {
	n := uint64(0)
	for _, s := range set.authors {
		n += uint64(s.seen)
	}
	return n
}

// Finding is the result of the test that points most strongly to a fault.
type Finding struct {
	// Ratio is the natural logarithm of the likelihood ratio.
	Ratio  float64
	Metric Metric
	// Route is empty for all routes together.
	Route string
}

// test runs all tests: per route and over all routes. Each stratum is one entry VM and route, and the likelihood ratio
// of a test is the product over its strata.
func (set *evidenceSet) test() Finding {
	set.sums = slices.Grow(set.sums[:0], len(set.routes))[:len(set.routes)]
	clear(set.sums)
	for _, s := range set.authors {
		for i := range s.routes {
			p := &s.routes[i]
			if p.new.Requests == 0 && p.new.FirstTokens == 0 {
				continue
			}
			for m := range metricCount {
				set.sums[i][m].add(compareTallies(p.old.tally(m), p.new.tally(m)))
			}
		}
	}
	return set.strongest()
}

func (set *evidenceSet) strongest() Finding {
	var total routeRatios
	var best Finding
	for i := range set.sums {
		for m := range metricCount {
			total[m].add(set.sums[i][m])
			if v := set.sums[i][m].best(); v > best.Ratio {
				best = Finding{Ratio: v, Metric: m, Route: set.routes[i]}
			}
		}
	}
	for m := range metricCount {
		if v := total[m].best(); v > best.Ratio {
			best = Finding{Ratio: v, Metric: m}
		}
	}
	return best
}
