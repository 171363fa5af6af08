package escrow_test

import (
	"maps"
	"testing"
	"time"

	"pgregory.net/rapid"

	"ibiswinch/core/escrow"
)

// restoreModel is a model whose store is restored from copies. Between a copy and the end of the rewrite after the
// restoration from it, one process is killed at most: a second one may have been the only one that knew the record of the
// first.
type restoreModel struct {
	*model
	era     uint64
	copies  []map[string]escrow.Record
	ends    []uint64
	copied  []time.Time
	killed  bool
	eras    map[*holder]uint64
	rewrite map[*holder]*escrow.Rewrite
}

func newRestoreModel(t *rapid.T) *restoreModel {
	w := &restoreModel{model: newModel(t), eras: map[*holder]uint64{}, rewrite: map[*holder]*escrow.Rewrite{}}
	for _, h := range w.holders {
		h.account.RequireSharing()
		w.begin(h, w.now.Add(-time.Hour))
	}
	return w
}

func (w *restoreModel) begin(h *holder, at time.Time) {
	w.rewrite[h] = &escrow.Rewrite{}
	w.rewrite[h].Begin(at, w.era)
	w.eras[h] = w.era
}

// copyStore keeps a copy for a later restoration.
func (w *restoreModel) copyStore(*rapid.T) {
	if len(w.copies) == 0 && w.allDone() {
		w.killed = false
	}
	w.copies, w.ends, w.copied = append(w.copies, maps.Clone(w.store.records)), append(w.ends, w.store.end), append(w.copied, w.now)
}

// dropCopies drops the first copies.
func (w *restoreModel) dropCopies(count int) {
	w.copies, w.ends, w.copied = w.copies[count:], w.ends[count:], w.copied[count:]
}

func (w *restoreModel) restore(t *rapid.T) {
	for len(w.copies) > 0 && w.now.Sub(w.copied[0]) >= escrow.MaxCopyAge {
		w.dropCopies(1)
	}
	if len(w.copies) == 0 {
		return
	}
	i := rapid.IntRange(0, len(w.copies)-1).Draw(t, "copy")
	for _, h := range w.holders {
		if rapid.Bool().Draw(t, "has read all") {
			w.read(h)
		}
	}
	w.store.records, w.store.end = maps.Clone(w.copies[i]), w.ends[i]
	w.dropCopies(len(w.copies))
	w.era++
}

func (w *restoreModel) read(h *holder) {
	if w.eras[h] != w.era {
		w.eras[h] = w.era
		w.rewrite[h].Begin(w.now, w.era)
		h.account.Restored(w.era)
	}
	for name := range h.reservations.Holders() {
		if _, found := w.store.records[name]; !found {
			w.rewrite[h].Observe(name, true)
		}
	}
	for name, r := range w.store.records {
		w.rewrite[h].Observe(name, !h.reservations.Set(name, r))
	}
	h.next = w.store.end
	h.account.Observe(h.reservations.Record(h.name), h.next)
}

func (w *restoreModel) isDone(h *holder) bool {
	return w.eras[h] == w.era && w.rewrite[h].IsDone() && !h.account.NeedsRewrite()
}

func (w *restoreModel) allDone() bool {
	for _, h := range w.holders {
		if !w.isDone(h) {
			return false
		}
	}
	return true
}

// write rewrites what is missing, and writes as the embedded model does once that is allowed.
func (w *restoreModel) write(t *rapid.T, h *holder) {
	w.read(h)
	if h.account.NeedsRewrite() {
		w.rewriteOwn(t, h)
		return
	}
	for _, name := range w.rewrite[h].Stale(w.now) {
		if w.store.append(name, h.reservations.Record(name), h.next) {
			h.next++
			w.rewrite[h].Observe(name, false)
		}
	}
	if !w.rewrite[h].MayReserve(w.now, w.allDone()) || h.account.NeedsRewrite() {
		return
	}
	if r, inherited := h.account.PendingRecovery(); inherited && r.Era != w.era {
		h.account.Forfeit()
	}
	w.model.write(t, h)
	w.share(t, h)
}

// share tells another holder of a raise. The holder doesn't take a record of an earlier era than its own.
func (w *restoreModel) share(t *rapid.T, h *holder) {
	record, open := h.account.Unshared(w.now)
	other := w.pick(t)
	if !open || other == h || record.Era < w.eras[other] || rapid.IntRange(0, 4).Draw(t, "not reached") == 0 {
		return
	}
	other.reservations.Set(h.name, record)
	if rapid.IntRange(0, 4).Draw(t, "reply lost") > 0 {
		h.account.Shared(record)
	}
}

// rewriteOwn writes the own record again, on no condition.
func (w *restoreModel) rewriteOwn(t *rapid.T, h *holder) {
	plan := h.account.Rewrite(w.now)
	h.account.WriteSent(w.now, escrow.Unconditional, plan.Record)
	switch rapid.SampledFrom([]string{"answered", "answered", "answer lost", "lost"}).Draw(t, "outcome") {
	case "answered":
		w.store.append(h.name, plan.Record, w.store.end)
		h.reservations.Set(h.name, plan.Record)
		h.account.Observe(plan.Record, h.next)
	case "answer lost":
		w.store.append(h.name, plan.Record, w.store.end)
	}
}

func (w *restoreModel) admit(t *rapid.T) {
	h := w.pick(t)
	tokens := int64(rapid.IntRange(1, 2500).Draw(t, "tokens"))
	if h.account.Admit(w.now, tokens) {
		h.held = append(h.held, tokens)
		return
	}
	h.account.AddWaiting(tokens)
	w.write(t, h)
	h.account.RemoveWaiting(tokens)
}

func (w *restoreModel) restart(t *rapid.T) {
	if w.killed {
		if !w.allDone() {
			return
		}
		w.dropCopies(len(w.copies))
	}
	w.killed = true
	h := w.pick(t)
	for _, tokens := range h.held {
		h.used += tokens
	}
	h.held = nil
	begin := w.now.Add(-time.Hour)
	if !w.allDone() {
		begin = w.now
	}
	w.now = w.now.Add(time.Duration(rapid.IntRange(2, 500).Draw(t, "down ms")) * time.Millisecond)
	started := w.now
	h.reservations, h.next = escrow.Reservations{}, 0
	h.account = escrow.NewAccount(w.now, h.name, w.store.records[h.name], w.era)
	h.account.RequireSharing()
	w.begin(h, begin)
	w.read(h)
	if r, inherited := h.account.PendingRecovery(); inherited && r.Era == w.era {
		h.account.Recover(started.Sub(time.UnixMilli(r.At)))
	}
}

// check compares the tokens that are used or held with the limit.
func (w *restoreModel) check(t *rapid.T) {
	var sum int64
	for _, h := range w.holders {
		sum += h.used
		for _, tokens := range h.held {
			sum += tokens
		}
	}
	if sum > w.limit {
		t.Fatalf("%d tokens used or held, limit %d", sum, w.limit)
	}
}

// exhaust uses what is left in small calls, so that tokens that are counted twice exceed the limit.
func (w *restoreModel) exhaust(t *rapid.T) {
	const tokens, rounds = 100, 200
	for range rounds {
		for _, h := range w.holders {
			w.now = w.now.Add(10 * time.Millisecond)
			for h.account.Admit(w.now, tokens) {
				h.account.Settle(w.now, tokens, tokens)
				h.used += tokens
			}
			h.account.AddWaiting(tokens)
			w.write(t, h)
			h.account.RemoveWaiting(tokens)
		}
	}
	w.check(t)
}

// TestRestoredStorePassesBudget guards against tokens that are reserved twice because the store has forgotten the newest
// reservations, while writes are lost or applied in the wrong era.
func TestRestoredStorePassesBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newRestoreModel(t)
		var actions []func(*rapid.T)
		for _, a := range []struct {
			weight int
			do     func(*rapid.T)
		}{
			{10, w.admit}, {6, w.settle}, {6, func(t *rapid.T) { w.write(t, w.pick(t)) }}, {4, w.advance}, {3, w.transfer},
			{2, w.copyStore}, {1, w.restore}, {2, w.applyLateWrite}, {1, w.restart},
		} {
			for range a.weight {
				actions = append(actions, a.do)
			}
		}
		for range steps {
			rapid.SampledFrom(actions).Draw(t, "action")(t)
			w.check(t)
		}
		w.exhaust(t)
	})
}
