package stream

import (
	"context"
	"hash/fnv"
	"time"

	"github.com/rotisserie/eris"

	"ibiswinch/core/event"
	"ibiswinch/core/record"
	"ibiswinch/io/apexlog"
	"ibiswinch/io/platform"
)

func (w *Worker) readLoop(ctx context.Context) error {
	backoff := minBackoff
	for ctx.Err() == nil {
		if err := w.readOnce(ctx); err != nil {
			if ctx.Err() != nil {
				break
			}
			w.setAvailable(false, err)
			sleep(ctx, backoff)
			backoff = min(2*backoff, maxBackoff)
			continue
		}
		backoff = minBackoff
		w.setAvailable(true, nil)
	}
	return ctx.Err()
}

func (w *Worker) readOnce(ctx context.Context) error {
	w.mu.Lock()
	from, wait := w.stream.Next(), readWait
	if !w.caughtUp {
		wait = 0
	}
	w.mu.Unlock()
	started := w.cfg.Now()
	callCtx, cancel := context.WithTimeout(ctx, callTimeout+wait)
	defer cancel()
	page, err := w.cfg.Log.Read(callCtx, w.cfg.Name, from, readLimit, wait)
	if err != nil {
		return err
	}
	w.applyPage(page, started)
	if w.cfg.OnAdvance != nil {
		w.cfg.OnAdvance()
	}
	return w.writeSnapshot()
}

// applyPage applies the records of a page. It releases the lock after every few entries, so that a long catch-up
// doesn't block requests.
func (w *Worker) applyPage(page platform.Page, started time.Time) {
	w.mu.Lock()
	waiting := w.stream.WaitingForSnapshot()
	w.stream.SetOldest(page.Oldest)
	if !waiting && w.stream.WaitingForSnapshot() {
		w.cfg.Events.Event(event.SnapshotNeeded, apexlog.Fields{"stream": w.cfg.Name, "oldest": page.Oldest})
	}
	var skipped []record.Skipped
	for i, e := range page.Entries {
		skipped = append(skipped, w.stream.Apply(e.Offset, e.Data)...)
		if i%entriesPerLock == entriesPerLock-1 {
			w.mu.Unlock()
			w.mu.Lock()
		}
	}
	if w.stream.Next() >= page.Next && !w.stream.WaitingForSnapshot() {
		w.caughtUp = true
		w.tailReadAt = started
	}
	w.outbox.Confirm(w.stream.LastSequence(w.cfg.Author))
	w.notifyChanged()
	w.mu.Unlock()
	w.logSkipped(skipped)
}

func (w *Worker) logSkipped(skipped []record.Skipped) {
	for _, s := range skipped {
		kind := event.RecordSkipped
		if eris.Is(s.Err, record.ErrNewerFoldVersion) {
			kind = event.StreamHalted
		}
		w.cfg.Events.Event(kind, apexlog.Fields{
			"stream": w.cfg.Name, "offset": s.Offset, "index": s.Index, "error": s.Err.Error(),
		})
	}
}

// snapshotStagger is the number of different snapshot thresholds among the processes.
const snapshotStagger = 16

// snapshotThreshold returns the number of entries after which this process writes a snapshot. It is spread over the
// processes by a hash of their names, so that usually the first snapshot is read by the others before they start one.
func (w *Worker) snapshotThreshold() uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(w.cfg.Author.VM + "/" + w.cfg.Author.Incarnation))
	step := h.Sum64() % snapshotStagger
	return w.cfg.SnapshotEntries + w.cfg.SnapshotEntries*step/snapshotStagger
}

// snapshotPending reports whether a snapshot that this process queued hasn't been read back yet. The caller holds mu.
func (w *Worker) snapshotPending() bool {
	return w.stream.LastSequence(w.cfg.Author) < w.lastSnapshotSequence
}

// writeSnapshot queues a snapshot when enough entries came after the last one. It is harmless if two processes write
// the same snapshot.
func (w *Worker) writeSnapshot() error {
	w.mu.Lock()
	due := w.cfg.SnapshotEntries > 0 && w.caughtUp && w.stream.Halted() == nil && !w.snapshotPending() &&
		w.stream.EntriesSinceSnapshot() >= w.snapshotThreshold()
	if !due {
		w.mu.Unlock()
		return nil
	}
	parts, err := w.stream.Snapshot()
	w.mu.Unlock()
	if err != nil {
		return err
	}
	for _, p := range parts {
		sequence, err := w.Enqueue(record.KindSnapshot, p, false)
		if err != nil {
			return err
		}
		w.lastSnapshotSequence = sequence
	}
	w.cfg.Events.Event(event.SnapshotWritten, apexlog.Fields{"stream": w.cfg.Name, "parts": len(parts)})
	return nil
}

func (w *Worker) writeLoop(ctx context.Context) error {
	backoff := minBackoff
	for ctx.Err() == nil {
		if !w.awaitFlush(ctx) {
			break
		}
		err := w.appendOnce(ctx)
		switch {
		case err == nil:
			backoff = minBackoff
		case ctx.Err() != nil:
			return ctx.Err()
		default:
			w.setAvailable(false, err)
			sleep(ctx, backoff)
			backoff = min(2*backoff, maxBackoff)
		}
	}
	return ctx.Err()
}

// awaitFlush waits until the outbox is due to be sent. It returns false when ctx ends.
func (w *Worker) awaitFlush(ctx context.Context) bool {
	for {
		w.mu.Lock()
		flushAt, pending := w.flushAt, w.outbox.Len()
		w.mu.Unlock()
		wait := flushAt.Sub(w.cfg.Now())
		if pending > 0 && wait <= 0 {
			return true
		}
		if pending == 0 {
			wait = time.Hour
		}
		timer := time.NewTimer(wait)
		select {
		case <-ctx.Done():
			timer.Stop()
			return false
		case <-w.writerWake:
		case <-timer.C:
		}
		timer.Stop()
	}
}

func (w *Worker) appendOnce(ctx context.Context) error {
	w.mu.Lock()
	batch, err := w.outbox.NextBatch()
	last := w.outbox.InFlightLast()
	w.mu.Unlock()
	if err != nil || batch == nil {
		return err
	}
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, err = w.cfg.Log.Append(callCtx, w.cfg.Name, batch)
	if w.cfg.OnAppend != nil {
		w.cfg.OnAppend()
	}
	if eris.Is(err, platform.ErrRejected) {
		w.cfg.Events.Event(event.AppendRejected, apexlog.Fields{"stream": w.cfg.Name, "error": err.Error()})
		err = nil
	}
	if err != nil {
		return err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.outbox.Confirm(last)
	if w.outbox.Len() == 0 {
		w.flushAt = time.Time{}
	}
	w.notifyChanged()
	return nil
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
