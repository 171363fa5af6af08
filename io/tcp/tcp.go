// Package tcp sets options of TCP sockets (tcp(7), socket(7)) and bounds the bytes that their kernel holds unread.
package tcp

import (
	"io"
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

// WideBuffers gives long transfers wide receive buffers, as far as there is memory for them. A nil WideBuffers gives none.
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

// NewTransfer returns the transfer that r reads from connection c.
func (b *WideBuffers) NewTransfer(r io.Reader, c syscall.Conn) *Transfer {
	return &Transfer{Reader: r, buffers: b, conn: c}
}

// Transfer reads from a connection. Its receive buffer is wide once the transfer is long, until End.
type Transfer struct {
	io.Reader
	buffers *WideBuffers
	conn    syscall.Conn
	// received is the number of bytes so far. decided is set once the buffer has been widened, or there was no memory for it.
	received        int
	decided, isWide bool
}

// Read implements io.Reader.
func (t *Transfer) Read(p []byte) (int, error) {
	n, err := t.Reader.Read(p)
	t.received += n
	if t.received >= longTransferBytes && !t.decided {
		t.decided = true
		t.widen()
	}
	return n, err
}

func (t *Transfer) widen() {
	if t.buffers == nil || t.conn == nil || !t.buffers.memory.Admit(t.buffers.sizes.WideCost) {
		return
	}
	t.isWide = true
	t.setReceiveBuffer(t.buffers.sizes.WideBytes)
}

// End ends the transfer. Further calls do nothing.
func (t *Transfer) End() {
	if !t.isWide {
		return
	}
	t.isWide = false
	t.setReceiveBuffer(t.buffers.sizes.ReceiveBytes)
	t.buffers.memory.Release(t.buffers.sizes.WideCost)
}

// setReceiveBuffer sets the receive buffer, and the window with which the kernel advertises it, which otherwise stays at its first size.
func (t *Transfer) setReceiveBuffer(bytes int) {
	raw, err := t.conn.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, bytes)
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_WINDOW_CLAMP, bytes)
	})
}
