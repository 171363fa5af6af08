package soak

import (
	"math/rand/v2"
	"slices"
	"sync"

	"ibiswinch/standin/keyedlog"
)

// storeFaults selects the fault of each call to the store from those that are active.
type storeFaults struct {
	mu     sync.Mutex
	active []*storeFault
}

// storeFault is a fault of a share of all calls to the store.
type storeFault struct {
	kind  keyedlog.Fault
	share float64
}

// begin makes a fault active and returns the function that ends it.
func (s *storeFaults) begin(f storeFault) (end func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.active = append(s.active, &f)
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.active = slices.DeleteFunc(s.active, func(a *storeFault) bool { return a == &f })
	}
}

// choose returns the fault of one call.
func (s *storeFaults) choose(string, string) keyedlog.Fault {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, f := range s.active {
		if rand.Float64() < f.share {
			return f.kind
		}
	}
	return keyedlog.NoFault
}

// storeTimings holds the delays of the store's own actions.
type storeTimings struct {
	mu sync.Mutex
	keyedlog.Timings
}

// setTimings changes the delays of the store's further actions.
func (f *fleet) setTimings(change func(*keyedlog.Timings)) {
	f.storeTimings.mu.Lock()
	defer f.storeTimings.mu.Unlock()
	change(&f.storeTimings.Timings)
	f.store.SetTimings(f.storeTimings.Timings)
}
