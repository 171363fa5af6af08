package roundtrip

import (
	"io"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"

	"ibiswinch/io/http1"
)

// connUse is the use of a connection by one request.
type connUse struct {
	http1.Use
	headerWritten atomic.Bool
}

func (u *connUse) setConn(info httptrace.GotConnInfo) {
	if conn, ok := info.Conn.(*http1.Conn); ok {
		u.Begin(conn)
	}
}

func (u *connUse) setHeaderWritten() { u.headerWritten.Store(true) }

// sent reports whether the server can have read the header of the request: it was written, and not only to a buffer.
func (u *connUse) sent() bool { return u.headerWritten.Load() && (!u.HasConn() || u.HasWritten()) }

// isRefusal reports whether a status means that the request did not run.
func isRefusal(status int) bool {
	return status >= 400 && status < 500 || status == http.StatusServiceUnavailable
}

// refusalBody is the body of a refusal. Its connection isn't used again: responses carry no id, so if a faulty server writes
// the refusal once more, it would be taken for the response to the next request.
type refusalBody struct {
	io.ReadCloser
	use *connUse
}

// Close implements io.Closer.
func (b refusalBody) Close() error {
	err := b.ReadCloser.Close()
	b.use.CloseUnlessReused()
	return err
}
