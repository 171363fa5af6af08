package retry

import "time"

// WindowBudgetConfig is the limit on retries for each service: within any time window, all entry VMs together send it
// at most Ratio retries per request, plus Extra retries.
type WindowBudgetConfig struct {
	Ratio  float64
	Extra  int
	Window time.Duration
}

const (
	// windowBuckets is the number of parts of a window by which requests and retries are counted.
	windowBuckets = 20
	// extraSharePercent of Extra is what the entry VMs use together. The rest covers the retries of processes that restart
	// and lose their counts.
	extraSharePercent = 70
	// ratioSharePercent of Ratio is what the entry VMs use.
	ratioSharePercent = 85
)

// WindowBudget keeps the retries of one entry VM to one service within its share of the limit, by counts over a sliding
// time window. It is not safe for concurrent use.
type WindowBudget struct {
	cfg               WindowBudgetConfig
	requests, retries [windowBuckets]int
	// bucket is the number of the newest bucket. Bucket 0 starts at origin; bucket n is at index n%windowBuckets.
	bucket int64
	origin time.Time
}

// NewWindowBudget returns a budget without requests and retries.
func NewWindowBudget(cfg WindowBudgetConfig) *WindowBudget { return &WindowBudget{cfg: cfg} }

// advance clears the buckets that have left the window and returns the index of the newest one.
func (w *WindowBudget) advance(now time.Time) int {
	if w.origin.IsZero() {
		w.origin = now
	}
	bucket := int64(now.Sub(w.origin) / (w.cfg.Window / windowBuckets))
	for s := max(w.bucket+1, bucket-windowBuckets+1); s <= bucket; s++ {
		w.requests[s%windowBuckets], w.retries[s%windowBuckets] = 0, 0
	}
	w.bucket = max(w.bucket, bucket)
	return int(w.bucket % windowBuckets)
}

// AddRequest counts a first attempt.
func (w *WindowBudget) AddRequest(now time.Time) { w.requests[w.advance(now)]++ }

// Requests returns the number of first attempts in the window.
func (w *WindowBudget) Requests(now time.Time) int {
	w.advance(now)
	n := 0
	for _, count := range w.requests {
		n += count
	}
	return n
}

// Take takes a retry from the share of one of n entry VMs and reports whether there was one left.
func (w *WindowBudget) Take(now time.Time, n int) bool {
	bucket := w.advance(now)
	if w.Left(now, n) < 1 {
		return false
	}
	w.retries[bucket]++
	return true
}

// Left returns the number of retries left for one of n entry VMs.
func (w *WindowBudget) Left(now time.Time, n int) int {
	w.advance(now)
	requests, retries := 0, 0
	for i := range windowBuckets {
		requests += w.requests[i]
		retries += w.retries[i]
	}
	allowed := w.cfg.Ratio*float64(requests)*ratioSharePercent/100 + float64(w.cfg.Extra)/float64(max(n, 1))*extraSharePercent/100
	return int(allowed) - retries
}
