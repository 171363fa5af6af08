package peer_test

import (
	"context"
	"net"
	"net/http/httptest"
	"testing"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"

	"ibiswinch/core/cost"
	"ibiswinch/core/memory"
	"ibiswinch/io/peer"
	"ibiswinch/io/tcp"
)

// loadPool answers reports with fixed loads.
type loadPool struct {
	fixedPool
	got   *[]cost.Report
	gives []cost.Load
}

func (p loadPool) ExchangeLoads(report cost.Report) []cost.Load {
	*p.got = append(*p.got, report)
	return p.gives
}

func loadServer(c *qt.C, gives []cost.Load) (client *peer.PoolClient, server *httptest.Server, got *[]cost.Report) {
	got = &[]cost.Report{}
	server = httptest.NewServer(peer.NewPoolHandler(loadPool{got: got, gives: gives}, memory.NewLimiter(0)))
	c.Cleanup(server.Close)
	return peer.NewPoolClient(&tcp.Dialer{}), server, got
}

// TestLoadsArriveUnchanged guards against loads that arrive changed in either direction, and against messages whose size takes
// more of a link than reports may.
func TestLoadsArriveUnchanged(t *testing.T) {
	const maxBytesPerServer = 26
	c := qt.New(t)
	loads := make([]cost.Load, cost.MaxLoads)
	for i := range loads {
		loads[i] = cost.Load{
			Server: 1<<63 + uint64(i), Running: 12, Waiting: 20_000, Output: 3000, Sent: 40_000, SpeedSum: -1.5, SpeedCount: 30,
		}
	}
	client, server, got := loadServer(c, loads)
	addr := server.Listener.Addr().(*net.TCPAddr).AddrPort()
	report := cost.Report{Sender: "vm-1", Domain: "z", Loads: loads}
	known, err := client.ExchangeLoads(context.Background(), addr, report)
	c.Assert(err, qt.IsNil)
	c.Check(known, qt.DeepEquals, loads)
	c.Check(*got, qt.DeepEquals, []cost.Report{report})
	c.Check(proto.Size(peer.EncodeLoads(loads)) < maxBytesPerServer*len(loads), qt.IsTrue, qt.Commentf("%d bytes", proto.Size(peer.EncodeLoads(loads))))
}

// TestMalformedLoads guards against reports of another shape, which would crash an entry VM or count without end.
func TestMalformedLoads(t *testing.T) {
	c := qt.New(t)
	_, server, got := loadServer(c, nil)
	raw := peer.NewPoolProtobufClient(server.URL, server.Client())
	valid := func() *peer.ServerLoads {
		return peer.EncodeLoads([]cost.Load{{Server: 1, Running: 1, SpeedSum: 9, SpeedCount: 1}})
	}
	short, large, many := valid(), valid(), peer.EncodeLoads(make([]cost.Load, cost.MaxLoads+1))
	short.Running = nil
	large.Waiting[0] = 1 << 63
	for _, loads := range []*peer.ServerLoads{short, large, many} {
		_, err := raw.ExchangeLoads(context.Background(), &peer.ExchangeLoadsRequest{Sender: "vm-1", Loads: loads})
		c.Check(err, qt.IsNotNil)
	}
	_, err := raw.ExchangeLoads(context.Background(), &peer.ExchangeLoadsRequest{Loads: valid()})
	c.Check(err, qt.IsNotNil)
	c.Assert(*got, qt.HasLen, 0)
	_, err = raw.ExchangeLoads(context.Background(), &peer.ExchangeLoadsRequest{Sender: "vm-1", Loads: valid()})
	c.Assert(err, qt.IsNil)
	c.Check((*got)[0].Loads[0].SpeedSum, qt.Equals, cost.MaxLogRatio)
}
