package tcp

import (
	"context"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
)

// Dialer connects within a limit of open connections.
type Dialer struct {
	net.Dialer
	// Limit is the limit of open connections, those that are being established included, 0 for none.
	Limit int
	// CloseIdle closes idle connections of the dialer. It is called when there are too many.
	CloseIdle func()

	open atomic.Int64
}

// DialContext connects to an address. With too many connections it fails with syscall.EMFILE, as the kernel does without descriptors.
func (d *Dialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	if !d.acquire() {
		d.CloseIdle()
		if !d.acquire() {
			return nil, &net.OpError{Op: "dial", Net: network, Err: os.NewSyscallError("socket", syscall.EMFILE)}
		}
	}
	c, err := d.Dialer.DialContext(ctx, network, address)
	if err != nil {
		d.release()
		return nil, err
	}
	return &dialedConn{TCPConn: c.(*net.TCPConn), dialer: d}, nil
}

// acquire counts one more connection unless there are too many.
func (d *Dialer) acquire() bool {
	if n := d.open.Add(1); d.Limit > 0 && n > int64(d.Limit) {
		d.release()
		return false
	}
	return true
}

func (d *Dialer) release() { d.open.Add(-1) }

// dialedConn is counted until it is closed.
type dialedConn struct {
	*net.TCPConn
	dialer    *Dialer
	closeOnce sync.Once
}

// Close implements net.Conn.
func (c *dialedConn) Close() error {
	err := c.TCPConn.Close()
	c.closeOnce.Do(c.dialer.release)
	return err
}
