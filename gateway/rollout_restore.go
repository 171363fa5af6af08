package gateway

import (
	"slices"
	"time"

	"ibiswinch/core/keyed"
)

// pendingStep is a step of this process that wasn't read back from the log.
type pendingStep struct {
	keyed.Record
	// written is set once the log has confirmed it. A log that is restored from a copy may lose it again.
	written bool
}

// addPending queues a step unless it is queued. The caller holds mu.
func (r *rolloutController) addPending(step keyed.Record) {
	if !slices.ContainsFunc(r.pending, func(p pendingStep) bool { return p.Key == step.Key }) {
		r.pending = append(r.pending, pendingStep{Record: step})
	}
}

// unwritten returns the queued steps that the log hasn't confirmed. The caller holds mu.
func (r *rolloutController) unwritten() []keyed.Record {
	var steps []keyed.Record
	for _, p := range r.pending {
		if !p.written {
			steps = append(steps, p.Record)
		}
	}
	return steps
}

// setWritten marks steps that the log confirmed in an era.
func (r *rolloutController) setWritten(steps []keyed.Record, era keyed.Era) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if era < r.era {
		return
	}
	for i := range r.pending {
		p := &r.pending[i]
		p.written = p.written || slices.ContainsFunc(steps, func(s keyed.Record) bool { return s.Key == p.Key })
	}
}

// setRead removes a step from the queue, as it was read back. The caller holds mu.
func (r *rolloutController) setRead(key string) {
	r.pending = slices.DeleteFunc(r.pending, func(p pendingStep) bool { return p.Key == key })
}

// writeAgain queues the steps that a restored log lacks: first those that were read before, then the own ones that were
// not. The caller holds mu.
func (r *rolloutController) writeAgain(missing []keyed.Record) {
	own := r.pending
	r.pending = nil
	for _, step := range missing {
		r.addPending(step)
	}
	for _, p := range own {
		r.addPending(p.Record)
	}
}

// onEra prepares to write again what a restored log may have lost.
func (r *rolloutController) onEra(_ time.Time, restored bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.era = r.follow.era
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
