package gateway

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"ibiswinch/core/overload"
	"ibiswinch/core/refusal"
)

// TestFullLinkRefusesCalls guards against calls that reach a server after their callers have left, because the request
// waited at the link of the entry VM.
func TestFullLinkRefusesCalls(t *testing.T) {
	sent, b := int64(0), newBenchWith(t, func(cfg *Config) {
		cfg.Limits = overload.Limits{LinkBytes: 1000}
	}, answered("1"), answered("2"))
	b.gateway.load.cfg.Sent = func() int64 { return sent }
	b.c.Assert(b.ask("/order/1").body, qt.Equals, "1")
	sent = 2000
	r := b.ask("/order/2")
	b.c.Assert(r.refused.Reason, qt.Equals, refusal.Overloaded)
	b.c.Assert(r.refused.Execution, qt.Equals, refusal.NotRun)
	b.c.Assert(b.backend.sends, qt.HasLen, 1)
}

// TestOverloadedVMIsNotReady guards against an entry VM with a full link that keeps getting new connections.
func TestOverloadedVMIsNotReady(t *testing.T) {
	b := newBenchWith(t, func(cfg *Config) { cfg.Limits = overload.Limits{LinkBytes: 1000} })
	b.c.Assert(b.gateway.Ready(), qt.IsTrue)
	s := overload.Sample{At: time.Now()}
	for range 4 {
		s.At, s.In = s.At.Add(loadInterval), s.In+250
		b.gateway.load.monitor.Add(s)
	}
	b.c.Assert(b.gateway.Ready(), qt.IsFalse)
}
