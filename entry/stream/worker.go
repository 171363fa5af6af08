// Package stream reads one stream of the platform's log, applies its records to a state in memory (the fold), and
// appends the records of this process to the stream. One goroutine reads and one writes; the decisions are made in
// record.Stream, record.Outbox and the fold.
package stream

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"ibiswinch/core/event"
	"ibiswinch/core/record"
	"ibiswinch/io/apexlog"
	"ibiswinch/io/platform"
)

// Log is the part of the platform's log API that a worker needs.
type Log interface {
	Append(ctx context.Context, stream string, batch []byte) (uint64, error)
	Read(ctx context.Context, stream string, from uint64, limit int, wait time.Duration) (platform.Page, error)
}

// Config configures a worker.
type Config struct {
	Name   string
	Log    Log
	Fold   record.Fold
	Author record.Author
	Now    func() time.Time
	Events *apexlog.Logger
	// BatchDelay is how long a record that isn't urgent waits for others, to be sent in one append with them.
	BatchDelay time.Duration
	// SnapshotEntries is the number of entries after which a snapshot is written. 0 writes none.
	SnapshotEntries uint64
	// OnAdvance is called by the reading goroutine, without locks, after each read that succeeded. It may be nil.
	OnAdvance func()
	// OnAppend is called after each append to the log, failed ones included. It may be nil.
	OnAppend func()
}

// Timing and bounds of the read and write loops.
const (
	readLimit   = 256
	readWait    = 2 * time.Second
	callTimeout = 5 * time.Second
	minBackoff  = 50 * time.Millisecond
	maxBackoff  = time.Second
	// entriesPerLock is the number of entries that are applied before the lock is released for others.
	entriesPerLock = 8
)

// Worker reads and appends to one stream.
type Worker struct {
	cfg Config

	mu     sync.Mutex
	stream *record.Stream
	outbox *record.Outbox
	// changed is closed and replaced after each page of entries and each append.
	changed chan struct{}
	// flushAt is when the outbox is due to be sent; zero when it is empty.
	flushAt time.Time
	// tailReadAt is when the newest read that reached the end of the stream was started.
	tailReadAt time.Time
	// available is false after a failed call to the log, until a read succeeds.
	available bool
	// caughtUp is set once the end of the stream was reached and never cleared.
	caughtUp bool
	// lastSnapshotSequence is the sequence number of the last snapshot part that this process queued. Only the reading
	// goroutine uses it.
	lastSnapshotSequence uint64

	writerWake chan struct{}
}

// New returns a worker that isn't running yet.
func New(cfg Config) *Worker {
	return &Worker{
		cfg:        cfg,
		stream:     record.NewStream(cfg.Fold),
		outbox:     record.NewOutbox(cfg.Author),
		changed:    make(chan struct{}),
		available:  true,
		writerWake: make(chan struct{}, 1),
	}
}

// Run reads and writes until ctx ends.
func (w *Worker) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return w.readLoop(ctx) })
	g.Go(func() error { return w.writeLoop(ctx) })
	return g.Wait()
}

// WithLock calls f with the lock of the fold held. f must not block.
func (w *Worker) WithLock(f func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	f()
}

// Enqueue queues a record for the log and returns its sequence number. An urgent record is sent with the next append,
// others wait for more records to share an append with.
func (w *Worker) Enqueue(kind record.Kind, body any, urgent bool) (uint64, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.cfg.Now()
	sequence, err := w.outbox.Add(now, kind, body)
	if err != nil {
		return 0, err
	}
	flushAt := now
	if !urgent {
		flushAt = now.Add(w.cfg.BatchDelay)
	}
	if w.flushAt.IsZero() || flushAt.Before(w.flushAt) {
		w.flushAt = flushAt
		w.wakeWriter()
	}
	return sequence, nil
}

func (w *Worker) wakeWriter() {
	select {
	case w.writerWake <- struct{}{}:
	default:
	}
}

// WithStream calls f with the stream, with the lock of the fold held. f must not block.
func (w *Worker) WithStream(f func(s *record.Stream)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	f(w.stream)
}

// Changed returns a channel that is closed after the next page of entries or append.
func (w *Worker) Changed() <-chan struct{} {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.changed
}

// Await waits until done returns true. It calls done with the lock of the fold held.
func (w *Worker) Await(ctx context.Context, done func() bool) error {
	for {
		w.mu.Lock()
		ok, changed := done(), w.changed
		w.mu.Unlock()
		if ok {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		}
	}
}

// AwaitConfirmed waits until the log has the own record with the given sequence number.
func (w *Worker) AwaitConfirmed(ctx context.Context, sequence uint64) error {
	return w.Await(ctx, func() bool { return w.outbox.Confirmed() >= sequence })
}

// AwaitApplied waits until the own record with the given sequence number was read back and applied.
func (w *Worker) AwaitApplied(ctx context.Context, sequence uint64) error {
	return w.Await(ctx, func() bool { return w.stream.LastSequence(w.cfg.Author) >= sequence })
}

// Flush sends the queued records at once and waits until the log has them.
func (w *Worker) Flush(ctx context.Context) error {
	w.mu.Lock()
	if w.outbox.Len() > 0 {
		w.flushAt = w.cfg.Now()
		w.wakeWriter()
	}
	w.mu.Unlock()
	return w.Await(ctx, func() bool { return w.outbox.Len() == 0 })
}

// Status is the state of a worker, for dumps and for the readiness check.
type Status struct {
	Stream             string    `json:"stream"`
	Next               uint64    `json:"next"`
	Pending            int       `json:"pending"`
	Available          bool      `json:"available"`
	CaughtUp           bool      `json:"caughtUp"`
	WaitingForSnapshot bool      `json:"waitingForSnapshot"`
	Halted             string    `json:"halted,omitempty"`
	TailReadAt         time.Time `json:"tailSince"`
	LogTime            time.Time `json:"logTime"`
}

// Status returns the state of the worker.
func (w *Worker) Status() Status {
	w.mu.Lock()
	defer w.mu.Unlock()
	s := Status{
		Stream:             w.cfg.Name,
		Next:               w.stream.Next(),
		Pending:            w.outbox.Len(),
		Available:          w.available,
		CaughtUp:           w.caughtUp,
		WaitingForSnapshot: w.stream.WaitingForSnapshot(),
		TailReadAt:         w.tailReadAt,
		LogTime:            w.stream.LogTime(),
	}
	if err := w.stream.Halted(); err != nil {
		s.Halted = err.Error()
	}
	return s
}

// Available reports whether the log can be reached: false after a failed call, until a read succeeds.
func (w *Worker) Available() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.available
}

// AppliedUntil reports whether all records that were in the log at t are applied.
func (w *Worker) AppliedUntil(t time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return !w.tailReadAt.Before(t)
}

// notifyChanged wakes the goroutines that wait on changed. The caller holds mu.
func (w *Worker) notifyChanged() {
	close(w.changed)
	w.changed = make(chan struct{})
}

// setAvailable notes whether the log can be reached. Only transitions are logged, so that a long outage is two lines.
func (w *Worker) setAvailable(available bool, err error) {
	w.mu.Lock()
	was := w.available
	w.available = available
	w.mu.Unlock()
	switch {
	case was && !available:
		w.cfg.Events.Event(event.LogUnavailable, apexlog.Fields{"stream": w.cfg.Name, "error": err.Error()})
	case !was && available:
		w.cfg.Events.Event(event.LogAvailable, apexlog.Fields{"stream": w.cfg.Name})
	}
}
