package order_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"runtime"
	"strconv"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"ibiswinch/core/order"
	"ibiswinch/core/record"
)

// TestOrderAtMostOnceAndNotRunIsTrue guards against an order that runs twice, a caller who is told "not run" about an
// order that ran or may still run, and an answer that isn't the server's. Several VMs get the same keys; they pause
// between any two steps, crash, lose the connection to the log and start from snapshots; appends are lost, delayed and
// repeated.
func TestOrderAtMostOnceAndNotRunIsTrue(t *testing.T) {
	counts := map[string]int{}
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation()
		s.answerCounts = counts
		one := rapid.IntRange(0, len(s.vms)-1)
		outcomes := rapid.SampledFrom([]string{"answered", "answered", "lost", "late"})
		actions := rapid.SampledFrom([]int{1, 2, 3, 4, 6, unlimitedActions, unlimitedActions})
		draw := func(t *rapid.T) *vm { return s.vms[one.Draw(t, "vm")] }
		t.Repeat(map[string]func(*rapid.T){
			"send":   func(t *rapid.T) { s.send(t, draw(t)) },
			"act":    func(t *rapid.T) { s.runNextAction(t, draw(t)) },
			"append": func(t *rapid.T) { s.append(t, draw(t), outcomes.Draw(t, "outcome")) },
			"read":   func(t *rapid.T) { s.read(draw(t)) },
			"readAll": func(t *rapid.T) {
				v := draw(t)
				for s.read(v) {
				}
			},
			"decide": func(t *rapid.T) { s.advance(draw(t)) },
			"learn":  func(t *rapid.T) { s.deliverServerAnswer(draw(t)) },
			"settle": func(t *rapid.T) { s.runWithoutFaults(t, draw(t), actions.Draw(t, "actions")) },
			"time": func(t *rapid.T) {
				s.now = s.now.Add(rapid.SampledFrom([]time.Duration{time.Second, 6 * time.Second}).Draw(t, "time"))
			},
			"cut":      func(t *rapid.T) { v := draw(t); v.disconnected = rapid.IntRange(0, 3).Draw(t, "cut") == 0 },
			"snapshot": func(t *rapid.T) { s.snapshot(t, draw(t)) },
			"late": func(t *rapid.T) {
				if len(s.sentBatches) > 0 {
					s.store(t, s.sentBatches[rapid.IntRange(0, len(s.sentBatches)-1).Draw(t, "copy")])
				}
			},
			"rare": func(t *rapid.T) {
				switch rapid.IntRange(0, 9).Draw(t, "rare") {
				case 0:
					s.passRetention(t)
				case 1, 2:
					s.oldest = s.snapshotBase
				case 3, 4:
					i := one.Draw(t, "vm")
					s.vms[i] = s.newVM(s.vms[i].author.VM)
				}
			},
			"": func(*rapid.T) { s.step++ },
		})
		s.finish(t)
	})
	// The 5 answers are: a result, a result from the log, unknown, not run, conflict.
	if len(counts) != 5 {
		t.Errorf("only these answers were reached: %v", counts)
	}
}

// fixture is one process with a log that never fails.
type fixture struct {
	registry *order.Registry
	stream   *record.Stream
	outbox   *record.Outbox
	author   record.Author
	offset   uint64
}

func newFixture() *fixture {
	f := &fixture{registry: order.NewRegistry(), author: record.Author{VM: "a", Incarnation: "1"}}
	f.stream = record.NewStream(f.registry)
	f.outbox = record.NewOutbox(f.author)
	return f
}

// runActions appends and applies the records of actions and returns the answer among them.
func (f *fixture) runActions(c *qt.C, a *order.Attempt, actions []order.Action) (answer order.Answer) {
	for _, action := range actions {
		switch action.Kind {
		case order.Dispatch:
		case order.Reply:
			answer = action.Answer
		default:
			kind, body := a.Payload(action.Kind)
			sequence := f.add(c, epoch, kind, body)
			a.Queued(action.Kind, sequence)
		}
	}
	return answer
}

func (f *fixture) add(c testing.TB, at time.Time, kind record.Kind, body any) uint64 {
	sequence, err := f.outbox.Add(at, kind, body)
	if err != nil {
		c.Fatal(err)
	}
	data, err := f.outbox.NextBatch()
	if err != nil {
		c.Fatal(err)
	}
	f.outbox.Confirm(sequence)
	if skipped := f.stream.Apply(f.offset, data); len(skipped) > 0 {
		c.Fatal(skipped)
	}
	f.offset++
	return sequence
}

func (f *fixture) fold() order.StreamState {
	return order.StreamStateOf(f.stream, f.registry, f.author)
}

func newRequest(c testing.TB, key, body string) order.Request {
	id, err := order.NewID("nada", key)
	if err != nil {
		c.Fatal(err)
	}
	return order.Request{
		Order:       id,
		Fingerprint: order.NewFingerprint("shop", "POST", "/orders", []byte(body)),
		Deadline:    epoch.Add(10 * time.Second),
		AnswerBy:    epoch.Add(12 * time.Second),
	}
}

// TestWithoutFaults guards against orders that never run although nothing fails.
func TestWithoutFaults(t *testing.T) {
	c := qt.New(t)
	f := newFixture()
	first := order.NewAttempt(f.author, newRequest(c, "k", "x"))
	f.runActions(c, first, first.Start(epoch, f.fold()))
	c.Assert(first.Advance(epoch, f.fold()), qt.DeepEquals, []order.Action{{Kind: order.Dispatch}})

	other := order.NewAttempt(f.author, newRequest(c, "k", "y"))
	f.runActions(c, other, other.Start(epoch, f.fold()))
	answer := f.runActions(c, other, other.Advance(epoch, f.fold()))
	c.Assert(answer.Kind, qt.Equals, order.AnswerConflict)

	f.runActions(c, first, first.NotDispatched(epoch, false))
	answer = f.runActions(c, first, first.Advance(epoch, f.fold()))
	c.Assert(answer.Kind, qt.Equals, order.AnswerNotRun)

	again := order.NewAttempt(f.author, newRequest(c, "k", "x"))
	f.runActions(c, again, again.Start(epoch, f.fold()))
	c.Assert(again.Advance(epoch, f.fold()), qt.DeepEquals, []order.Action{{Kind: order.Dispatch}})
	result := order.Result{Status: 201, Body: bytes.Repeat([]byte("r"), order.MaxBodyBytes+1)}
	c.Assert(f.runActions(c, again, again.ServerAnswered(result)).Result, qt.DeepEquals, result)

	repeat := order.NewAttempt(f.author, newRequest(c, "k", "x"))
	answer = f.runActions(c, repeat, repeat.Start(epoch, f.fold()))
	c.Assert(answer.Result, qt.DeepEquals, order.Result{Status: 201, Omitted: true})
	c.Assert(answer.Replayed, qt.IsTrue)
}

// TestLogDown guards against answering "not run" before the withdrawal was read back from the log, and against a caller
// who gets no answer while the log is down.
func TestLogDown(t *testing.T) {
	c := qt.New(t)
	f := newFixture()
	a := order.NewAttempt(f.author, newRequest(c, "k", "x"))
	c.Assert(a.Start(epoch, f.fold()), qt.DeepEquals, []order.Action{{Kind: order.AppendClaim}})
	a.Queued(order.AppendClaim, 1)
	c.Assert(a.Advance(epoch.Add(9*time.Second), f.fold()), qt.HasLen, 0)
	c.Assert(a.Advance(epoch.Add(10*time.Second), f.fold()), qt.DeepEquals, []order.Action{{Kind: order.AppendWithdraw}})
	a.Queued(order.AppendWithdraw, 2)
	c.Assert(a.Advance(epoch.Add(12*time.Second), f.fold()), qt.DeepEquals, []order.Action{
		{Kind: order.Reply, Answer: order.Answer{Kind: order.AnswerUnknown}},
		{Kind: order.AppendAnswered},
	})
}

// TestBodiesAreBounded guards against a registry that keeps the bodies of all results in memory.
func TestBodiesAreBounded(t *testing.T) {
	c := qt.New(t)
	f := newFixture()
	const orders = 1100
	for i := range orders {
		req := newRequest(c, fmt.Sprint(i), "x")
		claim := f.add(c, epoch, record.KindClaim, order.Claim{Order: req.Order, Fingerprint: req.Fingerprint, ArrivalOffset: f.offset})
		result := order.Result{Status: 200, Body: make([]byte, order.MaxBodyBytes)}
		f.add(c, epoch, record.KindResult, order.Completion{Order: req.Order, Claim: claim, Result: result})
	}
	omitted := 0
	for i := range orders {
		v := f.registry.Lookup(newRequest(c, fmt.Sprint(i), "x").Order)
		c.Assert(v.State, qt.Equals, order.Done)
		if v.Result.Omitted {
			omitted++
			c.Assert(omitted, qt.Equals, i+1)
		}
	}
	c.Assert(omitted, qt.Equals, orders-1024)
}

// FuzzApply guards against a payload that crashes a reader, or a skipped record that changes the state.
func FuzzApply(f *testing.F) {
	f.Add("claim", []byte(`{"order":"NhaGQI3f7O2KusTrqYbI4g","fingerprint":"VI32dj68a+Ke92VY4ll7jQ","seen":0}`))
	f.Add("withdraw", []byte(`{"order":"NhaGQI3f7O2KusTrqYbI4g","claim":1}`))
	f.Add("result", []byte(`{"order":"NhaGQI3f7O2KusTrqYbI4g","claim":1,"result":{"status":200}}`))
	f.Fuzz(func(t *testing.T, kind string, body []byte) {
		g := order.NewRegistry()
		at := record.Position{Offset: 5, LogTime: epoch}
		author := record.Author{VM: "a", Incarnation: "1"}
		err := g.Apply(at, record.Record{Kind: record.Kind(kind), Author: author, Sequence: 1, Body: body})
		if err != nil && g.Len() > 0 {
			t.Fatal("a skipped record changed the state")
		}
		state, err := g.Encode()
		if err != nil {
			t.Fatal(err)
		}
		copied := order.NewRegistry()
		if err := copied.Decode(state); err != nil {
			t.Fatal(err)
		}
		if again, _ := copied.Encode(); !bytes.Equal(state, again) {
			t.Fatalf("%s became %s", state, again)
		}
	})
}

// BenchmarkApply applies a claim and a result of each order.
func BenchmarkApply(b *testing.B) {
	g := order.NewRegistry()
	author := record.Author{VM: "a1", Incarnation: "0123456789abcdef"}
	req := newRequest(b, "k", "x")
	sequence := uint64(0)
	b.ReportAllocs()
	for b.Loop() {
		at := record.Position{Offset: sequence, LogTime: epoch.Add(time.Duration(sequence) * time.Millisecond)}
		id, _ := order.NewID("nada", strconv.FormatUint(sequence, 10))
		claim, _ := json.Marshal(order.Claim{Order: id, Fingerprint: req.Fingerprint, ArrivalOffset: at.Offset})
		finish, _ := json.Marshal(order.Completion{Order: id, Claim: sequence + 1, Result: order.Result{Status: 201, Body: []byte("{}")}})
		_ = g.Apply(at, record.Record{Kind: record.KindClaim, Author: author, Sequence: sequence + 1, Body: claim})
		_ = g.Apply(at, record.Record{Kind: record.KindResult, Author: author, Sequence: sequence + 2, Body: finish})
		sequence += 2
	}
	if g.Len() == 0 || g.Lookup(req.Order).State != order.Free {
		b.Fatal("nothing was folded")
	}
}

// BenchmarkSnapshot reports the bytes per finished order with a body of 2 bytes, in the snapshot and in memory.
func BenchmarkSnapshot(b *testing.B) {
	const orders = 100_000
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	f := newFixture()
	req := newRequest(b, "k", "x")
	for i := range orders {
		id, _ := order.NewID("nada", strconv.Itoa(i))
		claim := f.add(b, epoch, record.KindClaim, order.Claim{Order: id, Fingerprint: req.Fingerprint, ArrivalOffset: f.offset})
		f.add(b, epoch, record.KindResult, order.Completion{Order: id, Claim: claim, Result: order.Result{Status: 201, Body: []byte("{}")}})
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	var state []byte
	for b.Loop() {
		state, _ = f.registry.Encode()
	}
	b.ReportMetric(float64(len(state))/orders, "snapshotbytes/order")
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/orders, "heapbytes/order")
}
