// Package usage measures the network traffic and CPU time of a process.
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
	received, sent atomic.Int64
}

// ReceivedBytes returns the number of bytes received.
func (t *Traffic) ReceivedBytes() int64 { return t.received.Load() }

// SentBytes returns the number of bytes sent.
func (t *Traffic) SentBytes() int64 { return t.sent.Load() }

// WrapConn returns a wrapper of c that counts its bytes.
func (t *Traffic) WrapConn(c net.Conn) net.Conn { return &conn{Conn: c, traffic: t} }

// WrapListener returns a wrapper of l that counts the bytes of all connections that it accepts.
func (t *Traffic) WrapListener(l net.Listener) net.Listener {
	return &listener{Listener: l, traffic: t}
}

type conn struct {
	net.Conn
	traffic *Traffic
}

// Read implements net.Conn.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.traffic.received.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *conn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.traffic.sent.Add(int64(n))
	return n, err
}

// SyscallConn implements syscall.Conn.
func (c *conn) SyscallConn() (syscall.RawConn, error) {
	raw, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, eris.New("the connection is no socket")
	}
	return raw.SyscallConn()
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
	return l.traffic.WrapConn(c), nil
}

// CPUTime returns the CPU time of this process, in user and system mode.
func CPUTime() (time.Duration, error) {
	var r syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &r); err != nil {
		return 0, eris.Wrap(err, "read CPU time")
	}
	return time.Duration(r.Utime.Nano() + r.Stime.Nano()), nil
}
