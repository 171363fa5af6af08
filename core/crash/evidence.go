// Package crash finds out what crashes backend servers: a whole request, or a part of the prompt that requests share. It
// has no clock, goroutines or I/O.
//
// The servers that were lost while a request was in flight are charged to each of its subjects. An answer to any later
// request clears its subjects, since what crashes servers is never answered. What remains is refused once it has been
// in flight at several crashes, each after the one before.
package crash

import (
	"cmp"
	"maps"
	"slices"
	"strconv"
	"time"
)

const (
	// crashLimit is the number of successive crashes after which requests with a subject are refused.
	crashLimit = 3
	// outageTime is the time within which crashes count as one outage. A request that is sent again right after a crash may
	// reach a server whose crash at the same time isn't known yet.
	outageTime = 50 * time.Millisecond
	// quarantineTime is how long they are refused. It doubles with each further crash, maxDoublings times at most.
	quarantineTime = time.Minute
	maxDoublings   = 4
	// testInterval is the time in which one entry VM may send one request with a subject whose quarantine is over, until a subject is
	// cleared or has crashed another server.
	testInterval = 5 * time.Second
	// beginTime is how long after its first event an answer may still break off because its server has crashed on a part of the prompt.
	beginTime = 250 * time.Millisecond
	// retention is how long incidents and clearances are kept.
	retention = 30 * time.Minute
	// maxIncidents bounds the incidents and the clearances that are kept; the oldest ones are dropped.
	maxIncidents = 4096
)

// interval is the time from when a request was sent until its server crashed.
type interval struct{ sentAt, crashedAt time.Time }

// Evidence holds the crashes that one entry VM knows of. The result of merges doesn't depend on their order, so entry
// VMs with equal knowledge decide alike. It is not safe for concurrent use.
type Evidence struct {
	// incidents maps subjects to the servers that were lost with them in flight. Subjects without servers are removed.
	incidents map[Subject]map[string]interval
	count     int
	// cleared holds the incidents that don't count, by the time at which they were cleared.
	cleared map[Incident]time.Time
	// tested has the last turn in which a request with a subject was sent after its quarantine.
	tested map[Subject]int64
}

// NewEvidence returns an Evidence without crashes.
func NewEvidence() *Evidence {
	return &Evidence{incidents: map[Subject]map[string]interval{}, cleared: map[Incident]time.Time{}, tested: map[Subject]int64{}}
}

// HasBegun reports whether an answer whose first event came at firstAt, zero if none has come, shows that no part of its prompt crashes
// servers.
func HasBegun(now, firstAt time.Time) bool { return !firstAt.IsZero() && now.Sub(firstAt) >= beginTime }

// IsEmpty reports whether there are no incidents.
func (e *Evidence) IsEmpty() bool { return e.count == 0 }

// Add merges a report and reports whether it changed anything. Of several reports of an incident, the latest start and
// the earliest crash count.
func (e *Evidence) Add(r Report) bool {
	if _, cleared := e.cleared[r.Incident]; cleared {
		return false
	}
	servers := e.incidents[r.Subject]
	if servers == nil {
		servers = map[string]interval{}
		e.incidents[r.Subject] = servers
	}
	// Times are compared as values, so they are all kept in UTC.
	next := interval{sentAt: r.SentAt.Round(0).UTC(), crashedAt: r.CrashedAt.Round(0).UTC()}
	old, known := servers[r.Server]
	if known {
		next.sentAt = later(next.sentAt, old.sentAt)
		next.crashedAt = earlier(next.crashedAt, old.crashedAt)
	} else {
		e.count++
	}
	servers[r.Server] = next
	e.dropOldestIncident()
	return next != old
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// Answered clears the subjects of a request that a server has answered, or has begun to. It returns what was cleared.
func (e *Evidence) Answered(now time.Time, subjects []Subject) []Clearance {
	var cleared []Clearance
	for _, s := range subjects {
		for _, server := range slices.Sorted(maps.Keys(e.incidents[s])) {
			cleared = append(cleared, Clearance{Incident: Incident{Subject: s, Server: server}, At: now.Round(0).UTC()})
		}
	}
	for _, c := range cleared {
		e.Clear(c)
	}
	return cleared
}

// Clear merges a clearance and reports whether it is new.
func (e *Evidence) Clear(c Clearance) bool {
	e.remove(c.Incident)
	if at, known := e.cleared[c.Incident]; known && !c.At.After(at) {
		return false
	}
	e.cleared[c.Incident] = c.At
	if len(e.cleared) > maxIncidents {
		delete(e.cleared, e.oldestClearance())
	}
	return true
}

func (e *Evidence) remove(i Incident) {
	servers := e.incidents[i.Subject]
	if _, known := servers[i.Server]; !known {
		return
	}
	e.count--
	delete(servers, i.Server)
	if len(servers) == 0 {
		delete(e.incidents, i.Subject)
		delete(e.tested, i.Subject)
	}
}

// Has reports whether an incident counts.
func (e *Evidence) Has(i Incident) bool {
	_, found := e.incidents[i.Subject][i.Server]
	return found
}

// IsCleared reports whether an incident was cleared within the retention.
func (e *Evidence) IsCleared(i Incident) bool {
	_, found := e.cleared[i]
	return found
}

// Record returns all that is known, the oldest first.
func (e *Evidence) Record() Record {
	var r Record
	for s, servers := range e.incidents {
		for server, in := range servers {
			i := Incident{Subject: s, Server: server}
			r.Reports = append(r.Reports, Report{Incident: i, SentAt: in.sentAt, CrashedAt: in.crashedAt})
		}
	}
	for i, at := range e.cleared {
		r.Cleared = append(r.Cleared, Clearance{Incident: i, At: at})
	}
	slices.SortFunc(r.Reports, func(a, b Report) int { return a.CrashedAt.Compare(b.CrashedAt) })
	slices.SortFunc(r.Cleared, func(a, b Clearance) int { return a.At.Compare(b.At) })
	return r
}

// Expire drops what is older than the retention.
func (e *Evidence) Expire(now time.Time) {
	oldest := now.Add(-retention)
	for s, servers := range e.incidents {
		for server, in := range servers {
			if in.crashedAt.Before(oldest) {
				e.remove(Incident{Subject: s, Server: server})
			}
		}
	}
	maps.DeleteFunc(e.cleared, func(_ Incident, at time.Time) bool { return at.Before(oldest) })
}

func (e *Evidence) dropOldestIncident() {
	if e.count <= maxIncidents {
		return
	}
	var first Incident
	var firstAt time.Time
	for s, servers := range e.incidents {
		for server, in := range servers {
			if firstAt.IsZero() || in.crashedAt.Before(firstAt) {
				first, firstAt = Incident{Subject: s, Server: server}, in.crashedAt
			}
		}
	}
	e.remove(first)
}

func (e *Evidence) oldestClearance() Incident {
	var first Incident
	var firstAt time.Time
	for i, at := range e.cleared {
		if firstAt.IsZero() || at.Before(firstAt) {
			first, firstAt = i, at
		}
	}
	return first
}

// Quarantine says why a request is refused.
type Quarantine struct {
	Subject Subject `json:"subject"`
	// Crashes is the number of servers that were lost with the subject in flight. Successive is the number of those
	// crashes of which each followed a request that was sent after the crash before.
	Crashes    int `json:"crashes"`
	Successive int `json:"successive"`
	// Until is when requests with the subject may be tested, one at a time. The next one that is answered ends the quarantine.
	Until time.Time `json:"until"`
}

// Check reports whether a request with these subjects is to be refused, and why. isChosen reports whether this entry VM is the one, of
// those that live, that is chosen by a key.
func (e *Evidence) Check(now time.Time, subjects []Subject, isChosen func(key string) bool) (Quarantine, bool) {
	turn := now.UnixNano() / int64(testInterval)
	var expired []Quarantine
	for _, s := range subjects {
		q, found := e.quarantine(now, s)
		switch {
		case !found || e.mayBeInnocent(s, subjects):
		case now.Before(q.Until):
			return q, true
		default:
			expired = append(expired, q)
		}
	}
	if len(expired) == 0 {
		return Quarantine{}, false
	}
	wasTested := slices.ContainsFunc(expired, func(q Quarantine) bool { return e.tested[q.Subject] == turn })
	if wasTested || !isChosen("crash test "+strconv.FormatInt(turn, 10)) {
		expired[0].Until = time.Unix(0, (turn+1)*int64(testInterval))
		return expired[0], true
	}
	for _, q := range expired {
		e.tested[q.Subject] = turn
	}
	return Quarantine{}, false
}

// Quarantines returns all quarantines, in no particular order.
func (e *Evidence) Quarantines(now time.Time) []Quarantine {
	var all []Quarantine
	for s := range e.incidents {
		if q, found := e.quarantine(now, s); found {
			all = append(all, q)
		}
	}
	return all
}

// quarantine returns the quarantine of a subject by itself.
func (e *Evidence) quarantine(now time.Time, s Subject) (Quarantine, bool) {
	servers := e.incidents[s]
	if len(servers) < crashLimit {
		return Quarantine{}, false
	}
	successive, last := countSuccessive(slices.Collect(maps.Values(servers)))
	if successive < crashLimit || last.Before(now.Add(-retention)) {
		return Quarantine{}, false
	}
	duration := quarantineTime << min(successive-crashLimit, maxDoublings)
	return Quarantine{Subject: s, Crashes: len(servers), Successive: successive, Until: last.Add(duration)}, true
}

// countSuccessive returns the largest number of intervals of which none overlap, and the time of the last crash. Servers
// that crash at the same time for another reason count once: what was in flight at all of them is not their cause.
func countSuccessive(intervals []interval) (n int, last time.Time) {
	slices.SortFunc(intervals, func(a, b interval) int {
		return cmp.Or(a.crashedAt.Compare(b.crashedAt), a.sentAt.Compare(b.sentAt))
	})
	var counted time.Time
	for _, in := range intervals {
		if n == 0 || !in.sentAt.Before(counted) && in.crashedAt.Sub(counted) >= outageTime {
			n++
			counted = in.crashedAt
		}
	}
	return n, intervals[len(intervals)-1].crashedAt
}

// mayBeInnocent reports whether a subject that the request doesn't have explains all incidents of s. Then the request is
// sent: a part of a prompt must not be refused for another part with which it was in flight each time.
func (e *Evidence) mayBeInnocent(s Subject, subjects []Subject) bool {
	own := e.incidents[s]
	for other, servers := range e.incidents {
		if len(servers) < len(own) || slices.Contains(subjects, other) {
			continue
		}
		if containsAll(servers, own) {
			return true
		}
	}
	return false
}

func containsAll(all, some map[string]interval) bool {
	for server := range some {
		if _, found := all[server]; !found {
			return false
		}
	}
	return true
}
