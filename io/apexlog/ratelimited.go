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
	w := &RateLimitedWriter{
		cfg: cfg, lines: make(chan []byte, cfg.QueueCapacity), done: make(chan struct{}), lastRefill: cfg.Now(),
		lineTokens: float64(cfg.LinesPerSecond * burstSeconds), byteTokens: float64(cfg.BytesPerSecond * burstSeconds),
	}
	go w.writeLines()
	return w
}

// Write implements io.Writer.
func (w *RateLimitedWriter) Write(p []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed || !w.takeTokens(len(p)) {
		w.dropped.Add(1)
		return len(p), nil
	}
	select {
	case w.lines <- append([]byte(nil), p...):
	default:
		w.dropped.Add(1)
	}
	return len(p), nil
}

// takeTokens refills the token buckets and takes a line of n bytes from them, or returns false if there is too little.
// The caller holds mu.
func (w *RateLimitedWriter) takeTokens(n int) bool {
	now := w.cfg.Now()
	if elapsed := now.Sub(w.lastRefill).Seconds(); elapsed > 0 {
		lines, bytes := float64(w.cfg.LinesPerSecond), float64(w.cfg.BytesPerSecond)
		w.lineTokens = min(w.lineTokens+elapsed*lines, lines*burstSeconds)
		w.byteTokens = min(w.byteTokens+elapsed*bytes, bytes*burstSeconds)
		w.lastRefill = now
	}
	if w.lineTokens < 1 || w.byteTokens < float64(n) {
		return false
	}
	w.lineTokens--
	w.byteTokens -= float64(n)
	return true
}

// NearLimit reports whether less than half of the line allowance or of the queue is left, so that callers should leave
// out less important lines.
func (w *RateLimitedWriter) NearLimit() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.lineTokens < float64(w.cfg.LinesPerSecond*burstSeconds)/2 || len(w.lines) > cap(w.lines)/2
}

// Dropped returns the number of lines dropped since the start.
func (w *RateLimitedWriter) Dropped() int64 { return w.dropped.Load() }

func (w *RateLimitedWriter) writeLines() {
	defer close(w.done)
	for line := range w.lines {
		if _, err := w.cfg.Output.Write(line); err != nil {
			// An error of the log output can only be reported in the count of dropped lines.
			w.dropped.Add(1)
		}
	}
}

// Close writes the queued lines, until the given time at most, and ends the goroutine.
func (w *RateLimitedWriter) Close(until time.Time) error {
	w.mu.Lock()
	if !w.closed {
		w.closed = true
		close(w.lines)
	}
	w.mu.Unlock()
	timer := time.NewTimer(time.Until(until))
	defer timer.Stop()
	select {
	case <-w.done:
		return nil
	case <-timer.C:
		return fmt.Errorf("%d queued log lines not written at the close of the log", len(w.lines))
	}
}
