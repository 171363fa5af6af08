// Package progress measures whether a transfer makes progress. It has no clock, goroutines or I/O.
package progress

import "time"

// Window is the time over which progress is measured.
const Window = time.Second

// Meter counts the bytes of a transfer in the window that is under way and in the one before. The zero value has counted none.
type Meter struct {
	// began is when the window under way began; current and previous are the bytes of the two windows.
	began             time.Time
	current, previous int64
}

// Add counts n bytes.
func (m *Meter) Add(now time.Time, n int64) {
	m.advance(now)
	m.current += n
}

// Recent returns the bytes of the last one to two windows.
func (m *Meter) Recent(now time.Time) int64 {
	m.advance(now)
	return m.current + m.previous
}

func (m *Meter) advance(now time.Time) {
	elapsed := now.Sub(m.began)
	switch {
	case elapsed < Window:
		return
	case elapsed < 2*Window:
		m.previous, m.began = m.current, m.began.Add(Window)
	default:
		m.previous, m.began = 0, now
	}
	m.current = 0
}
