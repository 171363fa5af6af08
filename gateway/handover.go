package gateway

import (
	"slices"
	"time"

	"ibiswinch/core/event"
	"ibiswinch/core/rollout"
	"ibiswinch/io/apexlog"
)

// handover holds the version changes whose old servers are about to stop: the platform stops them once the change is
// reported.
type handover struct {
	// begun are the changes, by ID, whose old servers got no further calls at the last update. Calls that were being placed
	// before are counted by the next one.
	begun []string
	// drained are those whose old servers have no calls of this entry VM any more.
	drained []string
}

// update sets the changes whose old servers get no further calls, with those that have none, and reports whether some of
// these are new.
func (h *handover) update(begun, idle []string) bool {
	drained := slices.DeleteFunc(idle, func(id string) bool { return !slices.Contains(h.begun, id) })
	isNew := slices.ContainsFunc(drained, func(id string) bool { return !slices.Contains(h.drained, id) })
	h.begun, h.drained = begun, drained
	return isNew
}

// updateHandover looks for changes whose old servers have no calls any more. The others are told at once, as they may wait
// for it. The caller holds mu.
func (r *rolloutController) updateHandover(now time.Time) {
	var begun, idle []string
	for _, c := range r.changes.All() {
		if !c.IsHandingOver(now) {
			continue
		}
		begun = append(begun, c.ID)
		if r.servers.runningCalls(c.Rule.Model, c.Rule.New) == 0 {
			idle = append(idle, c.ID)
		}
	}
	if r.handover.update(begun, idle) {
		r.fleet.requestAnnounce()
	}
}

// drainedChanges returns the changes, by ID, whose old servers have no calls of this entry VM.
func (r *rolloutController) drainedChanges() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.handover.drained)
}

// mayReport reports whether the operator may be told the state of a change. The caller holds mu.
func (r *rolloutController) mayReport(now time.Time, c rollout.Change) bool {
	drained := slices.Contains(r.handover.drained, c.ID) && r.fleet.haveDrained(c.ID)
	return c.MayReport(now, drained)
}

// logReport logs that the operator was told the end of a change. The caller holds mu.
func (r *rolloutController) logReport(c rollout.Change) {
	if c.State == rollout.StateOpen {
		return
	}
	r.cfg.Events.Event(event.ChangeReported, apexlog.Fields{
		"change": c.ID, "state": string(c.State), "openCalls": r.servers.runningCalls(c.Rule.Model, c.Rule.New),
		"drained": slices.Contains(r.handover.drained, c.ID) && r.fleet.haveDrained(c.ID),
	})
}

// current returns the choice for a call that is sent now: a call that was for the old version goes to the new one once the
// change is done. handingOver is set if the old servers are about to stop.
func (r *rolloutController) current(service string, choice rollout.Choice) (current rollout.Choice, handingOver bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	latest, found := r.changes.Latest(service)
	if !found || latest.ID != choice.Change || !latest.IsHandingOver(r.fleet.timeOfDay()) {
		return choice, false
	}
	return rollout.Choice{Change: choice.Change, Version: latest.Rule.New, Other: latest.Rule.Old, New: true}, true
}

// haveDrained reports whether all other live entry VMs have said that the old servers of a change have no calls of theirs.
func (f *fleetController) haveDrained(change string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	now, timeout := f.cfg.Now(), memberTimeoutOf(len(f.members))
	for name, seen := range f.members {
		if name != f.cfg.Name && now.Sub(seen) < timeout && !slices.Contains(f.drained[name], change) {
			return false
		}
	}
	return true
}
