package budget

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"
	"unsafe"

	qt "github.com/frankban/quicktest"

	"ibiswinch/core/record"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

var (
	a1 = record.Author{VM: "a1", Incarnation: "1"}
	a2 = record.Author{VM: "a2", Incarnation: "1"}
	a3 = record.Author{VM: "a3", Incarnation: "1"}
)

func applyPayload(l *Ledger, now time.Time, author record.Author, kind record.Kind, body any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return err
	}
	return l.Apply(record.Position{LogTime: now}, record.Record{Kind: kind, Author: author, Body: data})
}

func line(identity string, reservation uint64) BillLine {
	return lineAt(identity, reservation, epoch)
}

func lineAt(identity string, reservation uint64, at time.Time) BillLine {
	return BillLine{Identity: identity, Team: "t", Model: "m", Version: "1", PromptTokens: 3, CompletionTokens: 4,
		Spender: a1, Reservation: reservation, At: at}
}

// TestLedgerCountsIdentitiesOnce guards against a repeated top-up or bill line that counts twice, and against
// identities that are never forgotten.
func TestLedgerCountsIdentitiesOnce(t *testing.T) {
	c := qt.New(t)
	l := NewLedger()
	for range 2 {
		c.Assert(applyPayload(l, epoch, a1, record.KindTopUp, TopUp{Identity: "x", Team: "t", Tokens: 100}), qt.IsNil)
	}
	c.Assert(l.Pool("t"), qt.Equals, uint64(100))
	c.Assert(applyPayload(l, epoch, a1, record.KindBill, Bill{Lines: []BillLine{line("r", 1), line("r", 2)}}), qt.IsNil)
	first, ok := l.Billed("t", "r")
	c.Assert(ok, qt.IsTrue)
	c.Assert(first.Reservation, qt.Equals, uint64(1))
	c.Assert(l.IsExpired(epoch), qt.IsFalse)
	late := epoch.Add(IdentityRetention + 2*IdentityRetention/generationsPerRetention)
	c.Assert(applyPayload(l, late, a1, record.KindBill, Bill{Lines: []BillLine{lineAt("s", 3, late)}}), qt.IsNil)
	_, ok = l.Billed("t", "r")
	c.Assert(ok, qt.IsFalse)
	c.Assert(l.IsExpired(epoch), qt.IsTrue)
	totals, _ := l.Totals("t")
	c.Assert(totals.Billed, qt.Equals, uint64(14))
	c.Assert(applyPayload(l, late, a1, record.KindBill, Bill{Lines: []BillLine{line("r", 1)}}), qt.IsNil)
	totals, _ = l.Totals("t")
	c.Assert(totals.Billed, qt.Equals, uint64(14))
}

// TestBillLinesAreRefusedAlone guards against a refused line that makes the ledger drop the other lines of its record,
// and against one that is not reported.
func TestBillLinesAreRefusedAlone(t *testing.T) {
	c := qt.New(t)
	l := NewLedger()
	var refused []string
	l.OnRefusedLine = func(line BillLine, err error) {
		c.Check(err, qt.ErrorIs, ErrRejected)
		refused = append(refused, line.Identity)
	}
	c.Assert(applyPayload(l, epoch, a1, record.KindTopUp, TopUp{Identity: "x", Team: "t", Tokens: 100}), qt.IsNil)
	unknown := line("unknown", 1)
	unknown.Team = "u"
	old := lineAt("old", 2, epoch.Add(-IdentityRetention))
	young := lineAt("young", 3, epoch.Add(time.Millisecond-IdentityRetention))
	c.Assert(applyPayload(l, epoch, a1, record.KindBill, Bill{Lines: []BillLine{unknown, old, young, {
		Identity: "no time", Team: "t", Model: "m", Version: "1", Spender: a1}, line("r", 4)}}), qt.IsNil)
	c.Assert(refused, qt.DeepEquals, []string{"unknown", "old", "no time"})
	totals, _ := l.Totals("t")
	c.Assert(totals.Billed, qt.Equals, uint64(14))
	for identity, want := range map[string]uint64{"young": 3, "r": 4} {
		reservation, ok := l.Billed("t", identity)
		c.Assert(ok, qt.IsTrue)
		c.Assert(reservation, qt.Equals, BilledReservation{Spender: a1, Reservation: want})
	}
}

// TestLineFromTheFutureIsBilledOnce guards against billing a copy of a line twice. The line was made by a fast clock,
// so the copy is not yet expired by its own time when the first one would be forgotten by log time.
func TestLineFromTheFutureIsBilledOnce(t *testing.T) {
	c := qt.New(t)
	l := NewLedger()
	c.Assert(applyPayload(l, epoch, a1, record.KindTopUp, TopUp{Identity: "x", Team: "t", Tokens: 100}), qt.IsNil)
	fast := lineAt("r", 1, epoch.Add(3*IdentityRetention))
	for now := epoch; now.Before(epoch.Add(6 * IdentityRetention)); now = now.Add(IdentityRetention / 7) {
		c.Assert(applyPayload(l, now, a1, record.KindBill, Bill{Lines: []BillLine{fast}}), qt.IsNil)
		totals, _ := l.Totals("t")
		c.Assert(totals.Billed, qt.Equals, uint64(7))
	}
	c.Assert(l.billed.generations, qt.HasLen, 0)
}

// TestRefundedDuplicateNeverCounts guards against a repeated request that is refunded while the first line is
// remembered, and then billed by a copy of its line once the first one is forgotten.
func TestRefundedDuplicateNeverCounts(t *testing.T) {
	c := qt.New(t)
	l := NewLedger()
	bill := func(now time.Time, line BillLine) {
		c.Assert(applyPayload(l, now, a1, record.KindBill, Bill{Lines: []BillLine{line}}), qt.IsNil)
	}
	c.Assert(applyPayload(l, epoch, a1, record.KindTopUp, TopUp{Identity: "x", Team: "t", Tokens: 100}), qt.IsNil)
	first := line("r", 1)
	repeat := lineAt("r", 2, epoch.Add(IdentityRetention*9/10))
	c.Assert(l.BillLineState(first), qt.Equals, Undecided)
	bill(epoch, first)
	c.Assert(l.BillLineState(first), qt.Equals, Counted)
	c.Assert(l.BillLineState(repeat), qt.Equals, Undecided)
	bill(repeat.At, repeat)
	c.Assert(l.BillLineState(repeat), qt.Equals, Duplicate)
	bill(repeat.At.Add(IdentityRetention*9/10), repeat)
	totals, _ := l.Totals("t")
	c.Assert(totals.Billed, qt.Equals, first.Tokens())
	bill(repeat.At.Add(IdentityRetention), repeat)
	c.Assert(l.BillLineState(repeat), qt.Equals, Expired)
	totals, _ = l.Totals("t")
	c.Assert(totals.Billed, qt.Equals, first.Tokens())
}

// TestBilledIdentitiesFitTheBound guards against more memory or snapshot bytes per billed identity.
func TestBilledIdentitiesFitTheBound(t *testing.T) {
	c := qt.New(t)
	g := newGeneration(0)
	for i := range 5000 {
		h := hashIdentity("t", fmt.Sprint(i))
		_, ok := g.find(h)
		c.Assert(ok, qt.IsFalse)
		g.add(h, BilledReservation{Spender: a1, Reservation: uint64(i) << 30})
	}
	for i := range 5000 {
		reservation, ok := g.find(hashIdentity("t", fmt.Sprint(i)))
		c.Assert(ok, qt.IsTrue)
		c.Assert(reservation, qt.Equals, BilledReservation{Spender: a1, Reservation: uint64(i) << 30})
	}
	c.Assert(unsafe.Sizeof(g.entries[0]), qt.Equals, uintptr(28))
	c.Assert(4*len(g.index) <= 11*len(g.entries), qt.IsTrue)
	c.Assert(len(g.encoding().Entries) <= 25*len(g.entries), qt.IsTrue)
	c.Assert(hashIdentity("ab", "c"), qt.Not(qt.Equals), hashIdentity("a", "bc"))
}

// TestDecodeRefusesBrokenIdentities guards against a damaged snapshot that crashes the process, or that is decoded to a
// state which another reader would encode differently.
func TestDecodeRefusesBrokenIdentities(t *testing.T) {
	c := qt.New(t)
	l := NewLedger()
	c.Assert(applyPayload(l, epoch, a1, record.KindTopUp, TopUp{Identity: "x", Team: "t", Tokens: 100}), qt.IsNil)
	c.Assert(applyPayload(l, epoch, a1, record.KindBill, Bill{Lines: []BillLine{line("r", 1), line("s", 300)}}), qt.IsNil)
	good := l.billed.generations[0].encoding()
	before := encoded(t, l)
	two := []record.Author{a1, a2}
	for name, broken := range map[string][]generationEncoding{
		"repeated generation": {good, good},
		"without identities":  {{Slot: 1, Spenders: []record.Author{}}},
		"unknown spender":     {{Slot: 1, Entries: good.Entries}},
		"spare spender":       {{Slot: 1, Spenders: two, Entries: good.Entries}},
		"repeated identity":   {{Slot: 1, Spenders: good.Spenders, Entries: append(good.Entries[:18:18], good.Entries[:18]...)}},
		"truncated hash":      {{Slot: 1, Spenders: good.Spenders, Entries: good.Entries[:20]}},
		"truncated number":    {{Slot: 1, Spenders: good.Spenders, Entries: good.Entries[:len(good.Entries)-1]}},
	} {
		data, err := json.Marshal(ledgerState{Billed: broken})
		c.Assert(err, qt.IsNil)
		c.Check(l.Decode(data), qt.ErrorIs, ErrInvalid, qt.Commentf(name))
		c.Check(encoded(t, l), qt.Equals, before)
	}
}

// TestDrawsAreIdempotent guards against a repeated draw or restore that moves tokens twice.
func TestDrawsAreIdempotent(t *testing.T) {
	c := qt.New(t)
	l := NewLedger()
	h := NewHolder(HolderConfig{Author: a1, Ledger: l})
	c.Assert(applyPayload(l, epoch, a1, record.KindTopUp, TopUp{Identity: "x", Team: "t", Tokens: 100000}), qt.IsNil)
	draw := Draw{ID: DrawID{Spender: a2, Number: 1}, Team: "t", Tokens: 100}
	c.Assert(h.Draw(epoch, draw).Tokens, qt.Equals, uint64(0))
	now := epoch
	for range 3 {
		now = now.Add(time.Second)
		for _, e := range h.Tick(now).Records() {
			c.Assert(applyPayload(l, now, a1, e.Kind, e.Body), qt.IsNil)
		}
	}
	draw.ID.Number = 2
	first := h.Draw(now, draw)
	c.Assert(first.Tokens, qt.Equals, uint64(100))
	have := h.Issuable("t")
	c.Assert(h.Draw(now, draw), qt.Equals, first)
	back := Restore{ID: DrawID{Spender: a2, Number: 1}, Team: "t", Holder: first.Holder, Tokens: 100}
	for range 2 {
		c.Assert(h.Restore(now, back).Accepted, qt.IsTrue)
		c.Assert(h.Issuable("t"), qt.Equals, have+100)
	}
}

// TestMovedTeamIsReturned guards against a grant that stays with the previous holder of a team while the new one
// refuses requests since the pool is empty, and against a return while the log is unavailable.
func TestMovedTeamIsReturned(t *testing.T) {
	c := qt.New(t)
	l := NewLedger()
	moved := false
	h := NewHolder(HolderConfig{Author: a1, Ledger: l, IsMoved: func(string) bool { return moved }})
	c.Assert(applyPayload(l, epoch, a1, record.KindTopUp, TopUp{Identity: "x", Team: "t", Tokens: 5000}), qt.IsNil)
	h.Draw(epoch, Draw{ID: DrawID{Spender: a2, Number: 1}, Team: "t", Tokens: 100})
	now := epoch
	tick := func(times int) {
		for range times {
			now = now.Add(time.Second)
			for _, e := range h.Tick(now).Records() {
				c.Assert(applyPayload(l, now, a1, e.Kind, e.Body), qt.IsNil)
			}
		}
	}
	tick(3)
	c.Assert(h.Draw(now, Draw{ID: DrawID{Spender: a2, Number: 2}, Team: "t", Tokens: 100}).Tokens, qt.Equals, uint64(100))
	c.Assert(l.Pool("t") < 5000, qt.IsTrue)
	held := h.Issuable("t")
	moved = true
	tick(5)
	c.Assert(h.Issuable("t"), qt.Equals, held)
	h.SetLogReadTime(now)
	tick(2)
	c.Assert(h.Issuable("t"), qt.Equals, uint64(0))
	c.Assert(l.Pool("t"), qt.Equals, uint64(4900))
}

// TestSealsReclaimBeyondFrontier guards against reclaiming tokens that a paused holder could still issue, and against a
// grant that stays stranded although both witnesses sealed the holder.
func TestSealsReclaimBeyondFrontier(t *testing.T) {
	c := qt.New(t)
	l := NewLedger()
	id := NewHolderID(a1, 1)
	c.Assert(applyPayload(l, epoch, a1, record.KindTopUp, TopUp{Identity: "x", Team: "t", Tokens: 1000}), qt.IsNil)
	set := WitnessSet{Holder: id, Number: 1, Witnesses: []record.Author{a2, a3}}
	c.Assert(applyPayload(l, epoch, a1, record.KindWitness, set), qt.IsNil)
	c.Assert(applyPayload(l, epoch, a1, record.KindGrant, GrantRequest{Holder: id, Team: "t", Wanted: 800, Number: 1}), qt.IsNil)
	for i, author := range []record.Author{a2, a3} {
		w := NewWitness(author, l)
		ask := FrontierRequest{Witness: author, Holder: id, Frontiers: []Frontier{{Team: "t", Tokens: uint64(100 + 50*i)}}}
		c.Assert(w.Acknowledge(ask).Acknowledged, qt.IsTrue)
		c.Assert(l.Pool("t"), qt.Equals, uint64(200))
		for _, s := range w.Seal(id) {
			c.Assert(applyPayload(l, epoch, author, record.KindSeal, s), qt.IsNil)
		}
		c.Assert(w.Acknowledge(ask).Acknowledged, qt.IsFalse)
	}
	c.Assert(l.IsOpen(id), qt.IsFalse)
	c.Assert(l.Pool("t"), qt.Equals, uint64(850))
	c.Assert(l.ClosedOutstanding("t"), qt.Equals, uint64(150))
	c.Assert(applyPayload(l, epoch, a1, record.KindGrant, GrantRequest{Holder: id, Team: "t", Wanted: 800, Number: 2}), qt.IsNotNil)
	set.Number = 2
	c.Assert(applyPayload(l, epoch, a1, record.KindWitness, set), qt.IsNotNil)
	c.Assert(applyPayload(l, epoch, a1, record.KindReturn, Return{Holder: id, Team: "t", Restored: 151}), qt.IsNotNil)
	c.Assert(applyPayload(l, epoch, a1, record.KindReturn, Return{Holder: id, Team: "t", Restored: 150}), qt.IsNil)
	c.Assert(l.Pool("t"), qt.Equals, uint64(1000))
}

// TestRefusedRestore guards against using tokens that the holder may have taken back: a refusal proves that it has not
// only if the restore was sent once.
func TestRefusedRestore(t *testing.T) {
	c := qt.New(t)
	for sends, want := range map[int]uint64{1: 50, 2: 0} {
		l := NewLedger()
		id := NewHolderID(a1, 1)
		c.Assert(applyPayload(l, epoch, a1, record.KindWitness, WitnessSet{Holder: id, Number: 1}), qt.IsNil)
		s := NewSpender(SpenderConfig{Author: a2, Ledger: l})
		draw := s.Reserve(epoch, "t", 50).Draw
		s.ApplyDrawReply(epoch, DrawReply{ID: draw.ID, Team: "t", Holder: id, Tokens: 50})
		now := epoch.Add(time.Minute)
		var sent []Restore
		for range sends {
			sent = append(sent, s.Tick(now).Restores...)
			now = now.Add(time.Second)
		}
		c.Assert(sent, qt.HasLen, sends)
		s.ApplyRestoreReply(now, RestoreReply{ID: sent[0].ID, Team: "t"})
		c.Assert(s.Available("t"), qt.Equals, want)
	}
}

// FuzzLedgerApply guards against payloads that crash the ledger, change its state and return an error, make the pool
// larger than the budget, or leave a state that can't be encoded and decoded.
func FuzzLedgerApply(f *testing.F) {
	id := NewHolderID(a1, 1)
	seed := func(kind record.Kind, body any) {
		data, _ := json.Marshal(body)
		f.Add(string(kind), data)
	}
	seed(record.KindTopUp, TopUp{Identity: "y", Team: "t", Tokens: 5})
	seed(record.KindGrant, GrantRequest{Holder: id, Team: "t", Wanted: 5, Number: 2})
	seed(record.KindReturn, Return{Holder: id, Team: "t", Unissued: 5, Restored: 1 << 63})
	seed(record.KindWitness, WitnessSet{Holder: id, Number: 2, Witnesses: []record.Author{a3}, Frontiers: []Frontier{{"t", 3}}})
	seed(record.KindSeal, Seal{Holder: id, Frontiers: []Frontier{{"t", 7}}})
	seed(record.KindBill, Bill{Lines: []BillLine{line("r", 1)}})
	seed(record.KindBill, Bill{Lines: []BillLine{line("r", 1<<63), lineAt("s", 1, epoch.Add(1<<62)), lineAt("z", 1, time.Time{})}})
	f.Fuzz(func(t *testing.T, kind string, body []byte) {
		for _, author := range []record.Author{a1, a2} {
			l := NewLedger()
			_ = applyPayload(l, epoch, a1, record.KindTopUp, TopUp{Identity: "x", Team: "t", Tokens: 1000})
			_ = applyPayload(l, epoch, a1, record.KindWitness, WitnessSet{Holder: id, Number: 1, Witnesses: []record.Author{a2}})
			_ = applyPayload(l, epoch, a1, record.KindGrant, GrantRequest{Holder: id, Team: "t", Wanted: 800, Number: 1})
			before := encoded(t, l)
			r := record.Record{Kind: record.Kind(kind), Author: author, Body: body}
			err := l.Apply(record.Position{LogTime: epoch}, r)
			after := encoded(t, l)
			if err != nil && after != before {
				t.Fatalf("state changed with error %v", err)
			}
			if totals, _ := l.Totals("t"); totals.Pool() > totals.ToppedUp {
				t.Fatalf("pool %d of %+v", totals.Pool(), totals)
			}
			copied := NewLedger()
			if err := copied.Decode([]byte(after)); err != nil || encoded(t, copied) != after {
				t.Fatalf("decoded state differs: %v", err)
			}
		}
	})
}

func encoded(t interface{ Fatal(...any) }, l *Ledger) string {
	data, err := l.Encode()
	if err != nil {
		t.Fatal(fmt.Sprint("encode: ", err))
	}
	return string(data)
}
