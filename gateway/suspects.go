package gateway

import (
	"slices"
	"sync"
	"time"

	"ibiswinch/core/event"
	"ibiswinch/io/apexlog"
)

const (
	// crashLimit is the number of servers that may break off the same request before it is refused.
	crashLimit = 3
	// crashMemory is how long a broken-off request is remembered, quarantineTime how long it is refused.
	crashMemory    = 20 * time.Second
	quarantineTime = 60 * time.Second
	// maxCrashes bounds the crashes that are kept and told.
	maxCrashes = 256
)

// crash says that a server broke off a request.
type crash struct {
	Fingerprint string `json:"fingerprint"`
	Server      string `json:"server"`
	at          time.Time
}

// suspectController finds requests that crash the servers that run them. The entry VMs tell each other, since the
// repeats of such a request come to any of them.
type suspectController struct {
	cfg Config

	mu sync.Mutex
	// crashes are the own ones, oldest first; others are those of the peers.
	crashes []crash
	others  map[string][]crash
	// refused are the fingerprints in quarantine and its end.
	refused map[string]time.Time
}

func newSuspectController(cfg Config) *suspectController {
	return &suspectController{cfg: cfg, others: map[string][]crash{}, refused: map[string]time.Time{}}
}

// broke notes that a server broke off a request.
func (s *suspectController) broke(fingerprint, server string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.crashes) >= maxCrashes {
		s.crashes = s.crashes[1:]
	}
	s.crashes = append(s.crashes, crash{Fingerprint: fingerprint, Server: server, at: s.cfg.Now()})
	s.judge(fingerprint)
}

// completed clears a request that ran to its end.
func (s *suspectController) completed(fingerprintOf func() string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.crashes) == 0 {
		return
	}
	fingerprint := fingerprintOf()
	s.crashes = slices.DeleteFunc(s.crashes, func(c crash) bool { return c.Fingerprint == fingerprint })
}

// own returns the crashes to tell the peers, and forgets old ones.
func (s *suspectController) own() []crash {
	s.mu.Lock()
	defer s.mu.Unlock()
	oldest := s.cfg.Now().Add(-crashMemory)
	s.crashes = slices.DeleteFunc(s.crashes, func(c crash) bool { return c.at.Before(oldest) })
	return slices.Clone(s.crashes)
}

// merge takes what a peer tells.
func (s *suspectController) merge(peer string, crashes []crash) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(crashes) == 0 {
		delete(s.others, peer)
		return
	}
	s.others[peer] = crashes[:min(len(crashes), maxCrashes)]
	for _, c := range s.others[peer] {
		s.judge(c.Fingerprint)
	}
}

// judge quarantines a fingerprint that enough servers broke off. The caller holds mu.
func (s *suspectController) judge(fingerprint string) {
	servers := map[string]bool{}
	count := func(list []crash) {
		for _, c := range list {
			if c.Fingerprint == fingerprint {
				servers[c.Server] = true
			}
		}
	}
	count(s.crashes)
	for _, list := range s.others {
		count(list)
	}
	if len(servers) < crashLimit {
		return
	}
	now := s.cfg.Now()
	if until := s.refused[fingerprint]; now.After(until) {
		s.cfg.Events.Event(event.RequestQuarantine, apexlog.Fields{"fingerprint": fingerprint, "servers": len(servers)})
	}
	s.refused[fingerprint] = now.Add(quarantineTime)
}

// quarantined returns the end of the quarantine of a request, zero if there is none.
func (s *suspectController) quarantined(fingerprint string) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	until, found := s.refused[fingerprint]
	if !found {
		return time.Time{}
	}
	if !s.cfg.Now().Before(until) {
		delete(s.refused, fingerprint)
		return time.Time{}
	}
	return until
}

// empty reports whether nothing is suspect, so that fingerprints need not be computed.
func (s *suspectController) empty() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.refused) == 0
}
