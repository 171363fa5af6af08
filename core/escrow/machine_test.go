package escrow_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"ibiswinch/core/escrow"
)

// store is the keyed partition of one team. Appends may be lost before or after they are carried out, or wait and be
// carried out later if their condition still holds.
type store struct {
	end     uint64
	records map[string]escrow.Record
	late    []lateWrite
}

type lateWrite struct {
	holder string
	record escrow.Record
	at     uint64
}

func (s *store) append(holder string, r escrow.Record, at uint64) bool {
	if s.end != at {
		return false
	}
	s.end++
	s.records[holder] = r
	return true
}

// holder is one entry VM and what it has really used over all its lives.
type holder struct {
	name    string
	account *escrow.Account
	book    escrow.Book
	next    uint64
	held    []int64
	used    int64
	// guest is the role that the holder has now.
	guest bool
	// credit is what was really received from the others less what was given to them.
	credit int64
}

// world is the model: a fake store, a fake clock, and an oracle that adds up what was really used.
type world struct {
	now     time.Time
	limit   int64
	store   store
	holders []*holder
}

// steps is the length of a run.
const steps = 250

var floors = escrow.Floors{Want: 3000, Burst: 1500, Rate: 400, Refresh: time.Second}

func newWorld(t *rapid.T) *world {
	w := &world{now: time.Unix(1000, 0), limit: int64(rapid.IntRange(2000, 12_000).Draw(t, "limit")), store: store{records: map[string]escrow.Record{}}}
	for i := range rapid.IntRange(1, 3).Draw(t, "holders") {
		h := &holder{name: fmt.Sprint("vm-", i)}
		h.account = escrow.NewAccount(w.now, h.name, escrow.Record{})
		w.holders = append(w.holders, h)
	}
	return w
}

func (w *world) pick(t *rapid.T) *holder { return rapid.SampledFrom(w.holders).Draw(t, "holder") }

// read takes over the store's state, as a read of the partition does.
func (w *world) read(h *holder) {
	for name, r := range w.store.records {
		h.book.Set(name, r)
	}
	h.next = w.store.end
	h.account.Observe(h.book.Record(h.name), h.next)
}

func (w *world) advance(t *rapid.T) {
	w.now = w.now.Add(time.Duration(rapid.IntRange(1, 1500).Draw(t, "ms")) * time.Millisecond)
}

func (w *world) admit(t *rapid.T) {
	h := w.pick(t)
	tokens := int64(rapid.IntRange(1, 2500).Draw(t, "tokens"))
	if h.account.Admit(w.now, tokens) {
		h.held = append(h.held, tokens)
		return
	}
	h.account.Await(tokens)
	w.write(t, h)
	h.account.Leave(tokens)
}

func (w *world) settle(t *rapid.T) {
	h := w.pick(t)
	if len(h.held) == 0 {
		return
	}
	i := rapid.IntRange(0, len(h.held)-1).Draw(t, "call")
	used := h.held[i] * int64(rapid.IntRange(3, 4).Draw(t, "quarters")) / 4
	h.account.Settle(w.now, h.held[i], used)
	h.used += used
	h.held = slices.Delete(h.held, i, i+1)
}

func (w *world) renew(t *rapid.T) { w.write(t, w.pick(t)) }

// write plans and appends; the outcome may stay unknown.
func (w *world) write(t *rapid.T, h *holder) {
	if rapid.Bool().Draw(t, "read") {
		w.read(h)
	}
	f := floors
	f.Guest = h.guest
	plan := h.account.Plan(w.now, w.now, f, w.limit, &h.book)
	if plan.Reason == escrow.None {
		return
	}
	h.account.Writing(w.now, h.next, plan.Record)
	switch rapid.SampledFrom([]string{"answered", "answered", "answered", "answered", "answer lost", "late", "lost"}).Draw(t, "outcome") {
	case "answered":
		if w.store.append(h.name, plan.Record, h.next) {
			h.next++
			h.book.Set(h.name, plan.Record)
			h.account.Observe(plan.Record, h.next)
		}
	case "answer lost":
		w.store.append(h.name, plan.Record, h.next)
	case "late":
		w.store.late = append(w.store.late, lateWrite{holder: h.name, record: plan.Record, at: h.next})
	}
}

// transfer gives tokens of one holder to another; the answer that carries them may be lost.
func (w *world) transfer(t *rapid.T) {
	from, to := w.pick(t), w.pick(t)
	if from == to {
		return
	}
	var given int64
	switch rapid.IntRange(0, 5).Draw(t, "how") {
	case 0:
		given = from.account.GiveAll(w.now)
	case 1:
		given = from.account.GiveBack(w.now, escrow.Floors{Guest: from.guest, Want: 500})
	default:
		need := int64(rapid.IntRange(1, 2000).Draw(t, "need"))
		given = from.account.Give(w.now, need, int64(rapid.IntRange(1, 4000).Draw(t, "want")))
	}
	from.credit -= given
	if rapid.IntRange(0, 4).Draw(t, "lost") > 0 {
		to.account.Receive(given)
		to.credit += given
	}
}

// change makes a guest of a holder, or a holder of a guest.
func (w *world) change(t *rapid.T) {
	h := w.pick(t)
	h.guest = !h.guest
}

// carryOut executes a write whose answer was given up long ago.
func (w *world) carryOut(*rapid.T) {
	if len(w.store.late) == 0 {
		return
	}
	l := w.store.late[0]
	w.store.late = w.store.late[1:]
	w.store.append(l.holder, l.record, l.at)
}

// kill ends a process at once and starts it again. What its calls held was used or not.
func (w *world) kill(t *rapid.T) {
	h := w.pick(t)
	for _, tokens := range h.held {
		h.used += tokens * int64(rapid.IntRange(3, 4).Draw(t, "quarters at the end")) / 4
	}
	h.held = nil
	w.now = w.now.Add(time.Duration(rapid.IntRange(0, 1000).Draw(t, "down ms")) * time.Millisecond)
	started := w.now
	h.book, h.next = escrow.Book{}, 0
	h.account = escrow.NewAccount(w.now, h.name, w.store.records[h.name])
	w.read(h)
	if r, inherited := h.account.Inherited(); inherited && rapid.IntRange(0, 4).Draw(t, "clocks known") > 0 {
		h.account.Recover(started.Sub(time.UnixMilli(r.At)))
	}
}

// exhaust uses what is left in small calls, so that tokens that are counted twice show.
func (w *world) exhaust(t *rapid.T) {
	const tokens, rounds = 100, 400
	for range rounds {
		for _, h := range w.holders {
			w.now = w.now.Add(10 * time.Millisecond)
			for h.account.Admit(w.now, tokens) {
				h.account.Settle(w.now, tokens, tokens)
				h.used += tokens
			}
			w.read(h)
			h.account.Await(tokens)
			if plan := h.account.Plan(w.now, w.now, floors, w.limit, &h.book); plan.Reason != escrow.None {
				h.account.Writing(w.now, h.next, plan.Record)
				w.store.append(h.name, plan.Record, h.next)
				w.read(h)
			}
			h.account.Leave(tokens)
		}
	}
	w.check(t)
}

// check is the promise, what was really used or is held never passes the limit, and what it follows from.
func (w *world) check(t *rapid.T) {
	var sum, reserved int64
	for _, h := range w.holders {
		real := h.used
		for _, tokens := range h.held {
			real += tokens
		}
		sum += real
		reserved += w.store.records[h.name].Reserved
		if counted := h.account.Used() + h.account.Held() - h.account.Credit(); real-h.credit > counted {
			t.Fatalf("%s counts %d tokens as charged, %d are", h.name, counted, real-h.credit)
		}
		if own := w.store.records[h.name].Reserved; real-h.credit > own {
			t.Fatalf("%s has charged %d tokens, reserved %d", h.name, real-h.credit, own)
		}
	}
	if sum > w.limit || reserved > w.limit {
		t.Fatalf("%d tokens used or held, %d reserved, limit %d", sum, reserved, w.limit)
	}
}

// TestBudgetIsNeverPassed guards against overspending when writes are lost or carried out late, and processes die and
// take back what their life before can't have used.
func TestBudgetIsNeverPassed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		var actions []func(*rapid.T)
		for _, a := range []struct {
			weight int
			do     func(*rapid.T)
		}{{10, w.admit}, {6, w.settle}, {4, w.renew}, {4, w.advance}, {3, w.transfer}, {1, w.change}, {2, w.carryOut}, {1, w.kill}} {
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
