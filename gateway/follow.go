package gateway

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"ibiswinch/core/event"
	"ibiswinch/core/keyed"
	"ibiswinch/io/apexlog"
)

const (
	// retryPause is the pause after a failed call to the log. A random part is added so that the entry VMs don't retry at
	// the same moment.
	retryPause = 120 * time.Millisecond
	// minReadInterval is the pause between reads, so that frequent small records are read in batches.
	minReadInterval = 10 * time.Millisecond
)

// follower reads one partition: first the newest record of each key, then new records in order.
type follower struct {
	cfg       Config
	partition keyed.Partition
	// wait returns how long a read waits for a record; nil stands for no time. It bounds how long a dead connection can
	// delay a record. interval returns the pause between reads; nil stands for minReadInterval.
	wait     func() time.Duration
	interval func() time.Duration
	// snapshot gets the newest records of all keys. A key that isn't among them doesn't exist.
	snapshot func(records []keyed.Record)
	apply    func(r keyed.Record)
	// onLogDown and onLogUp are called when the log becomes unavailable and available again. Since silentSince no read was
	// answered. They may be nil.
	onLogDown func(now time.Time)
	onLogUp   func(silentSince, now time.Time)
	// onEra is called before the first snapshot of each era. restored is set if an earlier era was read. It may be nil.
	onEra func(now time.Time, restored bool)

	// next is the offset to read next in era.
	next    uint64
	era     keyed.Era
	started bool
	logDown bool
	// answeredAt is when the log last answered a read, or when the loop began.
	answeredAt time.Time
	// hasSnapshot is set once a snapshot was loaded.
	hasSnapshot bool
}

func (f *follower) loop(ctx context.Context) error {
	f.answeredAt = f.cfg.Now()
	for ctx.Err() == nil {
		interval := minReadInterval
		if f.interval != nil {
			interval = f.interval()
		}
		if err := f.cfg.protect(f.name(), func() error { return f.step(ctx) }); err != nil && ctx.Err() == nil {
			f.handleError(err)
			interval = retryPause + rand.N(retryPause)
		}
		pause(ctx, interval)
	}
	return ctx.Err()
}

// name names the follower in the log.
func (f *follower) name() string { return "follow " + string(f.partition.Stream) }

func (f *follower) handleError(err error) {
	if errors.Is(err, errPanicked) {
		return
	}
	if errors.Is(err, keyed.ErrTrimmed) {
		f.cfg.Events.Event(event.SnapshotNeeded, f.fields())
		return
	}
	if f.logDown {
		return
	}
	f.logDown = true
	fields := f.fields()
	fields["error"] = err.Error()
	f.cfg.Events.Event(event.LogUnavailable, fields)
	if f.onLogDown != nil {
		f.onLogDown(f.cfg.Now())
	}
}

func (f *follower) fields() apexlog.Fields {
	return apexlog.Fields{"stream": string(f.partition.Stream), "partition": f.partition.Number, "next": f.next}
}

// step reads once and applies what was read.
func (f *follower) step(ctx context.Context) error {
	if !f.started {
		batch, err := f.cfg.Log.Latest(ctx, f.partition)
		if err != nil {
			return err
		}
		f.setLogUp()
		f.setEra(batch.Era)
		f.next, f.hasSnapshot = batch.Next, true
		f.snapshot(batch.Records)
		f.started = true
		return nil
	}
	var wait time.Duration
	// After a failure the next read answers at once, so that the outage isn't taken to last longer than it does.
	if f.wait != nil && !f.logDown {
		wait = f.wait()
	}
	batch, err := f.cfg.Log.Read(ctx, f.partition, f.next, wait)
	if errors.Is(err, keyed.ErrTrimmed) {
		f.started = false
	}
	if err != nil {
		return err
	}
	f.setLogUp()
	if batch.Era != f.era {
		// The records at these offsets follow others than those that were read before.
		f.started = false
		return nil
	}
	f.applyNewest(batch.Records)
	f.next = batch.Next
	if f.next < batch.End {
		// On a slow link reading the rest may take longer than it takes to be written, so the next step loads a snapshot.
		f.started = false
		f.cfg.Events.Event(event.SkippedToNewest, f.fields())
	}
	return nil
}

// setEra records the era of a snapshot.
func (f *follower) setEra(era keyed.Era) {
	if f.hasSnapshot && f.era == era {
		return
	}
	old := f.era
	f.era = era
	if f.hasSnapshot {
		fields := f.fields()
		fields["era"], fields["oldEra"] = era, old
		f.cfg.Events.Event(event.LogRestored, fields)
	}
	if f.onEra != nil {
		f.onEra(f.cfg.Now(), f.hasSnapshot)
	}
}

// applyNewest applies only the newest record of each key.
func (f *follower) applyNewest(records []keyed.Record) {
	newest := make(map[string]uint64, len(records))
	for _, r := range records {
		newest[r.Key] = r.Offset
	}
	for _, r := range records {
		if newest[r.Key] == r.Offset {
			// A record that meets a defect must not keep the following ones from being applied.
			_ = f.cfg.protect(f.name(), func() error {
				f.apply(r)
				return nil
			})
		}
	}
}

// setLogUp records an answer of the log.
func (f *follower) setLogUp() {
	now := f.cfg.Now()
	silentSince := f.answeredAt
	f.answeredAt = now
	if !f.logDown {
		return
	}
	f.logDown = false
	fields := f.fields()
	fields["silentMs"] = now.Sub(silentSince).Milliseconds()
	f.cfg.Events.Event(event.LogAvailable, fields)
	if f.onLogUp != nil {
		f.onLogUp(silentSince, now)
	}
}

// pause waits for d or the end of ctx.
func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
