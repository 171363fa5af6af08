package entry

import (
	"context"
	"sync"
	"time"

	"ibiswinch/core/config"
	"ibiswinch/core/event"
	"ibiswinch/core/rollout"
	"ibiswinch/entry/stream"
	"ibiswinch/io/apexlog"
	"ibiswinch/io/openai"
	"ibiswinch/io/peer"
)

// changeTick is how often the evidence is evaluated. It is far below the second for which peers may still send traffic
// to a bad version.
const changeTick = 100 * time.Millisecond

// maxDigestEvidence bounds the evidence in one digest. The rest is sent in later rounds.
const maxDigestEvidence = 12

// versionChoice is the version of one attempt.
type versionChoice struct {
	version string
	// other is the other version of the change to fall back to; empty when there is none, or when it must not be used.
	other string
	// change is empty when the model has no version change.
	change string
	isNew  bool
}

// changeController runs the version changes of models.
type changeController struct {
	cfg    Config
	events *apexlog.Logger
	peers  *peerController
	worker *stream.Worker
	// changes is guarded by the lock of the worker.
	changes *rollout.Changes

	mu         sync.Mutex
	controller *rollout.Controller
	wg         sync.WaitGroup
}

func newChangeController(cfg Config, p *peerController, events *apexlog.Logger) *changeController {
	return &changeController{
		cfg:        cfg,
		events:     events,
		peers:      p,
		changes:    rollout.NewChanges(),
		controller: rollout.NewController(rollout.Config{Author: cfg.Author}),
	}
}

// loop ticks until ctx ends.
func (c *changeController) loop(ctx context.Context) error {
	ticker := time.NewTicker(changeTick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			c.wg.Wait()
			return ctx.Err()
		case <-ticker.C:
			c.execute(ctx, c.tick(c.cfg.Now()))
		}
	}
}

func (c *changeController) tick(now time.Time) []rollout.Action {
	c.mu.Lock()
	defer c.mu.Unlock()
	var actions []rollout.Action
	c.worker.WithLock(func() { actions = c.controller.Observe(now, c.changes) })
	if !c.worker.Status().CaughtUp {
		return actions
	}
	return append(actions, c.controller.Tick(now)...)
}

func (c *changeController) execute(ctx context.Context, actions []rollout.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case rollout.Append:
			if _, err := c.worker.Enqueue(a.Kind, a.Body, true); err != nil {
				c.events.Event(event.AppendRejected, apexlog.Fields{"stream": changesStream, "error": err.Error()})
			}
		case rollout.Broadcast:
			c.events.Event(event.ChangeStopped, apexlog.Fields{
				"change": a.Stop.Change, "reason": string(a.Stop.Reason), "route": a.Stop.Route,
			})
			c.wg.Go(func() { c.peers.broadcast(ctx) })
		case rollout.Report:
			c.logOutcome(a)
		}
	}
}

func (c *changeController) logOutcome(r rollout.Report) {
	kind := event.ChangeDone
	if r.Change.State == rollout.StateTakenBack {
		kind = event.ChangeTakenBack
	}
	c.events.Event(kind, apexlog.Fields{
		"change": r.Change.ID, "model": r.Change.Rule.Model, "version": r.Change.Rule.New, "reason": string(r.Change.Reason),
		"decidedHere": r.DecidedHere,
	})
}

// applyConfig implements configApplier.
func (c *changeController) applyConfig(version uint64, cfg *config.Config) {
	var rules []rollout.Rule
	for _, r := range cfg.Rules.Changes {
		rule := rollout.Rule{Model: r.Model, Old: r.From, New: r.To, Deadline: r.Deadline}
		for _, share := range r.Stages {
			rule.Stages = append(rule.Stages, rollout.Share(share*float64(rollout.FullShare)+0.5))
		}
		rules = append(rules, rule)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.controller.SetRules(c.cfg.Now(), version, rules)
}

// chooseVersion returns the version for a request. Without a version change, it is the model's first version in the
// inventory.
func (c *changeController) chooseVersion(model string, hash uint64, versions []string) versionChoice {
	c.mu.Lock()
	choice, ok := c.controller.Choose(model, hash)
	c.mu.Unlock()
	if ok {
		v := versionChoice{version: choice.Version, change: choice.Change, isNew: choice.New}
		if choice.New {
			v.other = choice.Other
		}
		return v
	}
	if len(versions) == 0 {
		return versionChoice{}
	}
	return versionChoice{version: versions[0]}
}

// recordEvidence adds an attempt to the evidence of its version change. An attempt that the caller ended counts neither
// as a success nor as a failure, but its latencies are recorded.
func (c *changeController) recordEvidence(now time.Time, a *attempt, failed, completed bool) {
	if a.choice.change == "" {
		return
	}
	sample := rollout.Sample{Change: a.choice.change, New: a.choice.isNew, Route: routeName(a.completion.input.Route)}
	c.mu.Lock()
	defer c.mu.Unlock()
	if failed || completed {
		sample.Metric, sample.Failed = rollout.MetricFailure, failed
		c.controller.Record(now, sample)
	}
	if !a.firstChunkAt.IsZero() {
		sample.Metric, sample.Latency = rollout.MetricFirstToken, a.firstChunkAt.Sub(a.sentAt)
		c.controller.Record(now, sample)
	}
	// When the caller doesn't read, the gaps between chunks say nothing about the engine.
	if a.chunks > 1 && !a.callerStalled {
		sample.Metric, sample.Latency = rollout.MetricGap, a.lastChunkAt.Sub(a.firstChunkAt)/time.Duration(a.chunks-1)
		c.controller.Record(now, sample)
	}
}

func routeName(r openai.Route) string { return string(r) }

// fillDigest implements digestHandler.
func (c *changeController) fillDigest(_ time.Time, _ string, d *peer.Digest) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, s := range c.controller.Stops() {
		d.Stops = append(d.Stops, &peer.Stop{
			Change: s.Change, Reason: string(s.Reason), Route: s.Route, Author: peer.EncodeAuthor(s.Author),
		})
	}
	for _, e := range c.controller.Evidence(nil, maxDigestEvidence) {
		d.Evidence = append(d.Evidence, &peer.Evidence{
			Author: peer.EncodeAuthor(e.Author), Change: e.Change, Route: e.Route, Period: e.Period, Seen: e.Seen,
			Old: toWireCounts(e.Old), New: toWireCounts(e.New),
		})
	}
}

// mergeDigest implements digestHandler.
func (c *changeController) mergeDigest(now time.Time, d *peer.Digest) {
	c.mu.Lock()
	defer c.mu.Unlock()
	evidence := make([]rollout.Evidence, 0, len(d.GetEvidence()))
	for _, e := range d.GetEvidence() {
		evidence = append(evidence, rollout.Evidence{
			Author: peer.DecodeAuthor(e.GetAuthor()), Change: e.GetChange(), Route: e.GetRoute(), Period: e.GetPeriod(),
			Seen: e.GetSeen(), Old: fromWireCounts(e.GetOld()), New: fromWireCounts(e.GetNew()),
		})
	}
	err := c.controller.Merge(now, evidence)
	for _, s := range d.GetStops() {
		stop := rollout.Stop{
			Change: s.GetChange(), Reason: rollout.Reason(s.GetReason()), Route: s.GetRoute(), Author: peer.DecodeAuthor(s.GetAuthor()),
		}
		if stopErr := c.controller.MergeStop(now, stop); stopErr != nil {
			err = stopErr
		}
	}
	if err != nil {
		c.events.Event(event.PeerRejected, apexlog.Fields{"peer": d.GetAuthor().GetVm(), "error": err.Error()})
	}
}

func (c *changeController) dump() []rollout.ChangeDump {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.controller.Dump()
}

func toWireCounts(n rollout.Counts) *peer.Counts {
	return &peer.Counts{
		Requests: n.Requests, Failures: n.Failures, FirstTokens: n.FirstTokens, SlowFirstTokens: n.SlowFirstTokens,
		Gaps: n.Gaps, SlowGaps: n.SlowGaps,
	}
}

func fromWireCounts(n *peer.Counts) rollout.Counts {
	return rollout.Counts{
		Requests: n.GetRequests(), Failures: n.GetFailures(), FirstTokens: n.GetFirstTokens(),
		SlowFirstTokens: n.GetSlowFirstTokens(), Gaps: n.GetGaps(), SlowGaps: n.GetSlowGaps(),
	}
}
