package gateway

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"ibiswinch/core/catalog"
	"ibiswinch/core/event"
	"ibiswinch/core/keyed"
	"ibiswinch/core/record"
	"ibiswinch/core/rollout"
	"ibiswinch/io/apexlog"
)

const (
	// rolloutTick is how often the evidence is evaluated.
	rolloutTick = 100 * time.Millisecond
	// evidenceInterval is the time between heartbeats while a version change is open, for fleets that are small enough.
	evidenceInterval = 400 * time.Millisecond
	// stepReadIntervalPerVM times the number of entry VMs is the least time between two reads of steps, as several of them may
	// write the same one.
	stepReadIntervalPerVM = 2 * time.Millisecond
	// maxHeartbeatEvidence bounds the evidence in a heartbeat; the rest follows in the next ones.
	maxHeartbeatEvidence = 16
	// statusBackupDelay is how long the second entry VM waits before it writes the outcome as well, since the one that
	// decided it may have died.
	statusBackupDelay = 1500 * time.Millisecond
	// recordVersion is the fold version of the steps that are written.
	recordVersion = 1
)

// rolloutStages are the shares of the new version. The first ones are small, as a bad version may get a tenth of the
// requests at most; the third shows faults that come with load.
func rolloutStages() []rollout.Share { return []rollout.Share{300, 700, 3000, rollout.FullShare} }

// pendingStatus is an outcome to write for the operator at due.
type pendingStatus struct {
	change rollout.Change
	due    time.Time
}

// rolloutController runs the version changes of services. The steps of a change are decided by the order of their
// records in keyed.Rollouts.
type rolloutController struct {
	cfg     Config
	follow  follower
	servers *serverController
	fleet   *fleetController
	author  record.Author

	mu         sync.Mutex
	controller *rollout.Controller
	changes    *rollout.Changes
	loaded     bool
	// orders are those of the operator; newOrders is set until the controller has their rules.
	orders    *rollout.Orders
	newOrders bool
	// pending are steps that weren't read back, oldest first. sequence is that of the last one.
	pending  []pendingStep
	sequence uint64
	statuses []pendingStatus
	running  map[string]bool
	handover handover
	// history holds the known steps. restored is set until the first snapshot of a log that was restored from a copy; era
	// is the one of the last snapshot.
	history  *rollout.History
	restored bool
	era      keyed.Era
}

func newRolloutController(cfg Config, servers *serverController, fleet *fleetController) *rolloutController {
	author := record.Author{VM: cfg.Name, Incarnation: cfg.Incarnation}
	r := &rolloutController{
		cfg: cfg, servers: servers, fleet: fleet, author: author, changes: rollout.NewChanges(), history: rollout.NewHistory(), orders: rollout.NewOrders(),
		// Entry VMs share the servers, so that a server has warmed up before each of them has sent it many requests.
		controller: rollout.NewController(rollout.Config{Author: author, WarmUpRequests: 1}),
		running:    map[string]bool{},
	}
	r.follow = follower{
		cfg: cfg, partition: keyed.Partition{Stream: keyed.Rollouts}, wait: fleet.readWait, apply: r.apply, snapshot: r.snapshot,
		interval: func() time.Duration {
			return max(minReadInterval, time.Duration(fleet.count())*stepReadIntervalPerVM)
		},
		onEra: r.onEra,
	}
	return r
}

func (r *rolloutController) loop(ctx context.Context) error {
	done := make(chan struct{})
	go func() {
		defer close(done)
		r.runTicks(ctx)
	}()
	err := r.follow.loop(ctx)
	<-done
	return err
}

func (r *rolloutController) runTicks(ctx context.Context) {
	ticker := time.NewTicker(rolloutTick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if err := r.cfg.protect("version changes", func() error { return r.tickAndWrite(ctx) }); err != nil && ctx.Err() == nil {
			r.cfg.Events.Event(event.RolloutNotWritten, apexlog.Fields{"error": err.Error()})
			pause(ctx, retryPause)
		}
	}
}

func (r *rolloutController) tickAndWrite(ctx context.Context) error {
	r.tick()
	return r.write(ctx)
}

func (r *rolloutController) isLoaded() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.loaded
}

// isOpen reports whether a version change is open.
func (r *rolloutController) isOpen() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.ContainsFunc(r.changes.All(), func(c rollout.Change) bool { return c.State == rollout.StateOpen })
}

// beginOrders prepares for the first orders of an era. In the first one nothing was lost.
func (r *rolloutController) beginOrders(era keyed.Era) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if era > firstEra {
		r.orders.BeginEra(r.cfg.Now())
	}
}

// addOrder records an order of the operator.
func (r *rolloutController) addOrder(in catalog.Rollout, version uint64) {
	o := rollout.Order{Rollout: in, Version: version, Deadline: r.fleet.timeOfDay().Add(in.Duration)}
	r.mu.Lock()
	defer r.mu.Unlock()
	if last, found := r.changes.Latest(in.Service); found {
		o.Follows = last.ConfigVersion
	}
	if !r.orders.Add(r.cfg.Now(), o) {
		return
	}
	r.newOrders = true
	r.cfg.Events.Event(event.RolloutOrdered, apexlog.Fields{
		"service": in.Service, "version": in.Target, "duration": in.Duration.String(), "order": version, "held": r.orders.IsHolding(),
	})
}

// setRules tells the controller the rules of the orders. The caller holds mu.
func (r *rolloutController) setRules(now time.Time) {
	var rules []rollout.Rule
	for _, o := range r.orders.Current(r.cfg.Now()) {
		rule, known := o.Rule(r.changes, r.servers.commonVersion(o.Service, o.Target), rolloutStages())
		if !known {
			// No server of another version is known yet.
			return
		}
		rules = append(rules, rule)
		r.controller.SetRules(now, o.Version, rules)
	}
	r.newOrders = r.orders.IsHolding()
}

func (r *rolloutController) tick() {
	now := r.fleet.timeOfDay()
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.loaded {
		return
	}
	if r.newOrders {
		r.setRules(now)
	}
	r.execute(now, r.controller.Tick(now))
	r.reportRunning(now)
	r.updateHandover(now)
}

// execute carries out the actions. The caller holds mu.
func (r *rolloutController) execute(now time.Time, actions []rollout.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case rollout.Append:
			if err := r.addStep(now, a); err != nil {
				r.cfg.Events.Event(event.AppendRejected, apexlog.Fields{"stream": string(keyed.Rollouts), "error": err.Error()})
			}
		case rollout.Broadcast:
			r.cfg.Events.Event(event.ChangeStopped, apexlog.Fields{
				"change": a.Stop.Change, "reason": string(a.Stop.Reason), "route": a.Stop.Route,
			})
		case rollout.Report:
			r.report(now, a)
		}
	}
}

// addStep queues a step for the log. A step has the same key whoever writes it, so that the log keeps one of each. The
// caller holds mu.
func (r *rolloutController) addStep(now time.Time, a rollout.Append) error {
	body, err := json.Marshal(a.Body)
	if err != nil {
		return eris.Wrap(err, "encode step of version change")
	}
	r.sequence++
	step := record.Record{
		Version: recordVersion, Kind: a.Kind, Author: r.author, Sequence: r.sequence, Time: now.UTC(), Body: body,
	}
	value, err := json.Marshal(step)
	if err != nil {
		return eris.Wrap(err, "encode record of version change")
	}
	r.addPending(keyed.Record{Key: stepKey(a), Value: value})
	return nil
}

func stepKey(a rollout.Append) string {
	switch body := a.Body.(type) {
	case rollout.Open:
		// An opening that is skipped, as its author knew too little, doesn't stand for others.
		return fmt.Sprintf("%s@%d/%s%d", body.Rule.Model, body.ConfigVersion, a.Kind, *body.Follows)
	case rollout.Advance:
		return fmt.Sprintf("%s/%s%d", body.Change, a.Kind, body.From)
	case rollout.TakeBack:
		return body.Change + "/" + string(a.Kind)
	case rollout.Done:
		return body.Change + "/" + string(a.Kind)
	}
	return string(a.Kind)
}

// report logs an outcome and schedules its status. The entry VM that decided it writes at once, another one later. The
// caller holds mu.
func (r *rolloutController) report(now time.Time, a rollout.Report) {
	kind := event.ChangeDone
	if a.Change.State == rollout.StateTakenBack {
		kind = event.ChangeTakenBack
	}
	r.cfg.Events.Event(kind, apexlog.Fields{
		"change": a.Change.ID, "model": a.Change.Rule.Model, "version": a.Change.Rule.New, "reason": string(a.Change.Reason),
		"decidedHere": a.DecidedHere,
	})
	switch {
	case a.DecidedHere:
		r.statuses = append(r.statuses, pendingStatus{change: a.Change, due: now})
	case r.fleet.isFirst(a.Change.ID, a.Change.Author.VM):
		r.statuses = append(r.statuses, pendingStatus{change: a.Change, due: now.Add(statusBackupDelay)})
	}
}

// reportRunning schedules the status of changes that this entry VM has opened. The caller holds mu.
func (r *rolloutController) reportRunning(now time.Time) {
	for _, c := range r.changes.All() {
		if c.State == rollout.StateOpen && c.Stage == 0 && c.Author == r.author && !r.running[c.ID] {
			r.running[c.ID] = true
			r.statuses = append(r.statuses, pendingStatus{change: c, due: now})
		}
	}
}

// write appends the pending steps and the statuses that are due. What the log doesn't confirm is written again: steps and
// statuses may be repeated.
func (r *rolloutController) write(ctx context.Context) error {
	steps, statuses := r.dueWrites()
	if len(steps) > 0 {
		appended, err := r.cfg.Log.Append(ctx, r.follow.partition, steps, nil)
		if err != nil {
			return err
		}
		r.setWritten(steps, appended.Era)
	}
	for _, s := range statuses {
		if err := r.writeStatus(ctx, s); err != nil {
			return err
		}
	}
	return nil
}

// dueWrites returns the steps that aren't written and the statuses that are due.
func (r *rolloutController) dueWrites() ([]keyed.Record, []pendingStatus) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.fleet.timeOfDay()
	return r.unwritten(), slices.DeleteFunc(slices.Clone(r.statuses), func(s pendingStatus) bool {
		return now.Before(s.due) || !r.mayReport(now, s.change)
	})
}

// writeStatus tells the operator the state of a change, unless the change has moved on.
func (r *rolloutController) writeStatus(ctx context.Context, s pendingStatus) error {
	r.mu.Lock()
	latest, found := r.changes.Latest(s.change.Rule.Model)
	r.mu.Unlock()
	if found && latest.ID == s.change.ID && latest.State == s.change.State {
		status, err := r.cfg.Encoder.EncodeRollout(s.change.Rule.Model, s.change.Rule.New, s.change.State)
		if err != nil {
			return err
		}
		if _, err = r.cfg.Log.Append(ctx, keyed.Partition{Stream: keyed.Status}, []keyed.Record{status}, nil); err != nil {
			return err
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.logReport(s.change)
	r.statuses = slices.DeleteFunc(r.statuses, func(o pendingStatus) bool {
		return o.change.ID == s.change.ID && o.change.State == s.change.State
	})
	return nil
}

func (r *rolloutController) apply(in keyed.Record) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.addSteps([]keyed.Record{in})
}

// addSteps adds steps that were read to the known ones and follows the changes. Steps that have no effect, as another
// entry VM took the same one before, are skipped. The caller holds mu.
func (r *rolloutController) addSteps(records []keyed.Record) {
	var added []keyed.Record
	for _, in := range records {
		r.setRead(in.Key)
		isNew, err := r.history.Add(in)
		if err != nil {
			r.cfg.logSkipped(in, err)
		}
		if isNew {
			added = append(added, in)
		}
	}
	if len(added) > 0 {
		r.changes = r.history.Changes()
		// A change that becomes known may be the one of an order.
		r.newOrders = true
	}
	isUnaware := false
	for _, in := range added {
		if err := r.history.Err(in.Key); err != nil {
			r.cfg.logSkipped(in, err)
			isUnaware = isUnaware || eris.Is(err, rollout.ErrUnaware)
		}
	}
	r.observe()
	if isUnaware {
		// The author may tell the operator that its change is running.
		r.reportAgain(r.fleet.timeOfDay().Add(statusBackupDelay))
	}
}

// observe makes the controller follow the changes. The caller holds mu.
func (r *rolloutController) observe() {
	now := r.fleet.timeOfDay()
	r.execute(now, r.controller.Observe(now, r.changes))
}

// snapshot adds the steps of the log to the known ones. Those that a restored log has lost are written again.
func (r *rolloutController) snapshot(records []keyed.Record) {
	r.mu.Lock()
	defer r.mu.Unlock()
	slices.SortFunc(records, func(a, b keyed.Record) int { return cmp.Compare(a.Offset, b.Offset) })
	r.addSteps(records)
	if r.restored {
		r.restored = false
		r.writeAgain(r.history.Missing(records))
		r.reportAgain(r.fleet.timeOfDay())
	}
	r.loaded = true
}

// choose returns the version for a call. A repeat of the call gets the same one.
func (r *rolloutController) choose(service, requestID string) (rollout.Choice, bool) {
	h := fnv.New64a()
	_, _ = h.Write([]byte(requestID))
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.controller.Choose(service, h.Sum64())
}

// record adds samples of an attempt to the evidence.
func (r *rolloutController) record(samples []rollout.Sample) {
	now := r.fleet.timeOfDay()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range samples {
		r.controller.Record(now, s)
	}
}

// evidence returns what this entry VM has measured of the open changes.
func (r *rolloutController) evidence() []rollout.Evidence {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.controller.Evidence(nil, maxHeartbeatEvidence)
}

// merge adds what another entry VM has measured.
func (r *rolloutController) merge(vm string, evidence []rollout.Evidence) {
	if len(evidence) == 0 {
		return
	}
	now := r.fleet.timeOfDay()
	r.mu.Lock()
	defer r.mu.Unlock()
	if err := r.controller.Merge(now, evidence); err != nil {
		r.cfg.Events.Event(event.PeerRejected, apexlog.Fields{"peer": vm, "error": err.Error()})
	}
}
