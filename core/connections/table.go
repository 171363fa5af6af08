// Package connections decides which connections of a listener are closed when there are too many. It has no clock, goroutines or
// I/O.
package connections

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"ibiswinch/core/progress"
)

// Phase is what a connection is used for.
type Phase int

// Phases, in the order in which connections are closed for others.
const (
	// Idle connections wait for their next request; closing them costs nothing.
	Idle Phase = iota
	// Receiving connections are new, or their request hasn't arrived wholly; nothing of it has been sent to a server.
	Receiving
	// Sending connections have an answer that their peer doesn't read.
	Sending
	// Serving connections wait for an answer. They are never closed for others.
	Serving
)

const (
	// minAge is for how long a connection has been in its phase before it is closed for others, unless it is idle. An ordinary peer
	// has begun to send by then.
	minAge = 500 * time.Millisecond
	// sparePart is the part of the limit, 1/sparePart, that is kept free for new connections.
	sparePart = 16
	// minSpare is the least number of connections that are kept free.
	minSpare = 2
	// closeTime is the time after which a connection that is still open is closed once more, by what it is used for then.
	closeTime = 500 * time.Millisecond
	// searchPause is the least time between two searches for connections to close, each of which looks at all of them.
	searchPause = 20 * time.Millisecond
)

// Conn is an open connection. All times that it is told come from the same clock.
type Conn struct {
	table *Table
	close func(Phase)

	// The fields below are guarded by the table's mu.
	phase Phase
	since time.Time
	meter progress.Meter
	// closing is set once the connection has been chosen to be closed, in the phase closedIn and at closedAt.
	closing  bool
	closedIn Phase
	closedAt time.Time
}

// Table holds the open connections of one listener.
type Table struct {
	limit int

	mu   sync.Mutex
	open map[*Conn]struct{}
	// searchAt and searchStalledAt are when connections to close, or stalled ones, are searched for again.
	searchAt, searchStalledAt time.Time
	// closed and refused count connections as Counts does.
	closed, refused int
}

// Counts are the numbers of connections of a listener.
type Counts struct {
	// Open connections are open now. Closed ones were closed for others since the start, Refused ones right after they were accepted.
	Open, Closed, Refused int
}

// Counts returns the numbers of connections.
func (t *Table) Counts() Counts {
	t.mu.Lock()
	defer t.mu.Unlock()
	return Counts{Open: len(t.open), Closed: t.closed, Refused: t.refused}
}

// NewTable returns a table for up to limit connections.
func NewTable(limit int) *Table { return &Table{limit: max(limit, 1), open: map[*Conn]struct{}{}} }

// Add adds a connection that has just been accepted. close is called with the phase of the connection if it is to be closed for others,
// and again if it is still open after closeTime. Add returns nil if there are too many and none may be closed now; the new one must be
// closed then.
func (t *Table) Add(now time.Time, close func(Phase)) *Conn {
	var c *Conn
	t.closeChosen(func() []*Conn {
		victims := t.chooseVictims(now)
		if len(t.open) < t.limit {
			c = &Conn{table: t, close: close, phase: Receiving, since: now}
			t.open[c] = struct{}{}
		} else {
			t.refused++
		}
		return victims
	})
	return c
}

// spare is the number of connections that are kept free.
func (t *Table) spare() int { return min(max(t.limit/sparePart, minSpare), t.limit/2) }

// chooseVictims returns the connections to close so that some are free, all at once, since each search looks at all connections.
func (t *Table) chooseVictims(now time.Time) []*Conn {
	excess := len(t.open) + 1 - (t.limit - t.spare())
	if excess <= 0 || now.Before(t.searchAt) {
		return nil
	}
	t.searchAt = now.Add(searchPause)
	var candidates []*Conn
	for c := range t.open {
		switch {
		case c.isClosing(now):
			excess--
		case c.mayClose(now):
			candidates = append(candidates, c)
		}
	}
	if excess <= 0 {
		return nil
	}
	return markFirst(now, candidates, max(excess, t.spare()))
}

// markFirst marks up to n of the candidates, those that are closed first, and returns them.
func markFirst(now time.Time, candidates []*Conn, n int) []*Conn {
	slices.SortFunc(candidates, func(a, b *Conn) int {
		return cmp.Or(cmp.Compare(a.phase, b.phase), cmp.Compare(a.meter.Recent(now), b.meter.Recent(now)), a.since.Compare(b.since))
	})
	victims := candidates[:min(len(candidates), n)]
	for _, v := range victims {
		v.closing, v.closedIn, v.closedAt = true, v.phase, now
		v.table.closed++
	}
	return victims
}

// CloseStalled closes some connections whose answers their peers don't read, as many as are kept free for new ones. It is for requests
// that are refused because others are open.
func (t *Table) CloseStalled(now time.Time) {
	t.closeChosen(func() []*Conn { return t.chooseStalled(now) })
}

func (t *Table) chooseStalled(now time.Time) []*Conn {
	if now.Before(t.searchStalledAt) {
		return nil
	}
	t.searchStalledAt = now.Add(searchPause)
	var candidates []*Conn
	for c := range t.open {
		if c.phase == Sending && c.mayClose(now) && !c.isClosing(now) {
			candidates = append(candidates, c)
		}
	}
	return markFirst(now, candidates, t.spare())
}

// CloseReceiving closes all connections whose requests haven't arrived wholly. It is for a planned stop that has waited for them.
func (t *Table) CloseReceiving(now time.Time) {
	t.closeChosen(func() []*Conn {
		var receiving []*Conn
		for c := range t.open {
			if c.phase == Receiving {
				receiving = append(receiving, c)
			}
		}
		return markFirst(now, receiving, len(receiving))
	})
}

// closeChosen closes the connections that choose returns, which is called with mu held.
func (t *Table) closeChosen(choose func() []*Conn) {
	t.mu.Lock()
	chosen := choose()
	t.mu.Unlock()
	for _, c := range chosen {
		c.close(c.closedIn)
	}
}

// isClosing reports whether the connection is expected to be closed soon.
func (c *Conn) isClosing(now time.Time) bool { return c.closing && now.Sub(c.closedAt) < closeTime }

func (c *Conn) mayClose(now time.Time) bool {
	return c.phase == Idle || c.phase != Serving && now.Sub(c.since) >= minAge
}

// SetPhase records that the connection is used for something else.
func (c *Conn) SetPhase(now time.Time, phase Phase) {
	c.table.mu.Lock()
	defer c.table.mu.Unlock()
	if c.closing && c.closedIn == Idle && phase == Receiving {
		// The request came before the connection was closed, and is served.
		c.closing = false
	}
	if c.phase != phase {
		c.phase, c.since, c.meter = phase, now, progress.Meter{}
	}
}

// AddProgress records that n bytes have been received or sent.
func (c *Conn) AddProgress(now time.Time, n int) {
	c.table.mu.Lock()
	defer c.table.mu.Unlock()
	c.meter.Add(now, int64(n))
}

// Remove removes a connection that has been closed. Further calls do nothing.
func (c *Conn) Remove() {
	c.table.mu.Lock()
	defer c.table.mu.Unlock()
	delete(c.table.open, c)
}
