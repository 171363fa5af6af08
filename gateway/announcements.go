package gateway

import (
	"time"

	"ibiswinch/core/event"
	"ibiswinch/core/placement"
	"ibiswinch/io/apexlog"
)

// limitRetention is how long a limit holds after it was last named, besides the time in which entry VMs tell each other.
const limitRetention = 10 * time.Second

// recordLimit records whether an answer names a limit. Another server's answer tells nothing about this one.
func (s *serverController) recordLimit(server placement.Server, answer Answer) {
	if answer.Misdirected() {
		return
	}
	limit, limited := answer.RequestLimit()
	s.setLimit(server, limit, limited)
}

// recordAnnouncements records what a server says of itself in an answer, to whichever request that belongs. Another
// server's answer tells nothing about this one.
func (s *serverController) recordAnnouncements(server placement.Server, answer Answer) {
	if answer.Misdirected() {
		return
	}
	if answer.Leaving() {
		s.setLeaving(server, answer.Status())
	}
	if delay, err := answer.RetryDelay(); delay > 0 || err != nil {
		s.setWait(server, delay, err)
	}
}

// setLimit records whether an answer of a server named a limit.
func (s *serverController) setLimit(of placement.Server, perSecond float64, limited bool) {
	now := s.cfg.Now()
	var update placement.LimitUpdate
	if limited {
		update = newLimitUpdate(now, s.fleet.count(), perSecond)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.table.SetLimit(now, of, update) {
		s.cfg.Events.Event(event.ServerLimited, apexlog.Fields{"server": of.ID, "limit": perSecond, "limited": limited})
	}
}

// setLeaving records that a server said in an answer that it leaves.
func (s *serverController) setLeaving(of placement.Server, status int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.table.SetLeaving(s.cfg.Now(), of) {
		s.cfg.Events.Event(event.ServerLeaving, apexlog.Fields{"server": of.ID, "born": of.Born, "status": status})
	}
}

// setPeerLeaving records the servers that said to another entry VM that they leave.
func (s *serverController) setPeerLeaving(vm string, incarnations []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.cfg.Now()
	for _, incarnation := range incarnations {
		if s.table.SetPeerLeaving(now, incarnation) {
			s.cfg.Events.Event(event.ServerLeaving, apexlog.Fields{"server": incarnation, "reportedBy": vm})
		}
	}
}

// ownLeaving returns the servers that said to this entry VM since the last heartbeats that they leave.
func (s *serverController) ownLeaving(vms int) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Leaving(s.cfg.Now().Add(-2 * announceInterval(vms)))
}

// setWait records that a server that turned a call away wants no further ones for delay. With err, what it named is no time.
func (s *serverController) setWait(of placement.Server, delay time.Duration, err error) {
	fields := apexlog.Fields{"server": of.ID, "born": of.Born}
	if err != nil {
		fields["error"] = err.Error()
		s.cfg.Events.Event(event.ServerWait, fields)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.cfg.Now()
	if until, begins := s.table.SetWait(now, of, now.Add(delay)); begins {
		fields["askedMs"], fields["until"] = delay.Milliseconds(), until
		s.cfg.Events.Event(event.ServerWait, fields)
	}
}

// takesCalls reports whether a placed call may still be sent to its server.
func (s *serverController) takesCalls(p placement.Placement) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.TakesCalls(s.cfg.Now(), p)
}

// newLimitUpdate returns the update of a limit that holds until entry VMs have had time to pass on newer ones.
func newLimitUpdate(now time.Time, vms int, perSecond float64) placement.LimitUpdate {
	return placement.LimitUpdate{PerSecond: perSecond, Limited: true, Until: now.Add(limitRetention + 2*announceInterval(vms))}
}

// setPeerLimits records the limits that servers named to another entry VM.
func (s *serverController) setPeerLimits(vm string, limits map[string]float64) {
	if len(limits) == 0 {
		return
	}
	n := s.fleet.count()
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.cfg.Now()
	for incarnation, perSecond := range limits {
		if s.table.SetPeerLimit(now, incarnation, newLimitUpdate(now, n, perSecond)) {
			s.cfg.Events.Event(event.ServerLimited, apexlog.Fields{
				"server": incarnation, "limit": perSecond, "limited": true, "reportedBy": vm,
			})
		}
	}
}

// ownLimits returns the limits that servers named to this entry VM since the last heartbeats.
func (s *serverController) ownLimits(vms int) map[string]float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Limited(s.cfg.Now().Add(-2 * announceInterval(vms)))
}
