package gateway

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"ibiswinch/core/call"
)

// TestStoppingProcessIsReady guards against a stopping process that the load balancer sends new callers to, and against one that
// refuses those that are connected at once.
func TestStoppingProcessIsReady(t *testing.T) {
	f := newFixture(t, answered("ok"))
	f.c.Assert(f.gateway.Ready(), qt.IsTrue)
	f.gateway.Drain(time.Now().Add(time.Hour))
	f.c.Assert(f.gateway.Ready(), qt.IsFalse)
	f.c.Assert(f.post("/order/1").body, qt.Equals, "ok")
}

// TestFleetRefusesAfterAllProcessesDied guards against a fleet whose tokens stay with processes that are gone, when all of them
// were killed at the same moment.
func TestFleetRefusesAfterAllProcessesDied(t *testing.T) {
	const recovery = 12 * time.Second
	f := newFixtureWith(t, answerAll)
	gateways := make([]*Gateway, 3)
	stops := make([]func(), 3)
	names := []string{"vm-2", "vm-3", "vm-4"}
	for i, name := range names {
		gateways[i], stops[i] = f.startStoppable(name)
	}
	f.spend(20_000, gateways...)
	for _, stop := range stops {
		stop()
	}
	start := time.Now()
	for i, name := range names {
		gateways[i] = f.start(name)
	}
	for _, g := range gateways {
		f.waitWithin(recovery, "answer", func() bool {
			return f.serveAt(g, &call.Call{Path: "/read/1", InputTokens: 100, MaxOutputTokens: 40}).status == 200
		})
	}
	f.c.Check(time.Since(start) < recovery, qt.IsTrue)
}
