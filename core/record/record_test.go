package record_test

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rotisserie/eris"
	"pgregory.net/rapid"

	"ibiswinch/core/record"
)

type note struct {
	Text string `json:"text"`
}

func (n note) Validate() error {
	if n.Text == "" {
		return eris.New("text is empty")
	}
	return nil
}

const kindNote record.Kind = "note"

// notes is a fold that keeps the text of each record in order.
type notes struct {
	Texts []string `json:"texts"`
}

func (n *notes) Apply(_ record.Position, r record.Record) error {
	body, err := record.Body[note](r)
	if err != nil {
		return err
	}
	n.Texts = append(n.Texts, body.Text)
	return nil
}

func (n *notes) Encode() ([]byte, error)  { return json.Marshal(n) }
func (n *notes) Decode(data []byte) error { return json.Unmarshal(data, n) }

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// TestRepeatedAppendsApplyOnce guards against records that are applied twice or never after the answer of their append
// was lost.
func TestRepeatedAppendsApplyOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		outbox := record.NewOutbox(record.Author{VM: "a1", Incarnation: "1"})
		fold := &notes{}
		stream := record.NewStream(fold)
		var entries [][]byte
		var want []string
		step := func(answered bool) {
			data, err := outbox.NextBatch()
			if err != nil || data == nil {
				return
			}
			entries = append(entries, data)
			if answered {
				outbox.Confirm(outbox.InFlightLast())
			}
		}
		for i := range rapid.IntRange(1, 30).Draw(t, "steps") {
			if rapid.Bool().Draw(t, "add") {
				text := fmt.Sprint("note ", i)
				want = append(want, text)
				if _, err := outbox.Add(epoch, kindNote, note{Text: text}); err != nil {
					t.Fatal(err)
				}
			}
			step(rapid.Bool().Draw(t, "answered"))
		}
		for outbox.Len() > 0 {
			step(true)
		}
		// A delayed copy of any earlier append may still arrive.
		if len(entries) > 0 {
			entries = append(entries, entries[rapid.IntRange(0, len(entries)-1).Draw(t, "late")])
		}
		for i, data := range entries {
			stream.Apply(uint64(i), data)
		}
		if fmt.Sprint(fold.Texts) != fmt.Sprint(want) {
			t.Fatalf("folded %v, want %v", fold.Texts, want)
		}
	})
}

// TestSnapshotStartsNewReader guards against a reader that starts after the log was trimmed, from a snapshot, and then
// has another state than a reader of the whole log.
func TestSnapshotStartsNewReader(t *testing.T) {
	c := qt.New(t)
	author := record.Author{VM: "a1", Incarnation: "1"}
	outbox := record.NewOutbox(author)
	first := &notes{}
	writer := record.NewStream(first)
	var log [][]byte
	add := func(kind record.Kind, body any) {
		_, err := outbox.Add(epoch, kind, body)
		c.Assert(err, qt.IsNil)
		data, err := outbox.NextBatch()
		c.Assert(err, qt.IsNil)
		outbox.Confirm(outbox.InFlightLast())
		c.Assert(writer.Apply(uint64(len(log)), data), qt.HasLen, 0)
		log = append(log, data)
	}
	for i := range 20 {
		add(kindNote, note{Text: fmt.Sprint(i)})
	}
	parts, err := writer.Snapshot()
	c.Assert(err, qt.IsNil)
	add(kindNote, note{Text: "between"})
	for _, p := range parts {
		add(record.KindSnapshot, p)
	}
	add(kindNote, note{Text: "after"})

	second := &notes{}
	reader := record.NewStream(second)
	const oldest = 15
	reader.SetOldest(oldest)
	c.Assert(reader.WaitingForSnapshot(), qt.IsTrue)
	for reader.Next() < uint64(len(log)) {
		reader.Apply(reader.Next(), log[reader.Next()])
	}
	c.Assert(reader.WaitingForSnapshot(), qt.IsFalse)
	c.Assert(second.Texts, qt.DeepEquals, first.Texts)
	c.Assert(reader.LastSequence(author), qt.Equals, writer.LastSequence(author))
}

// TestStreamSkipsAndHalts guards against an invalid entry that stops the stream, and against a record of a newer
// version that doesn't.
func TestStreamSkipsAndHalts(t *testing.T) {
	c := qt.New(t)
	fold := &notes{}
	stream := record.NewStream(fold)
	c.Assert(stream.Apply(0, []byte(`[{"version":1,`)), qt.HasLen, 1)
	c.Assert(stream.Apply(1, []byte(`[{"version":1,"kind":"note"}]`)), qt.HasLen, 1)
	newer := record.Record{Version: 2, Kind: kindNote, Author: record.Author{VM: "b", Incarnation: "1"}, Sequence: 1, Body: []byte(`{}`)}
	data, err := record.EncodeBatch([]record.Record{newer})
	c.Assert(err, qt.IsNil)
	c.Assert(stream.Apply(2, data), qt.HasLen, 1)
	c.Assert(eris.Is(stream.Halted(), record.ErrNewerFoldVersion), qt.IsTrue)
	c.Assert(stream.Next(), qt.Equals, uint64(2))
}

// FuzzStreamApply guards against an entry of the log that crashes a reader.
func FuzzStreamApply(f *testing.F) {
	f.Add([]byte(`[{"version":1,"kind":"snapshot","author":{"vm":"a","incarnation":"b"},"sequence":1,"body":{"count":1}}]`))
	f.Add([]byte(`null`))
	f.Fuzz(func(t *testing.T, data []byte) {
		stream := record.NewStream(&notes{})
		stream.Apply(0, data)
	})
}
