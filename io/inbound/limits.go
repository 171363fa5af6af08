// Package inbound bounds what the peers of a listener may take of a process: connections, memory for heads and bodies, and time. It
// serves HTTP.
package inbound

import (
	"bytes"
	"net/http"
	"os"
	"sync"
	"time"

	"ibiswinch/core/connections"
	"ibiswinch/core/memory"
)

const (
	// fieldBytes is what a short field of a head takes besides its bytes, in the map of the request and in that of the fields that are
	// passed on.
	fieldBytes = 320
	// uncountedHeadBytes are the bytes of a head that is being received that aren't counted. The head of an ordinary request is shorter.
	uncountedHeadBytes = 2 << 10
)

// HeadBytes returns the memory that the head of a request takes.
func HeadBytes(r *http.Request) int64 {
	n := int64(len(r.RequestURI) + len(r.Host))
	for name, values := range r.Header {
		for _, v := range values {
			n += int64(len(name) + len(v) + fieldBytes)
		}
	}
	return n
}

// Limits are the limits of one listener.
type Limits struct {
	table  *connections.Table
	memory *memory.Limiter
}

// NewLimits returns limits of a number of connections, whose heads are counted in m.
func NewLimits(maxConnections int, m *memory.Limiter) *Limits {
	return &Limits{table: connections.NewTable(maxConnections), memory: m}
}

// Admit admits a connection that has just been accepted; it returns nil if the connection must be closed. close is that of
// connections.Table.
func (l *Limits) Admit(close func(connections.Phase)) *Tracker {
	conn := l.table.Add(time.Now(), close)
	if conn == nil {
		return nil
	}
	return &Tracker{conn: conn, memory: l.memory}
}

// CloseStalled closes some connections whose peers don't read their answers.
func (l *Limits) CloseStalled() { l.table.CloseStalled(time.Now()) }

// Counts returns the numbers of connections; it is zero for nil Limits.
func (l *Limits) Counts() connections.Counts {
	if l == nil {
		return connections.Counts{}
	}
	return l.table.Counts()
}

// CloseReceiving closes all connections whose requests haven't arrived wholly.
func (l *Limits) CloseReceiving() { l.table.CloseReceiving(time.Now()) }

// Tracker follows what one connection is used for. A nil Tracker follows nothing.
type Tracker struct {
	conn   *connections.Conn
	memory *memory.Limiter

	mu sync.Mutex
	// headRead is set from the end of a head to the end of the answer.
	headRead bool
	// headBytes and headLines are what has been read of a head, held what is counted for it.
	headBytes, headLines int
	held                 int64
}

// Read records that p has been read. It fails if p belongs to a head that may not be held, with an error for which net/http closes the
// connection without an answer of its own.
func (t *Tracker) Read(p []byte) error {
	if t == nil || len(p) == 0 {
		return nil
	}
	t.conn.AddProgress(time.Now(), len(p))
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.headRead {
		return nil
	}
	t.headBytes += len(p)
	t.headLines += bytes.Count(p, []byte("\n"))
	if t.headBytes <= uncountedHeadBytes {
		return nil
	}
	more := int64(t.headBytes+t.headLines*fieldBytes) - t.held
	if !t.memory.Admit(more) {
		return os.ErrDeadlineExceeded
	}
	t.held += more
	return nil
}

// BeginRequest records that the first byte of a request has been read.
func (t *Tracker) BeginRequest() { t.setPhase(connections.Receiving) }

// EndHead records that the head of a request has been read. From now on its handler counts it.
func (t *Tracker) EndHead() {
	if t == nil {
		return
	}
	t.setPhase(connections.Receiving)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.headRead = true
	t.releaseHead()
}

// EndRequest records that the whole request has been read.
func (t *Tracker) EndRequest() { t.setPhase(connections.Serving) }

// BeginWrite and EndWrite record a write of a part of an answer.
func (t *Tracker) BeginWrite() { t.setPhase(connections.Sending) }

// EndWrite is the counterpart of BeginWrite.
func (t *Tracker) EndWrite() { t.setPhase(connections.Serving) }

// EndAnswer records that the connection is idle.
func (t *Tracker) EndAnswer() {
	if t == nil {
		return
	}
	t.setPhase(connections.Idle)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.headRead = false
}

// Close records that the connection has been closed. Further calls do nothing.
func (t *Tracker) Close() {
	if t == nil {
		return
	}
	t.conn.Remove()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.releaseHead()
}

func (t *Tracker) setPhase(p connections.Phase) {
	if t != nil {
		t.conn.SetPhase(time.Now(), p)
	}
}

// releaseHead ends the count of the head. The caller holds mu.
func (t *Tracker) releaseHead() {
	t.memory.Release(t.held)
	t.held, t.headBytes, t.headLines = 0, 0, 0
}
