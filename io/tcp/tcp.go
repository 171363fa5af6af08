// Package tcp sets options of TCP sockets (tcp(7), socket(7)) and bounds the bytes that their kernel holds unread.
package tcp

import (
	"io"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"ibiswinch/core/memory"
	"ibiswinch/core/sockets"
)

// longTransferBytes is the length from which a transfer gets a wide receive buffer.
const longTransferBytes = 32 << 10

// Options are the options of a socket. What can't be set stays as the system has it.
type Options struct {
	// ReceiveBytes is the size of the receive buffer, 0 for the system's default. Without a size the kernel lets it grow to several MB.
	ReceiveBytes int
	// UnackedTimeout is how long sent bytes may stay unacknowledged, 0 for the system's default.
	UnackedTimeout time.Duration
}

// Control sets the options of a new socket. It is the Control of a net.Dialer or net.ListenConfig; accepted connections inherit the
// options of their listener.
func (o Options) Control(_, _ string, c syscall.RawConn) error {
	return c.Control(func(fd uintptr) {
		if o.ReceiveBytes > 0 {
			_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, o.ReceiveBytes)
		}
		if o.UnackedTimeout > 0 {
			_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(o.UnackedTimeout.Milliseconds()))
		}
	})
}

// WideBuffers gives connections with long transfers wide receive buffers, as far as there is memory for them. A nil WideBuffers gives
// none.
type WideBuffers struct {
	sizes  sockets.Buffers
	memory *memory.Limiter
}

// NewWideBuffers returns the wide buffers of a process, nil if its buffers have no bound.
func NewWideBuffers(b sockets.Buffers) *WideBuffers {
	if b.ReceiveBytes == 0 {
		return nil
	}
	return &WideBuffers{sizes: b, memory: memory.NewLimiter(b.WideTotal)}
}

// Bytes returns the memory that wide buffers take beyond that of others.
func (b *WideBuffers) Bytes() int64 {
	if b == nil {
		return 0
	}
	return b.memory.Held()
}

// NewReceiver returns the receiver of a connection.
func (b *WideBuffers) NewReceiver(c syscall.Conn) *Receiver { return &Receiver{buffers: b, conn: c} }

// Receiver widens the receive buffer of a connection for its first long transfer. The buffer stays wide until the connection is closed:
// a peer was promised the window, and the kernel would drop what it sends beyond a smaller one. A nil Receiver widens nothing.
type Receiver struct {
	buffers *WideBuffers
	conn    syscall.Conn

	mu             sync.Mutex
	isWide, closed bool
}

// NewTransfer returns a reader of a transfer on the connection that comes from r.
func (c *Receiver) NewTransfer(r io.Reader) io.Reader {
	if c == nil || c.buffers == nil {
		return r
	}
	return &transfer{Reader: r, receiver: c}
}

// widen sets the receive buffer, and the window with which the kernel advertises it, which otherwise stays at its first size.
func (c *Receiver) widen() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conn == nil || c.isWide || c.closed || !c.buffers.memory.Admit(c.buffers.sizes.WideCost) {
		return
	}
	c.isWide = true
	raw, err := c.conn.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, c.buffers.sizes.WideBytes)
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_WINDOW_CLAMP, c.buffers.sizes.WideBytes)
	})
}

// Close gives the memory back after the connection was closed. Further calls do nothing.
func (c *Receiver) Close() {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isWide && !c.closed {
		c.buffers.memory.Release(c.buffers.sizes.WideCost)
	}
	c.closed = true
}

// transfer counts the bytes of one transfer.
type transfer struct {
	io.Reader
	receiver *Receiver
	received int
}

// Read implements io.Reader.
func (t *transfer) Read(p []byte) (int, error) {
	n, err := t.Reader.Read(p)
	before := t.received
	t.received += n
	if before < longTransferBytes && t.received >= longTransferBytes {
		t.receiver.widen()
	}
	return n, err
}
