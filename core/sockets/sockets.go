// Package sockets divides the sockets of a process among those who use them, and among the sockets the memory of what they have
// received and the process hasn't read. It has no I/O.
package sockets

import "ibiswinch/core/memory"

const (
	// reservedFiles are the file descriptors that aren't for sockets.
	reservedFiles = 200
	// inspection is the limit of each of the two listeners for readiness and for metrics and state.
	inspection          = 8
	inspectionListeners = 2
	// peerPercent is the part of the sockets for the calls of other entry VMs, and again for the calls to them; at least minPeers.
	peerPercent = 8
	minPeers    = 16
	// peerMemoryPart is the part of the memory, 1/peerMemoryPart, that the least buffers of either may take.
	peerMemoryPart = 8
	// others are listeners and connections to the store.
	others = 24
	// perCaller are the connection of a caller and the one to the server that answers it.
	perCaller = 2
	// callerBytes is what an open connection of a caller takes of the process's own memory.
	callerBytes = 32 << 10

	// kernelFactor is what the kernel allows a socket, for each byte of the size that is set for its receive buffer.
	kernelFactor = 2
	// minReceiveBytes and maxReceiveBytes bound the receive buffer of a socket. A head and most bodies arrive with the least one in a
	// few round trips.
	minReceiveBytes = 4 << 10
	maxReceiveBytes = 32 << 10
	// wideReceiveBytes is the receive buffer during a long transfer. It carries the largest body over a round trip of 100 ms in time.
	wideReceiveBytes = 64 << 10
	// minWideBytes is left for long transfers on any machine.
	minWideBytes = 8 * kernelFactor * wideReceiveBytes
	// storeReceiveBytes is the receive buffer of a connection to the store, whose answers are long.
	storeReceiveBytes = 32 << 10
	// widePart is the part of the memory, 1/widePart, that is left for long transfers unless the sockets need it for the least buffers.
	widePart = 2
)

// Buffers are the receive buffers of sockets. Their sizes in bytes are as they are set (SO_RCVBUF); 0 stands for the system's default,
// with which the kernel lets each grow to several MB.
type Buffers struct {
	// ReceiveBytes is the receive buffer of a socket.
	ReceiveBytes int
	// WideBytes is the receive buffer during a long transfer.
	WideBytes int
	// WideCost is the memory that a wide buffer takes beyond an ordinary one, WideTotal that of all of them together.
	WideCost, WideTotal int64
}

// NewBuffers divides memory for what is received and not read among n sockets. It takes more than the given bytes if these are too few
// for the least buffers.
func NewBuffers(n int, bytes int64) Buffers {
	bytes = max(bytes, minWideBytes)
	b := Buffers{ReceiveBytes: int(min(max(bytes/widePart/int64(n)/kernelFactor, minReceiveBytes), maxReceiveBytes)), WideBytes: wideReceiveBytes}
	b.WideCost = kernelFactor * int64(b.WideBytes-b.ReceiveBytes)
	b.WideTotal = max(bytes-int64(n)*kernelFactor*int64(b.ReceiveBytes), minWideBytes)
	return b
}

// Limits are the numbers of sockets for each use, and their buffers.
type Limits struct {
	// Callers, Peers and Inspection are limits of connections of a listener.
	Callers, Peers, Inspection int
	// Servers is the limit of connections to all servers, OutgoingPeers that of connections to all other entry VMs.
	Servers, OutgoingPeers int
	// Buffers are those of all sockets but the ones to the store, whose receive buffer is StoreReceiveBytes.
	Buffers
	StoreReceiveBytes int
}

// Divide divides the sockets of a process with a number of file descriptors and the given shares of its memory, which are 0 for none.
func Divide(descriptors int, m memory.Shares) Limits {
	n := descriptors - reservedFiles
	l := Limits{Inspection: inspection, Peers: n * peerPercent / 100}
	if m.Unread > 0 {
		l.Peers = min(l.Peers, int(m.Unread/peerMemoryPart/(kernelFactor*minReceiveBytes)))
	}
	l.Peers = max(l.Peers, minPeers)
	l.OutgoingPeers = l.Peers
	inner := l.Peers + l.OutgoingPeers + inspectionListeners*l.Inspection
	l.Callers = (n - inner - others) / perCaller
	forStore := int64(others * kernelFactor * storeReceiveBytes)
	if m.Connections > 0 {
		l.Callers = min(l.Callers, int(m.Connections/callerBytes))
	}
	if m.Unread > 0 {
		left := m.Unread - minWideBytes - forStore - int64(inner)*kernelFactor*minReceiveBytes
		l.Callers = min(l.Callers, int(left/(perCaller*kernelFactor*minReceiveBytes)))
	}
	l.Callers = max(l.Callers, 1)
	l.Servers = l.Callers
	if m.Unread > 0 {
		l.Buffers, l.StoreReceiveBytes = NewBuffers(l.Count()-others, m.Unread-forStore), storeReceiveBytes
	}
	return l
}

// Count returns the number of sockets of all uses.
func (l Limits) Count() int {
	return l.Callers + l.Servers + l.Peers + l.OutgoingPeers + inspectionListeners*l.Inspection + others
}

// UnreadBytes returns what all sockets together hold unread at most.
func (l Limits) UnreadBytes() int64 {
	return kernelFactor*int64((l.Count()-others)*l.ReceiveBytes+others*l.StoreReceiveBytes) + l.WideTotal
}
