package order

import (
	"cmp"
	"slices"
	"time"

	"ibiswinch/core/record"
)

// ClaimedOrder is an order that may be running, or may have run without a recorded result.
type ClaimedOrder struct {
	Order   string
	Claimer record.Author
	// Since is the log time of the claim.
	Since time.Time
}

// Claimed returns the claimed orders, oldest first.
func (g *Registry) Claimed() []ClaimedOrder {
	var claimed []ClaimedOrder
	for id, e := range g.orders {
		if e.state != Claimed {
			continue
		}
		name, _ := id.MarshalText()
		claimed = append(claimed, ClaimedOrder{Order: string(name), Claimer: e.claim.Author, Since: time.UnixMilli(e.changedMS).UTC()})
	}
	slices.SortFunc(claimed, func(a, b ClaimedOrder) int {
		return cmp.Or(a.Since.Compare(b.Since), cmp.Compare(a.Order, b.Order))
	})
	return claimed
}
