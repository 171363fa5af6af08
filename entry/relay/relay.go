// Package relay buffers the text of one answer between the goroutine that reads it from an engine and the one that
// writes it to the caller.
package relay

import (
	"context"
	"sync"
	"sync/atomic"

	"github.com/rotisserie/eris"
)

// ErrClosed is returned to the goroutine that reads from the engine when the caller has disconnected.
var ErrClosed = eris.New("relay closed: the caller has disconnected")

// MemoryLimiter counts the bytes that a process holds for its requests, and limits them.
type MemoryLimiter struct {
	held atomic.Int64
	peak atomic.Int64
	// limit is the most bytes to hold; new requests are refused above admitLimit.
	limit, admitLimit int64
}

// admitPercent is the share of the limit up to which new requests are admitted. The rest is reserved for the requests
// that are already admitted.
const admitPercent = 90

// NewMemoryLimiter returns a counter with the given limit in bytes.
func NewMemoryLimiter(limit int64) *MemoryLimiter {
	return &MemoryLimiter{limit: limit, admitLimit: limit / 100 * admitPercent}
}

// Admit reserves n bytes for a new request and reports whether that was possible below the limit for new requests.
func (m *MemoryLimiter) Admit(n int64) bool {
	if m.add(n) > m.admitLimit {
		m.held.Add(-n)
		return false
	}
	return true
}

func (m *MemoryLimiter) add(n int64) int64 {
	held := m.held.Add(n)
	for {
		peak := m.peak.Load()
		if held <= peak || m.peak.CompareAndSwap(peak, held) {
			return held
		}
	}
}

// Release subtracts n bytes from the count.
func (m *MemoryLimiter) Release(n int64) { m.held.Add(-n) }

// Held returns the number of bytes held now.
func (m *MemoryLimiter) Held() int64 { return m.held.Load() }

// Peak returns the largest number of bytes that were held at a time.
func (m *MemoryLimiter) Peak() int64 { return m.peak.Load() }

// Limit returns the limit in bytes.
func (m *MemoryLimiter) Limit() int64 { return m.limit }

// Buffer is a bounded buffer with one writer and one reader. It keeps the whole text, since a stream that breaks is
// resumed from the text so far.
type Buffer struct {
	memory *MemoryLimiter
	// maxUnread is the number of bytes not yet sent to the caller from which the writer must wait.
	maxUnread int

	mu sync.Mutex
	// text is all text so far; text[sent:] is not yet sent to the caller.
	text []byte
	sent int
	// accounted is the part of cap(text) that is counted in memory.
	accounted int64
	done      bool
	err       error
	closed    bool
	// readable wakes the one reader, and writable the one writer, so a buffer of one signal is enough for each; a late
	// signal only makes them check the state once more.
	readable, writable chan struct{}
}

// New returns an empty relay that is full once it holds maxUnread unsent bytes.
func New(memory *MemoryLimiter, maxUnread int) *Buffer {
	return &Buffer{memory: memory, maxUnread: maxUnread, readable: make(chan struct{}, 1), writable: make(chan struct{}, 1)}
}

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// Write appends a chunk and doesn't block: the writer waits for space before it reads the next chunk from the engine.
func (r *Buffer) Write(chunk []byte) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		return ErrClosed
	}
	wasEmpty := r.sent == len(r.text)
	r.text = append(r.text, chunk...)
	if n := int64(cap(r.text)) - r.accounted; n > 0 {
		// A chunk that is already read from the engine is kept even above the limit; full then stops further reads.
		r.memory.add(n)
		r.accounted += n
	}
	if wasEmpty {
		signal(r.readable)
	}
	return nil
}

// full is Full for a caller that holds mu.
func (r *Buffer) full() bool {
	unread := len(r.text) - r.sent
	return unread >= r.maxUnread || unread > 0 && r.memory.Held() > r.memory.limit
}

// WaitForSpace returns when the relay isn't full, is closed, or ctx ends. Only one goroutine may call it.
func (r *Buffer) WaitForSpace(ctx context.Context) error {
	for {
		r.mu.Lock()
		full, closed := r.full(), r.closed
		r.mu.Unlock()
		if closed {
			return ErrClosed
		}
		if !full {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-r.writable:
		}
	}
}

// Full reports whether the caller must read before more is read from the engine.
func (r *Buffer) Full() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.full()
}

// Text returns a copy of the text so far.
func (r *Buffer) Text() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return string(r.text)
}

// Finish marks the end of the text, with an error if the answer is incomplete.
func (r *Buffer) Finish(err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.done = true
	r.err = err
	signal(r.readable)
}

// Next waits for unsent text and returns it, or returns done and the error of Finish once all text was returned. Only one
// goroutine may call it. The returned slice stays valid.
func (r *Buffer) Next(ctx context.Context) (chunk []byte, done bool, err error) {
	for {
		r.mu.Lock()
		if r.sent < len(r.text) {
			chunk = r.text[r.sent:len(r.text):len(r.text)]
			r.sent = len(r.text)
			signal(r.writable)
			r.mu.Unlock()
			return chunk, false, nil
		}
		done, err := r.done, r.err
		r.mu.Unlock()
		if done {
			return nil, true, err
		}
		select {
		case <-ctx.Done():
			return nil, true, ctx.Err()
		case <-r.readable:
		}
	}
}

// Close releases the memory; the writer then gets ErrClosed.
func (r *Buffer) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		return
	}
	r.closed = true
	r.memory.Release(r.accounted)
	r.accounted = 0
	r.text = nil
	r.sent = 0
	signal(r.writable)
	signal(r.readable)
}
