package budget

import (
	"slices"

	"ibiswinch/core/record"
)

func (v *vm) add(e Payload) {
	if _, err := v.outbox.Add(v.sim.now, e.Kind, e.Body); err != nil {
		v.sim.fail("add: %v", err)
	}
}

func (v *vm) enqueue(f func()) { v.steps = append(v.steps, f) }

// runSteps executes up to n decided steps.
func (v *vm) runSteps(n int) {
	for ; n > 0 && len(v.steps) > 0; n-- {
		f := v.steps[0]
		v.steps = v.steps[1:]
		f()
	}
}

func (v *vm) enqueueActions(a Actions) {
	for _, e := range a.Records() {
		v.enqueue(func() { v.add(e) })
	}
	for _, ask := range a.FrontierRequests {
		v.enqueue(func() {
			call(v, ask.Witness.VM,
				func(t *vm) FrontierReply { return t.witness.Acknowledge(ask) },
				func(r FrontierReply) { v.holder.ApplyFrontierReply(ask, r) })
		})
	}
}

func (v *vm) tick(holderOf func(v *vm, team string) string) {
	var peers []record.Author
	for _, name := range v.sim.names {
		if name[:2] == v.domain && name != v.name {
			peers = append(peers, v.sim.view[name])
		}
	}
	v.holder.SetCandidates(peers)
	actions := v.holder.Tick(v.sim.now)
	if v.sim.firstGrantOnly {
		actions.Grants = slices.DeleteFunc(actions.Grants, func(g GrantRequest) bool { return g.Number > 1 })
	}
	v.enqueueActions(actions)
	a := v.spender.Tick(v.sim.now)
	for _, d := range a.Draws {
		v.enqueue(func() { v.draw(holderOf(v, d.Team), d) })
	}
	for _, r := range a.Restores {
		v.enqueue(func() { v.restore(r) })
	}
	for _, r := range a.Returns {
		v.enqueue(func() { v.add(Payload{record.KindReturn, r}) })
	}
}

// seal makes v seal a holder. Its records are appended in later steps.
func (v *vm) seal(id HolderID) {
	for _, s := range v.witness.Seal(id) {
		v.enqueue(func() { v.add(Payload{record.KindSeal, s}) })
	}
}

// release returns the slices and closes the holder, as at the end of a planned stop.
func (v *vm) release() {
	for _, r := range v.spender.Release() {
		v.enqueue(func() { v.add(Payload{record.KindReturn, r}) })
	}
	v.enqueueActions(v.holder.Close())
}

func (v *vm) draw(holder string, d Draw) {
	call(v, holder,
		func(t *vm) DrawReply { return t.holder.Draw(v.sim.now, d) },
		func(r DrawReply) { v.spender.ApplyDrawReply(v.sim.now, r) })
}

func (v *vm) restore(r Restore) {
	author, _ := r.Holder.Author()
	call(v, author.VM,
		func(t *vm) RestoreReply { return t.holder.Restore(v.sim.now, r) },
		func(r RestoreReply) { v.spender.ApplyRestoreReply(v.sim.now, r) })
}

// append sends the next batch of the outbox to the log.
func (v *vm) append() {
	data, err := v.outbox.NextBatch()
	if err != nil {
		v.sim.fail("take: %v", err)
	}
	if data == nil {
		return
	}
	last := v.outbox.InFlightLast()
	s := v.sim
	s.send(v.domain, logDomain, "", func() {
		s.appendEntry(data)
		s.send(logDomain, v.domain, v.name, func() {
			if !v.dead {
				v.outbox.Confirm(last)
			}
		})
	})
}
