package gateway

import (
	"ibiswinch/core/catalog"
	"ibiswinch/core/event"
	"ibiswinch/core/placement"
	"ibiswinch/io/apexlog"
)

// setColdLimits sets the limits of cold servers that a configuration names.
func (s *serverController) setColdLimits(next *catalog.Catalog) {
	limits := map[string]placement.ColdLimit{}
	for _, service := range next.Services() {
		limits[service.Name] = placement.ColdLimit{
			PerSecond: service.ColdPerSecond, ColdTime: service.ColdTime,
			Allowance: service.ColdPerSecond*s.cfg.ColdOvershoot + s.cfg.ColdSlack,
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	first := s.table.SetColdLimits(limits)
	if !first {
		return
	}
	// The records of the servers may have been read before.
	for _, id := range s.table.IDs() {
		if server, _ := s.table.Server(id); server.ColdRemaining > 0 {
			s.setCold(server)
		}
	}
}

// setCold records what a server's record says of its cold time. The caller holds mu.
func (s *serverController) setCold(server placement.Server) {
	if s.table.SetCold(s.cfg.Now(), server.ID, server.ColdRemaining) {
		s.cfg.Events.Event(event.ServerCold, apexlog.Fields{
			"server": server.ID, "born": server.Born, "coldMs": server.ColdRemaining.Milliseconds(),
		})
	}
}
