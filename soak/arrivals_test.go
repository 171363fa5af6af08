package soak

import (
	"sync"
	"time"
)

// arrival is a request that reached a backend server and wasn't misdirected.
type arrival struct {
	id      string
	backend *backend
	// instance is the start of the backend server.
	instance string
	at       time.Time
	ran      bool
	// retryAt is set if the request was refused with a time before which the server wants no further ones.
	retryAt time.Time
}

// arrivalLog records the arrivals at all backend servers.
type arrivalLog struct {
	mu       sync.Mutex
	arrivals []arrival
}

func (l *arrivalLog) add(a arrival) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.arrivals = append(l.arrivals, a)
}

// all returns the arrivals so far, in order.
func (l *arrivalLog) all() []arrival {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.arrivals
}

// arrivalsByID returns the arrivals of each request, in order.
func (l *arrivalLog) arrivalsByID() map[string][]arrival {
	byID := map[string][]arrival{}
	for _, a := range l.all() {
		byID[a.id] = append(byID[a.id], a)
	}
	return byID
}

func countRuns(arrivals []arrival) int {
	n := 0
	for _, a := range arrivals {
		if a.ran {
			n++
		}
	}
	return n
}
