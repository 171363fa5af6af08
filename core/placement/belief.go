package placement

import (
	"math"
	"math/bits"
	"slices"
	"time"
)

// Outcome says how a call ended at a server.
type Outcome string

// Outcomes.
const (
	Answered Outcome = "answered"
	// Unreachable servers refused the connection or didn't take it.
	Unreachable Outcome = "unreachable"
	// Broken servers ended a connection without a whole answer.
	Broken Outcome = "broken"
	// Silent servers didn't answer in time.
	Silent Outcome = "silent"
	// Failed servers answered with an error of their own.
	Failed Outcome = "failed"
	// Full servers said that they did not run the call.
	Full Outcome = "full"
	// Misdirected means that another server has the address.
	Misdirected Outcome = "misdirected"
	// Abandoned calls were given up by the caller.
	Abandoned Outcome = "abandoned"
)

func (s *server) load() float64 {
	return (float64(s.running) + float64(s.waiting)/tokensPerPlace) * max(s.slowness, 1)
}

// pending is a call that waits for its first event, and when it should have come.
type pending struct {
	sentAt time.Time
	due    time.Duration
}

type firstKey struct {
	service string
	size    int
}

// FirstEvent notes that the prompt of a call has been read.
func (t *Table) FirstEvent(now time.Time, p *Placement) {
	s := t.servers[p.Server.ID]
	if s == nil {
		return
	}
	s.waiting -= p.tokens
	s.clearPending(p.sentAt)
	key := keyOf(s.Service, p.tokens)
	p.tokens = 0
	took := max(now.Sub(p.sentAt).Seconds(), minFirst.Seconds())
	usual, known := t.firsts[key]
	if !known {
		t.firsts[key] = took
		return
	}
	s.decaySlowness(now)
	s.slowness += (min(took/usual, maxSlowness) - s.slowness) * slownessWeight
	t.firsts[key] = usual + (took-usual)*usualWeight
}

func keyOf(service string, tokens int64) firstKey {
	return firstKey{service: service, size: bits.Len64(uint64(max(tokens, 0)) / sizeStep)}
}

func (s *server) clearPending(sentAt time.Time) {
	i := slices.IndexFunc(s.unanswered, func(p pending) bool { return p.sentAt.Equal(sentAt) })
	if i >= 0 {
		s.unanswered = slices.Delete(s.unanswered, i, i+1)
	}
}

// raiseSlowness raises the slowness of a server that owes a first event for long.
func (s *server) raiseSlowness(now time.Time) {
	if len(s.unanswered) == 0 {
		return
	}
	oldest := s.unanswered[0]
	if late := float64(now.Sub(oldest.sentAt)) / float64(oldest.due); late > overdue {
		s.slowness = max(s.slowness, min(late/2, maxSlowness))
	}
}

// decaySlowness brings the slowness back to that of the service, since a server that is avoided can't show that it is well.
func (s *server) decaySlowness(now time.Time) {
	if passed := now.Sub(s.slowAt); !s.slowAt.IsZero() && passed > 0 {
		s.slowness = 1 + (s.slowness-1)*math.Exp(-float64(passed)/float64(slownessMemory))
	}
	s.slowAt = now
}

// Release ends a hold and judges the server by its outcome. It returns the deadline of a pause that begins, or zero.
func (t *Table) Release(now time.Time, p Placement, o Outcome) time.Time {
	s := t.servers[p.Server.ID]
	if s == nil || !s.Born.Equal(p.Server.Born) {
		return time.Time{}
	}
	s.running--
	s.waiting -= p.tokens
	if p.tokens > 0 {
		s.raiseSlowness(now)
		s.clearPending(p.sentAt)
	}
	before := s.pausedUntil
	t.judge(now, s, o)
	if s.pausedUntil.After(now) && !now.Before(before) {
		return s.pausedUntil
	}
	return time.Time{}
}

func (t *Table) judge(now time.Time, s *server, o Outcome) {
	switch o {
	case Answered:
		t.average(s, 0)
		s.strikes = 0
		s.pausedUntil = time.Time{}
	case Unreachable, Silent:
		t.strike(now, s)
	case Broken:
		t.average(s, 1)
		t.strike(now, s)
	case Failed:
		t.average(s, 1)
		s.strikes = 0
		s.pausedUntil = time.Time{}
		if s.answers > 4 && s.failures > t.failures[s.Service]+failingShare {
			t.strike(now, s)
		}
	case Full:
		s.pausedUntil = now.Add(fullPause)
	case Misdirected:
		s.gone = true
	}
}

func (t *Table) average(s *server, failed float64) {
	s.answers++
	s.failures += (failed - s.failures) * failureWeight
	t.failures[s.Service] += (failed - t.failures[s.Service]) * failureWeight / float64(max(len(t.byService[s.Service]), 1))
}

func (t *Table) strike(now time.Time, s *server) {
	s.strikes++
	s.pausedUntil = now.Add(s.pause())
}

func (s *server) pause() time.Duration {
	return min(firstPause<<min(max(s.strikes-1, 0), 5), maxPause)
}
