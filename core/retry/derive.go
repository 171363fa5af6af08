package retry

import (
	"maps"
	"slices"
)

// incident is one crash of a server, as reported by one or more entry VMs.
type incident struct {
	first        Crash
	involvements []*involvement
}

// involvement records that the request of an entry was in flight at an incident.
type involvement struct {
	Crash
	entry    *entry
	incident *incident
	// possibleCause is true while the request may have caused the incident.
	possibleCause bool
}

// deriveStates sets the state of all entries from their crashes. The result depends only on the set of entries, not on
// the order in which they became known, so that entry VMs with equal entries treat a request equally.
//
// The incidents are processed in the order of time. A request in flight at an incident that may also have caused an
// earlier one is quarantined. For its incidents, the requests that had started before it are no longer possible causes:
// an innocent request that was in flight at the crashes of two other requests must not be quarantined for them.
// Requests that started after it stay suspects, as the quarantined request may not be the cause, and a crash mostly
// follows soon after the start of the request that caused it.
func (q *Quarantine) deriveStates() {
	if !q.stale {
		return
	}
	q.stale = false
	for _, e := range q.entries {
		e.state, e.involvements = Clear, nil
	}
	for _, in := range q.incidents() {
		// All causes are found before any clears others: nothing tells two requests apart that share both incidents.
		var causes []*entry
		for _, inv := range in.involvements {
			if e := inv.entry; e.state == Quarantined || slices.ContainsFunc(e.involvements, isPossibleCause) {
				causes = append(causes, e)
			}
			inv.entry.involvements = append(inv.entry.involvements, inv)
		}
		for _, e := range causes {
			e.state = Quarantined
		}
		for _, e := range causes {
			e.clearOthers()
		}
	}
	for _, e := range q.entries {
		if e.state == Clear && slices.ContainsFunc(e.involvements, isPossibleCause) {
			e.state = Suspect
		}
	}
	q.clearMisjudged()
}

func isPossibleCause(inv *involvement) bool { return inv.possibleCause }

// clearOthers rules out, as the cause of e's incidents, the requests that had started no later than e.
func (e *entry) clearOthers() {
	for _, own := range e.involvements {
		own.possibleCause = false
		for _, inv := range own.incident.involvements {
			inv.possibleCause = inv.possibleCause && inv.Started.After(own.Started)
		}
	}
}

// clearMisjudged clears quarantined entries whose incidents are all explained by other quarantined entries. An entry
// explains its incidents if it is the only quarantined one at one of them.
func (q *Quarantine) clearMisjudged() {
	quarantinedCount := map[*incident]int{}
	for _, e := range q.entries {
		if e.state == Quarantined {
			for _, inv := range e.involvements {
				quarantinedCount[inv.incident]++
			}
		}
	}
	explained := map[*incident]bool{}
	var uncertain []*entry
	for _, e := range q.entries {
		switch {
		case e.state != Quarantined:
		case slices.ContainsFunc(e.involvements, func(inv *involvement) bool { return quarantinedCount[inv.incident] == 1 }):
			for _, inv := range e.involvements {
				explained[inv.incident] = true
			}
		default:
			uncertain = append(uncertain, e)
		}
	}
	for _, e := range uncertain {
		if !slices.ContainsFunc(e.involvements, func(inv *involvement) bool { return !explained[inv.incident] }) {
			e.state = Clear
		}
	}
}

// incidents groups the reports of each server that lie within crashWindow of the first, ordered by time.
func (q *Quarantine) incidents() []*incident {
	reports := map[Crash][]*entry{}
	for _, e := range q.entries {
		for _, c := range e.Crashes {
			reports[c] = append(reports[c], e)
		}
	}
	var all []*incident
	byEntry := map[*entry]*involvement{}
	for _, c := range slices.SortedFunc(maps.Keys(reports), Crash.compare) {
		if n := len(all); n == 0 || c.Server != all[n-1].first.Server ||
			!c.At.Before(all[n-1].first.At.Add(crashWindow)) {
			all = append(all, &incident{first: c})
			clear(byEntry)
		}
		in := all[len(all)-1]
		for _, e := range reports[c] {
			in.add(c, e, byEntry)
		}
	}
	slices.SortFunc(all, func(a, b *incident) int { return compareTime(a.first, b.first) })
	return all
}

// add records that e was in flight. If several entry VMs report it, the latest start counts.
func (in *incident) add(c Crash, e *entry, byEntry map[*entry]*involvement) {
	inv, found := byEntry[e]
	if !found {
		inv = &involvement{Crash: c, entry: e, incident: in, possibleCause: true}
		byEntry[e] = inv
		in.involvements = append(in.involvements, inv)
		return
	}
	if c.Started.After(inv.Started) {
		inv.Started = c.Started
	}
}
