package placement

import (
	"maps"
	"time"
)

const (
	// announcementRetention is how long what a server announced is kept while no record lists the server. One whose record
	// has expired may be listed again.
	announcementRetention = time.Hour
	// maxWait bounds the wait that a server asks for. It takes longer than the faults of a sound one.
	maxWait = time.Hour
	// returnSpreadPercent of a wait, but at most maxReturnSpread, is the time in which entry VMs that were told the same come
	// back.
	returnSpreadPercent = 50
	maxReturnSpread     = time.Second
	// After a wait the server may run one call, and one more with each returnStep until returnTime has passed.
	returnStep = 50 * time.Millisecond
	returnTime = time.Second
)

// announcement is what an incarnation of a server said of itself in its answers. It outlasts the server's record.
type announcement struct {
	// leaving is set once the server said that it leaves. It is never reset: only another incarnation takes calls again.
	leaving bool
	// waitUntil is when the server takes calls of this entry VM again. It never becomes earlier.
	waitUntil time.Time
	// saidAt is when the server last announced something to this entry VM, heardAt when any entry VM last told of it.
	saidAt, heardAt time.Time
}

// announced returns what a server announced, to be changed.
func (t *Table) announced(now time.Time, incarnation string) *announcement {
	a := t.announcements[incarnation]
	if a == nil {
		t.dropAnnouncements(now)
		a = &announcement{}
		t.announcements[incarnation] = a
	}
	if s := t.servers[incarnationID(incarnation)]; s != nil && s.Incarnation() == incarnation {
		s.announced = a
	}
	return a
}

// dropAnnouncements drops old announcements of servers that aren't listed.
func (t *Table) dropAnnouncements(now time.Time) {
	maps.DeleteFunc(t.announcements, func(incarnation string, a *announcement) bool {
		s := t.servers[incarnationID(incarnation)]
		listed := s != nil && s.Incarnation() == incarnation
		return !listed && now.Sub(a.heardAt) > announcementRetention
	})
}

// SetLeaving records that a server said that it leaves. It gets no further calls, whatever its records say. SetLeaving
// reports whether that changes anything.
func (t *Table) SetLeaving(now time.Time, of Server) bool {
	a := t.announced(now, of.Incarnation())
	changed := !a.leaving
	a.leaving, a.saidAt, a.heardAt = true, now, now
	return changed
}

// SetPeerLeaving records that a server said to another entry VM that it leaves. It reports whether that is new of a server that
// is known. Nothing that another entry VM tells ends a leaving.
func (t *Table) SetPeerLeaving(now time.Time, incarnation string) bool {
	s := t.servers[incarnationID(incarnation)]
	if s == nil || s.Incarnation() != incarnation {
		return false
	}
	a := t.announced(now, incarnation)
	changed := !a.leaving
	a.leaving, a.heardAt = true, now
	return changed
}

// Leaving returns the incarnations that said to this entry VM after since that they leave.
func (t *Table) Leaving(since time.Time) []string {
	var leaving []string
	for incarnation, a := range t.announcements {
		if a.leaving && a.saidAt.After(since) {
			leaving = append(leaving, incarnation)
		}
	}
	return leaving
}

// SetWait records that a server that turned a call away asked for no further ones before retryAt. It returns the end of the
// wait, which is bounded and a little later than asked, and whether that begins a wait.
func (t *Table) SetWait(now time.Time, of Server, retryAt time.Time) (until time.Time, begins bool) {
	wait := min(retryAt.Sub(now), maxWait)
	if wait <= 0 {
		return time.Time{}, false
	}
	a := t.announced(now, of.Incarnation())
	begins = !now.Before(a.waitUntil)
	spread := min(wait*returnSpreadPercent/100, maxReturnSpread)
	until = now.Add(wait + time.Duration(t.random.Float64()*float64(spread)))
	if until.After(a.waitUntil) {
		a.waitUntil = until
	}
	a.saidAt, a.heardAt = now, now
	return a.waitUntil, begins
}

// waitEnd is when a server that asked for a wait takes the next call of this entry VM; zero if it asked for none.
func (s *server) waitEnd() time.Time {
	if s.announced == nil || s.announced.waitUntil.IsZero() {
		return time.Time{}
	}
	return s.announced.waitUntil.Add(min(time.Duration(s.runningCalls)*returnStep, returnTime))
}

// isLeaving reports whether the server said that it leaves.
func (s *server) isLeaving() bool { return s.announced != nil && s.announced.leaving }

// isClosed reports whether a server takes no further calls until it is another incarnation, is listed as ready, or its failure domain
// is no longer evacuated.
func (t *Table) isClosed(s *server) bool {
	return s.Draining || s.misdirected || s.isLeaving() || t.IsEvacuated(s.Zone)
}

// TakesCalls reports whether a placed call may still be sent to its server.
func (t *Table) TakesCalls(now time.Time, p Placement) bool {
	if t.IsEvacuated(p.Server.Zone) || t.becameCold(now, p) {
		return false
	}
	a := t.announcements[p.Server.Incarnation()]
	return a == nil || !a.leaving && !now.Before(a.waitUntil)
}

// NextCall returns when a server that is at its limit, is cold, or asked for a wait, takes a call again. It is zero if a server has
// none of these, unless another one is at its limit.
func (t *Table) NextCall(now time.Time, service string) time.Time {
	var next time.Time
	free, atLimit := false, false
	for _, s := range t.byService[service] {
		if t.isClosed(s) {
			continue
		}
		at := s.waitEnd()
		switch {
		case now.Before(at):
		case !t.takesColdCalls(now, s):
			at, atLimit = s.nextColdCall(now), true
		case s.takesCalls(now, true):
			free = true
			continue
		default:
			at, atLimit = s.limit.most.next(), true
		}
		if next.IsZero() || at.Before(next) {
			next = at
		}
	}
	if free && !atLimit {
		return time.Time{}
	}
	return next
}
