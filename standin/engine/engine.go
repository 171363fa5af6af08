// Package engine is a stand-in for a model engine with continuous batching. The text of an answer depends only on
// the prompt, so that callers can check every byte. docs/engine-protocol.md states the wire format.
package engine

import (
	"container/heap"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"ibiswinch/standin/internal/host"
)

// Limits of request bodies, in bytes.
const (
	maxRequestBytes = 8 << 20
	maxControlBytes = 1 << 20
)

// drainGracePeriod is the time after which a draining engine should get no new requests.
const drainGracePeriod = 3 * time.Second

// Config holds the settings of a stand-in. The zero value has no delays and no limits, and nothing loaded.
type Config struct {
	// Versions are loaded at each start.
	Versions []ModelVersion
	Role     string
	// FirstTokenDelay is the time to the first token, and PrefillDelay is added per prompt token that isn't cached.
	FirstTokenDelay time.Duration
	PrefillDelay    time.Duration
	// TokenDelay is the time between two tokens.
	TokenDelay time.Duration
	// CapacityTokens is the memory for the prompt, prefix and produced tokens of running requests. The engine
	// crashes if it is exceeded. 0 means no limit.
	CapacityTokens int64
	// MaxRunning is the maximum size of the batch; further requests wait. 0 means no limit.
	MaxRunning int
	// MaxWaiting is the maximum number of waiting requests; further ones get 503. 0 means no limit.
	MaxWaiting int
	// CrashMarker is a text in a prompt that crashes the engine when the request starts; empty means none.
	CrashMarker string
	// RestartAfter is the time from a crash to the restart; 0 means that the engine stays down.
	RestartAfter time.Duration
	// CacheBlocks is the size of the prefix cache in blocks; 0 means no cache.
	CacheBlocks int
	// EventLag delays the cache events. Every EventDropInterval-th event is lost; 0 loses none.
	EventLag          time.Duration
	EventDropInterval uint64
	// LoadLag is the age of load reports.
	LoadLag time.Duration
	// LoadDelay is the time to load a version or an adapter.
	LoadDelay time.Duration
	// IgnoreFence makes the engine carry out orders with stale fencing numbers.
	IgnoreFence bool
	// Now is the clock of lags, loading, draining and the times in answers; nil means time.Now.
	Now func() time.Time
}

// batchCounters counts the running requests of one incarnation of the engine and the tokens that they hold.
type batchCounters struct {
	heldTokens atomic.Int64
	running    atomic.Int64
}

// Server is the stand-in. It is safe for concurrent use.
type Server struct {
	cfg  Config
	host *host.Host

	mu sync.Mutex
	*batchCounters
	// incarnation counts the starts of the engine, from 1.
	incarnation int
	// down is true from a crash to the restart.
	down          bool
	restartTimer  *time.Timer
	arrivals      uint64
	active        map[*run]struct{}
	waiting       queue
	waitingTokens int64
	loadedModels  loadedModels
	cache         *cache
	loadHistory   loadHistory
	rules         []*countedRule
	// faultsChanged is closed and replaced when the faults are replaced, and ends ActionFreeze.
	faultsChanged chan struct{}
	// drainingSince is zero unless the engine is draining.
	drainingSince time.Time
	totals        Totals
	counts        map[string]*RunCount
}

// New returns a stand-in that is not served yet.
func New(cfg Config) *Server {
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	s := &Server{cfg: cfg, counts: map[string]*RunCount{}, faultsChanged: make(chan struct{})}
	s.reset()
	s.host = host.New(s.routes())
	return s
}

// reset puts the engine into the state after a start. The caller holds mu, except in New.
func (s *Server) reset() {
	s.incarnation++
	s.batchCounters = &batchCounters{}
	s.active = map[*run]struct{}{}
	s.waiting = nil
	s.waitingTokens = 0
	s.loadedModels = newLoadedModels(s.cfg)
	s.cache = newCache(s.cfg.CacheBlocks, s.cfg.EventDropInterval, s.cfg.Now)
	s.loadHistory = loadHistory{}
}

// Start serves on l in the background.
func (s *Server) Start(l net.Listener) { s.host.Start(l) }

// Serve serves on l until Close.
func (s *Server) Serve(l net.Listener) { s.host.Serve(l) }

// Close stops the stand-in and closes its connections.
func (s *Server) Close() {
	s.mu.Lock()
	if s.restartTimer != nil {
		s.restartTimer.Stop()
	}
	s.mu.Unlock()
	s.host.Close()
}

// Crash closes all connections and drops all requests, the cache and what orders have loaded.
func (s *Server) Crash() {
	s.mu.Lock()
	if s.down {
		s.mu.Unlock()
		return
	}
	s.down = true
	s.totals.Crashes++
	for r := range s.active {
		s.endRun(r, outcomeCrashed)
	}
	for _, r := range s.waiting {
		s.countsOf(r.id).Dropped++
		s.totals.Dropped++
		r.outcome = outcomeCrashed
		if !r.cancelled {
			close(r.stop)
		}
	}
	s.reset()
	if s.cfg.RestartAfter > 0 {
		s.restartTimer = time.AfterFunc(s.cfg.RestartAfter, func() { _ = s.Restart() })
	}
	s.mu.Unlock()
	s.host.Down()
}

// Restart starts a crashed engine again at the same address.
func (s *Server) Restart() error {
	s.mu.Lock()
	s.down = false
	s.mu.Unlock()
	return s.host.Up()
}

// IsUp reports whether the engine accepts connections.
func (s *Server) IsUp() bool { return s.host.IsUp() }

// SetDraining sets whether the engine is draining. A draining engine reports that in answers and load reports, but
// still accepts requests.
func (s *Server) SetDraining(draining bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case !draining:
		s.drainingSince = time.Time{}
	case s.drainingSince.IsZero():
		s.drainingSince = s.cfg.Now()
	}
}

// SetFaults replaces the active faults.
func (s *Server) SetFaults(f Faults) error {
	if err := f.Validate(); err != nil {
		return err
	}
	s.mu.Lock()
	s.rules = nil
	for _, r := range f.Rules {
		s.rules = append(s.rules, &countedRule{Rule: r})
	}
	close(s.faultsChanged)
	s.faultsChanged = make(chan struct{})
	s.mu.Unlock()
	if f.Crash {
		s.Crash()
	}
	return nil
}

// queue holds the waiting requests: the lowest priority value first, then the earliest.
type queue []*run

var _ heap.Interface = (*queue)(nil)

func (q queue) Len() int { return len(q) }

func (q queue) Less(i, j int) bool {
	if q[i].priority != q[j].priority {
		return q[i].priority < q[j].priority
	}
	return q[i].arrival < q[j].arrival
}

func (q queue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].queueIndex, q[j].queueIndex = i, j
}

// Push implements heap.Interface.
func (q *queue) Push(x any) {
	r := x.(*run)
	r.queueIndex = len(*q)
	*q = append(*q, r)
}

// Pop implements heap.Interface.
func (q *queue) Pop() any {
	last := len(*q) - 1
	r := (*q)[last]
	*q = (*q)[:last]
	return r
}
