package gateway

import (
	"context"
	"sync"
	"time"

	"ibiswinch/core/event"
	"ibiswinch/core/keyed"
	"ibiswinch/core/placement"
	"ibiswinch/core/retry"
	"ibiswinch/io/apexlog"
)

const (
	// serversWait is how long a read waits for a change of the servers' entries.
	serversWait = time.Second
	// serversPace is the least time between two reads of the entries. Every server writes one every heartbeat; without a
	// pause each of them would cost a read of every entry VM. What drains or goes has to be known within 2 s.
	serversPace = 250 * time.Millisecond
	// returnGrace is how long after the return of the log a missing entry may still come back.
	returnGrace = 2 * time.Second
)

// serverController keeps the table of backend servers and the retry windows of their services.
type serverController struct {
	cfg    Config
	follow follower
	// machines is the number of entry VMs that share the retry rule.
	machines func() int

	mu      sync.Mutex
	table   *placement.Table
	windows map[string]*retry.Window
	loaded  bool
	// away is set while the log doesn't answer; entries that are missing until graceEnd are kept.
	away     bool
	graceEnd time.Time
	missing  map[string]bool
}

func newServerController(cfg Config) *serverController {
	s := &serverController{
		cfg: cfg, table: placement.NewTable(cfg.Zone, cfg.Seed), windows: map[string]*retry.Window{},
		missing: map[string]bool{}, machines: func() int { return 1 },
	}
	s.follow = follower{
		cfg: cfg, partition: keyed.Partition{Stream: keyed.Servers}, wait: serversWait,
		pace:  func() time.Duration { return serversPace },
		apply: s.apply, snapshot: s.snapshot, lost: s.lost, regained: s.regained,
	}
	return s
}

func (s *serverController) loop(ctx context.Context) error { return s.follow.loop(ctx) }

func (s *serverController) known() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.loaded
}

func (s *serverController) lost(time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = true
}

func (s *serverController) regained(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = false
	s.graceEnd = now.Add(returnGrace)
}

func (s *serverController) apply(r keyed.Record) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.set(r)
	s.expire()
}

// snapshot replaces the whole table.
func (s *serverController) snapshot(records []keyed.Record) {
	s.mu.Lock()
	defer s.mu.Unlock()
	listed := map[string]bool{}
	for _, r := range records {
		listed[r.Key] = true
		s.set(r)
	}
	for _, id := range s.table.IDs() {
		if !listed[id] {
			s.drop(id, "missing")
		}
	}
	s.loaded = true
	s.expire()
}

// set takes one entry. The caller holds mu.
func (s *serverController) set(r keyed.Record) {
	if len(r.Value) == 0 {
		s.drop(r.Key, "removed")
		return
	}
	server, err := s.cfg.Decoder.Server(r.Key, r.Value)
	if err != nil {
		s.cfg.Events.Event(event.RecordSkipped, apexlog.Fields{"key": r.Key, "offset": r.Offset, "error": err.Error()})
		s.drop(r.Key, "unreadable")
		return
	}
	delete(s.missing, r.Key)
	if s.table.Set(server) {
		s.cfg.Events.Event(event.ServerSeen, apexlog.Fields{
			"server": server.ID, "service": server.Service, "version": server.Version, "draining": server.Draining,
			"offset": r.Offset,
		})
	}
}

// drop removes a server, after the grace if its entry may have lapsed while the log was away. The caller holds mu.
func (s *serverController) drop(id, reason string) {
	if s.away || s.cfg.Now().Before(s.graceEnd) {
		s.missing[id] = true
		return
	}
	if s.table.Remove(id) {
		s.cfg.Events.Event(event.ServerGone, apexlog.Fields{"server": id, "reason": reason})
	}
}

// expire removes what is still missing after the grace. The caller holds mu.
func (s *serverController) expire() {
	if len(s.missing) == 0 || s.away || s.cfg.Now().Before(s.graceEnd) {
		return
	}
	for id := range s.missing {
		s.table.Remove(id)
		s.cfg.Events.Event(event.ServerGone, apexlog.Fields{"server": id, "reason": "lapsed"})
	}
	clear(s.missing)
}

// choose places a call.
func (s *serverController) choose(r placement.Request) (placement.Placement, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	return s.table.Choose(s.cfg.Now(), r)
}

func (s *serverController) firstEvent(p *placement.Placement) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.FirstEvent(s.cfg.Now(), p)
}

func (s *serverController) release(p placement.Placement, o placement.Outcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if until := s.table.Release(s.cfg.Now(), p, o); !until.IsZero() {
		s.cfg.Events.Event(event.ServerPaused, apexlog.Fields{
			"server": p.Server.ID, "outcome": string(o), "until": until,
		})
	}
}

func (s *serverController) window(service string) *retry.Window {
	w := s.windows[service]
	if w == nil {
		w = retry.NewWindow(s.cfg.Retries)
		s.windows[service] = w
	}
	return w
}

// addRequest counts a first attempt for the retry rule.
func (s *serverController) addRequest(service string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.window(service).AddRequest(s.cfg.Now())
}

// takeRetry takes one repeat from this entry VM's part of the retry rule.
func (s *serverController) takeRetry(service string) bool {
	n := s.machines()
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.window(service).Take(s.cfg.Now(), n)
}

// random returns a number in [0, 1) for the choice among weighted destinations.
func (s *serverController) random() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Random()
}
