package apexlog

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

// RateLimitedWriterConfig holds the settings of a [RateLimitedWriter].
type RateLimitedWriterConfig struct {
	Output io.Writer
	// LinesPerSecond and BytesPerSecond limit the rate of writes; bursts may use the allowance of burstSeconds.
	LinesPerSecond int
	BytesPerSecond int
	// QueueCapacity is the capacity of the queue of lines that wait for the output.
	QueueCapacity int
	Now           func() time.Time
}

// burstSeconds is the depth of the token buckets for lines and bytes, in seconds of the allowed rate.
const burstSeconds = 3

// RateLimitedWriter is a rate-limited writer that never blocks: lines over the limits are dropped and counted.
type RateLimitedWriter struct {
	cfg     RateLimitedWriterConfig
	lines   chan []byte
	dropped atomic.Int64
	done    chan struct{}

	mu         sync.Mutex
	closed     bool
	lineTokens float64
	byteTokens float64
	lastRefill time.Time
}

// NewRateLimitedWriter returns a writer and starts its goroutine, which Close ends.
func NewRateLimitedWriter(cfg RateLimitedWriterConfig) *RateLimitedWriter {
	b := &RateLimitedWriter{
		cfg: cfg, lines: make(chan []byte, cfg.QueueCapacity), done: make(chan struct{}), lastRefill: cfg.Now(),
		lineTokens: float64(cfg.LinesPerSecond * burstSeconds), byteTokens: float64(cfg.BytesPerSecond * burstSeconds),
	}
	go b.writeLines()
	return b
}

// Write implements io.Writer.
func (b *RateLimitedWriter) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed || !b.takeTokens(len(p)) {
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

// takeTokens refills the token buckets and takes a line of n bytes from them, or returns false if there is too little.
// The caller holds mu.
func (b *RateLimitedWriter) takeTokens(n int) bool {
	now := b.cfg.Now()
	if elapsed := now.Sub(b.lastRefill).Seconds(); elapsed > 0 {
		lines, bytes := float64(b.cfg.LinesPerSecond), float64(b.cfg.BytesPerSecond)
		b.lineTokens = min(b.lineTokens+elapsed*lines, lines*burstSeconds)
		b.byteTokens = min(b.byteTokens+elapsed*bytes, bytes*burstSeconds)
		b.lastRefill = now
	}
	if b.lineTokens < 1 || b.byteTokens < float64(n) {
		return false
	}
	b.lineTokens--
	b.byteTokens -= float64(n)
	return true
}

// NearLimit reports whether less than half of the line allowance or of the queue is left, so that callers should leave
// out less important lines.
func (b *RateLimitedWriter) NearLimit() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.lineTokens < float64(b.cfg.LinesPerSecond*burstSeconds)/2 || len(b.lines) > cap(b.lines)/2
}

// Dropped returns the number of lines dropped since the start.
func (b *RateLimitedWriter) Dropped() int64 { return b.dropped.Load() }

func (b *RateLimitedWriter) writeLines() {
	defer close(b.done)
	for line := range b.lines {
		if _, err := b.cfg.Output.Write(line); err != nil {
			// An error of the log output can only be reported in the count of dropped lines.
			b.dropped.Add(1)
		}
	}
}

// Close writes the queued lines, for at most timeout, and ends the goroutine.
func (b *RateLimitedWriter) Close(timeout time.Duration) error {
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
		return fmt.Errorf("%d queued log lines not written at the close of the log", len(b.lines))
	}
}
