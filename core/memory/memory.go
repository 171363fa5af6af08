// Package memory bounds the bytes that a process holds for its requests and their answers. It has no clock, goroutines or I/O.
package memory

import (
	"math"
	"sync"
	"sync/atomic"

	"github.com/rotisserie/eris"
)

const (
	// admitPercent is the share of the limit up to which new requests are admitted. The rest is reserved for the requests
	// that are already admitted.
	admitPercent = 90
	// largePercent is the share of the limit up to which a request that holds more than smallBytes gets more, so that a few
	// large ones don't take what many small ones need.
	largePercent = 75
	smallBytes   = 64 << 10
)

// ErrFull is the error of a request that may not hold more bytes.
var ErrFull = eris.New("memory held for requests is full")

// Limiter counts the bytes that a process holds for its requests, and limits them.
type Limiter struct {
	held atomic.Int64
	peak atomic.Int64
	// limit is the most bytes to hold, admitLimit up to where new requests are admitted, largeLimit up to where large ones
	// grow.
	limit, admitLimit, largeLimit int64
}

// NewLimiter returns a limiter with the given limit in bytes, 0 for none.
func NewLimiter(limit int64) *Limiter {
	if limit == 0 {
		limit = math.MaxInt64
	}
	return &Limiter{limit: limit, admitLimit: limit / 100 * admitPercent, largeLimit: limit / 100 * largePercent}
}

// Admit reserves n bytes for a new request and reports whether that was possible below the limit for new requests.
func (l *Limiter) Admit(n int64) bool { return l.addUpTo(n, l.admitLimit) }

// addUpTo adds n bytes unless they would then exceed limit.
func (l *Limiter) addUpTo(n, limit int64) bool {
	if l.held.Add(n) > limit {
		l.held.Add(-n)
		return false
	}
	l.recordPeak()
	return true
}

// Add counts n bytes that are held already, also above the limit.
func (l *Limiter) Add(n int64) {
	l.held.Add(n)
	l.recordPeak()
}

func (l *Limiter) recordPeak() {
	for held, peak := l.held.Load(), l.peak.Load(); held > peak && !l.peak.CompareAndSwap(peak, held); peak = l.peak.Load() {
	}
}

// Release subtracts n bytes from the count.
func (l *Limiter) Release(n int64) { l.held.Add(-n) }

// Held returns the number of bytes held now.
func (l *Limiter) Held() int64 { return l.held.Load() }

// Peak returns the largest number of bytes that were held at a time.
func (l *Limiter) Peak() int64 { return l.peak.Load() }

// Limit returns the limit in bytes.
func (l *Limiter) Limit() int64 { return l.limit }

// Full reports whether more bytes are held than the limit.
func (l *Limiter) Full() bool { return l.Held() > l.limit }

// Holding is what one request, or one answer, holds of a limiter's bytes. It is safe for concurrent use.
type Holding struct {
	limiter *Limiter

	mu sync.Mutex
	// bytes is counted in limiter until Release.
	bytes    int64
	released bool
}

// NewHolding returns a holding without bytes.
func (l *Limiter) NewHolding() *Holding { return &Holding{limiter: l} }

// Grow adds n bytes. It fails with ErrFull if the request may not hold as many, and then adds none, or if it was released.
func (h *Holding) Grow(n int64) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	limit := h.limiter.limit
	if h.bytes+n > smallBytes {
		limit = h.limiter.largeLimit
	}
	if h.released || !h.limiter.addUpTo(n, limit) {
		return ErrFull
	}
	h.bytes += n
	return nil
}

// Shrink subtracts n of the bytes.
func (h *Holding) Shrink(n int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.released {
		h.bytes -= n
		h.limiter.Release(n)
	}
}

// Release subtracts all bytes. Further calls do nothing.
func (h *Holding) Release() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.released {
		h.released = true
		h.limiter.Release(h.bytes)
	}
}
