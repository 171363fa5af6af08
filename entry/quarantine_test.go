package entry

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"ibiswinch/core/routing"
	"ibiswinch/io/apexlog"
)

// slowBroadcaster takes a while to reach the peers, as under load.
type slowBroadcaster struct {
	broadcasts chan struct{}
}

func (p *slowBroadcaster) broadcast(context.Context) {
	time.Sleep(20 * time.Millisecond)
	p.broadcasts <- struct{}{}
}

// TestQuarantineIsBroadcastBeforeRefusal guards against a request that crashes a third server: its caller, refused by
// one entry VM after the second crash, repeats it at another entry VM that has not been told of the quarantine yet.
func TestQuarantineIsBroadcastBeforeRefusal(t *testing.T) {
	c := qt.New(t)
	now := time.Now()
	peers := &slowBroadcaster{broadcasts: make(chan struct{}, 2)}
	s := newQuarantineController(Config{Now: func() time.Time { return now }}, peers, apexlog.Discard())
	r := &completion{fingerprint: "poison"}
	for i, server := range []string{"engine-1", "engine-2"} {
		now = now.Add(10 * time.Second)
		a := &attempt{completion: r, sentAt: now, placement: placement{Placement: routing.Placement{Server: server}}}
		s.attemptStarted(a)
		s.serverCrashed(now, a)
		if i == 0 {
			<-peers.broadcasts
		}
	}
	c.Assert(len(peers.broadcasts), qt.Equals, 1)
}
