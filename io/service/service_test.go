package service_test

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/rotisserie/eris"

	"ibiswinch/io/service"
	standin "ibiswinch/standin/service"
)

func startStandin(c *qt.C, cfg service.Config) (*standin.Server, *service.Client) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	server := standin.New(standin.Config{Name: "s"})
	server.Start(l)
	c.Cleanup(server.Close)
	cfg.Address = l.Addr().(*net.TCPAddr).AddrPort()
	client := service.NewClient(cfg)
	c.Cleanup(client.Close)
	return server, client
}

func newOrder(key, body string) service.Request {
	header := http.Header{"Idempotency-Key": {key}, "Authorization": {"Bearer secret"}}
	return service.Request{Method: http.MethodPost, Path: "/orders/a%2Fb?x=1", Header: header, Body: []byte(body)}
}

// TestForward guards against a changed path or body, callers' credentials that reach a service, response headers that
// should be dropped, and wrong counts of the stand-in.
func TestForward(t *testing.T) {
	c := qt.New(t)
	server, client := startStandin(c, service.Config{})
	server.SetDraining(true)
	for run := range uint64(2) {
		response, err := client.Do(context.Background(), newOrder("k", "two pens"))
		c.Assert(err, qt.IsNil)
		c.Assert(response.Status, qt.Equals, http.StatusOK)
		c.Assert(response.Draining, qt.IsTrue)
		c.Assert(response.Header, qt.DeepEquals, http.Header{"Content-Type": {"application/json"}})
		var answer standin.Answer
		c.Assert(json.Unmarshal(response.Body, &answer), qt.IsNil)
		c.Assert(answer, qt.Equals, standin.Answer{
			Service: "s", Method: "POST", Path: "/orders/a%2Fb?x=1", Key: "k", RunNumber: run + 1, Body: "two pens",
		})
	}
	for _, method := range []string{http.MethodGet, http.MethodHead} {
		_, err := client.Do(context.Background(), service.Request{Method: method, Path: "/items"})
		c.Assert(err, qt.IsNil)
	}
	c.Assert(server.Stats().RunsByKey, qt.DeepEquals, map[string]uint64{"k": 2})
	c.Assert(server.Stats().Orders, qt.Equals, uint64(2))
	c.Assert(server.Stats().LookUps, qt.Equals, uint64(2))
}

// TestOutcome guards against an order that may have run but is reported as not run, and against automatic retries.
func TestOutcome(t *testing.T) {
	tests := []struct {
		name   string
		faults standin.Faults
		err    error
		status int
		ran    uint64
	}{
		{"failBefore", standin.Faults{FailBefore: 1}, nil, 503, 0},
		{"failAfter", standin.Faults{FailAfter: 1}, nil, 500, 1},
		{"cutBefore", standin.Faults{CutBefore: 1}, service.ErrOutcomeUnknown, 0, 0},
		{"cutAfter", standin.Faults{CutAfter: 1}, service.ErrOutcomeUnknown, 0, 1},
		{"hangAfter", standin.Faults{HangAfter: 1}, service.ErrOutcomeUnknown, 0, 1},
	}
	for _, test := range tests {
		for _, body := range []string{"", "two pens"} {
			t.Run(test.name+body, func(t *testing.T) {
				c := qt.New(t)
				server, client := startStandin(c, service.Config{})
				// A connection is already open, since the transport retries only requests on reused connections.
				_, err := client.Do(context.Background(), service.Request{Method: http.MethodGet, Path: "/"})
				c.Assert(err, qt.IsNil)
				c.Assert(server.SetFaults(test.faults), qt.IsNil)
				ctx, cancel := context.WithCancel(context.Background())
				defer cancel()
				if test.faults.HangAfter > 0 {
					go func() {
						defer cancel()
						for server.Stats().Orders == 0 {
							runtime.Gosched()
						}
					}()
				}
				response, err := client.Do(ctx, newOrder("k", body))
				c.Assert(eris.Is(err, test.err), qt.IsTrue, qt.Commentf("%v", err))
				c.Assert(response.Status, qt.Equals, test.status)
				c.Assert(server.Stats().RunsByKey["k"], qt.Equals, test.ran)
			})
		}
	}
}

// TestNotRun guards against a request that can't have run but whose outcome is reported as unknown, and against bodies
// without a size limit.
func TestNotRun(t *testing.T) {
	c := qt.New(t)
	server, client := startStandin(c, service.Config{MaxRequestBytes: 1000, MaxResponseBytes: 500})
	invalid := []service.Request{
		{Method: "CONNECT", Path: "/"},
		{Method: "GET", Path: "items"},
		{Method: "GET", Path: "http://other/items"},
		newOrder("k", strings.Repeat("x", 1001)),
	}
	for _, r := range invalid {
		_, err := client.Do(context.Background(), r)
		c.Assert(eris.Is(err, service.ErrInvalidRequest), qt.IsTrue, qt.Commentf("%+v: %v", r, err))
	}
	_, err := client.Do(context.Background(), newOrder("large", strings.Repeat("x", 900)))
	c.Assert(eris.Is(err, service.ErrTooLarge), qt.IsTrue, qt.Commentf("%v", err))
	server.Down()
	client.Close()
	_, err = client.Do(context.Background(), newOrder("k", "two pens"))
	c.Assert(eris.Is(err, service.ErrNotRun), qt.IsTrue, qt.Commentf("%v", err))
	c.Assert(server.Up(), qt.IsNil)
	_, err = client.Do(context.Background(), newOrder("k", "two pens"))
	c.Assert(err, qt.IsNil)
	c.Assert(server.Stats().RunsByKey, qt.DeepEquals, map[string]uint64{"large": 1, "k": 1})
}
