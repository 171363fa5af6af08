package gateway

import (
	"cmp"
	"slices"
	"time"

	"ibiswinch/core/keyed"
)

// stepHistory holds the known steps of version changes in the order of the log, as a restored log may have lost some.
type stepHistory struct {
	steps []keyed.Record
	known map[string]bool
}

// maxSteps bounds the known steps; a change has some five, and the oldest ones matter least.
const maxSteps = 512

// add records a step unless one of its key is known: the first counts.
func (h *stepHistory) add(step keyed.Record) {
	if h.known[step.Key] {
		return
	}
	if h.known == nil {
		h.known = map[string]bool{}
	}
	h.known[step.Key] = true
	h.steps = append(h.steps, step)
	if len(h.steps) > maxSteps {
		delete(h.known, h.steps[0].Key)
		h.steps = slices.Delete(h.steps, 0, 1)
	}
}

// merge adds the steps of a snapshot and returns the known ones that it lacks.
func (h *stepHistory) merge(snapshot []keyed.Record) (lost []keyed.Record) {
	slices.SortFunc(snapshot, func(a, b keyed.Record) int { return cmp.Compare(a.Offset, b.Offset) })
	listed := map[string]bool{}
	for _, step := range snapshot {
		listed[step.Key] = true
		h.add(step)
	}
	for _, step := range h.steps {
		if !listed[step.Key] {
			lost = append(lost, keyed.Record{Key: step.Key, Value: step.Value})
		}
	}
	return lost
}

// onEra prepares to tell the operator the states again that a restored log may have lost.
func (r *rolloutController) onEra(_ time.Time, restored bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.restored = restored
}

// reportAgain schedules the states of the last changes: at once where this entry VM wrote them, later where it is the one
// that writes for another. The caller holds mu.
func (r *rolloutController) reportAgain(now time.Time) {
	for _, c := range r.changes.All() {
		if latest, _ := r.changes.Latest(c.Rule.Model); latest.ID != c.ID {
			continue
		}
		switch {
		case c.Author.VM == r.cfg.Name:
			r.statuses = append(r.statuses, pendingStatus{change: c, due: now})
		case r.fleet.isFirst(c.ID, c.Author.VM):
			r.statuses = append(r.statuses, pendingStatus{change: c, due: now.Add(statusBackupDelay)})
		}
	}
}
