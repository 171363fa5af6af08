package apexlog

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

// BoundedConfig bounds the volume of a log.
type BoundedConfig struct {
	Output io.Writer
	// LinesPerSecond and BytesPerSecond bound what is written; Burst is the number of seconds that may come at once.
	LinesPerSecond int
	BytesPerSecond int
	// Pending is the number of lines that may wait for the output.
	Pending int
	Now     func() time.Time
}

// burstSeconds is how much of the allowance may be used at once.
const burstSeconds = 3

// Bounded is a writer that never blocks: lines beyond the bounds are dropped and counted.
type Bounded struct {
	cfg     BoundedConfig
	lines   chan []byte
	dropped atomic.Int64
	done    chan struct{}

	mu         sync.Mutex
	closed     bool
	lineTokens float64
	byteTokens float64
	refilled   time.Time
}

// NewBounded returns a writer and starts its goroutine, which ends with Close.
func NewBounded(cfg BoundedConfig) *Bounded {
	b := &Bounded{
		cfg: cfg, lines: make(chan []byte, cfg.Pending), done: make(chan struct{}), refilled: cfg.Now(),
		lineTokens: float64(cfg.LinesPerSecond * burstSeconds), byteTokens: float64(cfg.BytesPerSecond * burstSeconds),
	}
	go b.run()
	return b
}

// Write implements io.Writer.
func (b *Bounded) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed || !b.take(len(p)) {
		b.dropped.Add(1)
		return len(p), nil
	}
	select {
	case b.lines <- append([]byte(nil), p...):
	default:
		b.dropped.Add(1)
	}
	return len(p), nil
}

// take takes one line from the allowance. The caller holds mu.
func (b *Bounded) take(n int) bool {
	now := b.cfg.Now()
	if passed := now.Sub(b.refilled).Seconds(); passed > 0 {
		lines, bytes := float64(b.cfg.LinesPerSecond), float64(b.cfg.BytesPerSecond)
		b.lineTokens = min(b.lineTokens+passed*lines, lines*burstSeconds)
		b.byteTokens = min(b.byteTokens+passed*bytes, bytes*burstSeconds)
		b.refilled = now
	}
	if b.lineTokens < 1 || b.byteTokens < float64(n) {
		return false
	}
	b.lineTokens--
	b.byteTokens -= float64(n)
	return true
}

// Pressed reports whether less than half of the allowance is left, so that the less important lines should be left out.
func (b *Bounded) Pressed() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.lineTokens < float64(b.cfg.LinesPerSecond*burstSeconds)/2 || len(b.lines) > cap(b.lines)/2
}

// Dropped is the number of lines that were dropped since the start.
func (b *Bounded) Dropped() int64 { return b.dropped.Load() }

func (b *Bounded) run() {
	defer close(b.done)
	for line := range b.lines {
		if _, err := b.cfg.Output.Write(line); err != nil {
			// There is nowhere to report a log that can't be written, but in the count of dropped lines.
			b.dropped.Add(1)
		}
	}
}

// Close writes what is pending, for up to the given time.
func (b *Bounded) Close(timeout time.Duration) error {
	b.mu.Lock()
	if !b.closed {
		b.closed = true
		close(b.lines)
	}
	b.mu.Unlock()
	select {
	case <-b.done:
		return nil
	case <-time.After(timeout):
		return fmt.Errorf("%d lines not written", len(b.lines))
	}
}
