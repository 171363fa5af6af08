package entry

import (
	"time"

	"ibiswinch/core/event"
	"ibiswinch/core/record"
	"ibiswinch/core/routing"
	"ibiswinch/io/apexlog"
	"ibiswinch/io/peer"
)

// Bounds of the share rows and offers in one digest. The rest is sent in later rounds.
const (
	maxDigestRows   = 24
	maxDigestOffers = 8
)

// fillDigest implements digestHandler. A receiver in the own domain gets the rows of the shares that it has in common
// with this entry VM; one in another domain gets offers.
func (s *serverController) fillDigest(now time.Time, to string, d *peer.Digest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.table == nil {
		return
	}
	d.Slot = uint32(s.cfg.Slot) + 1
	d.StartedUnixNano = s.cfg.Started.UnixNano()
	if slot, local := s.peerSlots[to]; local {
		for _, r := range s.table.RowsFor(slot, maxDigestRows) {
			d.Rows = append(d.Rows, toWireRow(r))
		}
		return
	}
	for _, o := range s.table.Offers(now, maxDigestOffers) {
		d.Offers = append(d.Offers, &peer.Offer{
			Server: o.Server, From: peer.EncodeAuthor(o.From), Tokens: o.Tokens, UntilUnixMilli: o.Until.UnixMilli(),
		})
	}
}

// mergeDigest implements digestHandler.
func (s *serverController) mergeDigest(now time.Time, d *peer.Digest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.table == nil {
		return
	}
	s.recordPeerSlot(d)
	rows := make([]routing.ShareRow, 0, len(d.GetRows()))
	for _, r := range d.GetRows() {
		rows = append(rows, fromWireRow(r))
	}
	skipped := s.table.MergeRows(now, rows)
	offers := make([]routing.Offer, 0, len(d.GetOffers()))
	for _, o := range d.GetOffers() {
		offers = append(offers, routing.Offer{
			Server: o.GetServer(), From: peer.DecodeAuthor(o.GetFrom()), Tokens: max(o.GetTokens(), 0),
			Until: time.UnixMilli(o.GetUntilUnixMilli()),
		})
	}
	if skipped += s.table.MergeOffers(offers); skipped > 0 {
		s.events.Event(event.PeerRejected, apexlog.Fields{"peer": d.GetAuthor().GetVm(), "shares": skipped})
	}
}

// recordPeerSlot notes the slot of a peer of the own domain. The caller holds mu.
func (s *serverController) recordPeerSlot(d *peer.Digest) {
	vm := d.GetAuthor().GetVm()
	for _, m := range d.GetMembers() {
		if m.GetAuthor().GetVm() == vm && m.GetDomain() == s.cfg.Domain && d.GetSlot() > 0 {
			s.peerSlots[vm] = int(d.GetSlot()) - 1
		}
	}
}

func toWireIncarnation(i routing.Incarnation) *peer.Life {
	if i.Author == (record.Author{}) {
		return nil
	}
	return &peer.Life{Author: peer.EncodeAuthor(i.Author), StartedUnixNano: i.Started.UnixNano()}
}

func fromWireIncarnation(i *peer.Life) routing.Incarnation {
	if i == nil {
		return routing.Incarnation{}
	}
	return routing.Incarnation{Author: peer.DecodeAuthor(i.GetAuthor()), Started: time.Unix(0, i.GetStartedUnixNano())}
}

func toWireRow(r routing.ShareRow) *peer.ShareRow {
	return &peer.ShareRow{
		Server: r.Server, From: toWireIncarnation(r.From), FromSlot: uint32(r.FromSlot), To: toWireIncarnation(r.To),
		ToSlot: uint32(r.ToSlot), Opening: r.InitialHolding, Gave: r.Given, Demand: r.Demand,
	}
}

func fromWireRow(r *peer.ShareRow) routing.ShareRow {
	return routing.ShareRow{
		Server: r.GetServer(), From: fromWireIncarnation(r.GetFrom()), FromSlot: int(r.GetFromSlot()), To: fromWireIncarnation(r.GetTo()),
		ToSlot: int(r.GetToSlot()), InitialHolding: r.GetOpening(), Given: r.GetGave(), Demand: r.GetDemand(),
	}
}
