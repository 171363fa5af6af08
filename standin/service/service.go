// Package service is a stand-in for a plain HTTP service. It counts the requests that it ran, per idempotency key and
// in total, so that a test can tell whether an order ran twice.
//
// GET, HEAD and OPTIONS on any path are look-ups, other methods are orders. The key is the header Idempotency-Key;
// the stand-in doesn't deduplicate by it. Control requests have paths below /control/.
package service

import (
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"ibiswinch/standin/internal/host"
)

// Limits of request bodies, in bytes.
const (
	maxBodyBytes    = 4 << 20
	maxControlBytes = 64 << 10
)

// drainGracePeriod is the time after which a draining service should get no new requests.
const drainGracePeriod = 3 * time.Second

// Headers of requests and answers.
const (
	headerKey      = "Idempotency-Key"
	headerDraining = "Service-Draining"
)

// Config holds the settings of a stand-in.
type Config struct {
	// Name is Answer.Service.
	Name string
	// Now is the clock of draining; nil means time.Now.
	Now func() time.Time
}

// Faults are the active faults. POST /control/faults replaces all of them. The counts are numbers of further requests:
// each request takes the first fault, in the order of the fields, whose count is above 0, and decrements it.
type Faults struct {
	// FailBefore counts requests that get 503 without running, CutBefore those whose connection is closed instead.
	FailBefore int `json:"failBefore,omitempty"`
	CutBefore  int `json:"cutBefore,omitempty"`
	// FailAfter counts requests that run and get 500, CutAfter those whose connection is closed after running.
	FailAfter int `json:"failAfter,omitempty"`
	CutAfter  int `json:"cutAfter,omitempty"`
	// HangAfter counts requests that run and get no answer. Their connection stays open until the caller closes it.
	HangAfter int `json:"hangAfter,omitempty"`
	// DelayMs is the delay of each answer after running, in ms.
	DelayMs int `json:"delayMs,omitempty"`
	// DownUntil takes the service down until a time: its connections are closed and new ones refused.
	DownUntil time.Time `json:"downUntil,omitzero"`
}

// Validate returns an error if a number is negative.
func (f Faults) Validate() error {
	if min(f.FailBefore, f.CutBefore, f.FailAfter, f.CutAfter, f.HangAfter, f.DelayMs) < 0 {
		return eris.New("a number is negative")
	}
	return nil
}

// Stats are the counters of requests.
type Stats struct {
	Orders  uint64 `json:"orders"`
	LookUps uint64 `json:"lookUps"`
	// Refused counts the requests that didn't run because of FailBefore or CutBefore.
	Refused uint64 `json:"refused"`
	// LateStarts counts the runs that started more than 3 s after the service began to drain.
	LateStarts uint64 `json:"lateStarts"`
	// RunsByKey counts the runs of orders by idempotency key. Orders without a key are counted under the empty one.
	RunsByKey map[string]uint64 `json:"keys"`
}

// Server is the stand-in. It is safe for concurrent use.
type Server struct {
	cfg  Config
	host *host.Host

	mu     sync.Mutex
	faults Faults
	stats  Stats
	// drainingSince is zero unless the service is draining.
	drainingSince time.Time
}

// New returns a stand-in that is not served yet.
func New(cfg Config) *Server {
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	s := &Server{cfg: cfg, stats: Stats{RunsByKey: map[string]uint64{}}}
	mux := http.NewServeMux()
	mux.HandleFunc("/", s.handle)
	mux.HandleFunc("GET /control/stats", s.handleStats)
	mux.HandleFunc("POST /control/faults", s.handleFaults)
	mux.HandleFunc("POST /control/draining", s.handleDraining)
	s.host = host.New(mux)
	return s
}

// Start serves on l in the background.
func (s *Server) Start(l net.Listener) { s.host.Start(l) }

// Serve serves on l until Close.
func (s *Server) Serve(l net.Listener) { s.host.Serve(l) }

// Close stops the stand-in and closes its connections.
func (s *Server) Close() { s.host.Close() }

// Down closes all connections and refuses new ones until Up.
func (s *Server) Down() { s.host.Down() }

// Up accepts connections again at the same address.
func (s *Server) Up() error { return s.host.Up() }

// SetDraining sets whether the service is draining. A draining service reports that in its answers, but still runs
// requests.
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
	s.faults = f
	s.mu.Unlock()
	if !f.DownUntil.IsZero() {
		s.host.DownUntil(f.DownUntil)
	}
	return nil
}

// Stats returns the counters.
func (s *Server) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	stats := s.stats
	stats.RunsByKey = make(map[string]uint64, len(s.stats.RunsByKey))
	for key, n := range s.stats.RunsByKey {
		stats.RunsByKey[key] = n
	}
	return stats
}

func isLookUp(method string) bool {
	return method == http.MethodGet || method == http.MethodHead || method == http.MethodOptions
}

// Answer is the answer to an order or a look-up.
type Answer struct {
	Service string `json:"service"`
	Method  string `json:"method"`
	// Path is the path with its query.
	Path string `json:"path"`
	Key  string `json:"key,omitempty"`
	// RunNumber is the number of this run among the orders with its key, or among all look-ups.
	RunNumber uint64 `json:"run"`
	// Body is the body of the request.
	Body string `json:"body,omitempty"`
}

// fault is the fault of one request, in the order of the counts in Faults.
type fault int

const (
	faultNone fault = iota
	faultFailBefore
	faultCutBefore
	faultFailAfter
	faultCutAfter
	faultHangAfter
)

// nextFault returns the fault of the next request and decrements its count. The caller holds mu.
func (s *Server) nextFault() fault {
	counts := []*int{
		&s.faults.FailBefore, &s.faults.CutBefore, &s.faults.FailAfter, &s.faults.CutAfter, &s.faults.HangAfter,
	}
	for i, n := range counts {
		if *n > 0 {
			*n--
			return faultFailBefore + fault(i)
		}
	}
	return faultNone
}

// countRun takes the fault of a request and counts the request as run, unless the fault keeps it from running.
func (s *Server) countRun(method, key string) (runCount uint64, injected fault, delay time.Duration, draining bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	injected = s.nextFault()
	delay = time.Duration(s.faults.DelayMs) * time.Millisecond
	draining = !s.drainingSince.IsZero()
	if injected == faultFailBefore || injected == faultCutBefore {
		s.stats.Refused++
		return 0, injected, delay, draining
	}
	if draining && s.cfg.Now().Sub(s.drainingSince) > drainGracePeriod {
		s.stats.LateStarts++
	}
	if isLookUp(method) {
		s.stats.LookUps++
		return s.stats.LookUps, injected, delay, draining
	}
	s.stats.Orders++
	s.stats.RunsByKey[key]++
	return s.stats.RunsByKey[key], injected, delay, draining
}

func (s *Server) handle(w http.ResponseWriter, r *http.Request) {
	body, ok := host.ReadBody(w, r, maxBodyBytes)
	if !ok {
		return
	}
	key := r.Header.Get(headerKey)
	runCount, injected, delay, draining := s.countRun(r.Method, key)
	if draining {
		w.Header().Set(headerDraining, "true")
	}
	if injected == faultFailBefore {
		host.WriteError(w, http.StatusServiceUnavailable, "unavailable", "fault by request")
		return
	}
	if injected == faultCutBefore || injected == faultCutAfter {
		host.AbortConnection()
	}
	if injected == faultHangAfter {
		<-r.Context().Done()
		host.AbortConnection()
	}
	if delay > 0 {
		select {
		case <-time.After(delay):
		case <-r.Context().Done():
			host.AbortConnection()
		}
	}
	if injected == faultFailAfter {
		host.WriteError(w, http.StatusInternalServerError, "internal", "fault by request")
		return
	}
	host.WriteJSON(w, http.StatusOK, Answer{
		Service:   s.cfg.Name,
		Method:    r.Method,
		Path:      r.URL.RequestURI(),
		Key:       key,
		RunNumber: runCount,
		Body:      string(body),
	})
}

func (s *Server) handleStats(w http.ResponseWriter, _ *http.Request) {
	host.WriteJSON(w, http.StatusOK, s.Stats())
}

func (s *Server) handleFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if !host.DecodeBody(w, r, maxControlBytes, &f) {
		return
	}
	if err := f.Validate(); err != nil {
		host.WriteError(w, http.StatusBadRequest, "badRequest", err.Error())
		return
	}
	w.Header().Set("Content-Length", "0")
	w.WriteHeader(http.StatusOK)
	// The answer is sent before the service goes down. Other faults are active before the answer is sent.
	if !f.DownUntil.IsZero() {
		_ = http.NewResponseController(w).Flush()
	}
	_ = s.SetFaults(f)
}

type drainingRequest struct {
	Draining bool `json:"draining"`
}

func (s *Server) handleDraining(w http.ResponseWriter, r *http.Request) {
	var req drainingRequest
	if host.DecodeBody(w, r, maxControlBytes, &req) {
		s.SetDraining(req.Draining)
	}
}
