package budget

import (
	"maps"
	"slices"
	"time"

	"ibiswinch/core/record"
)

// Totals returns the amounts of a team and whether it was ever topped up.
func (l *Ledger) Totals(team string) (Totals, bool) {
	t := l.teams[team]
	if t == nil {
		return Totals{}, false
	}
	return t.Totals, true
}

// HasTopUp reports whether the top-up with an identity was added to the budget of a team.
func (l *Ledger) HasTopUp(team, identity string) bool {
	t := l.teams[team]
	if t == nil {
		return false
	}
	_, ok := t.topUps[identity]
	return ok
}

// Pool returns the tokens of a team that are not granted to a holder.
func (l *Ledger) Pool(team string) uint64 {
	totals, _ := l.Totals(team)
	return totals.Pool()
}

// Stranded returns the tokens of a team that are granted to holders which can't be closed: the process of the holder is
// not live, and it has no witnesses, or one of them that hasn't sealed it is not live either.
func (l *Ledger) Stranded(team string, live func(record.Author) bool) uint64 {
	t := l.teams[team]
	if t == nil {
		return 0
	}
	var sum uint64
	for id, g := range t.holders {
		if l.isStranded(id, live) {
			sum += g.Outstanding()
		}
	}
	return sum
}

func (l *Ledger) isStranded(id HolderID, live func(record.Author) bool) bool {
	author, _ := id.Author()
	if live(author) {
		return false
	}
	h := l.holders[id]
	for i, w := range h.witnesses {
		if !h.sealed[i] && !live(w) {
			return true
		}
	}
	return len(h.witnesses) == 0
}

// ClosedOutstanding returns the outstanding tokens of the closed holders of a team. It includes used tokens; the rest
// is in slices of spenders, or lost to the team until the operator tops up again.
func (l *Ledger) ClosedOutstanding(team string) uint64 {
	if t := l.teams[team]; t != nil {
		return t.closedOutstanding
	}
	return 0
}

// Billed returns the reservation that a request identity was billed to. It finds lines counted within the last
// IdentityRetention of log time.
func (l *Ledger) Billed(team, identity string) (BilledReservation, bool) {
	reservation, _, ok := l.billed.find(hashIdentity(team, identity))
	return reservation, ok
}

// BillLineState returns the state of a bill line. Only a Duplicate may be refunded.
func (l *Ledger) BillLineState(line BillLine) BillLineState {
	reservation, slot, ok := l.billed.find(hashIdentity(line.Team, line.Identity))
	switch {
	case ok && reservation == BilledReservation{Spender: line.Spender, Reservation: line.Reservation}:
		return Counted
	case l.IsExpired(line.At):
		return Expired
	case ok && slot >= l.billed.slotOf(line.At):
		return Duplicate
	}
	return Undecided
}

// IsExpired reports whether a line made at the given time can't be counted any more. A line of that age without a
// billed reservation was either counted and forgotten, or is never billed.
func (l *Ledger) IsExpired(at time.Time) bool { return l.billed.isExpired(at) }

// HolderGrant returns the grant of a team to an open holder.
func (l *Ledger) HolderGrant(id HolderID, team string) (HolderGrant, bool) {
	h := l.holders[id]
	if h == nil || h.teams[team] == nil {
		return HolderGrant{}, false
	}
	return *h.teams[team], true
}

// Outstanding returns the tokens granted to an open holder for a team, minus the returned ones.
func (l *Ledger) Outstanding(id HolderID, team string) uint64 {
	g, _ := l.HolderGrant(id, team)
	return g.Outstanding()
}

// IsOpen reports whether the holder was opened and is not closed. A closed holder is forgotten.
func (l *Ledger) IsOpen(id HolderID) bool { return l.holders[id] != nil }

// Witnesses returns the witnesses of an open holder and the number of its witness set.
func (l *Ledger) Witnesses(id HolderID) ([]record.Author, uint64) {
	h := l.holders[id]
	if h == nil {
		return nil, 0
	}
	return h.witnesses, h.witnessSetNumber
}

// Holders returns the open holders, sorted.
func (l *Ledger) Holders() []HolderID { return slices.Sorted(maps.Keys(l.holders)) }

// Teams returns the teams, sorted.
func (l *Ledger) Teams() []string { return slices.Sorted(maps.Keys(l.teams)) }

// ActiveHolders returns how many open holders have a grant of the team.
func (l *Ledger) ActiveHolders(team string) int {
	if t := l.teams[team]; t != nil {
		return len(t.holders)
	}
	return 0
}

// Share returns the tokens of a team that a holder would have after a grant if it wants to hold demand tokens. It takes
// into account the holders with a request in the activeWindow before the last request for the team.
func (l *Ledger) Share(id HolderID, team string, demand uint64) uint64 {
	t := l.teams[team]
	if t == nil {
		return 0
	}
	var now time.Time
	for _, g := range t.holders {
		if g.RequestedAt.After(now) {
			now = g.RequestedAt
		}
	}
	return l.grantSize(GrantRequest{Wanted: demand}, t.poolDemand(id, demand, now))
}
