package rollout_test

import (
	"bytes"
	"errors"
	"testing"
	"time"

	"pgregory.net/rapid"

	"ibiswinch/core/record"
	"ibiswinch/core/rollout"
)

const (
	model         = "m"
	machineVMs    = 4
	machineLength = 200 * time.Second
)

// message is the content of an exchange. It may arrive late, repeatedly and at any node.
type message struct {
	evidence []rollout.Evidence
	stops    []rollout.Stop
}

// stateMachine runs several controllers, a log and a clock through faults in random order.
type stateMachine struct {
	now            time.Time
	log            [][]byte
	delayedBatches [][]byte
	messages       []message
	nodes          []*node
	// incarnations holds all nodes that were ever started, for their reports.
	incarnations []*node
	cut          [2]bool
	faulty       bool
	version      uint64
	rules        []rollout.Rule
	// knownTakenBack holds for each running node the changes of which it has received a stop or read the takeBack.
	knownTakenBack []map[string]bool
	// reader folds every entry as it is appended. history holds the last state that it had of each change.
	reader  *node
	history map[string]rollout.Change
}

func newStateMachine() *stateMachine {
	m := &stateMachine{now: epoch, version: 1, reader: newNode(9, 9, 0), history: map[string]rollout.Change{}}
	m.rules = []rollout.Rule{ruleFor(model, epoch.Add(machineLength))}
	for i := range machineVMs {
		m.nodes = append(m.nodes, nil)
		m.knownTakenBack = append(m.knownTakenBack, nil)
		m.start(i)
	}
	return m
}

func (m *stateMachine) start(i int) {
	m.nodes[i] = newNode(i%2, i, len(m.incarnations))
	m.incarnations = append(m.incarnations, m.nodes[i])
	m.knownTakenBack[i] = map[string]bool{}
	m.nodes[i].SetRules(m.now, m.version, m.rules)
}

func (m *stateMachine) append(t *rapid.T, data []byte) {
	m.log = append(m.log, data)
	m.reader.pull(m.now, m.log, 1)
	for _, c := range m.reader.Changes().All() {
		old := m.history[c.ID]
		if old.State == rollout.StateTakenBack && (c.State != old.State || c.Author != old.Author || c.Reason != old.Reason) {
			t.Fatalf("%s moved from taken back to %+v", c.ID, c)
		}
		m.history[c.ID] = c
	}
}

func (m *stateMachine) push(t *rapid.T, i int, lost, answered, copied bool) {
	n := m.nodes[i]
	data, err := n.NextBatch()
	if err != nil || data == nil || m.cut[n.domain] {
		return
	}
	if copied {
		m.delayedBatches = append(m.delayedBatches, data)
	}
	if lost {
		return
	}
	m.append(t, data)
	if answered {
		n.ConfirmBatch()
	}
}

func (m *stateMachine) pull(i, limit int) {
	n := m.nodes[i]
	if m.cut[n.domain] {
		return
	}
	n.pull(m.now, m.log, limit)
	for _, c := range n.Changes().All() {
		if c.State == rollout.StateTakenBack {
			m.knownTakenBack[i][c.ID] = true
		}
	}
}

func (m *stateMachine) tick(i int, late time.Duration) {
	n := m.nodes[i]
	n.handle(n.Tick(m.now.Add(-late)))
	for _, s := range n.unsentStops {
		m.knownTakenBack[i][s.Change] = true
		m.messages = append(m.messages, message{stops: []rollout.Stop{s}})
	}
	n.unsentStops = nil
}

func (m *stateMachine) message(i int) message {
	return message{evidence: m.nodes[i].Evidence(nil, 2), stops: m.nodes[i].Stops()}
}

func (m *stateMachine) receive(i int, d message) {
	n := m.nodes[i]
	for _, s := range d.stops {
		for _, c := range n.Dump() {
			if c.Change.ID == s.Change {
				m.knownTakenBack[i][s.Change] = true
			}
		}
	}
	n.receive(m.now, d.evidence, d.stops)
}

// traffic sends count requests. While the new version is faulty, every other request to it fails.
func (m *stateMachine) traffic(t *rapid.T, i, count int, hash uint64) {
	n := m.nodes[i]
	for k := range count {
		choice, ok := n.Choose(model, hash+uint64(k)*0x9e3779b97f4a7c15)
		if !ok {
			return
		}
		if again, _ := n.Choose(model, hash+uint64(k)*0x9e3779b97f4a7c15); again != choice {
			t.Fatalf("a retry got %v instead of %v", again, choice)
		}
		if choice.New && m.knownTakenBack[i][choice.Change] {
			t.Fatalf("%s got traffic at a VM that knows it is taken back", choice.Change)
		}
		n.Record(m.now, rollout.Sample{
			Change: choice.Change, New: choice.New, Route: "r", Failed: choice.New && m.faulty && k%2 == 0,
		})
	}
}

func (m *stateMachine) actions() map[string]func(*rapid.T) {
	vm := func(t *rapid.T) int { return rapid.IntRange(0, machineVMs-1).Draw(t, "vm") }
	yes := func(t *rapid.T, label string) bool { return rapid.IntRange(0, 3).Draw(t, label) == 0 }
	return map[string]func(*rapid.T){
		"time": func(t *rapid.T) {
			m.now = m.now.Add(time.Duration(rapid.IntRange(1, 40).Draw(t, "s")) * time.Second)
		},
		"tick": func(t *rapid.T) { m.tick(vm(t), 0) },
		// The VM was suspended after it read its clock.
		"paused":  func(t *rapid.T) { m.tick(vm(t), time.Duration(rapid.IntRange(1, 90).Draw(t, "s"))*time.Second) },
		"traffic": func(t *rapid.T) { m.traffic(t, vm(t), 400, rapid.Uint64().Draw(t, "hash")) },
		"push":    func(t *rapid.T) { m.push(t, vm(t), yes(t, "lost"), !yes(t, "unanswered"), yes(t, "copied")) },
		"pull":    func(t *rapid.T) { m.pull(vm(t), rapid.IntRange(1, 4).Draw(t, "entries")) },
		"round": func(t *rapid.T) {
			// Most of the time the fleet has no faults. Without this step hardly any run gets past the first stages.
			m.now = m.now.Add(10 * time.Second)
			m.round(t)
		},
		"send": func(t *rapid.T) { m.messages = append(m.messages, m.message(vm(t))) },
		"deliver": func(t *rapid.T) {
			if len(m.messages) > 0 {
				m.receive(vm(t), m.messages[rapid.IntRange(0, len(m.messages)-1).Draw(t, "letter")])
			}
		},
		"late": func(t *rapid.T) {
			if len(m.delayedBatches) > 0 {
				m.append(t, m.delayedBatches[rapid.IntRange(0, len(m.delayedBatches)-1).Draw(t, "copy")])
			}
		},
		"stray": func(t *rapid.T) { m.appendForeign(t) },
		"kill": func(t *rapid.T) {
			// The VM dies at the worst moment: the peers may have received its stop, but no takeBack is appended.
			i := vm(t)
			m.faulty = rapid.Bool().Draw(t, "faulty")
			m.traffic(t, i, 4000, 0)
			m.tick(i, 0)
			if len(m.messages) > 0 && rapid.Bool().Draw(t, "told") {
				for j := range m.nodes {
					m.receive(j, m.messages[len(m.messages)-1])
				}
			}
			m.start(i)
		},
		"cut":   func(t *rapid.T) { m.cut[rapid.IntRange(0, 1).Draw(t, "domain")] = true },
		"heal":  func(*rapid.T) { m.cut = [2]bool{} },
		"fault": func(t *rapid.T) { m.faulty = yes(t, "faulty") },
		"publish": func(t *rapid.T) {
			if !yes(t, "really") {
				return
			}
			m.version++
			m.rules = nil
			if rapid.Bool().Draw(t, "replace") {
				m.rules = []rollout.Rule{ruleFor(model, m.now.Add(machineLength))}
			}
			m.nodes[vm(t)].SetRules(m.now, m.version, m.rules)
		},
		"": m.check,
	}
}

// appendForeign appends records that another VM, or one with a wrong clock, may append at any time.
func (m *stateMachine) appendForeign(t *rapid.T) {
	c, ok := m.reader.Changes().Latest(model)
	if !ok {
		return
	}
	var records []rollout.Append
	switch rapid.IntRange(0, 2).Draw(t, "kind") {
	case 0:
		for from := range c.Rule.Stages {
			records = append(records, rollout.Append{Kind: record.KindAdvance, Body: rollout.Advance{Change: c.ID, From: from}})
		}
	case 1:
		records = append(records, rollout.Append{Kind: record.KindDone, Body: rollout.Done{Change: c.ID}})
	case 2:
		body := rollout.TakeBack{Change: c.ID, Reason: rollout.ReasonGap}
		records = append(records, rollout.Append{Kind: record.KindTakeBack, Body: body})
	}
	m.append(t, entry(len(m.log), c.Rule.Deadline, records...))
}

func (m *stateMachine) round(t *rapid.T) {
	for i, n := range m.nodes {
		m.traffic(t, i, 50, uint64(m.now.UnixNano()))
		m.tick(i, 0)
		m.push(t, i, false, true, false)
		m.pull(i, len(m.log))
		d := m.message(i)
		for j, peer := range m.nodes {
			if j != i && (peer.domain == n.domain || !m.cut[0] && !m.cut[1]) {
				m.receive(j, d)
			}
		}
	}
}

// check fails if a state of a change is reported to the operator more than once.
func (m *stateMachine) check(t *rapid.T) {
	type reportedState struct {
		change string
		state  rollout.State
	}
	count := map[reportedState]int{}
	for _, n := range m.incarnations {
		for _, r := range n.reports {
			o := reportedState{r.Change.ID, r.Change.State}
			if r.DecidedHere {
				count[o]++
			}
			if count[o] > 1 {
				t.Fatalf("%s was reported %s %d times", o.change, o.state, count[o])
			}
		}
	}
}

// settle ends all faults, lets the fleet finish all changes and checks the final state.
func (m *stateMachine) settle(t *rapid.T) {
	m.cut = [2]bool{}
	for _, n := range m.nodes {
		n.SetRules(m.now, m.version, m.rules)
	}
	for range 40 {
		m.now = m.now.Add(15 * time.Second)
		m.round(t)
	}
	want, err := m.reader.Changes().Encode()
	if err != nil {
		t.Fatal(err)
	}
	for i := range m.nodes {
		m.pull(i, len(m.log))
		if got, _ := m.nodes[i].Changes().Encode(); !bytes.Equal(got, want) {
			t.Fatalf("readers disagree:\n%s\n%s", got, want)
		}
	}
	restored := rollout.NewChanges()
	if err := restored.Decode(want); err != nil {
		t.Fatal(err)
	}
	if got, _ := restored.Encode(); !bytes.Equal(got, want) {
		t.Fatalf("decoded state differs:\n%s\n%s", got, want)
	}
	for id, c := range m.history {
		if c.State == rollout.StateOpen {
			t.Fatalf("%s is still open: %+v", id, m.nodes[0].Dump())
		}
	}
	m.check(t)
}

// TestChangesUnderFaults guards against a version that gets traffic after it was taken back, a decision that reverts,
// readers that disagree, and decisions that are reported twice or never.
func TestChangesUnderFaults(t *testing.T) {
	states := map[rollout.State]int{}
	faults := 0
	rapid.Check(t, func(t *rapid.T) {
		m := newStateMachine()
		t.Repeat(m.actions())
		m.settle(t)
		for _, c := range m.reader.Changes().All() {
			states[c.State]++
			if c.Reason == rollout.ReasonFailures {
				faults++
			}
		}
	})
	t.Log(states, "for failures:", faults)
	if states[rollout.StateDone] == 0 || faults == 0 {
		t.Fatal("the runs reached no done or no fault")
	}
}

// TestTakeBackAfterDone guards against a done that hides a fault found on the other side of a network partition.
func TestTakeBackAfterDone(t *testing.T) {
	n := newNode(0, 0, 0)
	step := func(kind record.Kind, body record.Validator, skipped int) {
		next := n.Stream().Next()
		data := entry(int(next), epoch, rollout.Append{Kind: kind, Body: body})
		if _, got, _ := n.Fold(epoch, next, data); len(got) != skipped {
			t.Fatalf("%s: %v, want %d skipped", data, got, skipped)
		}
	}
	const id = "m@1"
	rule := ruleFor(model, epoch)
	step(record.KindOpenChange, rollout.Open{Rule: rule, ConfigVersion: 1}, 0)
	step(record.KindDone, rollout.Done{Change: id}, 1) // Not at the last stage.
	for from := range len(rule.Stages) - 1 {
		step(record.KindAdvance, rollout.Advance{Change: id, From: from}, 0)
		step(record.KindAdvance, rollout.Advance{Change: id, From: from}, 1) // Based on an outdated stage.
	}
	step(record.KindDone, rollout.Done{Change: id}, 0)
	step(record.KindTakeBack, rollout.TakeBack{Change: id, Reason: rollout.ReasonNoEvidence}, 1)
	step(record.KindTakeBack, rollout.TakeBack{Change: id, Reason: rollout.ReasonGap}, 0)
	step(record.KindDone, rollout.Done{Change: id}, 1)
	if c, _ := n.Changes().Latest(model); c.State != rollout.StateTakenBack || !c.AfterDone {
		t.Fatalf("%+v", c)
	}
	if got := n.Dump()[0].Explain(); got != "taken back to v1: slowGap, recorded by stray" {
		t.Fatal(got)
	}
}

// TestMergeOrder guards against evidence that is counted twice or depends on the order of arrival.
func TestMergeOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, evidence := newLoadedNode(t, 3, 1, 2)
		b, _ := newLoadedNode(t, 3, 1, 2)
		for i := range evidence {
			e := &evidence[i]
			e.Period, e.Seen = rapid.Uint32Range(1, 4).Draw(t, "period"), rapid.Uint32Range(0, 9000).Draw(t, "seen")
			e.New.Requests = rapid.Uint32Range(100, 200).Draw(t, "requests")
			e.New.Failures = rapid.Uint32Range(0, 100).Draw(t, "failures")
		}
		order := rapid.Permutation(append(evidence, evidence...)).Draw(t, "order")
		if err := errors.Join(a.Merge(epoch, evidence), b.Merge(epoch, order)); err != nil {
			t.Fatal(err)
		}
		a.handle(a.Tick(epoch))
		b.handle(b.Tick(epoch))
		if x, y := a.Dump()[0], b.Dump()[0]; x.Finding != y.Finding || x.Seen != y.Seen {
			t.Fatalf("%+v differs from %+v", x, y)
		}
	})
}
