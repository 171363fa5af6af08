package placement

import "time"

const (
	// overloadedPercent of the target latency is the time to the first event from which a server has too many calls.
	overloadedPercent = 70
	// minWindow is the least size of a window. Below 1, it is the probability that a server without calls gets one: where
	// many entry VMs share a server, each has less than a call there.
	minWindow = 0.1
	// windowDecrease is the factor by which a late first event shrinks a window, once in windowDecreaseInterval.
	windowDecrease         = 0.8
	windowDecreaseInterval = 300 * time.Millisecond
	// maxWindowIncrease bounds the growth of a window with one call, as a part of its size.
	maxWindowIncrease = 0.2
	// maxWindow is the size from which a window no longer limits.
	maxWindow = 64
)

// window bounds the calls that a server runs for this entry VM. It shrinks by a factor when first events are late and
// grows by a call for as many calls as it allows, so that a server with more calls than it can answer in time gets
// fewer, without knowledge of what the other entry VMs send. The zero value doesn't limit.
type window struct {
	size float64
	// shrinkAt is when the window may shrink again.
	shrinkAt time.Time
}

// isFull reports whether there is no room for a call beside those that run. chance, in [0, 1), rounds the size up or down.
func (w *window) isFull(running int, chance float64) bool {
	return w.size > 0 && float64(running)+chance >= w.size
}

// shrink records that the first event of one of the running calls was late.
func (w *window) shrink(now time.Time, running int) {
	if now.Before(w.shrinkAt) {
		return
	}
	w.shrinkAt = now.Add(windowDecreaseInterval)
	size := float64(running)
	if w.size > 0 {
		size = min(size, w.size)
	}
	w.size = max(size*windowDecrease, minWindow)
}

// grow records that a first event was in time.
func (w *window) grow() {
	if w.size == 0 {
		return
	}
	w.size += min(1/w.size, maxWindowIncrease*w.size)
	if w.size > maxWindow {
		w.size = 0
	}
}
