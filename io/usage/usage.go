// Package usage measures what a process uses of its link and its processor.
package usage

import (
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
)

// Traffic counts the bytes of connections.
type Traffic struct {
	in, out atomic.Int64
}

// In is the number of bytes received, Out that of bytes sent.
func (t *Traffic) In() int64 { return t.in.Load() }

// Out is the number of bytes sent.
func (t *Traffic) Out() int64 { return t.out.Load() }

// Conn counts the bytes of a connection.
func (t *Traffic) Conn(c net.Conn) net.Conn { return &conn{Conn: c, traffic: t} }

// Listener counts the bytes of all connections of a listener.
func (t *Traffic) Listener(l net.Listener) net.Listener { return &listener{Listener: l, traffic: t} }

type conn struct {
	net.Conn
	traffic *Traffic
}

// Read implements net.Conn.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.traffic.in.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *conn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.traffic.out.Add(int64(n))
	return n, err
}

type listener struct {
	net.Listener
	traffic *Traffic
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.traffic.Conn(c), nil
}

// CPU is the processor time of this process.
func CPU() (time.Duration, error) {
	var r syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &r); err != nil {
		return 0, eris.Wrap(err, "processor time")
	}
	return time.Duration(r.Utime.Nano() + r.Stime.Nano()), nil
}
