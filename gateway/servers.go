package gateway

import (
	"context"
	"maps"
	"sync"
	"time"

	"ibiswinch/core/event"
	"ibiswinch/core/keyed"
	"ibiswinch/core/placement"
	"ibiswinch/core/retry"
	"ibiswinch/io/apexlog"
)

const (
	// serverReadWait is how long a read waits for a change. It is short, so that an entry VM that hears nothing because its
	// connection is silent notices it before a record could expire.
	serverReadWait = 500 * time.Millisecond
	// serverReadInterval is the least time between two reads. Every server writes a record with each heartbeat; without a
	// pause each record would cost every entry VM a read. Servers that drain or leave must be known within 2 s.
	serverReadInterval = 250 * time.Millisecond
	// missingGrace is how long servers whose records are missing are kept once the log is available again after an outage in
	// which records may have expired.
	missingGrace = 2 * time.Second
	// minExpiryHeartbeats is the length of the shortest outage in which a record may expire, in heartbeats of the server. It
	// expires after three without one, and the last one before an outage may be almost one old.
	minExpiryHeartbeats = 2
	// goneRetention is how long servers that have left are remembered. A log that is restored from a copy lists them again;
	// copies are some seconds old.
	goneRetention = 2 * time.Minute
	// rewriteTime is how long after a restoration of the log records of before are written again.
	rewriteTime = 4 * time.Second
	// coldReportHeartbeats is the number of heartbeats in which a server has said whether it is cold.
	coldReportHeartbeats = 2
	// sharingInterval is the time between two divisions of limits.
	sharingInterval = 500 * time.Millisecond
)

// fleet knows the live entry VMs.
type fleet interface {
	count() int
	// sharers are the live entry VMs with their calls of a service, this one first with calls.
	sharers(service string, calls int) []placement.VM
	// membersKnown reports whether all live entry VMs are known.
	membersKnown() bool
}

// serverController maintains the table of backend servers and the retry limits of their services.
type serverController struct {
	cfg    Config
	follow follower
	// fleet knows the entry VMs that share the retry limit and the limits of servers.
	fleet fleet

	mu           sync.Mutex
	table        *placement.Table
	retryBudgets map[string]*retry.WindowBudget
	// nextSharing is when the limits of a service's servers are divided again.
	nextSharing map[string]time.Time
	loaded      bool
	// logDown is set while the log is unavailable. Until graceEnd servers whose records are missing stay in the table.
	logDown  bool
	graceEnd time.Time
	missing  map[string]bool
	// gone are the last descriptions of servers that have left, by id. Until rewriteEnd old records may be written again.
	gone       map[string]goneServer
	rewriteEnd time.Time
}

type goneServer struct {
	placement.Server
	until time.Time
}

func newServerController(cfg Config, fleet fleet) *serverController {
	s := &serverController{
		cfg: cfg, fleet: fleet, table: placement.NewTable(cfg.Zone, cfg.Seed), retryBudgets: map[string]*retry.WindowBudget{},
		missing: map[string]bool{}, nextSharing: map[string]time.Time{}, gone: map[string]goneServer{},
	}
	s.table.SetRegions(cfg.Regions)
	s.follow = follower{
		cfg: cfg, partition: keyed.Partition{Stream: keyed.Servers}, wait: func() time.Duration { return serverReadWait },
		interval: func() time.Duration { return serverReadInterval },
		apply:    s.apply, snapshot: s.snapshot, onLogDown: s.onLogDown, onLogUp: s.onLogUp, onEra: s.onEra,
	}
	return s
}

func (s *serverController) loop(ctx context.Context) error { return s.follow.loop(ctx) }

func (s *serverController) isLoaded() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.loaded
}

func (s *serverController) onLogDown(time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.logDown = true
}

// onLogUp begins the grace period if records may have expired because the log was unavailable to the servers too. An entry VM
// that lost only its own connections soon hears from the log again, and every removal that it reads then is a real one.
func (s *serverController) onLogUp(silentSince, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.logDown = false
	if now.Sub(silentSince) >= minExpiryHeartbeats*s.cfg.ServerHeartbeat {
		s.graceEnd = now.Add(missingGrace)
	}
}

// onEra gives servers time to write again what a restored log has lost.
func (s *serverController) onEra(now time.Time, restored bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if restored {
		s.graceEnd, s.rewriteEnd = now.Add(missingGrace), now.Add(rewriteTime)
	}
}

func (s *serverController) apply(r keyed.Record) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.set(r)
	s.removeMissing()
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
			s.remove(id, "missing")
		}
	}
	s.loaded = true
	s.removeMissing()
}

// set applies one record. The caller holds mu.
func (s *serverController) set(r keyed.Record) {
	if len(r.Value) == 0 {
		s.remove(r.Key, "removed")
		return
	}
	server, err := s.cfg.Decoder.DecodeServer(r.Key, r.Value)
	if err != nil {
		s.cfg.Events.Event(event.RecordSkipped, apexlog.Fields{"key": r.Key, "offset": r.Offset, "error": err.Error()})
		s.remove(r.Key, "unreadable")
		return
	}
	known, found := s.lastDescription(server.ID)
	if found && server.IsPartial(known) {
		s.cfg.Events.Event(event.RecordSkipped, apexlog.Fields{"key": r.Key, "offset": r.Offset, "error": "fields missing that the server has written before"})
		s.remove(r.Key, "partial")
		return
	}
	if found && s.isOutdated(server, known) {
		s.cfg.Events.Event(event.OldServerIgnored, apexlog.Fields{"server": server.ID, "sequence": server.Sequence, "offset": r.Offset})
		return
	}
	delete(s.missing, r.Key)
	delete(s.gone, r.Key)
	if s.table.SetServer(server) {
		s.cfg.Events.Event(event.ServerUpdated, apexlog.Fields{
			"server": server.ID, "service": server.Service, "version": server.Version, "draining": server.Draining,
			"offset": r.Offset,
		})
	}
	s.setCold(server)
}

// lastDescription returns the description of a server that is listed, or has left lately. The caller holds mu.
func (s *serverController) lastDescription(id string) (placement.Server, bool) {
	if left, gone := s.gone[id]; gone && s.cfg.Now().Before(left.until) {
		return left.Server, true
	}
	return s.table.Server(id)
}

// isOutdated reports whether a record says less than is known already, as those of a log that was restored from a copy. The
// caller holds mu.
func (s *serverController) isOutdated(server, known placement.Server) bool {
	now := s.cfg.Now()
	left, isGone := s.gone[server.ID]
	isGone = isGone && now.Before(left.until)
	switch {
	case server.IsOlder(known):
		return true
	case !now.Before(s.rewriteEnd):
		return false
	}
	// A server that has left, or restarted, since the copy is listed as it was then.
	return server.Born.Before(known.Born) || isGone && server.Born.Equal(known.Born) && server.Sequence == known.Sequence
}

// forget removes a server from the table and remembers that it has left. The caller holds mu.
func (s *serverController) forget(id, reason string) {
	now := s.cfg.Now()
	maps.DeleteFunc(s.gone, func(_ string, g goneServer) bool { return !now.Before(g.until) })
	if known, found := s.table.Server(id); found {
		s.gone[id] = goneServer{Server: known, until: now.Add(goneRetention)}
	}
	if s.table.RemoveServer(id) {
		s.cfg.Events.Event(event.ServerRemoved, apexlog.Fields{"server": id, "reason": reason})
	}
}

// remove removes a server. If its record may have expired because the log was unavailable, it is kept for the grace
// period. The caller holds mu.
func (s *serverController) remove(id, reason string) {
	if !s.logDown && !s.cfg.Now().Before(s.graceEnd) {
		s.forget(id, reason)
		return
	}
	if _, known := s.table.Server(id); known && !s.missing[id] {
		s.cfg.Events.Event(event.ServerKept, apexlog.Fields{"server": id, "reason": reason, "until": s.graceEnd})
	}
	s.missing[id] = true
}

// removeMissing removes servers that are still missing after the grace period. The caller holds mu.
func (s *serverController) removeMissing() {
	if len(s.missing) == 0 || s.logDown || s.cfg.Now().Before(s.graceEnd) {
		return
	}
	for id := range s.missing {
		s.forget(id, "lapsed")
	}
	clear(s.missing)
}

// choose selects a server for a call.
func (s *serverController) choose(r placement.Request) (placement.Placement, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.removeMissing()
	now := s.cfg.Now()
	s.endEvacuations(now)
	s.shareLimits(now, r.Service)
	return s.table.Choose(now, r)
}

// commonVersion returns the version that most servers of the service have, other than besides.
func (s *serverController) commonVersion(service, besides string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.CommonVersion(service, besides)
}

// hasOtherVersion reports whether a server of the service has another version.
func (s *serverController) hasOtherVersion(service, version string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.HasOtherVersion(service, version)
}

// hasVersion reports whether a server of the service has the version.
func (s *serverController) hasVersion(service, version string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.HasVersion(service, version)
}

// runningCalls returns the number of calls at servers of the service with other versions than besides.
func (s *serverController) runningCalls(service, besides string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.RunningCalls(service, besides)
}

// hasServers reports whether the service has servers that aren't draining.
func (s *serverController) hasServers(service string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.HasServers(service)
}

// hasServersIn reports whether the service has servers that aren't draining, in the given regions.
func (s *serverController) hasServersIn(service string, allowed placement.Regions) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.HasServersIn(service, allowed)
}

// nextCall returns when a server that is at its limit, or asked for a wait, takes a call again; zero if there is none to wait
// for.
func (s *serverController) nextCall(service string) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.NextCall(s.cfg.Now(), service)
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
	s.logEmptied(p.Server.Zone)
}

// shareLimits divides the limits of a service's limited and cold servers by the calls that the live entry VMs have. The caller holds mu.
func (s *serverController) shareLimits(now time.Time, service string) {
	if now.Before(s.nextSharing[service]) || !s.table.HasLimits(service) && !s.table.HasColdServers(service) {
		return
	}
	s.nextSharing[service] = now.Add(sharingInterval)
	s.table.SetMembersKnown(now, s.fleet.membersKnown())
	s.table.SetVMs(now, service, s.fleet.sharers(service, s.retryBudget(service).Requests(now)))
}

// calls returns the number of calls that this entry VM had lately, by service.
func (s *serverController) calls() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.cfg.Now()
	calls := map[string]int{}
	for service, budget := range s.retryBudgets {
		calls[service] = budget.Requests(now)
	}
	return calls
}

func (s *serverController) retryBudget(service string) *retry.WindowBudget {
	w := s.retryBudgets[service]
	if w == nil {
		w = retry.NewWindowBudget(s.cfg.Retries)
		s.retryBudgets[service] = w
	}
	return w
}

// addRequest counts a first attempt; the retry limit is a ratio of these.
func (s *serverController) addRequest(service string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.retryBudget(service).AddRequest(s.cfg.Now())
}

// takeRetry reports whether this entry VM's share of the retry limit allows another retry, and counts it.
func (s *serverController) takeRetry(service string) bool {
	n := s.fleet.count()
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.retryBudget(service).Take(s.cfg.Now(), n)
}

// hasRetry reports whether takeRetry would allow a retry now.
func (s *serverController) hasRetry(service string) bool {
	n := s.fleet.count()
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.retryBudget(service).Left(s.cfg.Now(), n) > 0
}

// random returns a number in [0, 1) to choose among weighted destinations.
func (s *serverController) random() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Random()
}
