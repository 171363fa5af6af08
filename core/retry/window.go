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
	windowBuckets = 20
	// extraShare is the percentage of the extra retries that the entry VMs use. The rest covers the retries of processes
	// that restart and lose their counts.
	extraShare = 70
	// ratioShare is the percentage of the ratio that the entry VMs use.
	ratioShare = 85
)

// WindowBudget keeps the retries of one entry VM to one service within its share of the limit, by counts over a sliding
// time window. It is not safe for concurrent use.
type WindowBudget struct {
	cfg               WindowBudgetConfig
	requests, retries [windowBuckets]int
	bucket            int64
	origin            time.Time
}

// NewWindowBudget returns a budget without requests and retries.
func NewWindowBudget(cfg WindowBudgetConfig) *WindowBudget { return &WindowBudget{cfg: cfg} }

// advance clears the buckets that have left the window and returns the index of the current one.
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

// Take takes a retry from the share of one of n entry VMs and reports whether there was one left.
func (w *WindowBudget) Take(now time.Time, n int) bool {
	bucket := w.advance(now)
	if w.Left(n) < 1 {
		return false
	}
	w.retries[bucket]++
	return true
}

// Left returns the number of retries left for one of n entry VMs.
func (w *WindowBudget) Left(n int) int {
	requests, retries := 0, 0
	for i := range windowBuckets {
		requests += w.requests[i]
		retries += w.retries[i]
	}
	allowed := w.cfg.Ratio*float64(requests)*ratioShare/100 + float64(w.cfg.Extra)/float64(max(n, 1))*extraShare/100
	return int(allowed) - retries
}
