package gateway

import (
	"slices"
	"sync"
	"time"

	"ibiswinch/core/event"
	"ibiswinch/io/apexlog"
)

const (
	// crashLimit is the number of servers that may fail while they run the same request before it is refused.
	crashLimit = 3
	// crashRetention is how long a crash is kept, quarantineTime how long a request in quarantine is refused.
	crashRetention = 20 * time.Second
	quarantineTime = 60 * time.Second
	// maxCrashes bounds the crashes that are kept and sent to peers.
	maxCrashes = 256
)

// crash records that an attempt of a request ended as placement.Interrupted at a server, which may have crashed on it.
type crash struct {
	Fingerprint string `json:"fingerprint"`
	Server      string `json:"server"`
	at          time.Time
}

// suspectController finds requests that crash the servers that run them. Entry VMs exchange their crashes, since the
// retries of such a request may reach any of them.
type suspectController struct {
	cfg Config

	mu sync.Mutex
	// crashes were seen by this entry VM, oldest first; peerCrashes by the others, by name.
	crashes     []crash
	peerCrashes map[string][]crash
	// quarantineEnds maps the fingerprints in quarantine to its end.
	quarantineEnds map[string]time.Time
}

func newSuspectController(cfg Config) *suspectController {
	return &suspectController{cfg: cfg, peerCrashes: map[string][]crash{}, quarantineEnds: map[string]time.Time{}}
}

// recordCrash records that an attempt of a request ended as placement.Interrupted at a server.
func (s *suspectController) recordCrash(fingerprint, server string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.crashes) >= maxCrashes {
		s.crashes = s.crashes[1:]
	}
	s.crashes = append(s.crashes, crash{Fingerprint: fingerprint, Server: server, at: s.cfg.Now()})
	s.updateQuarantine(fingerprint)
}

// clearCrashes forgets the crashes of a request that has completed.
func (s *suspectController) clearCrashes(fingerprintOf func() string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.crashes) == 0 {
		return
	}
	fingerprint := fingerprintOf()
	s.crashes = slices.DeleteFunc(s.crashes, func(c crash) bool { return c.Fingerprint == fingerprint })
}

// ownCrashes returns the crashes to send to the peers and drops old ones.
func (s *suspectController) ownCrashes() []crash {
	s.mu.Lock()
	defer s.mu.Unlock()
	oldest := s.cfg.Now().Add(-crashRetention)
	s.crashes = slices.DeleteFunc(s.crashes, func(c crash) bool { return c.at.Before(oldest) })
	return slices.Clone(s.crashes)
}

// setPeerCrashes replaces the crashes of a peer.
func (s *suspectController) setPeerCrashes(peer string, crashes []crash) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(crashes) == 0 {
		delete(s.peerCrashes, peer)
		return
	}
	s.peerCrashes[peer] = crashes[:min(len(crashes), maxCrashes)]
	for _, c := range s.peerCrashes[peer] {
		s.updateQuarantine(c.Fingerprint)
	}
}

// updateQuarantine puts a fingerprint into quarantine if enough servers crashed on it. The caller holds mu.
func (s *suspectController) updateQuarantine(fingerprint string) {
	servers := map[string]bool{}
	count := func(list []crash) {
		for _, c := range list {
			if c.Fingerprint == fingerprint {
				servers[c.Server] = true
			}
		}
	}
	count(s.crashes)
	for _, list := range s.peerCrashes {
		count(list)
	}
	if len(servers) < crashLimit {
		return
	}
	now := s.cfg.Now()
	if until := s.quarantineEnds[fingerprint]; now.After(until) {
		s.cfg.Events.Event(event.RequestQuarantined, apexlog.Fields{"fingerprint": fingerprint, "servers": len(servers)})
	}
	s.quarantineEnds[fingerprint] = now.Add(quarantineTime)
}

// quarantineEnd returns the end of a request's quarantine, zero if it isn't in quarantine.
func (s *suspectController) quarantineEnd(fingerprint string) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	until, found := s.quarantineEnds[fingerprint]
	if !found {
		return time.Time{}
	}
	if !s.cfg.Now().Before(until) {
		delete(s.quarantineEnds, fingerprint)
		return time.Time{}
	}
	return until
}

// noneQuarantined reports whether no request is in quarantine, so that fingerprints need not be computed.
func (s *suspectController) noneQuarantined() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.quarantineEnds) == 0
}
