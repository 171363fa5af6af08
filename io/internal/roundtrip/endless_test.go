package roundtrip_test

import (
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"

	"ibiswinch/io/internal/roundtrip"
)

// TestEndlessHeadIsReadWithoutBound guards against faulty servers that fill the memory with the head of an answer that never
// ends.
func TestEndlessHeadIsReadWithoutBound(t *testing.T) {
	c := qt.New(t)
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = listener.Close() })
	var written atomic.Int64
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		_, err = io.WriteString(conn, "HTTP/1.1 200 OK\r\n")
		for lines := []byte(strings.Repeat("X-Padding: aaaaaaaaaaaaaaaa\r\n", 100)); err == nil; {
			var n int
			n, err = conn.Write(lines)
			written.Add(int64(n))
		}
	}()
	req, err := http.NewRequest(http.MethodPost, "http://"+listener.Addr().String(), strings.NewReader("order"))
	c.Assert(err, qt.IsNil)
	_, _, err = roundtrip.Do(roundtrip.NewTransport(roundtrip.Options{}), req)
	c.Assert(err, qt.IsNotNil)
	// What the sockets hold is written and not read.
	c.Assert(written.Load() < 8<<20, qt.IsTrue, qt.Commentf("%d bytes written", written.Load()))
}
