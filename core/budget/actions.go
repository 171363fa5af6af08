package budget

import (
	"maps"
	"slices"
	"time"

	"ibiswinch/core/record"
)

// Actions are what the process has to do for a holder: append the records of Records to the ledger stream, and send
// each frontier request to its witness.
type Actions struct {
	WitnessSets      []WitnessSet
	Grants           []GrantRequest
	Returns          []Return
	Seals            []Seal
	FrontierRequests []FrontierRequest
}

// Payload is the payload of a record and its kind, for record.Outbox.Add.
type Payload struct {
	Kind record.Kind
	Body record.Validator
}

// Records returns the records to append, in the order in which they must be appended.
func (a Actions) Records() []Payload {
	var payloads []Payload
	for _, p := range a.WitnessSets {
		payloads = append(payloads, Payload{record.KindWitness, p})
	}
	for _, p := range a.Grants {
		payloads = append(payloads, Payload{record.KindGrant, p})
	}
	for _, p := range a.Returns {
		payloads = append(payloads, Payload{record.KindReturn, p})
	}
	for _, p := range a.Seals {
		payloads = append(payloads, Payload{record.KindSeal, p})
	}
	return payloads
}

// FrontierRequest asks a witness to acknowledge frontiers of a holder.
type FrontierRequest struct {
	Witness   record.Author
	Holder    HolderID
	Frontiers []Frontier
}

// FrontierReply is the reply to a FrontierRequest.
type FrontierReply struct {
	// Acknowledged is true if a later seal of the witness will contain these frontiers or higher ones.
	Acknowledged bool
	// Sealed is true if the witness sealed the holder.
	Sealed bool
}

// ApplyFrontierReply handles the reply of a witness. Replies may arrive late and more than once.
func (h *Holder) ApplyFrontierReply(request FrontierRequest, reply FrontierReply) {
	if request.Holder != h.id {
		return
	}
	if reply.Sealed {
		h.sealedBy[request.Witness] = true
	}
	if !reply.Acknowledged {
		return
	}
	h.preferredWitness = max(slices.Index(h.witnesses, request.Witness), 0)
	for _, f := range request.Frontiers {
		if t := h.teams[f.Team]; t != nil {
			t.frontier = max(t.frontier, f.Tokens)
			t.attempts = 0
		}
	}
}

// Tick returns the actions that are due. Its cost depends on the number of due teams, not of all teams, except when the
// witnesses change or the holder was closed.
func (h *Holder) Tick(now time.Time) Actions {
	var a Actions
	if h.closed() {
		h.abandonEpoch(&a)
	}
	if h.phase == phaseStopped {
		return a
	}
	h.syncWitnesses()
	h.updateWitnesses(now, &a)
	requests := map[record.Author][]Frontier{}
	for _, team := range h.queue.takeDue(now) {
		t := h.teams[team]
		h.returnIdle(now, team, t, &a)
		h.requestGrant(now, team, t, &a)
		h.requestFrontier(now, team, t, requests)
		h.schedule(now, team, t)
	}
	h.addFrontierRequests(requests, &a)
	return a
}

// abandonEpoch returns the tokens of a closed epoch that are not with spenders, and starts the next epoch. Tokens below
// the acknowledged frontier that were not issued count as restored: in the ledger they are outstanding.
func (h *Holder) abandonEpoch(a *Actions) {
	for _, team := range slices.Sorted(maps.Keys(h.teams)) {
		t := h.teams[team]
		if n := h.available(team, t); n > 0 {
			a.Returns = append(a.Returns, Return{Holder: h.id, Team: team, Restored: n})
		}
	}
	h.startEpoch()
}

// Close ends the holder for a planned stop: all tokens that are not with a spender go back to the pool. The holder
// issues nothing afterwards.
func (h *Holder) Close() Actions {
	var a Actions
	if h.phase == phaseStopped {
		return a
	}
	if h.closed() {
		h.abandonEpoch(&a)
		h.phase = phaseStopped
		return a
	}
	opened := h.witnessSetNumber > 0
	h.phase = phaseStopped
	if !opened {
		return a
	}
	var issued []Frontier
	for _, team := range slices.Sorted(maps.Keys(h.teams)) {
		t := h.teams[team]
		if t.restored > 0 {
			a.Returns = append(a.Returns, Return{Holder: h.id, Team: team, Restored: t.restored})
			t.returnedRestored += t.restored
			t.restored = 0
		}
		if t.issued > 0 {
			issued = append(issued, Frontier{Team: team, Tokens: t.issued})
		}
	}
	a.Seals = sealParts(h.id, issued)
	return a
}

// sealParts splits a seal into records of at most MaxFrontiers frontiers. They are sorted by team.
func sealParts(id HolderID, frontiers []Frontier) []Seal {
	var seals []Seal
	for len(frontiers) > MaxFrontiers {
		seals = append(seals, Seal{Holder: id, Frontiers: frontiers[:MaxFrontiers], More: true})
		frontiers = frontiers[MaxFrontiers:]
	}
	return append(seals, Seal{Holder: id, Frontiers: frontiers})
}
