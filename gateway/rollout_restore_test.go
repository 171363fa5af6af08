package gateway

import (
	"context"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"ibiswinch/core/call"
	"ibiswinch/core/catalog"
	"ibiswinch/core/keyed"
	"ibiswinch/core/placement"
	"ibiswinch/core/rollout"
)

func (g *Gateway) latestChange(service string) rollout.Change {
	g.rollouts.mu.Lock()
	defer g.rollouts.mu.Unlock()
	latest, _ := g.rollouts.changes.Latest(service)
	return latest
}

// orderRead returns the version that the order to follow asks for.
func (f *fixture) orderRead(service string) string {
	f.gateway.rollouts.mu.Lock()
	defer f.gateway.rollouts.mu.Unlock()
	for _, o := range f.gateway.rollouts.orders.Current(time.Now()) {
		if o.Service == service {
			return o.Target
		}
	}
	return ""
}

// TestRestoredOrderUndoesNewerOne guards against an open roll-out that is replaced because the log was restored from a copy
// that lists the order before it.
func TestRestoredOrderUndoesNewerOne(t *testing.T) {
	f := newFixture(t)
	for _, v := range []string{"v2", "v3"} {
		f.log.put(keyed.Servers, "n-"+v, placement.Server{ID: "n-" + v, Service: "s", Zone: "z", Version: v})
	}
	f.log.put(keyed.Operations, rolloutKey, catalog.Rollout{Service: "s", Target: "v2", Duration: time.Minute})
	f.waitFor("v2", func() bool { return f.orderedVersion("s") == "v2" })
	ends := f.log.ends()
	f.log.put(keyed.Operations, rolloutKey, catalog.Rollout{Service: "s", Target: "v3", Duration: time.Minute})
	f.waitFor("v3", func() bool { return f.orderedVersion("s") == "v3" })
	f.log.restore(ends, nil)
	f.log.drop(keyed.Operations, ends)
	// The operator writes its order again after 1.5 s.
	pause(context.Background(), 1500*time.Millisecond)
	c := f.gateway.latestChange("s")
	f.c.Check(c.Rule.New, qt.Equals, "v3", qt.Commentf("%+v", c))
	f.c.Check(f.rolloutStatusOf("s"), qt.Equals, rollout.StateOpen)
	f.log.put(keyed.Operations, rolloutKey, catalog.Rollout{Service: "s", Target: "v3", Duration: time.Minute})
	// Orders are held back for up to 3 s.
	pause(context.Background(), 2500*time.Millisecond)
	f.c.Check(f.gateway.latestChange("s").ID, qt.Equals, c.ID)
}

// TestRestoredOrderRunsBadVersionAgain guards against calls to a version that was taken back, after the log was restored from
// a copy that lists an older order and the operator has written its last order again.
func TestRestoredOrderRunsBadVersionAgain(t *testing.T) {
	b := &versionBackend{delays: map[string]time.Duration{"v0": 2 * time.Millisecond, "v1": 2 * time.Millisecond, "v2": 40 * time.Millisecond}, calls: map[string]int{}}
	f := newFixtureWith(t, func(cfg *Config) { cfg.Backend = b })
	// An order of long ago, whose target is what runs.
	f.log.put(keyed.Operations, rolloutKey, catalog.Rollout{Service: "s", Target: "v1", Duration: time.Second})
	f.waitFor("order", func() bool { return f.orderRead("s") == "v1" })
	pause(context.Background(), 1200*time.Millisecond)
	var ends map[keyed.Partition]int
	f.beforeOrder = func() { ends = f.log.ends() }
	state, _, vms := f.runRollout(b)
	f.c.Assert(state, qt.Equals, rollout.StateTakenBack)
	f.log.restore(ends, nil)
	f.log.drop(keyed.Operations, ends)
	pause(context.Background(), time.Second)
	clear(b.calls)
	for n := range 200 {
		f.serveWithID(vms[n%2], &call.Call{Path: "/chat/1"}, fmt.Sprint("window-", n))
	}
	t.Logf("before the operator writes again: calls %v", b.calls)
	f.c.Check(b.calls["v2"], qt.Equals, 0)
	f.log.put(keyed.Operations, rolloutKey, catalog.Rollout{Service: "s", Target: "v2", Duration: 5 * time.Second})
	pause(context.Background(), time.Second)
	clear(b.calls)
	for n := range 400 {
		f.serveWithID(vms[n%2], &call.Call{Path: "/chat/1"}, fmt.Sprint("later-", n))
	}
	f.gateway.rollouts.mu.Lock()
	for _, c := range f.gateway.rollouts.changes.All() {
		t.Logf("%s: %s to %s, %s %s", c.ID, c.Rule.Old, c.Rule.New, c.State, c.Reason)
	}
	f.gateway.rollouts.mu.Unlock()
	t.Logf("calls %v, status %s", b.calls, f.rolloutStatusOf("s"))
	f.c.Check(b.calls["v2"], qt.Equals, 0)
	f.c.Check(f.rolloutStatusOf("s"), qt.Equals, rollout.StateTakenBack)
}
