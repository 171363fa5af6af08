package budget

import (
	"maps"
	"slices"

	"ibiswinch/core/record"
)

// Witness acknowledges frontiers of holders until it seals them. Its state is lost when its process ends. It is not
// safe for concurrent use.
type Witness struct {
	author record.Author
	// ledger is the ledger of this process. The witness only reads it.
	ledger  *Ledger
	holders map[HolderID]*witnessedHolder
}

type witnessedHolder struct {
	sealed    bool
	frontiers map[string]uint64
}

// NewWitness returns a witness that has acknowledged nothing.
func NewWitness(author record.Author, ledger *Ledger) *Witness {
	return &Witness{author: author, ledger: ledger, holders: map[HolderID]*witnessedHolder{}}
}

// Acknowledge remembers the requested frontiers. It refuses a holder that is sealed, or whose witness set in the ledger
// does not contain this witness: a closed holder must not get a frontier, and the ledger forgets closed holders.
func (w *Witness) Acknowledge(request FrontierRequest) FrontierReply {
	if request.Witness != w.author || !w.isNamed(request.Holder) || checkFrontiers(request.Frontiers) != nil {
		return FrontierReply{}
	}
	h := w.holder(request.Holder)
	if h.sealed {
		return FrontierReply{Sealed: true}
	}
	for _, f := range request.Frontiers {
		h.frontiers[f.Team] = max(h.frontiers[f.Team], f.Tokens)
	}
	return FrontierReply{Acknowledged: true}
}

func (w *Witness) isNamed(id HolderID) bool {
	witnesses, _ := w.ledger.Witnesses(id)
	return slices.Contains(witnesses, w.author)
}

func (w *Witness) holder(id HolderID) *witnessedHolder {
	h := w.holders[id]
	if h == nil {
		h = &witnessedHolder{frontiers: map[string]uint64{}}
		w.holders[id] = h
	}
	return h
}

// Seal refuses the holder from now on and returns the records to append, in order. It returns none if this is not a
// witness of the holder. Sealing a holder that still runs is safe: it opens a new epoch.
func (w *Witness) Seal(id HolderID) []Seal {
	if !w.isNamed(id) {
		return nil
	}
	h := w.holder(id)
	h.sealed = true
	var frontiers []Frontier
	for _, team := range slices.Sorted(maps.Keys(h.frontiers)) {
		frontiers = append(frontiers, Frontier{Team: team, Tokens: h.frontiers[team]})
	}
	return sealParts(id, frontiers)
}

// WitnessedHolders returns the open holders that have this witness, sorted.
func (w *Witness) WitnessedHolders() []HolderID {
	return slices.DeleteFunc(w.ledger.Holders(), func(id HolderID) bool { return !w.isNamed(id) })
}

// ForgetClosed drops the state of holders that are closed in the ledger.
func (w *Witness) ForgetClosed() {
	maps.DeleteFunc(w.holders, func(id HolderID, _ *witnessedHolder) bool { return !w.ledger.IsOpen(id) })
}
