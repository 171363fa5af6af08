// Package relay buffers the text of one answer between the goroutine that reads it from an engine and the one that
// writes it to the caller.
package relay

import (
	"context"
	"sync"

	"github.com/rotisserie/eris"

	"ibiswinch/core/memory"
)

// ErrClosed is returned to the goroutine that reads from the engine when the caller has disconnected.
var ErrClosed = eris.New("relay closed: the caller has disconnected")

// Buffer is a bounded buffer with one writer and one reader. It keeps the whole text, since a stream that breaks is
// resumed from the text so far.
type Buffer struct {
	memory *memory.Limiter
	// maxUnsent is the number of bytes not yet sent to the caller from which the writer must wait.
	maxUnsent int

	mu sync.Mutex
	// text is all text so far; text[sent:] is not yet sent to the caller.
	text []byte
	sent int
	// accounted is the part of cap(text) that is counted in memory.
	accounted int64
	done      bool
	err       error
	closed    bool
	// readable wakes the one reader, and writable the one writer, so one pending signal is enough for each; a late
	// signal only makes them check the state once more.
	readable, writable chan struct{}
}

// New returns an empty buffer that is full once it holds maxUnsent unsent bytes.
func New(limiter *memory.Limiter, maxUnsent int) *Buffer {
	return &Buffer{memory: limiter, maxUnsent: maxUnsent, readable: make(chan struct{}, 1), writable: make(chan struct{}, 1)}
}

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// Write appends a chunk and doesn't block: the writer waits for space before it reads the next chunk from the engine.
func (b *Buffer) Write(chunk []byte) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed {
		return ErrClosed
	}
	wasEmpty := b.sent == len(b.text)
	b.text = append(b.text, chunk...)
	if n := int64(cap(b.text)) - b.accounted; n > 0 {
		// A chunk that is already read from the engine is kept even above the limit; full then stops further reads.
		b.memory.Add(n)
		b.accounted += n
	}
	if wasEmpty {
		signal(b.readable)
	}
	return nil
}

// full is Full for a caller that holds mu.
func (b *Buffer) full() bool {
	unsent := len(b.text) - b.sent
	return unsent >= b.maxUnsent || unsent > 0 && b.memory.Full()
}

// WaitForSpace returns when the buffer isn't full, is closed, or ctx ends. Only one goroutine may call it.
func (b *Buffer) WaitForSpace(ctx context.Context) error {
	for {
		b.mu.Lock()
		full, closed := b.full(), b.closed
		b.mu.Unlock()
		if closed {
			return ErrClosed
		}
		if !full {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-b.writable:
		}
	}
}

// Full reports whether the caller must read before more is read from the engine.
func (b *Buffer) Full() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.full()
}

// Text returns a copy of the text so far.
func (b *Buffer) Text() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return string(b.text)
}

// Finish marks the end of the text, with an error if the answer is incomplete.
func (b *Buffer) Finish(err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.done = true
	b.err = err
	signal(b.readable)
}

// Next waits for unsent text and returns it, or returns done and the error of Finish once all text was returned. Only
// one goroutine may call it. The returned slice stays valid.
func (b *Buffer) Next(ctx context.Context) (chunk []byte, done bool, err error) {
	for {
		b.mu.Lock()
		if b.sent < len(b.text) {
			chunk = b.text[b.sent:len(b.text):len(b.text)]
			b.sent = len(b.text)
			signal(b.writable)
			b.mu.Unlock()
			return chunk, false, nil
		}
		done, err := b.done, b.err
		b.mu.Unlock()
		if done {
			return nil, true, err
		}
		select {
		case <-ctx.Done():
			return nil, true, ctx.Err()
		case <-b.readable:
		}
	}
}

// Close releases the memory; the writer then gets ErrClosed.
func (b *Buffer) Close() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed {
		return
	}
	b.closed = true
	b.memory.Release(b.accounted)
	b.accounted = 0
	b.text = nil
	b.sent = 0
	signal(b.writable)
	signal(b.readable)
}
