package placement

import (
	"cmp"
	"slices"
	"time"
)

// evacuation is an order to send nothing more to the servers of a failure domain. It holds until it is withdrawn.
type evacuation struct {
	// since is when the order became known here.
	since time.Time
	// endsAt is when the order ends unless it is listed again; zero while it is listed.
	endsAt time.Time
}

// Evacuate orders that the servers of a failure domain get no further calls, and reports whether that is new.
func (t *Table) Evacuate(now time.Time, domain string) bool {
	if e := t.evacuations[domain]; e != nil {
		e.endsAt = time.Time{}
		return false
	}
	t.evacuations[domain] = &evacuation{since: now}
	return true
}

// EndEvacuation withdraws an order and reports whether there was one. The servers may have become cold meanwhile; until they have had
// time to say so, they are taken for cold.
func (t *Table) EndEvacuation(now time.Time, domain string, presumedCold time.Duration) bool {
	if !t.IsEvacuated(domain) {
		return false
	}
	delete(t.evacuations, domain)
	for id, s := range t.servers {
		if s.Zone == domain && (s.warmup == nil || s.warmup.coldUntil.Before(now.Add(presumedCold))) {
			t.SetCold(now, id, presumedCold)
		}
	}
	return true
}

// EndMissingEvacuation withdraws an order that is no longer listed, at a given time. A later time replaces an earlier one.
func (t *Table) EndMissingEvacuation(domain string, at time.Time) {
	if e := t.evacuations[domain]; e != nil && at.After(e.endsAt) {
		e.endsAt = at
	}
}

// EndedEvacuations returns the failure domains whose orders have ended, as they are no longer listed, but weren't withdrawn yet.
func (t *Table) EndedEvacuations(now time.Time) []string {
	var ended []string
	for domain, e := range t.evacuations {
		if !e.endsAt.IsZero() && !now.Before(e.endsAt) {
			ended = append(ended, domain)
		}
	}
	slices.Sort(ended)
	return ended
}

// IsEvacuated reports whether the servers of a failure domain get no further calls.
func (t *Table) IsEvacuated(domain string) bool { return t.evacuations[domain] != nil }

// hasEvacuatedServers reports whether the others of the service take over the calls of evacuated servers.
func (t *Table) hasEvacuatedServers(service string) bool {
	return len(t.evacuations) > 0 && slices.ContainsFunc(t.byService[service], func(s *server) bool { return t.IsEvacuated(s.Zone) })
}

// EvacuationDump is the state of the evacuation of a failure domain, as far as this entry VM is concerned.
type EvacuationDump struct {
	Domain string    `json:"domain"`
	Since  time.Time `json:"since"`
	// EndsAt is when the order ends because it is no longer listed; zero while it is listed.
	EndsAt time.Time `json:"endsAt"`
	// Servers is the number of listed servers of the domain, Running that of the calls of this entry VM that still run there.
	Servers int `json:"servers"`
	Running int `json:"running"`
}

// Evacuations lists the evacuated failure domains by name.
func (t *Table) Evacuations() []EvacuationDump {
	list := make([]EvacuationDump, 0, len(t.evacuations))
	for domain, e := range t.evacuations {
		d := EvacuationDump{Domain: domain, Since: e.since, EndsAt: e.endsAt}
		for _, s := range t.servers {
			if s.Zone == domain {
				d.Servers++
				d.Running += s.runningCalls
			}
		}
		list = append(list, d)
	}
	slices.SortFunc(list, func(a, b EvacuationDump) int { return cmp.Compare(a.Domain, b.Domain) })
	return list
}

// Evacuation returns the state of an evacuated failure domain.
func (t *Table) Evacuation(domain string) (EvacuationDump, bool) {
	for _, d := range t.Evacuations() {
		if d.Domain == domain {
			return d, true
		}
	}
	return EvacuationDump{}, false
}
