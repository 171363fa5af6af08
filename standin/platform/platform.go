// Package platform is a stand-in for the platform: its append-only log, its lists of entry VMs and backend servers,
// and its rate-limited store of model weights. It keeps everything in memory. docs/platform-protocol.md states the
// wire format.
package platform

import (
	"encoding/json"
	"math"
	"net"
	"net/http"
	"sync"
	"time"

	"ibiswinch/standin/internal/host"
)

// Limits of requests and answers.
const (
	// DefaultMaxBatchBytes is the size limit of one append.
	DefaultMaxBatchBytes = 1 << 20
	// maxPageBytes is the size limit of a page of entries. A page with one entry may exceed it.
	maxPageBytes = 4 << 20
	// maxPageEntries is the highest and the default limit of a read.
	maxPageEntries = 1000
	// maxWait bounds a long poll.
	maxWait       = 30 * time.Second
	maxListBytes  = 4 << 20
	maxFaultBytes = 1 << 20
)

// Config holds the settings of a stand-in. The zero value keeps all entries and has no rate limit.
type Config struct {
	// MaxBatchBytes is the size limit of one append; 0 means DefaultMaxBatchBytes.
	MaxBatchBytes int64
	// RetainCount is the number of entries kept per stream; 0 means all.
	RetainCount int
	// RetainAge is the age up to which entries are kept; 0 means no limit.
	RetainAge time.Duration
	// WeightReadsPerSecond limits the reads of the weight store; 0 means no limit.
	WeightReadsPerSecond float64
	// WeightReadBurst is the number of reads of the weight store that may come at once; at least 1.
	WeightReadBurst int
	// Now is the clock of retention, list lag and the rate limit; nil means time.Now.
	Now func() time.Time
}

// Stats are the counters of the stand-in.
type Stats struct {
	// Appends counts the stored appends, without duplicates.
	Appends uint64 `json:"appends"`
	// AppendRequests counts all append requests, including the rejected ones.
	AppendRequests uint64 `json:"appendRequests"`
	AppendBytes    uint64 `json:"appendBytes"`
	Reads          uint64 `json:"reads"`
	LostAnswers    uint64 `json:"lostAnswers"`
	Duplicates     uint64 `json:"duplicates"`
	VMReads        uint64 `json:"vmReads"`
	ServerReads    uint64 `json:"serverReads"`
	WeightReads    uint64 `json:"weightReads"`
	WeightRefusals uint64 `json:"weightRefusals"`
}

// Server is the stand-in. It is safe for concurrent use.
type Server struct {
	cfg  Config
	host *host.Host
	mux  *http.ServeMux

	mu      sync.Mutex
	streams map[string]*stream
	vms     listHistory[vmList]
	servers listHistory[serverList]
	faults  Faults
	// faultsChanged is closed and replaced when faults is replaced, for requests that wait.
	faultsChanged chan struct{}
	stats         Stats
	// weightTokens is the level of the weight store's token bucket at weightTokensAt.
	weightTokens   float64
	weightTokensAt time.Time
}

// New returns a stand-in that is not served yet.
func New(cfg Config) *Server {
	if cfg.MaxBatchBytes == 0 {
		cfg.MaxBatchBytes = DefaultMaxBatchBytes
	}
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	cfg.WeightReadBurst = max(1, cfg.WeightReadBurst)
	s := &Server{
		cfg:            cfg,
		mux:            http.NewServeMux(),
		streams:        map[string]*stream{},
		faultsChanged:  make(chan struct{}),
		weightTokens:   float64(cfg.WeightReadBurst),
		weightTokensAt: cfg.Now(),
	}
	s.vms.add(cfg.Now(), vmList{VMs: []VM{}})
	s.servers.add(cfg.Now(), serverList{Servers: []BackendServer{}})
	s.routes()
	s.host = host.New(s.mux)
	return s
}

// Start serves on l in the background.
func (s *Server) Start(l net.Listener) { s.host.Start(l) }

// Serve serves on l until Close.
func (s *Server) Serve(l net.Listener) { s.host.Serve(l) }

// Close stops the stand-in and closes its connections.
func (s *Server) Close() { s.host.Close() }

// ServeHTTP answers one request, for use with another HTTP server, whose listener LogRefused doesn't close.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// Stats returns the counters.
func (s *Server) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stats
}

// Append stores data as one entry without size check, counters or faults, so that tests can store invalid entries.
// data must be valid JSON.
func (s *Server) Append(name string, data json.RawMessage) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stream(name).append(s.cfg.Now(), data)
}

// Entries returns all entries that a stream holds.
func (s *Server) Entries(name string) []Entry {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.stream(name)
	return st.read(0, len(st.entries), math.MaxInt)
}

// SetVMs replaces the VM list.
func (s *Server) SetVMs(vms []VM) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.vms.add(s.cfg.Now(), vmList{Revision: s.vms.latest().Revision + 1, VMs: append([]VM{}, vms...)})
}

// SetServers replaces the server list.
func (s *Server) SetServers(servers []BackendServer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := serverList{Revision: s.servers.latest().Revision + 1, Servers: append([]BackendServer{}, servers...)}
	s.servers.add(s.cfg.Now(), list)
}

// SetFaults replaces the active faults.
func (s *Server) SetFaults(f Faults) error {
	if err := f.Validate(); err != nil {
		return err
	}
	s.mu.Lock()
	s.faults = f
	s.faults.Trim = nil
	for _, t := range f.Trim {
		s.stream(t.Stream).trim(t.Before)
	}
	close(s.faultsChanged)
	s.faultsChanged = make(chan struct{})
	s.mu.Unlock()
	return s.applyListenerFault(f)
}

// applyListenerFault closes or reopens the listener. The caller doesn't hold mu, which handlers may need; closing
// connections doesn't wait for them.
func (s *Server) applyListenerFault(f Faults) error {
	switch {
	case f.Log == LogRefused && f.Until.IsZero():
		s.host.Down()
	case f.Log == LogRefused:
		s.host.DownUntil(f.Until)
	default:
		if err := s.host.Up(); err != nil && err != host.ErrClosed {
			return err
		}
	}
	return nil
}

// Faults returns the active faults.
func (s *Server) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// stream returns a stream after applying retention, and creates it if necessary. The caller holds mu.
func (s *Server) stream(name string) *stream {
	st := s.streams[name]
	if st == nil {
		st = newStream()
		s.streams[name] = st
	}
	var before time.Time
	if s.cfg.RetainAge > 0 {
		before = s.cfg.Now().Add(-s.cfg.RetainAge)
	}
	st.retain(s.cfg.RetainCount, before)
	return st
}
