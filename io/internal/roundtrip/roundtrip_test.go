package roundtrip_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"

	"ibiswinch/io/internal/roundtrip"
)

// TestNeverRetried guards against automatic retries by the transport on a reused connection that the server closes
// after it has read the request: net/http retries idempotent methods and requests with Idempotency-Key.
func TestNeverRetried(t *testing.T) {
	for _, method := range []string{http.MethodGet, http.MethodPost} {
		for _, body := range []string{"", "order"} {
			t.Run(method+body, func(t *testing.T) {
				c := qt.New(t)
				var received atomic.Int32
				server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
					data, _ := io.ReadAll(r.Body)
					c.Check(string(data), qt.Equals, body)
					if received.Add(1) > 1 {
						panic(http.ErrAbortHandler)
					}
				}))
				c.Cleanup(server.Close)
				transport := roundtrip.NewTransport(roundtrip.Options{MaxIdleConns: 1})
				do := func() (*http.Response, bool, error) {
					req, err := http.NewRequest(method, server.URL, strings.NewReader(body))
					c.Assert(err, qt.IsNil)
					req.Header.Set("Idempotency-Key", "k")
					return roundtrip.Do(transport, req)
				}
				resp, sent, err := do()
				c.Assert(err, qt.IsNil)
				c.Assert(sent, qt.IsTrue)
				_, err = roundtrip.ReadBody(resp, 10)
				c.Assert(err, qt.IsNil)
				_, sent, err = do()
				c.Assert(err, qt.IsNotNil)
				c.Assert(sent, qt.IsTrue)
				c.Assert(received.Load(), qt.Equals, int32(2))
			})
		}
	}
}

// TestNotSentMeansNotReceived guards against a request that is reported as not sent but reaches the server, because its
// context ended while it was being written.
func TestNotSentMeansNotReceived(t *testing.T) {
	c := qt.New(t)
	const requests = 2000
	var received [requests]atomic.Bool
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		n, err := strconv.Atoi(r.URL.Path[1:])
		c.Check(err, qt.IsNil)
		received[n].Store(true)
	}))
	transport := roundtrip.NewTransport(roundtrip.Options{MaxIdleConns: 1})
	var sent [requests]bool
	for n := range requests {
		ctx, cancel := context.WithCancel(context.Background())
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, server.URL+"/"+strconv.Itoa(n), strings.NewReader("order"))
		c.Assert(err, qt.IsNil)
		go func() {
			for range n % 40 {
				runtime.Gosched()
			}
			cancel()
		}()
		resp, wasSent, err := roundtrip.Do(transport, req)
		if err == nil {
			_, _ = roundtrip.ReadBody(resp, 10)
		}
		sent[n] = wasSent
		cancel()
	}
	// Close waits for the requests that the server has begun to run.
	server.Close()
	for n := range requests {
		c.Assert(received[n].Load() && !sent[n], qt.IsFalse, qt.Commentf("request %d", n))
	}
}

// TestRefusedConnectionIsNotSent guards against a refused connection that is reported as a request that may have run.
func TestRefusedConnectionIsNotSent(t *testing.T) {
	c := qt.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	address := l.Addr().String()
	l.Close()
	req, err := http.NewRequest(http.MethodPost, "http://"+address, strings.NewReader("order"))
	c.Assert(err, qt.IsNil)
	_, sent, err := roundtrip.Do(roundtrip.NewTransport(roundtrip.Options{}), req)
	c.Assert(err, qt.IsNotNil)
	c.Assert(sent, qt.IsFalse)
}
