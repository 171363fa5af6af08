package gateway

import (
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"ibiswinch/core/overload"
	"ibiswinch/core/refusal"
)

// TestFullLinkRefusesCalls guards against calls that wait for the link of the entry VM so long that they reach a server
// after their callers have left.
func TestFullLinkRefusesCalls(t *testing.T) {
	sent, f := int64(0), newFixtureWith(t, func(cfg *Config) {
		cfg.Limits = overload.Limits{LinkBytesPerSecond: 1000}
	}, answered("1"), answered("2"))
	f.gateway.load.cfg.BytesSent = func() int64 { return sent }
	f.c.Assert(f.post("/order/1").body, qt.Equals, "1")
	sent = 2000
	r := f.post("/order/2")
	f.c.Assert(r.refused.Reason, qt.Equals, refusal.Overloaded)
	f.c.Assert(r.refused.Execution, qt.Equals, refusal.NotRun)
	f.c.Assert(f.backend.attempts, qt.HasLen, 1)
}

// TestLinkFillsWhileCallWaits guards against a call that is sent on into a full link because the link was free when the call
// arrived.
func TestLinkFillsWhileCallWaits(t *testing.T) {
	f := newFixtureWith(t, func(cfg *Config) {
		cfg.Limits = overload.Limits{LinkBytesPerSecond: 1000}
	}, answered("1"))
	var checks atomic.Int64
	f.gateway.load.cfg.BytesSent = func() int64 { return 2000 * (checks.Add(1) - 1) }
	r := f.post("/order/1")
	f.c.Assert(f.backend.attempts, qt.HasLen, 0)
	f.c.Assert(r.refused.Reason, qt.Equals, refusal.Overloaded)
	f.c.Assert(f.gateway.Dump().Budgets[0].Held, qt.Equals, int64(0))
}

// TestOverloadedVMIsNotReady guards against an entry VM with a full link that keeps getting new connections.
func TestOverloadedVMIsNotReady(t *testing.T) {
	f := newFixtureWith(t, func(cfg *Config) { cfg.Limits = overload.Limits{LinkBytesPerSecond: 1000} })
	f.c.Assert(f.gateway.Ready(), qt.IsTrue)
	s := overload.Sample{At: time.Now()}
	for range 4 {
		s.At, s.ReceivedBytes = s.At.Add(sampleInterval), s.ReceivedBytes+250
		f.gateway.load.monitor.Add(s)
	}
	f.c.Assert(f.gateway.Ready(), qt.IsFalse)
}
