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
	// retryPause is the pause after a failed call to the log; a random part is added so that entry VMs don't come back
	// at the same moment.
	retryPause = 120 * time.Millisecond
	// minInterval keeps a stream of many small records from being read one by one.
	minInterval = 10 * time.Millisecond
)

// follower reads one partition in order, from the newest record of each key on.
type follower struct {
	cfg       Config
	partition keyed.Partition
	// wait is how long a read waits for a record; pace is the pause between reads, nil for none.
	wait time.Duration
	pace func() time.Duration
	// snapshot takes the newest records of all keys; what isn't among them doesn't exist.
	snapshot func(records []keyed.Record)
	apply    func(r keyed.Record)
	// lost and regained are called when the log stops and starts to answer; nil to ignore.
	lost, regained func(now time.Time)

	next    uint64
	started bool
	away    bool
}

func (f *follower) loop(ctx context.Context) error {
	for ctx.Err() == nil {
		pauseFor := minInterval
		if f.pace != nil {
			pauseFor = f.pace()
		}
		if err := f.step(ctx); err != nil && ctx.Err() == nil {
			f.fail(err)
			pauseFor = retryPause + rand.N(retryPause)
		}
		pause(ctx, pauseFor)
	}
	return ctx.Err()
}

func (f *follower) fail(err error) {
	if errors.Is(err, keyed.ErrTrimmed) {
		f.started = false
		f.cfg.Events.Event(event.SnapshotNeeded, f.fields())
		return
	}
	if f.away {
		return
	}
	f.away = true
	fields := f.fields()
	fields["error"] = err.Error()
	f.cfg.Events.Event(event.LogUnavailable, fields)
	if f.lost != nil {
		f.lost(f.cfg.Now())
	}
}

func (f *follower) fields() apexlog.Fields {
	return apexlog.Fields{"stream": string(f.partition.Stream), "partition": f.partition.Number, "next": f.next}
}

// step reads once.
func (f *follower) step(ctx context.Context) error {
	if !f.started {
		batch, err := f.cfg.Log.Latest(ctx, f.partition)
		if err != nil {
			return err
		}
		f.back()
		f.next, f.started = batch.Next, true
		f.snapshot(batch.Records)
		return nil
	}
	batch, err := f.cfg.Log.Read(ctx, f.partition, f.next, f.wait)
	if err != nil {
		return err
	}
	f.back()
	f.applyNewest(batch.Records)
	f.next = batch.Next
	if f.next < batch.End {
		// On a narrow link reading all that is left may take longer than it takes to be written.
		f.started = false
		f.cfg.Events.Event(event.FarBehind, f.fields())
	}
	return nil
}

// applyNewest takes the newest record of each key.
func (f *follower) applyNewest(records []keyed.Record) {
	newest := make(map[string]uint64, len(records))
	for _, r := range records {
		newest[r.Key] = r.Offset
	}
	for _, r := range records {
		if newest[r.Key] == r.Offset {
			f.apply(r)
		}
	}
}

func (f *follower) back() {
	if !f.away {
		return
	}
	f.away = false
	f.cfg.Events.Event(event.LogAvailable, f.fields())
	if f.regained != nil {
		f.regained(f.cfg.Now())
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
