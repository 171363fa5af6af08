package rollout

import (
	"slices"
	"time"

	"ibiswinch/core/record"
)

const (
	// staggerPerVM spreads the proposals of the fleet over time, so that most VMs read the record of the first one
	// instead of appending a duplicate.
	staggerPerVM = 50 * time.Millisecond
	maxStagger   = 5 * time.Second
	// throttleStrata is the number of strata (entry VMs times routes) above which a test takes more than about 40
	// microseconds. Such changes are only tested every throttledTestInterval, the interval of the exchange, so that 12
	// changes at 850 entry VMs stay within 1% of a core.
	throttleStrata        = 200
	throttledTestInterval = 500 * time.Millisecond
)

// Tick runs the tests and returns the actions that are due. It is meant to be called every 100 ms.
func (c *Controller) Tick(now time.Time) []Action {
	actions := c.openChanges(now)
	for _, t := range c.trackers {
		actions = c.decide(now, t, actions)
	}
	return actions
}

// stagger returns a pseudo-random delay that differs between VMs and between proposals.
func (c *Controller) stagger(t *tracker, salt uint64) time.Duration {
	spread := staggerPerVM * 8
	if t != nil {
		spread = min(maxStagger, staggerPerVM*time.Duration(len(t.evidence.authors)), t.stageDuration()/8)
		salt += t.seed
	}
	return time.Duration(mix(c.salt^salt) % uint64(spread+1))
}

// openChanges proposes the changes that the rules of a new configuration ask for.
func (c *Controller) openChanges(now time.Time) []Action {
	if len(c.proposedModels) == len(c.rules) || now.Before(c.rulesAt.Add(c.stagger(nil, c.rulesVersion))) {
		return nil
	}
	var actions []Action
	for _, rule := range c.rules {
		if slices.Contains(c.proposedModels, rule.Model) {
			continue
		}
		c.proposedModels = append(c.proposedModels, rule.Model)
		open := Open{Rule: rule, ConfigVersion: c.rulesVersion, Follows: new(uint64)}
		if i, ok := c.trackerIndex(rule.Model); ok {
			last := c.trackers[i].change
			*open.Follows = last.ConfigVersion
			if !last.mayFollow(open) {
				continue
			}
		}
		if now.Before(rule.Deadline) {
			actions = append(actions, Append{Kind: record.KindOpenChange, Body: open})
		}
	}
	return actions
}

// decide appends the actions that are due for one change.
func (c *Controller) decide(now time.Time, t *tracker, actions []Action) []Action {
	switch {
	case t.change.State == StateTakenBack:
		return actions
	case t.stopped():
		return c.takeBackForPeer(now, t, actions)
	case t.change.State == StateDone:
		return actions
	case t.withdrawn:
		return c.withdraw(now, t, actions)
	}
	t.runTest(now)
	if t.finding.Ratio >= takeBackRatio {
		return c.stopFaulty(now, t, actions)
	}
	t.updateProbe(now)
	if !now.Before(t.change.Rule.Deadline.Add(-doneLead)) && t.stage == t.change.Rule.lastStage() {
		return c.finish(now, t, actions)
	}
	return c.proposeNextStage(now, t, actions)
}

func (t *tracker) runTest(now time.Time) {
	many := len(t.evidence.authors)*len(t.evidence.routes) > throttleStrata
	since := now.Sub(t.testedAt)
	// A clock that was set back must not suspend the tests.
	if !t.dirty || many && since >= 0 && since < throttledTestInterval {
		return
	}
	t.dirty = false
	t.testedAt = now
	t.finding = t.evidence.test()
}

// stopFaulty stops a change with a faulty version at this VM at once, notifies the peers and takes the change back.
func (c *Controller) stopFaulty(now time.Time, t *tracker, actions []Action) []Action {
	t.stop = Stop{Change: t.change.ID, Reason: t.finding.Metric.reason(), Route: t.finding.Route, Author: c.author}
	t.stopAt = now
	t.takeBackSent = true
	t.waiting = WaitingLog
	return append(actions, Broadcast{Stop: t.stop}, t.takeBack(t.stop.Reason))
}

func (t *tracker) takeBack(reason Reason) Append {
	body := TakeBack{Change: t.change.ID, Reason: reason}
	if reason.isFault() {
		body.Route = t.stop.Route
	}
	return Append{Kind: record.KindTakeBack, Body: body}
}

// takeBackForPeer appends the takeBack for a peer that sent a stop but may have died before it appended its takeBack.
func (c *Controller) takeBackForPeer(now time.Time, t *tracker, actions []Action) []Action {
	t.waiting = WaitingLog
	if t.takeBackSent || now.Before(t.stopAt.Add(peerTakeBackWait+c.stagger(t, 1))) {
		return actions
	}
	t.takeBackSent = true
	return append(actions, t.takeBack(t.stop.Reason))
}

// withdraw takes back a change whose rule was removed from the configuration. If the rule was replaced, the openChange
// of the new rule closes the change instead.
func (c *Controller) withdraw(now time.Time, t *tracker, actions []Action) []Action {
	t.waiting = WaitingLog
	_, replaced := c.rule(t.change.Rule.Model)
	if replaced || t.takeBackSent || now.Before(c.rulesAt.Add(c.stagger(t, 2))) {
		return actions
	}
	t.takeBackSent = true
	body := TakeBack{Change: t.change.ID, Reason: ReasonWithdrawn, ConfigVersion: c.rulesVersion}
	return append(actions, Append{Kind: record.KindTakeBack, Body: body})
}

// updateProbe handles an alarm of a CUSUM test by a new comparison period, in which the requests before the alarm don't
// dilute the fault. At a large share the old version has too few requests for a quick comparison, so the share is also
// reduced to one half for a while (the probe).
func (t *tracker) updateProbe(now time.Time) {
	if t.probing {
		if now.Before(t.probeUntil) || t.finding.Ratio >= suspectRatio {
			return
		}
		t.probing = false
		// A fault that shows only at the full share needs time at that share to show again.
		t.cooldownUntil = now.Add(t.cooldownTime())
		t.nextPeriod()
		return
	}
	if !t.alarm || now.Before(t.cooldownUntil) || t.localDone {
		return
	}
	t.alarm = false
	large := t.share() > probeShare
	// Evidence that already points to a fault isn't diluted and must be kept.
	if !large && (t.finding.Ratio > 0 || !t.largePeriod()) {
		return
	}
	t.nextPeriod()
	t.cooldownUntil = now.Add(t.cooldownTime())
	if large {
		t.probing = true
		t.probeUntil = now.Add(t.probeTime())
	}
}

// largePeriod reports whether the period has so many requests that they would dilute a fault that starts late.
func (t *tracker) largePeriod() bool {
	n := uint32(0)
	for _, p := range t.own.routes {
		n += p.new.Requests
	}
	return n >= largePeriodRequests
}

// proposeNextStage proposes the next stage when it is due and no test points to a fault.
func (c *Controller) proposeNextStage(now time.Time, t *tracker, actions []Action) []Action {
	if t.stage == t.change.Rule.lastStage() {
		t.waiting = WaitingDeadline
		return actions
	}
	due := t.entered.Add(t.stageDuration() + c.stagger(t, 16+uint64(t.stage)))
	switch {
	case t.finding.Ratio >= suspectRatio && now.Before(t.suspicionHoldEnd()):
		t.waiting = WaitingSuspectedFault
		return c.expire(now, t, actions)
	case now.Before(due):
		t.waiting = WaitingStageTime
	case t.proposedFrom < t.stage:
		t.waiting = WaitingLog
		t.proposedFrom = t.stage
		t.proposedAt = now
		return append(actions, Append{Kind: record.KindAdvance, Body: Advance{Change: t.change.ID, From: t.stage}})
	case !now.Before(t.proposedAt.Add(logTimeout)):
		t.enterStage(t.stage+1, now)
	}
	return actions
}

// suspicionHoldEnd is the time until which a suspected fault may hold a stage. The first stage has too few requests to
// confirm or rule out a moderate fault by the deadline; the second one does so within seconds.
func (t *tracker) suspicionHoldEnd() time.Time {
	if t.stage == 0 {
		return t.entered.Add(t.stageDuration() * 3 / 2)
	}
	return t.change.Rule.Deadline.Add(noEvidenceWait + 2*maxStagger)
}

// finish decides at the deadline whether the change is done. A VM that can't read the log switches to the new version
// without it; the record follows later.
func (c *Controller) finish(now time.Time, t *tracker, actions []Action) []Action {
	deadline := t.change.Rule.Deadline
	seen := t.evidence.seen()
	if t.doneAt.IsZero() {
		switch {
		case t.finding.Ratio >= deadlineFaultRatio:
			t.waiting = WaitingSuspectedFault
			return c.expire(now, t, actions)
		case seen < minSeen:
			t.waiting = WaitingEvidence
			return c.expire(now, t, actions)
		}
	}
	t.waiting = WaitingLog
	t.localDone = !t.expired && !now.Before(deadline.Add(-doneLead/2))
	if t.expired || !t.doneAt.IsZero() || now.Before(deadline.Add(-doneLead+c.stagger(t, 3))) {
		return actions
	}
	t.doneAt = now
	body := Done{Change: t.change.ID, Requests: seen}
	return append(actions, Append{Kind: record.KindDone, Body: body})
}

// expire stops a change that can't be finished: at this VM before the deadline, and in the log some time after it.
func (c *Controller) expire(now time.Time, t *tracker, actions []Action) []Action {
	t.expired = t.expired || !now.Before(t.change.Rule.Deadline.Add(-doneLead/2))
	if t.takeBackSent || now.Before(t.change.Rule.Deadline.Add(noEvidenceWait+c.stagger(t, 4))) {
		return actions
	}
	t.takeBackSent = true
	return append(actions, t.takeBack(ReasonNoEvidence))
}
