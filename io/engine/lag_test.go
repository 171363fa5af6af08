package engine_test

import (
	"io"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rotisserie/eris"

	"ibiswinch/io/engine"
	standin "ibiswinch/standin/engine"
)

// clock is a fake clock that starts at the Unix epoch.
type clock struct{ nanoseconds atomic.Int64 }

func (k *clock) Now() time.Time          { return time.Unix(0, k.nanoseconds.Load()) }
func (k *clock) advance(d time.Duration) { k.nanoseconds.Add(int64(d)) }

// TestLags guards against a stand-in whose load reports and cache events don't lag, or that doesn't count requests
// started after it began to drain.
func TestLags(t *testing.T) {
	c := qt.New(t)
	k := &clock{}
	k.advance(time.Hour)
	server, client := startStandin(c, standin.Config{
		CacheBlocks: 8, EventLag: 5 * time.Second, LoadLag: 2 * time.Second, CapacityTokens: 1000, Now: k.Now,
	})
	c.Assert(server.SetFaults(standin.Faults{Rules: []standin.Rule{{Action: standin.ActionFreeze, AfterTokens: 1}}}), qt.IsNil)
	stream, err := client.Complete(ctx, newRequest("r", strings.Repeat("x", engine.BlockBytes)))
	c.Assert(err, qt.IsNil)
	defer stream.Close()
	_, err = readChunks(stream, 1)
	c.Assert(err, qt.IsNil)
	server.SetDraining(true)

	load, err := client.LoadReport(ctx)
	c.Assert(err, qt.IsNil)
	c.Assert([]int64{int64(load.Running), load.HeldTokens, load.CapacityTokens}, qt.DeepEquals, []int64{0, 0, 1000})
	c.Assert(load.Draining, qt.IsTrue)
	k.advance(2 * time.Second)
	load, err = client.LoadReport(ctx)
	c.Assert(err, qt.IsNil)
	c.Assert([]int64{int64(load.Running), load.HeldTokens}, qt.DeepEquals, []int64{1, engine.BlockBytes/4 + 1})

	events := func() int {
		page, err := client.CacheEvents(ctx, 0, 0)
		c.Assert(err, qt.IsNil)
		return len(page.Events)
	}
	c.Assert(events(), qt.Equals, 0)
	k.advance(3 * time.Second)
	c.Assert(events(), qt.Equals, 1)

	c.Assert(server.Runs("").Totals.LateStarts, qt.Equals, uint64(0))
	c.Assert(server.SetFaults(standin.Faults{}), qt.IsNil)
	_, err = complete(client, newRequest("late", "p"))
	c.Assert(err, qt.Equals, io.EOF)
	c.Assert(server.Runs("").Totals.LateStarts, qt.Equals, uint64(1))
}

// TestRestart guards against a stand-in that doesn't restart at its address after an injected crash.
func TestRestart(t *testing.T) {
	c := qt.New(t)
	server, client := startStandin(c, standin.Config{RestartAfter: time.Millisecond})
	for range 5 {
		c.Assert(server.SetFaults(standin.Faults{Crash: true}), qt.IsNil)
		waitUntil(server.IsUp)
		client.Close()
		_, err := complete(client, newRequest("r", "p"))
		c.Assert(err, qt.Equals, io.EOF)
	}
	c.Assert(server.Runs("").Totals.Crashes, qt.Equals, uint64(5))
}

// TestOneSlowVersion guards against fault rules for slow answers that affect other versions or ignore the load. The
// slow run has a delay of an hour, so the test would hang if a rule affected another run.
func TestOneSlowVersion(t *testing.T) {
	c := qt.New(t)
	server, client := startStandin(c, standin.Config{Versions: []standin.ModelVersion{{Model: "m", Version: "v2"}}})
	const hour = 3_600_000
	c.Assert(server.SetFaults(standin.Faults{Rules: []standin.Rule{
		{Action: standin.ActionSlowFirst, Version: "v2", DelayMs: hour},
		{Action: standin.ActionSlowGaps, AboveRunning: 1, DelayMs: hour},
	}}), qt.IsNil)
	_, err := complete(client, newRequest("alone", "p"))
	c.Assert(err, qt.Equals, io.EOF)
	ended := make(chan error, 1)
	go func() {
		r := newRequest("slow", "p")
		r.Version = "v2"
		_, err := complete(client, r)
		ended <- err
	}()
	waitUntil(func() bool { return server.LoadReport().Running == 1 })
	stream, err := client.Complete(ctx, newRequest("gaps", "p"))
	c.Assert(err, qt.IsNil)
	_, err = readChunks(stream, 1)
	c.Assert(err, qt.IsNil)
	c.Assert(server.Cancel("gaps"), qt.Equals, 1)
	a, err := readChunks(stream, 1<<20)
	c.Assert(eris.Is(err, engine.ErrCancelled), qt.IsTrue)
	c.Assert(a.chunks, qt.Equals, 0)
	// The slow run ends last: with fewer than two running requests the rule for slow gaps does not apply.
	c.Assert(server.Cancel("slow"), qt.Equals, 1)
	c.Assert(eris.Is(<-ended, engine.ErrCancelled), qt.IsTrue)
}
