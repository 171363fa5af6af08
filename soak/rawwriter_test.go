package soak

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httputil"
)

// rawWriter writes one response to a hijacked connection, with the body in chunks. It implements http.ResponseWriter.
type rawWriter struct {
	conn   net.Conn
	header http.Header
	// body is nil until the head is written.
	body io.WriteCloser
}

func newRawWriter(conn net.Conn) *rawWriter { return &rawWriter{conn: conn, header: http.Header{}} }

// Header implements http.ResponseWriter.
func (w *rawWriter) Header() http.Header { return w.header }

// WriteHeader implements http.ResponseWriter.
func (w *rawWriter) WriteHeader(status int) {
	w.header.Set("Transfer-Encoding", "chunked")
	w.header.Set("Connection", "close")
	fmt.Fprintf(w.conn, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	_ = w.header.Write(w.conn)
	_, _ = io.WriteString(w.conn, "\r\n")
	w.body = httputil.NewChunkedWriter(w.conn)
}

// Write implements http.ResponseWriter.
func (w *rawWriter) Write(b []byte) (int, error) {
	if w.body == nil {
		w.WriteHeader(http.StatusOK)
	}
	return w.body.Write(b)
}

// Flush implements http.Flusher.
func (*rawWriter) Flush() {}

// finish completes the body.
func (w *rawWriter) finish() {
	if w.body == nil {
		w.WriteHeader(http.StatusOK)
	}
	_ = w.body.Close()
	_, _ = io.WriteString(w.conn, "\r\n")
}
