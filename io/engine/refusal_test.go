package engine_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"

	"ibiswinch/io/engine"
)

const refusedByEngine = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 39\r\n\r\n" + `{"error":{"code":"down","message":"x"}}`

// TestRepeatedRefusalIsNotProof guards against reporting that a request did not run because the engine, which runs it, writes
// the refusal of the request before once more.
func TestRepeatedRefusalIsNotProof(t *testing.T) {
	c := qt.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = l.Close() })
	go func() {
		for refused := false; ; refused = true {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go repeatRefusal(conn, refused)
		}
	}()
	client := engine.NewClient(engine.Config{Address: l.Addr().(*net.TCPAddr).AddrPort()})
	_, err = client.Complete(context.Background(), newRequest("r1", "x"))
	var rejected *engine.RefusedError
	c.Assert(err, qt.ErrorAs, &rejected)
	c.Assert(rejected.NotRun(), qt.IsTrue)
	c.Assert(rejected.Code, qt.Equals, "down")
	result, err := complete(client, newRequest("r2", "x"))
	c.Assert(err, qt.Equals, io.EOF)
	c.Assert(result.text, qt.Equals, "aé\n")
}

// repeatRefusal refuses the first request of a connection, unless one was refused already, and before the answer to the next
// one writes the refusal once more.
func repeatRefusal(conn net.Conn, refused bool) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for n := 1; ; n++ {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		answer := refusedByEngine
		if refused || n > 1 {
			answer = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + completeStream
		}
		if !refused && n > 1 {
			answer = refusedByEngine + answer
		}
		if _, err := io.WriteString(conn, answer); err != nil || refused || n > 1 {
			return
		}
	}
}
