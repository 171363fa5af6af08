package entry

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"ibiswinch/core/routing"
	"ibiswinch/io/apexlog"
)

// slowPeers takes a while to tell the peers, as under load.
type slowPeers struct {
	told chan struct{}
}

func (p *slowPeers) broadcast(context.Context) {
	time.Sleep(20 * time.Millisecond)
	p.told <- struct{}{}
}

// TestQuarantineIsToldBeforeTheRefusal guards against a caller that is refused by one entry VM and crashes a third
// server through another one that has not heard of the second crash yet.
func TestQuarantineIsToldBeforeTheRefusal(t *testing.T) {
	c := qt.New(t)
	now := time.Now()
	peers := &slowPeers{told: make(chan struct{}, 2)}
	s := newSuspectController(Config{Now: func() time.Time { return now }}, peers, apexlog.Discard())
	r := &completion{fingerprint: "poison"}
	for i, server := range []string{"engine-1", "engine-2"} {
		now = now.Add(10 * time.Second)
		a := &attempt{r: r, sentAt: now, placement: placement{Placement: routing.Placement{Server: server}}}
		s.sent(a)
		s.crashed(now, a)
		if i == 0 {
			<-peers.told
		}
	}
	c.Assert(len(peers.told), qt.Equals, 1)
}
