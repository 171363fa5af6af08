package gateway

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"ibiswinch/core/call"
	"ibiswinch/core/keyed"
)

// silentLog is a log that, once it is silent, answers no reads of the ledger for silence.
type silentLog struct {
	*memoryLog
	silent atomic.Bool
	// asked gets a value for each read that isn't answered.
	asked chan struct{}
}

const silence = 900 * time.Millisecond

// Read implements Log.
func (l *silentLog) Read(ctx context.Context, p keyed.Partition, from uint64, wait time.Duration) (keyed.Batch, error) {
	if p.Stream != keyed.Ledger || !l.silent.Load() {
		return l.memoryLog.Read(ctx, p, from, wait)
	}
	l.asked <- struct{}{}
	pause(ctx, silence)
	return keyed.Batch{}, keyed.ErrUnavailable
}

// TestStopWaitsForRenewal guards against a planned stop that waits for a renewal for which the store is silent, longer than
// there is time.
func TestStopWaitsForRenewal(t *testing.T) {
	log := &silentLog{asked: make(chan struct{}, 100)}
	f := newFixtureWith(t, func(cfg *Config) {
		log.memoryLog = cfg.Log.(*memoryLog)
		cfg.Log = log
	})
	log.silent.Store(true)
	go f.serve(&call.Call{Path: "/order/1", InputTokens: 90_000})
	<-log.asked
	const limit = 100 * time.Millisecond
	start := time.Now()
	err := f.gateway.ReturnReservations(context.Background(), start.Add(limit))
	f.c.Assert(err, qt.IsNotNil)
	f.c.Assert(time.Since(start) < silence/2, qt.IsTrue, qt.Commentf("took %v", time.Since(start)))
}
