package roundtrip_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"ibiswinch/io/internal/roundtrip"
)

// TestRepeatedRefusalIsTakenForAnswer guards against taking a refusal that a faulty server writes once more on the connection
// of an earlier request for the response to the next one, which runs.
func TestRepeatedRefusalIsTakenForAnswer(t *testing.T) {
	for name, refusal := range map[string]string{
		"503":              "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n",
		"503 with body":    "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 4\r\n\r\nfull",
		"503 in chunks":    "HTTP/1.1 503 Service Unavailable\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nfull\r\n0\r\n\r\n",
		"429":              "HTTP/1.1 429 Too Many Requests\r\nContent-Length: 0\r\n\r\n",
		"400 with a body":  "HTTP/1.1 400 Bad Request\r\nContent-Length: 2\r\n\r\nno",
		"409 without body": "HTTP/1.1 409 Conflict\r\nContent-Length: 0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			address := startRepeatingServer(c, refusal)
			transport := roundtrip.NewTransport(roundtrip.Options{MaxIdleConns: 1})
			var statuses []int
			for _, path := range []string{"/refused", "/run"} {
				req, err := http.NewRequest(http.MethodPost, "http://"+address+path, strings.NewReader("order"))
				c.Assert(err, qt.IsNil)
				resp, sent, err := roundtrip.Do(transport, req)
				c.Assert(err, qt.IsNil)
				c.Assert(sent, qt.IsTrue)
				_, err = roundtrip.ReadBody(resp, 10)
				c.Assert(err, qt.IsNil)
				statuses = append(statuses, resp.StatusCode)
			}
			c.Assert(statuses[1], qt.Equals, http.StatusOK)
			c.Assert(statuses[0] >= 400, qt.IsTrue)
		})
	}
}

// startRepeatingServer starts a server that refuses requests for /refused, and before the response to the next request of the
// connection writes the refusal once more.
func startRepeatingServer(c *qt.C, refusal string) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go repeatRefusal(conn, refusal)
		}
	}()
	return l.Addr().String()
}

func repeatRefusal(conn net.Conn, refusal string) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	repeated := ""
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		answer := "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
		if r.URL.Path == "/refused" {
			answer = refusal
		}
		if _, err := io.WriteString(conn, repeated+answer); err != nil {
			return
		}
		repeated = refusal
	}
}
