package order_test

import (
	"bytes"
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"ibiswinch/core/order"
	"ibiswinch/core/record"
)

// TestMain fixes the seed of rapid, so that every run gives the same result. Flags given on the command line take
// precedence.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{
		"rapid.seed": "1", "rapid.checks": "1500", "rapid.steps": "120", "rapid.nofailfile": "true",
	} {
		if f := flag.Lookup(name); f.Value.String() == f.DefValue {
			_ = flag.Set(name, value)
		}
	}
	os.Exit(m.Run())
}

// retention is far longer than a request takes in log time, and short enough to be passed with few records.
const retention = 10 * time.Minute

// unlimitedActions is more actions than a VM ever has to do.
const unlimitedActions = 1 << 20

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// request is one request of a caller to one entry VM.
type request struct {
	attempt *order.Attempt
	key     int
	body    int
	// arrivalStep and retentions are simulation.step and simulation.retentions at the arrival of the request.
	arrivalStep int
	retentions  int
	answers     int
}

// execution is one run of an order at the server.
type execution struct {
	request *request
	tag     string
	// logged is true once the result is in the log; retentions is simulation.retentions at that time.
	logged     bool
	retentions int
}

// notRunAnswer is a "not run" or a conflict that a caller was told at a step.
type notRunAnswer struct {
	request  *request
	conflict bool
	step     int
}

// vm is one incarnation of an entry VM. Actions and server answers are queued, since a VM may pause between any two
// steps.
type vm struct {
	author        record.Author
	registry      *order.Registry
	stream        *record.Stream
	outbox        *record.Outbox
	requests      []*request
	actions       []pendingAction
	serverAnswers []func() []order.Action
	disconnected  bool
}

type pendingAction struct {
	request *request
	action  order.Action
}

// simulation is the entry VMs, the log, the server and the oracle. The oracle knows only what ran and what callers were
// told; it doesn't model the states of orders.
type simulation struct {
	vms         []*vm
	log         [][]byte
	sentBatches [][]byte
	// oldest is the oldest offset that the log still holds; snapshotBase is the highest base of a snapshot in it.
	oldest       uint64
	snapshotBase uint64
	now          time.Time
	step         int
	incarnations int
	// retentions counts the log entries that moved the log time by more than the retention of settled orders.
	retentions    int
	executions    map[int][]*execution
	notRunAnswers map[int][]notRunAnswer
	lastSequence  map[record.Author]uint64
	answerCounts  map[string]int
}

func newSimulation() *simulation {
	s := &simulation{now: epoch, executions: map[int][]*execution{}, notRunAnswers: map[int][]notRunAnswer{}, lastSequence: map[record.Author]uint64{}, answerCounts: map[string]int{}}
	for i := range 3 {
		s.vms = append(s.vms, s.newVM(fmt.Sprint("vm", i)))
	}
	return s
}

func (s *simulation) newVM(name string) *vm {
	s.incarnations++
	v := &vm{author: record.Author{VM: name, Incarnation: fmt.Sprint(s.incarnations)}, registry: order.NewRegistryWithRetention(retention)}
	v.stream = record.NewStream(v.registry)
	v.outbox = record.NewOutbox(v.author)
	return v
}

func (v *vm) fold() order.StreamState { return order.StreamStateOf(v.stream, v.registry, v.author) }

func (v *vm) enqueue(r *request, actions []order.Action) {
	for _, a := range actions {
		v.actions = append(v.actions, pendingAction{request: r, action: a})
	}
}

func (s *simulation) send(t *rapid.T, v *vm) {
	key := rapid.IntRange(0, 1).Draw(t, "key")
	body := max(0, rapid.IntRange(-3, 1).Draw(t, "body"))
	id, err := order.NewID("nada", fmt.Sprint("key", key))
	if err != nil {
		t.Fatal(err)
	}
	r := &request{key: key, body: body, arrivalStep: s.step, retentions: s.retentions}
	r.attempt = order.NewAttempt(v.author, order.Request{
		Order:       id,
		Fingerprint: order.NewFingerprint("shop", "POST", "/orders", []byte{byte(body)}),
		Deadline:    s.now.Add(10 * time.Second),
		AnswerBy:    s.now.Add(15 * time.Second),
	})
	v.requests = append(v.requests, r)
	v.enqueue(r, r.attempt.Start(s.now, v.fold()))
}

// runNextAction runs the first queued action of a VM and reports whether there was one.
func (s *simulation) runNextAction(t *rapid.T, v *vm) bool {
	if len(v.actions) == 0 {
		return false
	}
	next := v.actions[0]
	v.actions = v.actions[1:]
	r, a := next.request, next.request.attempt
	switch next.action.Kind {
	case order.Dispatch:
		v.serverAnswers = append(v.serverAnswers, s.dispatch(t, v, r))
	case order.Reply:
		s.answerCaller(t, r, next.action.Answer)
	default:
		kind, body := a.Payload(next.action.Kind)
		sequence, err := v.outbox.Add(s.now, kind, body)
		if err != nil {
			t.Fatal(err)
		}
		a.Queued(next.action.Kind, sequence)
	}
	return true
}

// dispatch sends the order to the server and returns a function that delivers the outcome to the VM.
func (s *simulation) dispatch(t *rapid.T, v *vm, r *request) func() []order.Action {
	enqueue := func(decide func() []order.Action) func() []order.Action {
		return func() []order.Action { v.enqueue(r, decide()); return nil }
	}
	switch rapid.SampledFrom([]string{"ok", "ok", "lost", "refused", "another"}).Draw(t, "server") {
	case "refused":
		return enqueue(func() []order.Action { return r.attempt.NotDispatched(s.now, false) })
	case "another":
		return enqueue(func() []order.Action { return r.attempt.NotDispatched(s.now, true) })
	case "lost":
		s.execute(t, r)
		return enqueue(r.attempt.OutcomeUnknown)
	}
	tag := s.execute(t, r)
	return enqueue(func() []order.Action {
		return r.attempt.ServerAnswered(order.Result{Status: 201, Body: []byte(tag)})
	})
}

// execute is the server: it runs every order that it gets. It checks that no order runs twice (orderAtMostOnce), and
// that none runs that a caller was told didn't run (notRunIsTrue).
func (s *simulation) execute(t *rapid.T, r *request) string {
	for _, before := range s.executions[r.key] {
		if !before.logged || before.retentions == s.retentions {
			t.Fatalf("orderAtMostOnce: order with key %d ran twice", r.key)
		}
	}
	for _, d := range s.notRunAnswers[r.key] {
		if r.arrivalStep < d.step && (!d.conflict || d.request.body == r.body) {
			t.Fatalf("notRunIsTrue: order with key %d ran for a request that arrived before a caller was told it hadn't run", r.key)
		}
	}
	one := &execution{request: r, tag: fmt.Sprint("run ", r.key, len(s.executions[r.key]))}
	s.executions[r.key] = append(s.executions[r.key], one)
	return one.tag
}

// answerCaller is the caller: it checks the answer against what ran.
func (s *simulation) answerCaller(t *rapid.T, r *request, a order.Answer) {
	r.answers++
	s.answerCounts[fmt.Sprint("answer ", a.Kind, a.Replayed)]++
	switch a.Kind {
	case order.AnswerResult:
		for _, one := range s.executions[r.key] {
			if one.request.body == r.body && one.tag == string(a.Result.Body) {
				return
			}
		}
		t.Fatalf("key %d got the answer %q, which no run gave", r.key, a.Result.Body)
	case order.AnswerNotRun, order.AnswerConflict:
		conflict := a.Kind == order.AnswerConflict
		for _, one := range s.executions[r.key] {
			// The same order must not have run, unless it was removed from the registry before the request arrived.
			// Another order with the same key may have been removed since.
			same := one.request.body == r.body
			if same && (!one.logged || one.retentions >= r.retentions) {
				t.Fatalf("notRunIsTrue: a caller was told that the order with key %d didn't run, but it had", r.key)
			}
			if !same && !conflict && (!one.logged || one.retentions >= s.retentions) {
				t.Fatalf("notRunIsTrue: a caller was told that no order with key %d ran, but another one had", r.key)
			}
		}
		s.notRunAnswers[r.key] = append(s.notRunAnswers[r.key], notRunAnswer{request: r, conflict: conflict, step: s.step})
	}
}

// store adds an entry to the log.
func (s *simulation) store(t *rapid.T, data []byte) {
	s.log = append(s.log, data)
	records, err := record.DecodeBatch(data)
	if err != nil {
		t.Fatal(err)
	}
	for _, r := range records {
		if r.Sequence <= s.lastSequence[r.Author] {
			continue
		}
		s.lastSequence[r.Author] = r.Sequence
		switch r.Kind {
		case record.KindSnapshot:
			part, err := record.Body[record.SnapshotPart](r)
			if err != nil || part.Count != 1 {
				t.Fatal("unexpected snapshot", part.Count, err)
			}
			s.snapshotBase = max(s.snapshotBase, part.Base)
		case record.KindResult:
			s.noteResult(t, r)
		}
	}
}

func (s *simulation) noteResult(t *rapid.T, r record.Record) {
	f, err := record.Body[order.Completion](r)
	if err != nil {
		t.Fatal(err)
	}
	for _, runs := range s.executions {
		for _, one := range runs {
			if one.tag == string(f.Result.Body) {
				one.logged, one.retentions = true, s.retentions
			}
		}
	}
}

// append sends a batch to the log. The outcome "answered" stores and confirms it, "lost" loses the answer, and "late"
// leaves the batch to be stored later; any batch may be stored again.
func (s *simulation) append(t *rapid.T, v *vm, outcome string) bool {
	data, err := v.outbox.NextBatch()
	if err != nil {
		t.Fatal(err)
	}
	if data == nil || v.disconnected {
		return false
	}
	s.sentBatches = append(s.sentBatches, data)
	if outcome == "late" {
		return false
	}
	s.store(t, data)
	if outcome == "answered" {
		v.outbox.Confirm(v.outbox.InFlightLast())
	}
	return true
}

func (s *simulation) read(v *vm) bool {
	if v.disconnected {
		return false
	}
	if v.stream.Next() < s.oldest {
		v.stream.SetOldest(s.oldest)
	}
	if v.stream.Next() >= uint64(len(s.log)) {
		return false
	}
	v.stream.Apply(v.stream.Next(), s.log[v.stream.Next()])
	v.outbox.Confirm(v.stream.LastSequence(v.author))
	return true
}

// advance calls Advance on all attempts of a VM.
func (s *simulation) advance(v *vm) {
	for _, r := range v.requests {
		v.enqueue(r, r.attempt.Advance(s.now, v.fold()))
	}
}

func (s *simulation) deliverServerAnswer(v *vm) bool {
	if len(v.serverAnswers) == 0 {
		return false
	}
	reply := v.serverAnswers[0]
	v.serverAnswers = v.serverAnswers[1:]
	reply()
	return true
}

// runWithoutFaults runs a VM without faults until nothing is left to do at the current time, or until it has run the
// given number of actions. The VM then pauses before the next action, but its queued records still reach the log.
func (s *simulation) runWithoutFaults(t *rapid.T, v *vm, actions int) {
	for range 6 {
		for actions > 0 && s.runNextAction(t, v) {
			s.step++
			actions--
		}
		for s.deliverServerAnswer(v) {
		}
		s.append(t, v, "answered")
		for s.read(v) {
		}
		s.advance(v)
	}
}

// passRetention moves the log time by more than the retention of settled orders. The clocks of the VMs stay, as after
// records of a VM with a wrong clock.
func (s *simulation) passRetention(t *rapid.T) {
	author := record.Author{VM: "clock", Incarnation: fmt.Sprint(s.step)}
	records := make([]record.Record, retention/(10*time.Second)+1)
	for i := range records {
		records[i] = record.Record{
			Version: 1, Kind: "filler", Author: author, Sequence: uint64(i + 1),
			Time: epoch.Add(10000 * time.Hour), Body: []byte("0"),
		}
	}
	data, err := record.EncodeBatch(records)
	if err != nil {
		t.Fatal(err)
	}
	s.store(t, data)
	s.retentions++
}

func (s *simulation) snapshot(t *rapid.T, v *vm) {
	if v.stream.WaitingForSnapshot() {
		return
	}
	parts, err := v.stream.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	for _, p := range parts {
		if _, err := v.outbox.Add(s.now, record.KindSnapshot, p); err != nil {
			t.Fatal(err)
		}
	}
}

// finish ends all faults and checks that every caller of a running VM was answered once, and that all registries agree.
func (s *simulation) finish(t *rapid.T) {
	for range 4 {
		for _, v := range s.vms {
			v.disconnected = false
			s.runWithoutFaults(t, v, unlimitedActions)
		}
		s.now = s.now.Add(8 * time.Second)
	}
	var first []byte
	for _, v := range s.vms {
		s.runWithoutFaults(t, v, unlimitedActions)
		for s.read(v) {
		}
		for _, r := range v.requests {
			if r.answers != 1 || !r.attempt.Done() {
				t.Fatalf("key %d was answered %d times, done %v", r.key, r.answers, r.attempt.Done())
			}
		}
	}
	for _, v := range s.vms {
		for s.read(v) {
		}
		state, err := v.registry.Encode()
		if err != nil {
			t.Fatal(err)
		}
		if first == nil {
			first = state
		}
		if !bytes.Equal(first, state) {
			t.Fatalf("the registry of %v differs from the first one:\n%s\n%s", v.author, first, state)
		}
	}
}
