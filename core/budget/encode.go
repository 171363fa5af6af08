package budget

import (
	"encoding/json"
	"maps"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"ibiswinch/core/record"
)

// ledgerState is the encoded ledger. Teams, holders and top-ups are sorted; billed identities are grouped by generation
// and in log order.
type ledgerState struct {
	Teams   []teamEncoding   `json:"teams"`
	Holders []holderEncoding `json:"holders"`
	// LastBill is the log time of the last bill record.
	LastBill time.Time            `json:"lastBill"`
	Billed   []generationEncoding `json:"billed"`
}

type teamEncoding struct {
	Team     string   `json:"team"`
	ToppedUp uint64   `json:"toppedUp"`
	Granted  uint64   `json:"granted"`
	Returned uint64   `json:"returned"`
	Billed   uint64   `json:"billed"`
	Closed   uint64   `json:"closed"`
	TopUps   []string `json:"topUps"`
}

type holderEncoding struct {
	Holder    HolderID              `json:"holder"`
	Number    uint64                `json:"number"`
	Witnesses []record.Author       `json:"witnesses"`
	Sealed    [MaxWitnesses]bool    `json:"sealed"`
	Teams     []holderGrantEncoding `json:"teams"`
}

type holderGrantEncoding struct {
	Team     string    `json:"team"`
	Granted  uint64    `json:"granted"`
	Unissued uint64    `json:"unissued"`
	Restored uint64    `json:"restored"`
	Frontier uint64    `json:"frontier"`
	Number   uint64    `json:"number"`
	Asked    time.Time `json:"asked"`
	Demand   uint64    `json:"demand"`
}

// Encode implements record.Fold.
func (l *Ledger) Encode() ([]byte, error) {
	state := ledgerState{
		Teams:    make([]teamEncoding, 0, len(l.teams)),
		Holders:  make([]holderEncoding, 0, len(l.holders)),
		LastBill: l.billed.now,
		Billed:   make([]generationEncoding, 0, len(l.billed.generations)),
	}
	for _, name := range l.Teams() {
		state.Teams = append(state.Teams, l.teams[name].encoding(name))
	}
	for _, id := range l.Holders() {
		state.Holders = append(state.Holders, l.holders[id].encoding(id))
	}
	for _, g := range l.billed.generations {
		state.Billed = append(state.Billed, g.encoding())
	}
	data, err := json.Marshal(state)
	return data, eris.Wrap(err, "encode ledger")
}

func (t *teamState) encoding(name string) teamEncoding {
	return teamEncoding{
		Team:     name,
		ToppedUp: t.ToppedUp,
		Granted:  t.Granted,
		Returned: t.Returned,
		Billed:   t.Billed,
		Closed:   t.closedOutstanding,
		TopUps:   slices.Sorted(maps.Keys(t.topUps)),
	}
}

func (h *holderState) encoding(id HolderID) holderEncoding {
	e := holderEncoding{Holder: id, Number: h.witnessSetNumber, Witnesses: h.witnesses, Sealed: h.sealed}
	for _, team := range slices.Sorted(maps.Keys(h.teams)) {
		g := h.teams[team]
		e.Teams = append(e.Teams, holderGrantEncoding{
			Team:     team,
			Granted:  g.Granted,
			Unissued: g.Unissued,
			Restored: g.Restored,
			Frontier: g.Frontier,
			Number:   g.Number,
			Asked:    g.RequestedAt,
			Demand:   g.Demand,
		})
	}
	return e
}

// Decode implements record.Fold. After an error the ledger is unchanged.
func (l *Ledger) Decode(data []byte) error {
	var state ledgerState
	if err := json.Unmarshal(data, &state); err != nil {
		return eris.Wrapf(ErrInvalid, "decode ledger: %v", err)
	}
	next := NewLedger()
	next.grantSize = l.grantSize
	next.OnRefusedLine = l.OnRefusedLine
	next.billed.retention = l.billed.retention
	next.billed.now = state.LastBill
	for _, t := range state.Teams {
		next.decodeTeam(t)
	}
	for _, h := range state.Holders {
		if err := next.decodeHolder(h); err != nil {
			return err
		}
	}
	if err := next.billed.decode(state.Billed); err != nil {
		return err
	}
	*l = *next
	return nil
}

func (l *Ledger) decodeTeam(e teamEncoding) {
	t := &teamState{closedOutstanding: e.Closed, topUps: make(map[string]struct{}, len(e.TopUps))}
	t.Totals = Totals{ToppedUp: e.ToppedUp, Granted: e.Granted, Returned: e.Returned, Billed: e.Billed}
	for _, id := range e.TopUps {
		t.topUps[id] = struct{}{}
	}
	l.teams[e.Team] = t
}

func (l *Ledger) decodeHolder(e holderEncoding) error {
	h := &holderState{witnessSetNumber: e.Number, witnesses: e.Witnesses, sealed: e.Sealed, teams: map[string]*HolderGrant{}}
	l.holders[e.Holder] = h
	for _, g := range e.Teams {
		if l.teams[g.Team] == nil {
			return eris.Wrapf(ErrInvalid, "decode ledger: grant of unknown team %q", g.Team)
		}
		l.addHolderGrant(e.Holder, g.Team, HolderGrant{
			Granted:     g.Granted,
			Unissued:    g.Unissued,
			Restored:    g.Restored,
			Frontier:    g.Frontier,
			Number:      g.Number,
			RequestedAt: g.Asked,
			Demand:      g.Demand,
		})
	}
	return nil
}
