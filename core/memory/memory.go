// Package memory bounds the bytes that a process holds for its requests and their answers. It has no clock, goroutines or I/O.
package memory

import (
	"math"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/rotisserie/eris"
)

const (
	// admitPercent is the share of the limit up to which new requests are admitted. The rest is reserved for the requests
	// that are already admitted.
	admitPercent = 90
)

// growthLimits are the shares of the limit up to which a request gets more bytes, by what it then holds. Few large requests don't
// take what many small ones need, and many middle-sized ones don't take what the smallest ones need.
var growthLimits = []growthLimit{{maxBytes: 16 << 10, percent: 100}, {maxBytes: 64 << 10, percent: 90}, {maxBytes: math.MaxInt64, percent: 75}}

// growthLimit holds for requests that hold up to maxBytes.
type growthLimit struct {
	maxBytes, percent int64
}

// ErrFull is the error of a request that may not hold more bytes.
var ErrFull = eris.New("memory held for requests is full")

// Limiter counts the bytes that a process holds for its requests, and limits them.
type Limiter struct {
	held atomic.Int64
	peak atomic.Int64
	// limit is the most bytes to hold, admitLimit up to where new requests are admitted.
	limit, admitLimit int64
}

// NewLimiter returns a limiter with the given limit in bytes, 0 for none.
func NewLimiter(limit int64) *Limiter {
	if limit == 0 {
		limit = math.MaxInt64
	}
	return &Limiter{limit: limit, admitLimit: limit / 100 * admitPercent}
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

// growthLimit returns up to how many held bytes a request may grow to the given size.
func (l *Limiter) growthLimit(size int64) int64 {
	i := slices.IndexFunc(growthLimits, func(g growthLimit) bool { return size <= g.maxBytes })
	return l.limit / 100 * growthLimits[i].percent
}

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
	if h.released || !h.limiter.addUpTo(n, h.limiter.growthLimit(h.bytes+n)) {
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
