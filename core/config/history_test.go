package config_test

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"ibiswinch/core/config"
	"ibiswinch/core/record"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// published identifies a publication that a process put into its outbox.
type published struct {
	author   record.Author
	sequence uint64
}

// expectedResult is the result of a publication according to the oracle.
type expectedResult struct {
	outcome config.Outcome
	version uint64
}

// process is one entry VM with its reader and writer of the config stream.
type process struct {
	author  record.Author
	history *config.History
	stream  *record.Stream
	outbox  *record.Outbox
	// highest is the highest version that was in force in this process.
	highest uint64
}

// simulation is a log and processes that publish concurrently.
type simulation struct {
	processes    []*process
	log          [][]byte
	oldest       uint64
	publications []published
	incarnations int
	// texts are the inventories by author and sequence.
	texts map[published]string
	// accepted, expected and lastSequence are the oracle, which reads the whole log.
	accepted     []string
	expected     map[published]expectedResult
	lastSequence map[record.Author]uint64
	// snapshotBase is the highest base of a complete snapshot in the log.
	snapshotBase uint64
}

func (s *simulation) newProcess(vm string) *process {
	s.incarnations++
	p := &process{author: record.Author{VM: vm, Incarnation: fmt.Sprint(s.incarnations)}, history: config.NewHistory()}
	p.stream = record.NewStream(p.history)
	p.outbox = record.NewOutbox(p.author)
	return p
}

func (s *simulation) publish(t *rapid.T, p *process) {
	base, _ := p.history.Current()
	if rapid.Bool().Draw(t, "fromLog") {
		base = p.history.LogVersion()
	}
	text := fmt.Sprintf("[domain \"d%d\"]\nregion = r\n", len(s.publications))
	if rapid.IntRange(0, 4).Draw(t, "invalid") == 0 {
		text = "[domain \"d\"]\nregoin = r\n"
	}
	inventory, err := config.Compress(text)
	if err != nil {
		t.Fatal(err)
	}
	rules, err := config.Compress("")
	if err != nil {
		t.Fatal(err)
	}
	body := config.Publish{Replaces: base, Operator: p.author.VM, InventoryGzip: inventory, RulesGzip: rules}
	sequence, err := p.outbox.Add(epoch, record.KindPublish, body)
	if err != nil {
		t.Fatal(err)
	}
	one := published{author: p.author, sequence: sequence}
	s.publications = append(s.publications, one)
	s.texts[one] = text
}

func (s *simulation) append(t *rapid.T, p *process, answered bool) {
	data, err := p.outbox.NextBatch()
	if err != nil {
		t.Fatal(err)
	}
	if data == nil {
		return
	}
	s.store(t, data)
	if answered {
		p.outbox.Confirm(p.outbox.InFlightLast())
	}
}

// store adds an entry to the log and applies it to the oracle.
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
		if r.Kind == record.KindSnapshot {
			s.noteSnapshot(t, r)
			continue
		}
		s.applyToOracle(t, r)
	}
}

func (s *simulation) applyToOracle(t *rapid.T, r record.Record) {
	one := published{author: r.Author, sequence: r.Sequence}
	body, err := record.Body[config.Publish](r)
	if err != nil {
		t.Fatal(err)
	}
	switch {
	case body.Replaces != uint64(len(s.accepted)):
		s.expected[one] = expectedResult{outcome: config.Conflict, version: uint64(len(s.accepted))}
	case bytes.Contains([]byte(s.texts[one]), []byte("regoin")):
		s.expected[one] = expectedResult{outcome: config.Refused, version: uint64(len(s.accepted))}
	default:
		s.accepted = append(s.accepted, s.texts[one])
		s.expected[one] = expectedResult{outcome: config.Accepted, version: uint64(len(s.accepted))}
	}
}

func (s *simulation) noteSnapshot(t *rapid.T, r record.Record) {
	part, err := record.Body[record.SnapshotPart](r)
	if err != nil {
		t.Fatal(err)
	}
	if part.Count == 1 {
		s.snapshotBase = max(s.snapshotBase, part.Base)
	}
}

func (s *simulation) read(p *process) bool {
	if p.stream.Next() < s.oldest {
		p.stream.SetOldest(s.oldest)
	}
	if p.stream.Next() >= uint64(len(s.log)) {
		return false
	}
	p.stream.Apply(p.stream.Next(), s.log[p.stream.Next()])
	p.outbox.Confirm(p.stream.LastSequence(p.author))
	return true
}

func (s *simulation) snapshot(t *rapid.T, p *process) {
	if p.stream.WaitingForSnapshot() {
		return
	}
	parts, err := p.stream.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	for _, part := range parts {
		if _, err := p.outbox.Add(epoch, record.KindSnapshot, part); err != nil {
			t.Fatal(err)
		}
	}
}

// check compares every process with the oracle.
func (s *simulation) check(t *rapid.T) {
	for _, p := range s.processes {
		version, cfg := p.history.Current()
		if version < p.highest {
			t.Fatalf("%v reverted from version %d to %d", p.author, p.highest, version)
		}
		p.highest = version
		if version == 0 {
			continue
		}
		if version > uint64(len(s.accepted)) || cfg == nil {
			t.Fatalf("%v has version %d, the log has %d", p.author, version, len(s.accepted))
		}
		if got := p.history.Publication().Inventory; got != s.accepted[version-1] {
			t.Fatalf("%v has a wrong version %d: %q", p.author, version, got)
		}
		for _, one := range s.publications {
			v, known := p.history.PublishResult(one.author, one.sequence)
			if want := s.expected[one]; known && (v.Outcome != want.outcome || v.Version != want.version) {
				t.Fatalf("result %+v, want %+v", v, want)
			}
		}
	}
}

func (s *simulation) finish(t *rapid.T) {
	for _, p := range s.processes {
		for p.outbox.Len() > 0 {
			s.append(t, p, true)
		}
	}
	var first []byte
	for _, p := range s.processes {
		for s.read(p) {
			s.check(t)
		}
		state, err := p.history.Encode()
		if err != nil {
			t.Fatal(err)
		}
		if first == nil {
			first = state
		}
		if !bytes.Equal(first, state) {
			t.Fatalf("the state of %v differs from the first one", p.author)
		}
		if v, _ := p.history.Current(); v != uint64(len(s.accepted)) {
			t.Fatalf("%v ends with version %d of %d", p.author, v, len(s.accepted))
		}
	}
}

// TestConfigNeverReverts guards against accepting two publications that replace the same version, against an author who
// gets a wrong result, and against a process that returns to an older configuration. Answers of appends are lost,
// appends are repeated late, the log is trimmed, processes restart, and peers offer publications.
func TestConfigNeverReverts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &simulation{texts: map[published]string{}, expected: map[published]expectedResult{}, lastSequence: map[record.Author]uint64{}}
		for _, vm := range []string{"a", "b", "c"} {
			s.processes = append(s.processes, s.newProcess(vm))
		}
		one := rapid.IntRange(0, len(s.processes)-1)
		draw := func(t *rapid.T) *process { return s.processes[one.Draw(t, "process")] }
		t.Repeat(map[string]func(*rapid.T){
			"publish": func(t *rapid.T) { s.publish(t, draw(t)) },
			"append":  func(t *rapid.T) { s.append(t, draw(t), rapid.Bool().Draw(t, "answered")) },
			"read":    func(t *rapid.T) { s.read(draw(t)) },
			"readAll": func(t *rapid.T) {
				p := draw(t)
				for s.read(p) {
					s.check(t)
				}
			},
			"snapshot": func(t *rapid.T) { s.snapshot(t, draw(t)) },
			"trim":     func(*rapid.T) { s.oldest = s.snapshotBase },
			"late": func(t *rapid.T) {
				if len(s.log) > 0 {
					s.store(t, s.log[rapid.IntRange(0, len(s.log)-1).Draw(t, "copy")])
				}
			},
			"kill": func(t *rapid.T) {
				i := one.Draw(t, "process")
				s.processes[i] = s.newProcess(s.processes[i].author.VM)
			},
			"offer": func(t *rapid.T) {
				if _, err := draw(t).history.Offer(draw(t).history.Publication()); err != nil {
					t.Fatal(err)
				}
			},
			"": s.check,
		})
		s.finish(t)
	})
}
