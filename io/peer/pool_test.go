package peer_test

import (
	"context"
	"math"
	"net"
	"net/http/httptest"
	"testing"

	qt "github.com/frankban/quicktest"

	"ibiswinch/core/cost"
	"ibiswinch/core/keyed"
	"ibiswinch/core/memory"
	"ibiswinch/io/peer"
	"ibiswinch/io/tcp"
)

// fixedPool gives the same number of tokens to each caller.
type fixedPool struct{ gives int64 }

func (p fixedPool) GiveTokens(context.Context, string, int64, int64) int64 { return p.gives }
func (fixedPool) ReceiveTokens(map[string]int64)                           {}
func (fixedPool) LearnReservations([]keyed.Record) bool                    { return false }
func (fixedPool) ExchangeLoads(cost.Report) []cost.Load                    { return nil }

// TestDrawOutOfRange guards against an answer with fewer than no tokens, or more than were asked for: the account would be
// wrong from then on.
func TestDrawOutOfRange(t *testing.T) {
	c := qt.New(t)
	const need, want = 100, 200
	for gives, valid := range map[int64]bool{0: true, need: true, want: true, want + 1: false, -1: false, math.MaxInt64: false, math.MinInt64: false} {
		server := httptest.NewServer(peer.NewPoolHandler(fixedPool{gives}, memory.NewLimiter(0)))
		addr := server.Listener.Addr().(*net.TCPAddr).AddrPort()
		n, err := peer.NewPoolClient(&tcp.Dialer{}).Draw(context.Background(), addr, "team", need, want)
		server.Close()
		c.Check(err == nil, qt.Equals, valid, qt.Commentf("%d", gives))
		if valid {
			c.Check(n, qt.Equals, gives)
		}
	}
}

// learningPool answers for all records but those with the key "unknown".
type learningPool struct {
	fixedPool
	learned *[]keyed.Record
}

func (p learningPool) LearnReservations(records []keyed.Record) bool {
	*p.learned = append(*p.learned, records...)
	return records[0].Key != "unknown"
}

// TestShareLosesAnswer guards against records that arrive changed, and against tokens that are used although the callee
// doesn't answer for them.
func TestShareLosesAnswer(t *testing.T) {
	c := qt.New(t)
	var learned []keyed.Record
	server := httptest.NewServer(peer.NewPoolHandler(learningPool{learned: &learned}, memory.NewLimiter(0)))
	defer server.Close()
	addr := server.Listener.Addr().(*net.TCPAddr).AddrPort()
	client := peer.NewPoolClient(&tcp.Dialer{})
	for key, want := range map[string]bool{"team/vm-1": true, "unknown": false} {
		sent := keyed.Record{Key: key, Value: []byte(`{"reserved":5}`)}
		known, err := client.Share(context.Background(), addr, []keyed.Record{sent})
		c.Assert(err, qt.IsNil)
		c.Check(known, qt.Equals, want)
		c.Check(learned[len(learned)-1], qt.DeepEquals, sent)
	}
}
