package rollout

import (
	"cmp"
	"slices"
	"time"

	"ibiswinch/core/record"
)

// Config of a Controller.
type Config struct {
	// Author is this incarnation of the entry VM.
	Author record.Author
	// WarmUpRequests is the number of requests to the new version at this VM before latencies count. Default 6.
	WarmUpRequests int
}

// Sample is one measurement of a request.
type Sample struct {
	// Change and New are those of the Choice that the request was sent with.
	Change string
	New    bool
	Route  string
	Metric Metric
	// Failed is the outcome, for MetricFailure; one sample per request.
	Failed bool
	// Latency is the time to first token, or the mean gap between tokens of the request. The gaps of one request are
	// correlated and count as one sample.
	Latency time.Duration
}

// Controller runs the version changes at one entry VM. It is not safe for concurrent use.
type Controller struct {
	author record.Author
	// warmUpRequests is the one of Config.
	warmUpRequests int
	// salt is a hash of author. It makes the delays of stagger differ between VMs.
	salt  uint64
	rules []Rule
	// rulesVersion is the version of the configuration that rules are from, 0 before the first.
	rulesVersion uint64
	// rulesAt is when rules were set.
	rulesAt time.Time
	// proposedModels are the models whose rules in the current configuration were already considered for a new change.
	proposedModels []string
	// trackers are sorted by model.
	trackers []*tracker
	// reported holds the last reported state of each change that is no longer open.
	reported map[string]State
	// evidenceCursor is where the next call of Evidence continues.
	evidenceCursor int
}

// NewController returns a controller without rules or changes.
func NewController(cfg Config) *Controller {
	salt := uint64(14695981039346656037)
	for _, b := range []byte(cfg.Author.VM + "/" + cfg.Author.Incarnation) {
		salt = mix(salt ^ uint64(b))
	}
	warmUp := cmp.Or(cfg.WarmUpRequests, defaultWarmUpRequests)
	return &Controller{author: cfg.Author, warmUpRequests: warmUp, salt: salt, reported: map[string]State{}}
}

// SetRules sets the rules of a configuration. An older configuration than the current one is ignored. The current one may be
// set again with rules that differ, as when a change is known only later whose rule stands for that of an order.
func (c *Controller) SetRules(now time.Time, version uint64, rules []Rule) {
	if version < c.rulesVersion {
		return
	}
	c.rules = slices.SortedFunc(slices.Values(rules), func(a, b Rule) int { return cmp.Compare(a.Model, b.Model) })
	if version > c.rulesVersion {
		c.rulesVersion = version
		c.rulesAt = now
		c.proposedModels = nil
	}
	for _, t := range c.trackers {
		c.updateWithdrawn(t)
	}
}

func (c *Controller) rule(model string) (Rule, bool) {
	i, ok := slices.BinarySearchFunc(c.rules, model, func(r Rule, m string) int { return cmp.Compare(r.Model, m) })
	if !ok {
		return Rule{}, false
	}
	return c.rules[i], true
}

// updateWithdrawn stops a change at this VM when a newer configuration no longer has its rule.
func (c *Controller) updateWithdrawn(t *tracker) {
	rule, ok := c.rule(t.change.Rule.Model)
	t.withdrawn = c.rulesVersion > t.change.ConfigVersion && (!ok || !rule.Equal(t.change.Rule))
}

func (c *Controller) trackerIndex(model string) (int, bool) {
	return slices.BinarySearchFunc(c.trackers, model, func(t *tracker, m string) int {
		return cmp.Compare(t.change.Rule.Model, m)
	})
}

func (c *Controller) trackerOf(id string) *tracker {
	for _, t := range c.trackers {
		if t.change.ID == id {
			return t
		}
	}
	return nil
}

// Observe applies the state of the log. It must be called after new records were folded.
func (c *Controller) Observe(now time.Time, changes *Changes) []Action {
	var actions []Action
	all := changes.All()
	c.pruneReported(all)
	for _, change := range all {
		if change.State != StateOpen && c.reported[change.ID] != change.State {
			c.reported[change.ID] = change.State
			actions = append(actions, Report{Change: change, DecidedHere: change.Author == c.author})
		}
		if latest, _ := changes.Latest(change.Rule.Model); latest.ID == change.ID {
			c.updateTracker(now, change)
		}
	}
	return actions
}

// pruneReported drops the reported states of changes that the log state no longer holds.
func (c *Controller) pruneReported(kept []Change) {
	reported := make(map[string]State, len(kept))
	for _, change := range kept {
		if s, ok := c.reported[change.ID]; ok {
			reported[change.ID] = s
		}
	}
	c.reported = reported
}

// reconsider allows another proposal for the model of a change of an earlier era, as the last proposal didn't know it.
func (c *Controller) reconsider(change Change) {
	if eraOf(change.ConfigVersion) < eraOf(c.rulesVersion) {
		c.proposedModels = slices.DeleteFunc(c.proposedModels, func(model string) bool { return model == change.Rule.Model })
	}
}

// updateTracker makes the tracker of the model follow the change.
func (c *Controller) updateTracker(now time.Time, change Change) {
	i, ok := c.trackerIndex(change.Rule.Model)
	switch {
	case !ok:
		c.trackers = slices.Insert(c.trackers, i, newTracker(change, c, now))
		c.reconsider(change)
	case c.trackers[i].change.ID != change.ID:
		c.trackers[i] = newTracker(change, c, now)
		c.reconsider(change)
	}
	t := c.trackers[i]
	t.change = change
	if change.Stage > t.stage {
		t.enterStage(change.Stage, now)
	}
	if change.State == StateTakenBack {
		t.evidence = newEvidenceSet()
		t.own = t.evidence.author(c.author)
		t.routes = nil
	}
	c.updateWithdrawn(t)
}

// Choose returns the version for a request to model. The hash is that of the request identity, so that a retry gets the
// same version. It returns false when the model has had no version change.
func (c *Controller) Choose(model string, hash uint64) (Choice, bool) {
	i, ok := c.trackerIndex(model)
	if !ok {
		return Choice{}, false
	}
	t := c.trackers[i]
	if t.choose(hash) {
		return Choice{Change: t.change.ID, Version: t.change.Rule.New, Other: t.change.Rule.Old, New: true}, true
	}
	return Choice{Change: t.change.ID, Version: t.change.Rule.Old, Other: t.change.Rule.New}, true
}

// Record adds a sample. Samples of changes that are no longer open are dropped.
func (c *Controller) Record(now time.Time, s Sample) {
	if t := c.trackerOf(s.Change); t != nil && t.open() && s.Metric < metricCount {
		t.record(now, s)
	}
}

// Merge adds evidence from peers. Invalid evidence is ignored, and the first validation error is returned.
func (c *Controller) Merge(now time.Time, evidence []Evidence) error {
	var first error
	for _, e := range evidence {
		if err := e.Validate(); err != nil {
			first = cmp.Or(first, err)
			continue
		}
		t := c.trackerOf(e.Change)
		if t == nil || !t.open() || e.Author == c.author {
			continue
		}
		t.evidence.merge(e)
		t.dirty = true
		t.lastEvidence = now
	}
	return first
}

// MergeStop applies the stop of a peer. From now on the new version gets no traffic at this VM.
func (c *Controller) MergeStop(now time.Time, s Stop) error {
	if err := s.Validate(); err != nil {
		return err
	}
	if t := c.trackerOf(s.Change); t != nil && !t.stopped() {
		t.stop, t.stopAt = s, now
	}
	return nil
}

// Stops returns the stops of changes that aren't taken back in the log yet. They are sent with every exchange.
func (c *Controller) Stops() []Stop {
	var stops []Stop
	for _, t := range c.trackers {
		if t.stopped() && t.change.State != StateTakenBack {
			stops = append(stops, t.stop)
		}
	}
	return stops
}

// Evidence appends this VM's own evidence of the open changes to dst, at most limit entries. Successive calls cycle
// through all routes, so that a caller with little bandwidth still sends everything in turn.
func (c *Controller) Evidence(dst []Evidence, limit int) []Evidence {
	total := 0
	for _, t := range c.trackers {
		if t.open() {
			total += len(t.own.routes)
		}
	}
	limit = min(limit, total)
	if limit <= 0 {
		return dst
	}
	first := c.evidenceCursor % total
	c.evidenceCursor = (first + limit) % total
	position := 0
	for _, t := range c.trackers {
		if !t.open() {
			continue
		}
		for i := range t.own.routes {
			if (position-first+total)%total < limit {
				dst = append(dst, t.ownEvidence(i))
			}
			position++
		}
	}
	return dst
}
