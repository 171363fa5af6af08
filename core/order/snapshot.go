package order

import (
	"bytes"
	"cmp"
	"encoding/json"
	"slices"

	"github.com/rotisserie/eris"
)

// registryState is the encoding of a registry in a snapshot.
type registryState struct {
	Serial  uint64       `json:"serial"`
	Horizon uint64       `json:"horizon"`
	Orders  []orderState `json:"orders"`
}

// orderState is the encoding of one order. A finished order has a result, a claimed one a claim, a free one neither.
type orderState struct {
	ID          ID          `json:"id"`
	Fingerprint Fingerprint `json:"fingerprint"`
	Claim       *Ref        `json:"claim,omitempty"`
	Result      *Result     `json:"result,omitempty"`
	Withdrawing []Ref       `json:"withdrawing,omitempty"`
	Fence       uint64      `json:"fence,omitempty"`
	Changed     uint64      `json:"changed"`
	Serial      uint64      `json:"serial"`
	ChangedMS   int64       `json:"changedMs"`
}

// Encode implements record.Fold. Orders are sorted by ID.
func (g *Registry) Encode() ([]byte, error) {
	state := registryState{Serial: g.serial, Horizon: g.horizon, Orders: make([]orderState, 0, len(g.orders))}
	for id, e := range g.orders {
		state.Orders = append(state.Orders, orderState{
			ID:          id,
			Fingerprint: e.fingerprint,
			Claim:       e.claim,
			Result:      e.result,
			Withdrawing: e.openWithdrawals,
			Fence:       e.fence,
			Changed:     e.changedOffset,
			Serial:      e.serial,
			ChangedMS:   e.changedMS,
		})
	}
	slices.SortFunc(state.Orders, func(a, b orderState) int { return bytes.Compare(a.ID.hash[:], b.ID.hash[:]) })
	data, err := json.Marshal(state)
	return data, eris.Wrap(err, "encode orders")
}

// Decode implements record.Fold.
func (g *Registry) Decode(data []byte) error {
	var state registryState
	if err := json.Unmarshal(data, &state); err != nil {
		return eris.Wrap(err, "decode orders")
	}
	next := Registry{
		orders:    make(map[ID]*entry, len(state.Orders)),
		serial:    state.Serial,
		retention: g.retention,
		horizon:   state.Horizon,
	}
	for _, o := range state.Orders {
		if o.Claim != nil && o.Result != nil {
			return eris.New("decode orders: an order has both a claim and a result")
		}
		next.orders[o.ID] = o.entry()
	}
	slices.SortFunc(state.Orders, func(a, b orderState) int { return cmp.Compare(a.Serial, b.Serial) })
	for _, o := range state.Orders {
		next.bodyBytesTotal += next.orders[o.ID].bodyBytes()
		next.enqueue(item{serial: o.Serial, id: o.ID})
	}
	*g = next
	return nil
}

func (o orderState) entry() *entry {
	e := &entry{
		state:           Free,
		fingerprint:     o.Fingerprint,
		claim:           o.Claim,
		result:          o.Result,
		openWithdrawals: o.Withdrawing,
		fence:           o.Fence,
		changedOffset:   o.Changed,
		serial:          o.Serial,
		changedMS:       o.ChangedMS,
	}
	switch {
	case o.Claim != nil:
		e.state = Claimed
	case o.Result != nil:
		e.state = Done
	}
	return e
}
