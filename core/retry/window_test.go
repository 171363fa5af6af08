package retry_test

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"ibiswinch/core/retry"
)

// TestWindowsTogetherStayWithinLimit guards against several entry VMs whose retries together exceed the limit of
// WindowBudgetConfig in any time window.
func TestWindowsTogetherStayWithinLimit(t *testing.T) {
	c := qt.New(t)
	cfg := retry.WindowBudgetConfig{Ratio: 0.2, Extra: 56, Window: 10 * time.Second}
	const vms = 8
	random := rand.New(rand.NewPCG(1, 2))
	var windows [vms]*retry.WindowBudget
	for i := range windows {
		windows[i] = retry.NewWindowBudget(cfg)
	}
	type event struct {
		at      time.Time
		isRetry bool
	}
	var events []event
	now := time.Unix(0, 0)
	for range 40_000 {
		now = now.Add(time.Duration(random.IntN(2000)) * time.Microsecond)
		w := windows[random.IntN(vms)]
		w.AddRequest(now)
		events = append(events, event{at: now})
		if random.IntN(2) == 0 && w.Take(now, vms) {
			events = append(events, event{at: now, isRetry: true})
		}
	}
	first, requests, retries := 0, 0, 0
	for _, e := range events {
		if e.isRetry {
			retries++
		} else {
			requests++
		}
		for events[first].at.Before(e.at.Add(-cfg.Window)) {
			if events[first].isRetry {
				retries--
			} else {
				requests--
			}
			first++
		}
		c.Assert(float64(retries) <= cfg.Ratio*float64(requests)+float64(cfg.Extra), qt.IsTrue)
	}
}

// TestRetriesExpireWithWindow guards against retries that still count after their window, so that none would be left
// after an outage.
func TestRetriesExpireWithWindow(t *testing.T) {
	c := qt.New(t)
	w := retry.NewWindowBudget(retry.WindowBudgetConfig{Ratio: 0, Extra: 20, Window: 10 * time.Second})
	now := time.Unix(0, 0)
	taken := 0
	for w.Take(now, 2) {
		taken++
	}
	c.Assert(taken, qt.Equals, 7)
	c.Assert(w.Take(now.Add(9*time.Second), 2), qt.IsFalse)
	c.Assert(w.Take(now.Add(11*time.Second), 2), qt.IsTrue)
}
