package demo

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestSendDoesNotRepeat guards against a hidden repeat by the HTTP client. It repeats requests with an
// Idempotency-Key on a new connection when one that it used before breaks, and the refusal of that connection would
// look as if the request had never been sent.
func TestSendDoesNotRepeat(t *testing.T) {
	c := qt.New(t)
	var requests atomic.Int32
	server := httptest.NewUnstartedServer(nil)
	server.Config.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.ReadAll(r.Body)
		if requests.Add(1) == 1 {
			_, _ = io.WriteString(w, `{"choices":[]}`)
			return
		}
		_ = server.Listener.Close()
		panic(http.ErrAbortHandler)
	})
	server.Start()
	defer server.Close()
	client := newCallerClient()
	defer client.CloseIdleConnections()
	r := testRequest(&teamAccount{}, "key")
	r.method, r.body = http.MethodPost, []byte("{}")
	v := &vmProcess{callerURL: server.URL}
	c.Assert(r.send(context.Background(), client, v).outcome, qt.Equals, outcomeAnswered)
	c.Assert(r.send(context.Background(), client, v).outcome, qt.Equals, outcomeBroken)
	c.Assert(requests.Load(), qt.Equals, int32(2))
}
