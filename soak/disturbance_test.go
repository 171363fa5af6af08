package soak

import (
	"sync"
	"time"
)

// settleTime is how long after a fault a request may still lose its answer, or a planned stop exceed its grace period,
// without a violation.
const settleTime = 3 * time.Second

// disturbances records when faults were active that excuse the loss of an answer.
type disturbances struct {
	mu    sync.Mutex
	spans []disturbance
}

// disturbance is the time of one fault. to is zero while it is active.
type disturbance struct{ from, to time.Time }

// begin records the start of a fault and returns the function that records its end.
func (d *disturbances) begin() (end func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	i := len(d.spans)
	d.spans = append(d.spans, disturbance{from: time.Now()})
	return func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		d.spans[i].to = time.Now()
	}
}

// between reports whether a fault was active between two times or had ended less than settleTime before.
func (d *disturbances) between(from, to time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, s := range d.spans {
		if s.from.Before(to) && (s.to.IsZero() || s.to.Add(settleTime).After(from)) {
			return true
		}
	}
	return false
}
