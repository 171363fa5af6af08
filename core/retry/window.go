package retry

import "time"

// WindowConfig is the rule of the fleet: in any window, a service gets at most Ratio repeats for each request, and
// Extra more, over all entry VMs.
type WindowConfig struct {
	Ratio  float64
	Extra  int
	Window time.Duration
}

const (
	windowSlots = 20
	// extraShare is the part of the extra repeats that the entry VMs use, in hundredths. The rest covers processes that
	// start again without a memory of their repeats.
	extraShare = 70
	// ratioShare is the part of the ratio that is used, in hundredths.
	ratioShare = 85
)

// Window keeps the repeats of one entry VM to one service within its part of the rule. It is not safe for concurrent
// use.
type Window struct {
	cfg               WindowConfig
	requests, repeats [windowSlots]int
	slot              int64
	origin            time.Time
}

// NewWindow returns an empty window.
func NewWindow(cfg WindowConfig) *Window { return &Window{cfg: cfg} }

func (w *Window) advance(now time.Time) int {
	if w.origin.IsZero() {
		w.origin = now
	}
	slot := int64(now.Sub(w.origin) / (w.cfg.Window / windowSlots))
	for s := max(w.slot+1, slot-windowSlots+1); s <= slot; s++ {
		w.requests[s%windowSlots], w.repeats[s%windowSlots] = 0, 0
	}
	w.slot = max(w.slot, slot)
	return int(w.slot % windowSlots)
}

// AddRequest counts a first attempt.
func (w *Window) AddRequest(now time.Time) { w.requests[w.advance(now)]++ }

// Take takes a repeat from the part of one of n entry VMs and reports whether there was one.
func (w *Window) Take(now time.Time, n int) bool {
	slot := w.advance(now)
	if w.Left(n) < 1 {
		return false
	}
	w.repeats[slot]++
	return true
}

// Left is the number of repeats left for one of n entry VMs.
func (w *Window) Left(n int) int {
	requests, repeats := 0, 0
	for i := range windowSlots {
		requests += w.requests[i]
		repeats += w.repeats[i]
	}
	allowed := w.cfg.Ratio*float64(requests)*ratioShare/100 + float64(w.cfg.Extra)/float64(max(n, 1))*extraShare/100
	return int(allowed) - repeats
}
