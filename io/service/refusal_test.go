package service_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"

	qt "github.com/frankban/quicktest"

	"ibiswinch/io/service"
)

// TestRepeatedRefusalIsTakenForAnswer guards against passing on the refusal of an earlier request, which the service writes
// once more, as the answer to an order that runs.
func TestRepeatedRefusalIsTakenForAnswer(t *testing.T) {
	c := qt.New(t)
	const refusal = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/refused" {
			fmt.Fprint(w, "done")
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		conn, buffer, err := w.(http.Hijacker).Hijack()
		if !c.Check(err, qt.IsNil) {
			return
		}
		defer func() { _ = conn.Close() }()
		_, _ = io.WriteString(conn, refusal)
		if _, err := http.ReadRequest(buffer.Reader); err == nil {
			_, _ = io.WriteString(conn, refusal)
		}
	}))
	c.Cleanup(server.Close)
	client := service.NewClient(service.Config{Address: server.Listener.Addr().(*net.TCPAddr).AddrPort()})
	answer, err := client.Do(context.Background(), service.Request{Method: http.MethodPost, Path: "/refused", Body: []byte("order")})
	c.Assert(err, qt.IsNil)
	c.Assert(answer.Status, qt.Equals, http.StatusServiceUnavailable)
	answer, err = client.Do(context.Background(), service.Request{Method: http.MethodPost, Path: "/orders", Body: []byte("order")})
	c.Assert(err, qt.IsNil)
	c.Assert(answer.Status, qt.Equals, http.StatusOK)
	c.Assert(string(answer.Body), qt.Equals, "done")
}
