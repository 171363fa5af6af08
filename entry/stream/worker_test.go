package stream_test

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"ibiswinch/core/record"
	"ibiswinch/entry/stream"
	"ibiswinch/io/apexlog"
	"ibiswinch/io/platform"
)

// memoryLog is a log in memory.
type memoryLog struct {
	mu      sync.Mutex
	entries []platform.Entry
	changed chan struct{}
}

func (l *memoryLog) Append(_ context.Context, _ string, batch []byte) (uint64, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	offset := uint64(len(l.entries))
	l.entries = append(l.entries, platform.Entry{Offset: offset, Data: batch})
	close(l.changed)
	l.changed = make(chan struct{})
	return offset, nil
}

func (l *memoryLog) Read(ctx context.Context, _ string, from uint64, limit int, wait time.Duration) (platform.Page, error) {
	l.mu.Lock()
	changed, n := l.changed, uint64(len(l.entries))
	l.mu.Unlock()
	if from >= n && wait > 0 {
		select {
		case <-ctx.Done():
			return platform.Page{}, ctx.Err()
		case <-changed:
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	end := min(from+uint64(limit), uint64(len(l.entries)))
	return platform.Page{Next: uint64(len(l.entries)), Entries: l.entries[min(from, end):end]}, nil
}

// textFold keeps the texts of all records, so that its snapshot has many parts.
type textFold struct {
	Texts []string `json:"texts"`
}

type text struct {
	Text string `json:"text"`
}

func (t text) Validate() error { return nil }

func (f *textFold) Apply(_ record.Position, r record.Record) error {
	body, err := record.Body[text](r)
	if err == nil {
		f.Texts = append(f.Texts, body.Text)
	}
	return err
}

func (f *textFold) Encode() ([]byte, error)  { return json.Marshal(f) }
func (f *textFold) Decode(data []byte) error { return json.Unmarshal(data, f) }

// TestSnapshotsDoNotTriggerSnapshots guards against snapshot parts that count as entries towards the next snapshot:
// with a state of many parts, the workers would write snapshots without end though nothing else is appended.
func TestSnapshotsDoNotTriggerSnapshots(t *testing.T) {
	c := qt.New(t)
	log := &memoryLog{changed: make(chan struct{})}
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	defer wg.Wait()
	defer cancel()
	const every, workers, records = 10, 4, 40
	var all []*stream.Worker
	for i := range workers {
		w := stream.New(stream.Config{
			Name: "s", Log: log, Fold: &textFold{}, Author: record.Author{VM: fmt.Sprint("vm", i), Incarnation: "1"},
			Now: time.Now, Events: apexlog.Discard(), SnapshotEntries: every,
		})
		all = append(all, w)
		wg.Go(func() { _ = w.Run(ctx) })
	}
	// Each record is 200 KB, so a snapshot at the end has over 30 parts, three times the limit.
	for i := range records {
		sequence, err := all[0].Enqueue("text", text{Text: strings.Repeat("x", 200<<10)}, true)
		c.Assert(err, qt.IsNil)
		c.Assert(all[0].AwaitApplied(ctx, sequence), qt.IsNil, qt.Commentf("record %d", i))
	}
	// Every worker has read everything and has nothing more to write, which never holds if snapshots trigger snapshots.
	idle := func() bool {
		log.mu.Lock()
		n := uint64(len(log.entries))
		log.mu.Unlock()
		for _, w := range all {
			if s := w.Status(); s.Pending > 0 || s.Next < n {
				return false
			}
		}
		return true
	}
	deadline := time.Now().Add(30 * time.Second)
	for !idle() {
		c.Assert(time.Now().Before(deadline), qt.IsTrue, qt.Commentf("snapshots are still being written"))
		time.Sleep(10 * time.Millisecond)
	}
	kinds := map[record.Kind]int{}
	for _, e := range log.entries {
		batch, err := record.DecodeBatch(e.Data)
		c.Assert(err, qt.IsNil)
		for _, r := range batch {
			kinds[r.Kind]++
		}
	}
	c.Logf("%d parts of snapshots", kinds[record.KindSnapshot])
	// At most one snapshot by each worker for every 10 records; the one after all 40 has 32 parts.
	c.Assert(kinds[record.KindSnapshot] <= workers*(records/every)*32, qt.IsTrue)
	c.Assert(kinds["text"], qt.Equals, records)
}
