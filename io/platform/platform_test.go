package platform_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rotisserie/eris"

	"ibiswinch/io/platform"
	standin "ibiswinch/standin/platform"
)

// startStandin runs a stand-in of the platform on loopback and returns it with a client.
func startStandin(c *qt.C, cfg standin.Config) (*standin.Server, *platform.Client) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	server := standin.New(cfg)
	server.Start(l)
	c.Cleanup(server.Close)
	client := platform.NewClient(platform.Config{Address: l.Addr().(*net.TCPAddr).AddrPort()})
	c.Cleanup(client.Close)
	return server, client
}

// clock is a fake clock.
type clock struct {
	mu  sync.Mutex
	now time.Time
}

func newClock() *clock {
	return &clock{now: time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)}
}

func (k *clock) Now() time.Time {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.now
}

func (k *clock) advance(d time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.now = k.now.Add(d)
}

// contextUntilReceived returns a context that ends once server has received an append; it ends requests that hang.
func contextUntilReceived(server *standin.Server) context.Context {
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		defer cancel()
		for server.Stats().AppendRequests == 0 || server.Faults().LoseAnswers > 0 {
			runtime.Gosched()
		}
	}()
	return ctx
}

// TestAppendAndRead guards against wrong offsets, wrong pages after retention has removed entries, and oversized or
// invalid batches that are accepted.
func TestAppendAndRead(t *testing.T) {
	c := qt.New(t)
	ctx := context.Background()
	server, client := startStandin(c, standin.Config{RetainCount: 3, MaxBatchBytes: 64})
	for i := range 5 {
		offset, err := client.Append(ctx, "ledger.0", []byte(fmt.Sprintf(`[%d]`, i)))
		c.Assert(err, qt.IsNil)
		c.Assert(offset, qt.Equals, uint64(i))
	}
	page, err := client.Read(ctx, "ledger.0", 0, 2, 0)
	c.Assert(err, qt.IsNil)
	c.Assert(page, qt.DeepEquals, platform.Page{Oldest: 2, Next: 5, Entries: []platform.Entry{
		{Offset: 2, Data: json.RawMessage(`[2]`)},
		{Offset: 3, Data: json.RawMessage(`[3]`)},
	}})
	page, err = client.Read(ctx, "ledger.0", 9, 2, time.Millisecond)
	c.Assert(err, qt.IsNil)
	c.Assert(page.Entries, qt.HasLen, 0)
	_, err = client.Append(ctx, "ledger.0", []byte(`["`+strings.Repeat("x", 64)+`"]`))
	c.Assert(eris.Is(err, platform.ErrRejected), qt.IsTrue, qt.Commentf("%v", err))
	_, err = client.Append(ctx, "ledger.0", []byte(`[{"cut`))
	c.Assert(eris.Is(err, platform.ErrRejected), qt.IsTrue, qt.Commentf("%v", err))
	c.Assert(server.Stats().Appends, qt.Equals, uint64(5))
	c.Assert(server.Stats().AppendRequests, qt.Equals, uint64(7))
}

// TestLongPoll guards against a waiting read that does not return an append made in the meantime.
func TestLongPoll(t *testing.T) {
	c := qt.New(t)
	server, client := startStandin(c, standin.Config{})
	pages := make(chan platform.Page)
	go func() {
		page, err := client.Read(context.Background(), "orders", 0, 10, 20*time.Second)
		c.Check(err, qt.IsNil)
		pages <- page
	}()
	server.Append("orders", json.RawMessage(`[]`))
	c.Assert((<-pages).Entries, qt.HasLen, 1)
}

// TestRetentionByAge guards against entries that stay longer than the retention time, and against offsets that restart
// at 0 after all entries were removed.
func TestRetentionByAge(t *testing.T) {
	c := qt.New(t)
	clock := newClock()
	server := standin.New(standin.Config{RetainAge: time.Minute, Now: clock.Now})
	server.Append("config", json.RawMessage(`1`))
	clock.advance(2 * time.Minute)
	c.Assert(server.Entries("config"), qt.HasLen, 0)
	c.Assert(server.Append("config", json.RawMessage(`2`)), qt.Equals, uint64(1))
}

// TestAppendErrors guards against an append that may have taken effect but is reported as one that did not.
func TestAppendErrors(t *testing.T) {
	tests := []struct {
		name   string
		faults standin.Faults
		want   error
		stored int
		hangs  bool
	}{
		{"unavailable", standin.Faults{Log: standin.LogUnavailable}, platform.ErrUnavailable, 0, false},
		{"refused", standin.Faults{Log: standin.LogRefused}, platform.ErrUnavailable, 0, false},
		{"hang", standin.Faults{Log: standin.LogHang}, platform.ErrOutcomeUnknown, 0, true},
		{"cut", standin.Faults{Log: standin.LogCut}, platform.ErrOutcomeUnknown, 0, false},
		{"lost", standin.Faults{LoseAnswers: 1}, platform.ErrOutcomeUnknown, 1, false},
		{"lostHanging", standin.Faults{LoseAnswers: 1, LoseMode: standin.LoseHang}, platform.ErrOutcomeUnknown, 1, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			server, client := startStandin(c, standin.Config{})
			c.Assert(server.SetFaults(test.faults), qt.IsNil)
			ctx := context.Background()
			if test.hangs {
				ctx = contextUntilReceived(server)
			}
			_, err := client.Append(ctx, "config", []byte(`[1]`))
			c.Assert(eris.Is(err, test.want), qt.IsTrue, qt.Commentf("%v", err))
			c.Assert(server.Entries("config"), qt.HasLen, test.stored)
			c.Assert(server.SetFaults(standin.Faults{}), qt.IsNil)
			offset, err := client.Append(context.Background(), "config", []byte(`[2]`))
			c.Assert(err, qt.IsNil)
			c.Assert(offset, qt.Equals, uint64(test.stored))
			c.Assert(server.Entries("config"), qt.HasLen, test.stored+1)
		})
	}
}

// TestAppendIsSubjectToFaultsOfItsArrival guards against an append that is stored although it arrived during an outage,
// because the outage ended before its body did.
func TestAppendIsSubjectToFaultsOfItsArrival(t *testing.T) {
	c := qt.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	server := standin.New(standin.Config{})
	server.Start(l)
	c.Cleanup(server.Close)
	c.Assert(server.SetFaults(standin.Faults{Log: standin.LogHang}), qt.IsNil)

	conn, err := net.Dial("tcp", l.Addr().String())
	c.Assert(err, qt.IsNil)
	defer conn.Close()
	_, err = fmt.Fprint(conn, "POST /v1/streams/config/records HTTP/1.1\r\nHost: log\r\nConnection: close\r\nContent-Length: 3\r\n\r\n[")
	c.Assert(err, qt.IsNil)
	for server.Stats().AppendRequests == 0 {
		runtime.Gosched()
	}
	c.Assert(server.SetFaults(standin.Faults{}), qt.IsNil)
	_, err = fmt.Fprint(conn, "1]")
	c.Assert(err, qt.IsNil)

	answer, err := io.ReadAll(conn)
	c.Assert(err, qt.IsNil)
	c.Assert(string(answer), qt.Equals, "")
	c.Assert(server.Entries("config"), qt.HasLen, 0)
}

// TestDelayedDuplicate guards against a stand-in whose duplicate of an append comes too early, twice or never.
func TestDelayedDuplicate(t *testing.T) {
	c := qt.New(t)
	server, client := startStandin(c, standin.Config{})
	c.Assert(server.SetFaults(standin.Faults{Duplicates: 1, DuplicateAfter: 2}), qt.IsNil)
	for i := range 4 {
		_, err := client.Append(context.Background(), "config", []byte(fmt.Sprint(i)))
		c.Assert(err, qt.IsNil)
	}
	var got []string
	for _, e := range server.Entries("config") {
		got = append(got, string(e.Data))
	}
	c.Assert(got, qt.DeepEquals, []string{"0", "1", "2", "0", "3"})
}

// TestListsAndWeights guards against wrong lists, and against a stand-in whose lists don't lag or whose weight store
// has no rate limit.
func TestListsAndWeights(t *testing.T) {
	c := qt.New(t)
	ctx := context.Background()
	clock := newClock()
	server, client := startStandin(c, standin.Config{WeightReadsPerSecond: 0.5, Now: clock.Now})
	vm := standin.VM{Name: "a1", Address: netip.MustParseAddrPort("127.0.0.1:7000"), Domain: "a", State: standin.StateLive}
	server.SetVMs([]standin.VM{vm})
	server.SetServers([]standin.BackendServer{{Name: "e1", State: standin.StateLeaving}})
	vms, err := client.VMs(ctx)
	c.Assert(err, qt.IsNil)
	c.Assert(vms.Revision, qt.Equals, uint64(1))
	c.Assert(vms.VMs, qt.HasLen, 1)
	c.Assert(vms.VMs[0], qt.Equals, platform.VM{Name: "a1", Address: vm.Address, Domain: "a", State: platform.StateLive})
	servers, err := client.Servers(ctx)
	c.Assert(err, qt.IsNil)
	c.Assert(servers.Servers, qt.DeepEquals, []platform.Server{{Name: "e1", State: platform.StateLeaving}})

	clock.advance(time.Minute)
	server.SetVMs(nil)
	c.Assert(server.SetFaults(standin.Faults{ListLagMs: 30_000}), qt.IsNil)
	vms, err = client.VMs(ctx)
	c.Assert(err, qt.IsNil)
	c.Assert(vms.Revision, qt.Equals, uint64(1))

	c.Assert(client.RequestWeights(ctx, "m", "v2"), qt.IsNil)
	var limit *platform.RateLimitError
	c.Assert(errors.As(client.RequestWeights(ctx, "m", "v2"), &limit), qt.IsTrue)
	clock.advance(2 * time.Second)
	c.Assert(client.RequestWeights(ctx, "m", "v2"), qt.IsNil)
}

// TestInvalidAnswers guards against an invalid or oversized response that is taken for a success.
func TestInvalidAnswers(t *testing.T) {
	c := qt.New(t)
	answers := []string{``, `{}`, `{"offset":-1}`, `{"offset":1`, `{"offset":1,"x":"` + strings.Repeat("x", 1<<20) + `"}`}
	var answer string
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		fmt.Fprint(w, answer)
	}))
	c.Cleanup(server.Close)
	client := platform.NewClient(platform.Config{Address: server.Listener.Addr().(*net.TCPAddr).AddrPort()})
	for _, answer = range answers {
		_, err := client.Append(context.Background(), "config", []byte(`[]`))
		c.Assert(eris.Is(err, platform.ErrOutcomeUnknown), qt.IsTrue, qt.Commentf("%v", err))
	}
	answer = `{"oldest":0,"next":3,"entries":[{"offset":0,"data":1},{"offset":2,"data":1}]}`
	_, err := client.Read(context.Background(), "config", 0, 10, 0)
	c.Assert(eris.Is(err, platform.ErrOutcomeUnknown), qt.IsTrue)
}
