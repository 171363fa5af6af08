package budget

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"ibiswinch/core/record"
)

// syncWitnesses checks whether the last witness set is in the ledger. From then on the frontiers in its records count
// as acknowledged, since they are in the ledger, too.
func (h *Holder) syncWitnesses() {
	_, number := h.cfg.Ledger.Witnesses(h.id)
	if number == 0 || number < h.witnessSetNumber {
		return
	}
	h.phase = phaseOpen
	if !h.changePending {
		return
	}
	h.changePending = false
	// With an empty set in the ledger, nobody else can close the holder.
	h.hasWitnesses = len(h.witnesses) > 0
	if h.witnessSetNumber == 1 {
		return
	}
	for _, t := range h.teams {
		t.frontier = max(t.frontier, t.requested)
		t.attempts = 0
	}
}

// updateWitnesses opens the holder, adds witnesses, or replaces those that are missing or sealed the holder.
func (h *Holder) updateWitnesses(now time.Time, a *Actions) {
	wanted, lost := h.wantedWitnesses(now)
	if h.witnessSetNumber == 0 {
		h.changeWitnesses(wanted, nil, a)
		return
	}
	// Without any candidate the set becomes empty: with a lost witness the holder could never advance its frontier.
	better := len(wanted) > len(h.witnesses) || lost
	if h.changePending || h.phase != phaseOpen || !h.logIsFresh(now) || !better {
		return
	}
	h.changeWitnesses(wanted, h.carriedFrontiers(now), a)
}

// wantedWitnesses returns the current witnesses that are not lost, filled up with candidates, and whether one is lost.
func (h *Holder) wantedWitnesses(now time.Time) (wanted []record.Author, lost bool) {
	for _, w := range h.witnesses {
		if h.isLost(w, now) {
			lost = true
			continue
		}
		wanted = append(wanted, w)
	}
	for _, c := range h.candidates {
		if len(wanted) < MaxWitnesses && !h.sealedBy[c] && !slices.Contains(wanted, c) {
			wanted = append(wanted, c)
		}
	}
	return wanted, lost
}

func (h *Holder) isLost(w record.Author, now time.Time) bool {
	if h.sealedBy[w] {
		return true
	}
	if slices.Contains(h.candidates, w) {
		delete(h.missingSince, w)
		return false
	}
	if _, ok := h.missingSince[w]; !ok {
		h.missingSince[w] = now
	}
	return now.Sub(h.missingSince[w]) >= h.cfg.WitnessTimeout
}

func (h *Holder) changeWitnesses(wanted []record.Author, carried []Frontier, a *Actions) {
	h.witnessSetNumber++
	h.witnesses = wanted
	h.changePending = true
	h.hasWitnesses = h.hasWitnesses || len(wanted) > 0
	h.preferredWitness = 0
	for len(carried) > MaxFrontiers {
		part := WitnessSet{Holder: h.id, Number: h.witnessSetNumber, Witnesses: wanted, Frontiers: carried[:MaxFrontiers], More: true}
		a.WitnessSets = append(a.WitnessSets, part)
		carried = carried[MaxFrontiers:]
	}
	a.WitnessSets = append(a.WitnessSets, WitnessSet{Holder: h.id, Number: h.witnessSetNumber, Witnesses: wanted, Frontiers: carried})
}

// carriedFrontiers returns the frontiers that a change of witnesses records: the highest requested ones, raised by the
// lead so that the holder can go on issuing once the change is read from the log. A holder that had no witness may use
// them at once: until the change is in the ledger, nobody else can close it.
func (h *Holder) carriedFrontiers(now time.Time) []Frontier {
	var frontiers []Frontier
	for _, team := range slices.Sorted(maps.Keys(h.teams)) {
		t := h.teams[team]
		t.requested = max(t.requested, t.issued, h.targetFrontier(now, team, t))
		if !h.hasWitnesses {
			t.frontier = t.requested
		}
		if t.requested > 0 {
			frontiers = append(frontiers, Frontier{Team: team, Tokens: t.requested})
		}
	}
	return frontiers
}

// targetFrontier returns the issued tokens plus the lead, limited by the grant.
func (h *Holder) targetFrontier(now time.Time, team string, t *holderTeam) uint64 {
	h.syncGranted(team, t)
	lead := t.drawRate.tokens(now, h.cfg.RateWindow, h.cfg.FrontierLead)
	return min(t.granted-min(t.granted, t.returnedUnissued), t.issued+max(lead, 2*t.shortfall))
}

// requestFrontier requests a higher frontier when the tokens left below it last for less than 1 s at the recent rate.
func (h *Holder) requestFrontier(now time.Time, team string, t *holderTeam, requests map[record.Author][]Frontier) {
	if !h.hasWitnesses || h.changePending || h.phase != phaseOpen {
		return
	}
	limit := h.issueLimit(team, t)
	reserve := t.drawRate.tokens(now, h.cfg.RateWindow, time.Second)
	if limit-min(limit, t.issued) > reserve && t.shortfall == 0 {
		return
	}
	pending := t.requested > t.frontier && now.Sub(t.requestedAt) < frontierRetryInterval
	target := max(t.requested, h.targetFrontier(now, team, t))
	if target <= t.frontier || pending && target == t.requested {
		return
	}
	w, ok := h.witnessFor(t)
	if !ok {
		return
	}
	t.requested = target
	t.requestedAt = now
	t.attempts++
	requests[w] = append(requests[w], Frontier{Team: team, Tokens: target})
}

// witnessFor returns the witness that acknowledged last, or another one after each request without an acknowledgement.
func (h *Holder) witnessFor(t *holderTeam) (record.Author, bool) {
	for i := range h.witnesses {
		w := h.witnesses[(h.preferredWitness+t.attempts+i)%len(h.witnesses)]
		if !h.sealedBy[w] {
			return w, true
		}
	}
	return record.Author{}, false
}

func (h *Holder) addFrontierRequests(requests map[record.Author][]Frontier, a *Actions) {
	for _, w := range slices.SortedFunc(maps.Keys(requests), record.Author.Compare) {
		frontiers := requests[w]
		slices.SortFunc(frontiers, func(x, y Frontier) int { return cmp.Compare(x.Team, y.Team) })
		for part := range slices.Chunk(frontiers, MaxFrontiers) {
			a.FrontierRequests = append(a.FrontierRequests, FrontierRequest{Witness: w, Holder: h.id, Frontiers: part})
		}
	}
}

// demand returns the tokens of a team that the holder wants to hold, whatever the pool has.
func (h *Holder) demand(now time.Time, t *holderTeam) uint64 {
	wanted := t.drawRate.tokens(now, h.cfg.RateWindow, h.cfg.OutageHorizon)
	return min(max(wanted, h.cfg.MinGrant, 2*t.shortfall), h.cfg.MaxGrant)
}

// desired returns the tokens of a team that the holder wants to hold, limited by its share of the pool.
func (h *Holder) desired(now time.Time, team string, t *holderTeam) uint64 {
	demand := h.demand(now, t)
	floor := max(t.drawRate.tokens(now, h.cfg.RateWindow, minHorizon), t.shortfall)
	return min(demand, max(h.cfg.Ledger.Share(h.id, team, demand), floor))
}

// requestGrant requests tokens when the holder has less than requestBelow times the desired amount.
func (h *Holder) requestGrant(now time.Time, team string, t *holderTeam, a *Actions) {
	if h.ledgerGrantNumber(team) < t.grantNumber || h.cfg.Ledger.Pool(team) == 0 || h.isIdle(now, team, t) {
		return
	}
	have := t.restored + h.unissued(team, t)
	if t.shortfall <= have && float64(have) >= requestBelow*float64(h.desired(now, team, t)) {
		return
	}
	demand := h.demand(now, t)
	wanted := max(demand-min(demand, have), t.shortfall)
	t.grantNumber++
	a.Grants = append(a.Grants, GrantRequest{Holder: h.id, Team: team, Wanted: wanted, Held: have, Number: t.grantNumber})
}

// isIdle reports whether the grant of a team is no longer needed here. A team that has moved to another holder counts
// as idle sooner, since that one needs the tokens at once; teams move when the entry VMs start and learn of each other.
// While the log is unavailable they are kept, since returned tokens could not be granted again.
func (h *Holder) isIdle(now time.Time, team string, t *holderTeam) bool {
	sinceDraw := now.Sub(t.lastDraw)
	if sinceDraw >= h.cfg.IdleAfter {
		return true
	}
	return sinceDraw >= movedTeamDelay && h.cfg.IsMoved != nil && h.logIsFresh(now) && h.cfg.IsMoved(team)
}

func (h *Holder) logIsFresh(now time.Time) bool {
	return !h.logReadAt.IsZero() && now.Sub(h.logReadAt) <= maxLogAge
}

// returnIdle returns the grant of an idle team. Of other teams it returns the excess over the desired amount, which
// shrinks as the pool empties, if the holder has more than returnAbove times that amount.
func (h *Holder) returnIdle(now time.Time, team string, t *holderTeam, a *Actions) {
	have := t.restored + h.unissued(team, t)
	keep := uint64(0)
	if !h.isIdle(now, team, t) {
		keep = h.desired(now, team, t)
		if float64(have) <= returnAbove*float64(keep) {
			return
		}
	}
	excess := have - min(have, keep)
	if excess == 0 {
		return
	}
	r := Return{Holder: h.id, Team: team, Unissued: min(excess, h.unissued(team, t))}
	r.Restored = excess - r.Unissued
	t.returnedUnissued += r.Unissued
	t.restored -= r.Restored
	t.returnedRestored += r.Restored
	a.Returns = append(a.Returns, r)
}

// schedule sets when the team is due next.
func (h *Holder) schedule(now time.Time, team string, t *holderTeam) {
	have := t.restored + h.unissued(team, t)
	if h.available(team, t) >= t.shortfall || h.isIdle(now, team, t) {
		t.shortfall = 0
	}
	switch {
	case t.shortfall > 0:
		h.queue.add(team, now.Add(frontierRetryInterval))
	case now.Sub(t.lastDraw) < 2*h.cfg.RateWindow:
		h.queue.add(team, now.Add(holderTick))
	case have > 0:
		h.queue.add(team, maxTime(now.Add(holderTick), t.lastDraw.Add(h.cfg.IdleAfter)))
	case h.witnessSetNumber > 0 && t.grantNumber > h.ledgerGrantNumber(team):
		h.queue.add(team, now.Add(holderTick))
	}
}

// ledgerGrantNumber returns the number of the last grant request in the ledger.
func (h *Holder) ledgerGrantNumber(team string) uint64 {
	g, _ := h.cfg.Ledger.HolderGrant(h.id, team)
	return g.Number
}

func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
