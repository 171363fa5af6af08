package routing

import (
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"ibiswinch/core/record"
)

// offerLifetime is how long an offer is valid. It covers a full rotation of the exchanges between domains.
const offerLifetime = 30 * time.Second

// Offer tells the domains with a remote share of a server how many tokens one of their entry VMs may hold there.
// It never raises the share that follows from the settings; it only opens or closes it.
type Offer struct {
	Server string        `json:"server"`
	From   record.Author `json:"from"`
	Tokens int64         `json:"tokens"`
	Until  time.Time     `json:"until"`
}

// Validate checks an offer that came from a peer.
func (o Offer) Validate() error {
	switch {
	case o.Server == "" || len(o.Server) > maxNameBytes:
		return eris.Wrap(ErrInvalid, "server missing or too long")
	case o.From.VM == "" || len(o.From.VM) > maxNameBytes:
		return eris.Wrap(ErrInvalid, "sender missing or too long")
	case o.Tokens < 0:
		return eris.Wrap(ErrInvalid, "negative tokens")
	}
	return nil
}

// Offers returns up to limit offers for peers of other domains. Repeated calls go through all servers of the own domain
// where this VM has a share. Of a server whose share is nearly used up, nothing is offered.
func (t *Table) Offers(now time.Time, limit int) []Offer {
	var offers []Offer
	for range t.names {
		if len(offers) >= limit {
			break
		}
		s := t.servers[t.names[t.offerCursor%len(t.names)]]
		t.offerCursor++
		if !s.local || s.maxLimit == 0 {
			continue
		}
		o := Offer{Server: s.Name, From: t.cfg.Self.Author, Until: now.Add(offerLifetime)}
		if !s.isLeaving() && s.held <= s.limit*maxOfferUsagePercent/100 {
			o.Tokens = remoteCapacity(t.cfg, s.Server)
		}
		offers = append(offers, o)
	}
	return offers
}

// maxOfferUsagePercent is the usage of the own share above which nothing is offered to other domains.
const maxOfferUsagePercent = 80

// MergeOffers applies offers of peers. For each sender, the offer with the latest expiry counts. Offers that fail
// Validate are skipped and counted.
func (t *Table) MergeOffers(offers []Offer) (skipped int) {
	for _, o := range offers {
		if o.Validate() != nil {
			skipped++
			continue
		}
		s, found := t.servers[o.Server]
		if !found || s.local || s.maxLimit == 0 {
			continue
		}
		i := slices.IndexFunc(s.offers, func(p Offer) bool { return p.From.VM == o.From.VM })
		if i < 0 {
			s.offers = append(s.offers, o)
		} else if o.Until.After(s.offers[i].Until) {
			s.offers[i] = o
		}
	}
	return skipped
}

// offered returns the lowest valid offer, 0 if there is none.
func (s *shares) offered(now time.Time) int64 {
	lowest := int64(-1)
	for _, o := range s.offers {
		if now.Before(o.Until) && (lowest < 0 || o.Tokens < lowest) {
			lowest = o.Tokens
		}
	}
	return max(lowest, 0)
}
