package http1

import (
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// closeTimeout bounds how long the transport may take to notice that a connection is closed.
const closeTimeout = 100 * time.Millisecond

// Conn is a connection of a client. It counts its requests and the bytes written.
type Conn struct {
	net.Conn
	written atomic.Int64
	writes  Writes

	mu sync.Mutex
	// requests is the number of requests for which the connection was chosen.
	requests int
	// closed is closed once the transport has closed the connection, after which it chooses it no more.
	closed    chan struct{}
	closeOnce sync.Once
}

// NewConn returns a Conn for a new connection.
func NewConn(c net.Conn) *Conn { return &Conn{Conn: c, closed: make(chan struct{})} }

// Write implements net.Conn.
func (c *Conn) Write(b []byte) (int, error) {
	n, err := c.writes.Do(func() (int, error) { return c.Conn.Write(b) })
	c.written.Add(int64(n))
	return n, err
}

// Close implements net.Conn. The transport calls it.
func (c *Conn) Close() error {
	c.closeOnce.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

// closeAt closes the connection if the given number of requests had it, and reports whether it did.
func (c *Conn) closeAt(requests int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.requests != requests {
		return false
	}
	_ = c.Conn.Close()
	return true
}

// Use is the use of a connection by one request. It is locked because the transport may report the connection after the request has
// ended.
type Use struct {
	mu   sync.Mutex
	conn *Conn
	// number is the number of the request on the connection, from 1.
	number        int
	writtenBefore int64
}

// Begin records that a connection was chosen for the request, and returns the number of the request on it, from 1.
func (u *Use) Begin(c *Conn) int {
	c.mu.Lock()
	c.requests++
	number := c.requests
	c.mu.Unlock()
	u.mu.Lock()
	defer u.mu.Unlock()
	u.conn, u.number, u.writtenBefore = c, number, c.written.Load()
	return number
}

func (u *Use) current() (conn *Conn, number int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.conn, u.number
}

// HasConn reports whether a connection was chosen.
func (u *Use) HasConn() bool {
	conn, _ := u.current()
	return conn != nil
}

// HasWritten reports whether a byte of the request was written.
func (u *Use) HasWritten() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.conn != nil && u.conn.written.Load() > u.writtenBefore
}

// IsReused reports whether the connection has carried an earlier request.
func (u *Use) IsReused() bool {
	_, number := u.current()
	return number > 1
}

// CheckEnd has an answer that ends with its connection fail if the connection may have been reset.
func (u *Use) CheckEnd(resp *http.Response) {
	if conn, _ := u.current(); conn != nil {
		checkEnd(resp, &conn.writes)
	}
}

// CloseUnlessReused closes the connection unless a later request has it already. It returns once the transport knows, so that
// no further request fails on it.
func (u *Use) CloseUnlessReused() {
	conn, number := u.current()
	if conn == nil || !conn.closeAt(number) {
		return
	}
	timer := time.NewTimer(closeTimeout)
	defer timer.Stop()
	select {
	case <-conn.closed:
	case <-timer.C:
	}
}
