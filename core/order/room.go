package order

import "time"

// sharedNumerator/sharedDenominator is the part of the limit up to which orders are added without regard to their teams.
const (
	sharedNumerator   = 3
	sharedDenominator = 4
)

// Room bounds the orders that a process adds to those that are remembered. The stream doesn't tell the teams of orders, so a process
// shares the last part of the limit by those that it has added itself. It is not safe for concurrent use.
type Room struct {
	limit int
	// since is the start of the time for which added counts.
	since time.Time
	// added has the orders by team that this process has added to the last part of the limit.
	added map[string]int
}

// NewRoom returns the room for limit orders.
func NewRoom(limit int) *Room { return &Room{limit: limit, added: map[string]int{}} }

// Add reports whether an order of a team may be added to remembered ones, and counts it then. With other teams it may not if its team
// has added its equal share of the last part of the limit; one more share is kept for a team that has added none.
func (r *Room) Add(now time.Time, team string, remembered int, hasOthers bool) bool {
	shared := r.limit * sharedNumerator / sharedDenominator
	switch {
	case remembered >= r.limit:
		return false
	case remembered < shared:
		return true
	}
	if now.Sub(r.since) >= Retention {
		r.since = now
		clear(r.added)
	}
	n := r.added[team]
	r.added[team] = n
	if hasOthers && n >= (r.limit-shared)/(len(r.added)+1) {
		return false
	}
	r.added[team] = n + 1
	return true
}
