package inbound

import (
	"context"
	"crypto/tls"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"ibiswinch/core/connections"
	"ibiswinch/core/memory"
	"ibiswinch/io/tcp"
)

// plainAnswer is the answer to a request without TLS on a TLS listener.
const plainAnswer = "HTTP/1.0 400 Bad Request\r\n\r\nClient sent an HTTP request to an HTTPS server.\n"

// unreadBodyTimeout bounds how long the rest of a body is read that its handler hasn't read.
const unreadBodyTimeout = 500 * time.Millisecond

// ServerConfig holds the settings of a server.
type ServerConfig struct {
	Handler http.Handler
	// Memory counts heads, and whatever else Handler counts.
	Memory         *memory.Limiter
	MaxConnections int
	MaxHeadBytes   int
	// HeaderTimeout bounds the time in which a head arrives; RequestTimeout that of the whole request, 0 if Handler bounds it.
	// WriteTimeout bounds the time from the head to the end of the answer, 0 if Handler bounds it. IdleTimeout bounds the time between
	// two requests.
	HeaderTimeout, RequestTimeout, WriteTimeout, IdleTimeout time.Duration
	// WideBuffers gives long bodies wide receive buffers; it may be nil.
	WideBuffers *tcp.WideBuffers
	// ConnContext is that of http.Server. It may be nil.
	ConnContext func(ctx context.Context, c net.Conn) context.Context
}

// Server is an HTTP server within limits.
type Server struct {
	*http.Server
	limits      *Limits
	wideBuffers *tcp.WideBuffers
}

// NewServer returns a server that isn't serving yet.
func NewServer(cfg ServerConfig) *Server {
	s := &Server{limits: NewLimits(cfg.MaxConnections, cfg.Memory), wideBuffers: cfg.WideBuffers}
	s.Server = &http.Server{
		Handler: &headCounter{next: cfg.Handler, memory: cfg.Memory}, MaxHeaderBytes: cfg.MaxHeadBytes, ConnState: setState,
		ReadHeaderTimeout: cfg.HeaderTimeout, ReadTimeout: cfg.RequestTimeout, WriteTimeout: cfg.WriteTimeout, IdleTimeout: cfg.IdleTimeout,
		DisableGeneralOptionsHandler: true, // net/http would answer OPTIONS * itself.
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			if tracked, ok := c.(*conn); ok {
				ctx, c = context.WithValue(ctx, connKey{}, tracked), tracked.Conn
			}
			if cfg.ConnContext != nil {
				ctx = cfg.ConnContext(ctx, c)
			}
			return ctx
		},
	}
	return s
}

// Serve serves the connections of l within the limits.
func (s *Server) Serve(l net.Listener) error {
	return s.Server.Serve(&listener{Listener: l, limits: s.limits, wideBuffers: s.wideBuffers})
}

// CloseStalled closes some connections whose peers don't read their answers.
func (s *Server) CloseStalled() { s.limits.CloseStalled() }

// Counts returns the numbers of connections; it is zero for a nil Server.
func (s *Server) Counts() connections.Counts {
	if s == nil {
		return connections.Counts{}
	}
	return s.limits.Counts()
}

// CloseReceiving ends all requests that haven't arrived wholly.
func (s *Server) CloseReceiving() { s.limits.CloseReceiving() }

// connKey is the key of a connection in the context of its requests.
type connKey struct{}

// headCounter counts the head of a request until its answer is written, and refuses a request whose head may not be held.
type headCounter struct {
	next   http.Handler
	memory *memory.Limiter
}

// ServeHTTP implements http.Handler.
func (h *headCounter) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	// The connection may stay open for longer than its request is counted.
	defer func() { r.Header = nil }()
	tracked, _ := r.Context().Value(connKey{}).(*conn)
	holding := h.memory.NewHolding()
	defer holding.Release()
	if holding.Grow(HeadBytes(r)) != nil {
		w.Header().Set("Connection", "close")
		w.Header().Set("Retry-After", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	body := &requestBody{Closer: r.Body, transfer: r.Body}
	if tracked != nil {
		body.tracker = tracked.tracker
		body.transfer = tracked.receiver.NewTransfer(r.Body)
	}
	if r.ContentLength == 0 {
		body.end()
	}
	r.Body = body
	h.next.ServeHTTP(w, r)
	if !body.isRead {
		// Without a deadline net/http would wait for the rest of the body before it sends the answer.
		_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(unreadBodyTimeout))
	}
}

// requestBody records that a body has been read to its end.
type requestBody struct {
	io.Closer
	transfer io.Reader
	tracker  *Tracker
	isRead   bool
}

// Read implements io.Reader.
func (b *requestBody) Read(p []byte) (int, error) {
	n, err := b.transfer.Read(p)
	if err == io.EOF {
		b.end()
	}
	return n, err
}

func (b *requestBody) end() {
	if b.isRead {
		return
	}
	b.isRead = true
	b.tracker.EndRequest()
}

func setState(c net.Conn, state http.ConnState) {
	tracked, ok := c.(*conn)
	if !ok {
		return
	}
	switch state {
	case http.StateActive:
		tracked.tracker.EndHead()
	case http.StateIdle:
		tracked.tracker.EndAnswer()
	case http.StateClosed, http.StateHijacked:
		tracked.tracker.Close()
	}
}

type listener struct {
	net.Listener
	limits      *Limits
	wideBuffers *tcp.WideBuffers
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	for {
		accepted, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &conn{Conn: accepted, receiver: l.wideBuffers.NewReceiver(socketOf(accepted))}
		if c.tracker = l.limits.Admit(c.end); c.tracker != nil {
			return c, nil
		}
		_ = accepted.Close()
	}
}

// conn is a connection that is closed by its server when its reads or writes fail.
type conn struct {
	net.Conn
	tracker  *Tracker
	receiver *tcp.Receiver

	mu sync.Mutex
	// endedReads and endedWrites are set once reads or writes are to fail at once.
	endedReads, endedWrites bool
}

// socketOf returns the socket below a connection, nil if there is none.
func socketOf(c net.Conn) syscall.Conn {
	if secure, ok := c.(*tls.Conn); ok {
		c = secure.NetConn()
	}
	socket, _ := c.(syscall.Conn)
	return socket
}

// expired is a deadline that has passed.
var expired = time.Unix(1, 0)

// end has the connection closed by its server.
func (c *conn) end(phase connections.Phase) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.endedReads = true
	_ = c.Conn.SetReadDeadline(expired)
	if phase == connections.Sending {
		c.endedWrites = true
		_ = c.Conn.SetWriteDeadline(expired)
	}
}

// Read implements net.Conn.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	var header tls.RecordHeaderError
	if errors.As(err, &header) && header.Conn != nil {
		// net/http answers a peer that doesn't speak TLS only on connections that aren't wrapped.
		_, _ = io.WriteString(header.Conn, plainAnswer)
		return 0, io.EOF
	}
	if full := c.tracker.Read(b[:n]); full != nil {
		return 0, full
	}
	return n, err
}

// Write implements net.Conn.
func (c *conn) Write(b []byte) (int, error) {
	c.tracker.BeginWrite()
	defer c.tracker.EndWrite()
	return c.Conn.Write(b)
}

// Close implements net.Conn.
func (c *conn) Close() error {
	err := c.Conn.Close()
	c.receiver.Close()
	c.tracker.Close()
	return err
}

// SetDeadline implements net.Conn.
func (c *conn) SetDeadline(t time.Time) error {
	if err := c.SetReadDeadline(t); err != nil {
		return err
	}
	return c.SetWriteDeadline(t)
}

// SetReadDeadline implements net.Conn.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.endedReads {
		t = expired
	}
	return c.Conn.SetReadDeadline(t)
}

// SetWriteDeadline implements net.Conn.
func (c *conn) SetWriteDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.endedWrites {
		t = expired
	}
	return c.Conn.SetWriteDeadline(t)
}
