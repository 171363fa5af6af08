package gateway

import (
	"time"

	"ibiswinch/core/catalog"
	"ibiswinch/core/event"
	"ibiswinch/core/keyed"
	"ibiswinch/io/apexlog"
)

// evacuationOrders passes the operator's orders to evacuate failure domains to the table of servers. While the log can't be read the
// last known orders hold.
type evacuationOrders struct {
	servers *serverController
	// domains are the failure domains of the orders in force, by the key of their records.
	domains map[string]string
	// rewriteEnd is when the operator has written again what a log that was restored from a copy had lost.
	rewriteEnd time.Time
}

func newEvacuationOrders(servers *serverController) *evacuationOrders {
	return &evacuationOrders{servers: servers, domains: map[string]string{}}
}

// beginEra is called before the first snapshot of an era of the log.
func (o *evacuationOrders) beginEra(now time.Time, restored bool) {
	if restored {
		o.rewriteEnd = now.Add(rewriteTime)
	}
}

// add handles the record of an order.
func (o *evacuationOrders) add(e catalog.Evacuation, r keyed.Record) {
	o.domains[r.Key] = e.Domain
	o.servers.evacuate(e.Domain, r.Offset)
}

// remove handles the removal of a key.
func (o *evacuationOrders) remove(r keyed.Record) {
	if domain, found := o.domains[r.Key]; found {
		delete(o.domains, r.Key)
		o.servers.endEvacuation(domain, "removed")
	}
}

// endUnlisted ends the orders whose keys a snapshot doesn't list. In a log that was restored from a copy they may be missing until
// the operator has written them again.
func (o *evacuationOrders) endUnlisted(records []keyed.Record) {
	listed := map[string]bool{}
	for _, r := range records {
		listed[r.Key] = true
	}
	for key, domain := range o.domains {
		if listed[key] {
			continue
		}
		if o.servers.cfg.Now().Before(o.rewriteEnd) {
			o.servers.endMissingEvacuation(domain, o.rewriteEnd)
			continue
		}
		delete(o.domains, key)
		o.servers.endEvacuation(domain, "missing")
	}
}

// evacuate orders that the servers of a failure domain get no further calls.
func (s *serverController) evacuate(domain string, offset uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.table.Evacuate(s.cfg.Now(), domain) {
		return
	}
	e, _ := s.table.Evacuation(domain)
	s.cfg.Events.Event(event.DomainEvacuated, apexlog.Fields{
		"domain": domain, "offset": offset, "servers": e.Servers, "running": e.Running,
	})
}

// endEvacuation withdraws an order.
func (s *serverController) endEvacuation(domain, reason string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.withdrawEvacuation(s.cfg.Now(), domain, reason)
}

// withdrawEvacuation withdraws an order. The caller holds mu.
func (s *serverController) withdrawEvacuation(now time.Time, domain, reason string) {
	if s.table.EndEvacuation(now, domain, coldReportHeartbeats*s.cfg.ServerHeartbeat) {
		s.cfg.Events.Event(event.EvacuationEnded, apexlog.Fields{"domain": domain, "reason": reason})
	}
}

// endMissingEvacuation withdraws an order that a restored log doesn't list, unless it is listed again until then.
func (s *serverController) endMissingEvacuation(domain string, at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.EndMissingEvacuation(domain, at)
}

// endEvacuations ends the orders that weren't listed again. The caller holds mu.
func (s *serverController) endEvacuations(now time.Time) {
	for _, domain := range s.table.EndedEvacuations(now) {
		s.withdrawEvacuation(now, domain, "lapsed")
	}
}

// logEmptied logs that the last call of this entry VM in an evacuated failure domain has ended. The caller holds mu.
func (s *serverController) logEmptied(domain string) {
	if !s.table.IsEvacuated(domain) {
		return
	}
	if e, _ := s.table.Evacuation(domain); e.Running == 0 {
		s.cfg.Events.Event(event.EvacuationEmpty, apexlog.Fields{
			"domain": domain, "elapsedMs": s.cfg.Now().Sub(e.Since).Milliseconds(),
		})
	}
}

// Evacuated returns the number of evacuated failure domains and that of the calls of this entry VM that still run there.
func (g *Gateway) Evacuated() (domains, calls int64) {
	g.servers.mu.Lock()
	defer g.servers.mu.Unlock()
	for _, e := range g.servers.table.Evacuations() {
		domains++
		calls += int64(e.Running)
	}
	return domains, calls
}
