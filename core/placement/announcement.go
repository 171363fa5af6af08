package placement

import (
	"maps"
	"time"
)

// announcementRetention is how long what a server announced is kept while no record lists the server. One whose record has
// expired may be listed again.
const announcementRetention = time.Hour

// announcement is what an incarnation of a server said of itself in its answers. It outlasts the server's record.
type announcement struct {
	// leaving is set once the server said that it leaves. It is never reset: only another incarnation takes calls again.
	leaving bool
	// saidAt is when the server last announced something to this entry VM.
	saidAt time.Time
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
		return !listed && now.Sub(a.saidAt) > announcementRetention
	})
}

// SetLeaving records that a server said that it leaves. It gets no further calls, whatever its records say. SetLeaving
// reports whether that is news.
func (t *Table) SetLeaving(now time.Time, of Server) bool {
	a := t.announced(now, of.Incarnation())
	news := !a.leaving
	a.leaving, a.saidAt = true, now
	return news
}

// isLeaving reports whether the server said that it leaves.
func (s *server) isLeaving() bool { return s.announced != nil && s.announced.leaving }

// isClosed reports whether the server takes no further calls until it is another incarnation, or is listed as ready.
func (s *server) isClosed() bool { return s.Draining || s.misdirected || s.isLeaving() }

// TakesCalls reports whether a placed call may still be sent to its server.
func (t *Table) TakesCalls(p Placement) bool {
	a := t.announcements[p.Server.Incarnation()]
	return a == nil || !a.leaving
}
