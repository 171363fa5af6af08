package tcp_test

import (
	"context"
	"io"
	"net"
	"sync/atomic"
	"syscall"
	"testing"

	qt "github.com/frankban/quicktest"
	"golang.org/x/sys/unix"

	"ibiswinch/core/sockets"
	"ibiswinch/io/tcp"
)

// dialPair returns both ends of a connection to a listener with the given receive buffer.
func dialPair(c *qt.C, receiveBytes int, dial func(ctx context.Context, network, address string) (net.Conn, error)) (dialed, accepted net.Conn, err error) {
	cfg := net.ListenConfig{Control: tcp.Options{ReceiveBytes: receiveBytes}.Control}
	listener, err := cfg.Listen(context.Background(), "tcp4", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer listener.Close()
	if dialed, err = dial(context.Background(), "tcp4", listener.Addr().String()); err != nil {
		return nil, nil, err
	}
	accepted, err = listener.Accept()
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _, _ = dialed.Close(), accepted.Close() })
	return dialed, accepted, nil
}

// receiveBuffer returns the receive buffer of a socket as the kernel has it, which is twice what was set.
func receiveBuffer(c *qt.C, conn net.Conn) int {
	raw, err := conn.(syscall.Conn).SyscallConn()
	c.Assert(err, qt.IsNil)
	size := 0
	c.Assert(raw.Control(func(fd uintptr) { size, err = syscall.GetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF) }), qt.IsNil)
	c.Assert(err, qt.IsNil)
	return size
}

// TestWideBuffersExceedMemory guards against long transfers that together get more than the memory for them, and against a buffer that
// becomes smaller while its connection is open, or that stays counted afterwards.
func TestWideBuffersExceedMemory(t *testing.T) {
	c := qt.New(t)
	sizes := sockets.NewBuffers(100, 1<<20)
	buffers := tcp.NewWideBuffers(sizes)
	wide := 0
	var receivers []*tcp.Receiver
	for range 2 * sizes.WideTotal / sizes.WideCost {
		dialed, accepted, err := dialPair(c, sizes.ReceiveBytes, (&net.Dialer{}).DialContext)
		c.Assert(err, qt.IsNil)
		receiver := buffers.NewReceiver(accepted.(syscall.Conn))
		transfer := receiver.NewTransfer(accepted)
		_, err = dialed.Write(make([]byte, 100))
		c.Assert(err, qt.IsNil)
		_, err = io.ReadFull(transfer, make([]byte, 100))
		c.Assert(err, qt.IsNil)
		c.Assert(receiveBuffer(c, accepted), qt.Equals, 2*sizes.ReceiveBytes)
		go func() { _, _ = dialed.Write(make([]byte, 64<<10)) }()
		_, err = io.ReadFull(transfer, make([]byte, 64<<10))
		c.Assert(err, qt.IsNil)
		if receiveBuffer(c, accepted) == 2*sizes.WideBytes {
			wide++
		}
		receivers = append(receivers, receiver)
	}
	c.Assert(wide > 0, qt.IsTrue)
	c.Assert(int64(wide)*sizes.WideCost <= sizes.WideTotal, qt.IsTrue, qt.Commentf("%d wide buffers", wide))
	for _, receiver := range receivers {
		receiver.Close()
		receiver.Close()
	}
	c.Assert(widenNext(c, buffers, sizes), qt.Equals, 2*sizes.WideBytes)
}

// widenNext returns the receive buffer of one more connection after a long transfer.
func widenNext(c *qt.C, buffers *tcp.WideBuffers, sizes sockets.Buffers) int {
	dialed, accepted, err := dialPair(c, sizes.ReceiveBytes, (&net.Dialer{}).DialContext)
	c.Assert(err, qt.IsNil)
	go func() { _, _ = dialed.Write(make([]byte, 64<<10)) }()
	_, err = io.ReadFull(buffers.NewReceiver(accepted.(syscall.Conn)).NewTransfer(accepted), make([]byte, 64<<10))
	c.Assert(err, qt.IsNil)
	return receiveBuffer(c, accepted)
}

// TestKeptConnectionDropsBytes guards against a receive buffer that shrinks below what its peer was promised, so that the kernel drops
// what it sends: each transfer on a kept connection then stalls for a retransmission time-out, 200 ms or more.
func TestKeptConnectionDropsBytes(t *testing.T) {
	c := qt.New(t)
	const transfers, size = 20, 2 << 20
	sizes := sockets.NewBuffers(100, 4<<20)
	buffers := tcp.NewWideBuffers(sizes)
	dialed, accepted, err := dialPair(c, sizes.ReceiveBytes, (&net.Dialer{}).DialContext)
	c.Assert(err, qt.IsNil)
	receiver := buffers.NewReceiver(accepted.(syscall.Conn))
	go func() {
		for range transfers {
			_, _ = dialed.Write(make([]byte, size))
		}
	}()
	for range transfers {
		_, err = io.CopyN(io.Discard, receiver.NewTransfer(accepted), size)
		c.Assert(err, qt.IsNil)
	}
	raw, err := dialed.(syscall.Conn).SyscallConn()
	c.Assert(err, qt.IsNil)
	var info *unix.TCPInfo
	c.Assert(raw.Control(func(fd uintptr) { info, err = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO) }), qt.IsNil)
	c.Assert(err, qt.IsNil)
	c.Assert(info.Total_retrans < transfers/4, qt.IsTrue, qt.Commentf("%d retransmissions in %d transfers", info.Total_retrans, transfers))
}

// TestConnectionsExceedLimit guards against connections to servers that take the descriptors of the callers, and against a limit that
// idle connections use up or that closed ones don't give back.
func TestConnectionsExceedLimit(t *testing.T) {
	c := qt.New(t)
	var idle []net.Conn
	var closed atomic.Int64
	dialer := &tcp.Dialer{Limit: 2}
	dialer.CloseIdle = func() {
		for _, conn := range idle {
			_ = conn.Close()
			closed.Add(1)
		}
		idle = nil
	}
	var open []net.Conn
	for range 2 {
		conn, _, err := dialPair(c, 0, dialer.DialContext)
		c.Assert(err, qt.IsNil)
		open = append(open, conn)
	}
	_, _, err := dialPair(c, 0, dialer.DialContext)
	c.Assert(err, qt.ErrorIs, syscall.EMFILE)
	idle = open[:1]
	_, _, err = dialPair(c, 0, dialer.DialContext)
	c.Assert(err, qt.IsNil)
	c.Assert(closed.Load(), qt.Equals, int64(1))
	_ = open[1].Close()
	_ = open[1].Close()
	_, _, err = dialPair(c, 0, dialer.DialContext)
	c.Assert(err, qt.IsNil)
	_, _, err = dialPair(c, 0, dialer.DialContext)
	c.Assert(err, qt.ErrorIs, syscall.EMFILE)
}
