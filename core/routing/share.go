package routing

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"ibiswinch/core/membership"
	"ibiswinch/core/record"
)

// Division of a server's capacity.
const (
	// remotePercent of the capacity is for entry VMs of other domains.
	remotePercent = 10
	// remoteDomains is the number of other domains that share the remote capacity of a server. It is small, so that
	// each share is large enough for a request even when there are many domains.
	remoteDomains = 2
	// fixedPercent of the local capacity is divided evenly among the slots and never transferred; a restarted VM starts
	// with its fixed share. The pair pools get the rest.
	fixedPercent = 25
	// DefaultSlotsPerServer is the number of slots of its domain that have a share of a server. More slots balance better;
	// fewer give larger shares, which long prompts need.
	DefaultSlotsPerServer = 4
)

// Incarnation identifies one run of the process of the entry VM in a slot. Of two incarnations in a slot, the
// one that started later is current, and the earlier one must have ended.
type Incarnation struct {
	Author  record.Author `json:"author"`
	Started time.Time     `json:"started"`
}

func (i Incarnation) compare(j Incarnation) int {
	return cmp.Or(i.Started.Compare(j.Started), i.Author.Compare(j.Author))
}

// equal compares times as instants, since a decoded time may have another location.
func (i Incarnation) equal(j Incarnation) bool { return i.compare(j) == 0 }

// ShareRow is a message from the entry VM of one slot to that of another about their pair pool at one server.
// All counters only grow within a pair of incarnations, so lost, repeated or reordered rows are harmless.
type ShareRow struct {
	Server   string      `json:"server"`
	From     Incarnation `json:"from"`
	FromSlot int         `json:"fromSlot"`
	// To is the incarnation of the receiver that the counters refer to; zero if the sender knows none.
	To     Incarnation `json:"to"`
	ToSlot int         `json:"toSlot"`
	// InitialHolding is what the higher slot held of the pair pool when it learned of To; 0 in rows of the lower slot.
	InitialHolding int64 `json:"opening"`
	// Given is the total that the sender has transferred to the receiver since then.
	Given int64 `json:"gave"`
	// Demand is the highest number of tokens that the sender recently held or wanted to hold at the server.
	Demand int64 `json:"demand"`
	// Suspect is set while the sender runs a crash suspect at the server.
	Suspect bool `json:"suspect"`
}

// Validate checks a row that came from a peer. Counters larger than the pair pool are harmless, since the holding is
// limited to its size.
func (r ShareRow) Validate() error {
	switch {
	case r.Server == "" || len(r.Server) > maxNameBytes:
		return eris.Wrap(ErrInvalid, "server missing or too long")
	case r.From.Author.VM == "" || r.From.Author.Incarnation == "":
		return eris.Wrap(ErrInvalid, "sender missing")
	case r.FromSlot < 0 || r.ToSlot < 0 || r.FromSlot == r.ToSlot:
		return eris.Wrapf(ErrInvalid, "slots %d and %d", r.FromSlot, r.ToSlot)
	case r.InitialHolding < 0 || r.Given < 0 || r.Demand < 0:
		return eris.Wrap(ErrInvalid, "negative tokens")
	}
	return nil
}

// pairPool is a part of a server's capacity that two slots share. When the higher slot learns of a new incarnation of
// the lower one, it reports what it holds; the lower slot holds the rest. From then on, each side only transfers to the
// other and never takes, so that both together never hold more than the pool.
type pairPool struct {
	peerSlot int
	// lowerSlot is true when this VM has the lower slot.
	lowerSlot bool
	size      int64
	// peer is the newest known incarnation of the other slot.
	peer Incarnation
	// established is true once this VM knows how the pool is divided between the two incarnations. Nothing is
	// transferred before.
	established bool
	// initialHolding is what the higher slot held when the two incarnations were paired. Until the pool is established,
	// it is what this VM holds.
	initialHolding  int64
	given, received int64
	peerDemand      int64
	// suspectUntil is when the last report that the peer runs a crash suspect expires.
	suspectUntil time.Time
}

// suspectLifetime is how long a row that reports a crash suspect is valid. Rows are sent every round; this tolerates a
// few lost ones.
const suspectLifetime = 3 * time.Second

// holding is the part of the pool that belongs to this VM.
func (p *pairPool) holding() int64 {
	h := p.initialHolding
	if p.lowerSlot && p.established {
		h = p.size - p.initialHolding
	}
	return min(max(h-p.given+p.received, 0), p.size)
}

// merge applies a row of the other slot. Its counters are used only if they refer to this incarnation.
func (p *pairPool) merge(now time.Time, self Incarnation, r ShareRow) {
	switch c := r.From.compare(p.peer); {
	case c < 0:
		return
	case c > 0:
		p.startPairing(r.From)
	}
	p.peerDemand = r.Demand
	p.suspectUntil = time.Time{}
	if r.Suspect {
		p.suspectUntil = now.Add(suspectLifetime)
	}
	if !r.To.equal(self) {
		return
	}
	if p.lowerSlot && !p.established {
		p.initialHolding = max(r.InitialHolding, 0)
		p.established = true
	}
	p.received = max(p.received, r.Given)
}

// startPairing starts the division with a new incarnation of the other slot. Each side keeps what it holds; of two new
// incarnations neither holds anything. The lower slot gets the rest of the pool once it knows what the higher one
// holds.
func (p *pairPool) startPairing(peer Incarnation) {
	p.initialHolding = p.holding()
	p.established = !p.lowerSlot
	p.peer = peer
	p.given, p.received = 0, 0
}

// transfer moves up to free tokens to the peer when this VM holds clearly more than its part in proportion to the
// demand of both. It returns the number of tokens moved.
func (p *pairPool) transfer(demand, free int64) int64 {
	if !p.established || free <= 0 {
		return 0
	}
	target := p.size / 2
	if sum := demand + p.peerDemand; sum > 0 {
		target = int64(float64(p.size) * float64(demand) / float64(sum))
	}
	excess := min(p.holding()-target, free)
	if excess <= 0 || excess < p.size/minTransferDivisor {
		return 0
	}
	p.given += excess
	return excess
}

// minTransferDivisor sets the least transfer, pool size / minTransferDivisor. It keeps small changes of the demand from
// moving tokens back and forth.
const minTransferDivisor = 16

// shares is what this VM may hold and does hold at one server, in tokens.
type shares struct {
	// fixed is never transferred. For a server of another domain it is the remote share.
	fixed int64
	pools []pairPool
	// limit is fixed plus the holdings of all pools.
	limit int64
	// maxLimit is the highest value that limit can reach: fixed plus the sizes of all pools.
	maxLimit int64
	// held is the sum of the worst-case tokens of the requests in flight. It is at most limit, unless the capacity was
	// lowered.
	held int64
	// demand and lastDemand are the highest sums of held and wanted tokens in this and the previous period.
	demand, lastDemand int64
	// offers holds the offers of the entry VMs of the server's own domain.
	offers []Offer
}

func (s *shares) updateLimit() {
	s.limit, s.maxLimit = s.fixed, s.fixed
	for i := range s.pools {
		s.limit += s.pools[i].holding()
		s.maxLimit += s.pools[i].size
	}
}

func (s *shares) recentDemand() int64 { return max(s.demand, s.lastDemand) }

// rebalance transfers free tokens to peers with more demand.
func (s *shares) rebalance() {
	for i := range s.pools {
		s.limit -= s.pools[i].transfer(s.recentDemand(), s.limit-s.held)
	}
}

// topSlots returns the n slots that rank highest for the server by rendezvous hashing, best first. It depends on
// settings only, so that all VMs agree without communication.
func topSlots(server, domain string, slots, n int) []int {
	all := make([]int, slots)
	weight := make([]uint64, slots)
	for i := range all {
		all[i] = i
		weight[i] = membership.Hash(server, fmt.Sprint(domain, "/", i))
	}
	slices.SortFunc(all, func(a, b int) int {
		return cmp.Or(cmp.Compare(weight[b], weight[a]), cmp.Compare(a, b))
	})
	return all[:min(n, slots)]
}

// suspectTurnTime is the period after which the servers for crash suspects, and the VMs that use them, rotate.
const suspectTurnTime = 5 * time.Second

// suspectSlot returns the slot whose VM may start crash suspects now at the n-th server of a target in the domain, or
// -1. Half of the servers take suspects at a time, so that other requests have servers without suspects. One VM uses a
// server at a time, so that a second crash points to one request. Turns follow the clock, without messages: while the
// clocks of two VMs differ across a change of turns, both may use the same server.
func suspectSlot(now time.Time, slots []int, n int) int {
	turn := int(now.UnixNano() / int64(suspectTurnTime))
	if (n+turn)%2 == 1 {
		return -1
	}
	return slots[(n+turn/2)%len(slots)]
}

// evenPart divides total into n nearly equal integers that add up to total, and returns the i-th.
func evenPart(total int64, n, i int) int64 {
	return total*int64(i+1)/int64(n) - total*int64(i)/int64(n)
}

// localShares returns the fixed share and the pair pools of this VM at a server of its own domain. Existing pools keep
// their counters.
func localShares(c Config, s Server, old []pairPool) (fixed int64, pools []pairPool) {
	slots := topSlots(s.Name, s.Domain, c.slotsOf(s.Domain), c.SlotsPerServer)
	own := slices.Index(slots, c.Slot)
	if own < 0 {
		return 0, nil
	}
	local := s.Capacity - remoteCapacity(c, s)
	fixedTotal := local * fixedPercent / 100
	k := len(slots)
	if k == 1 {
		return local, nil
	}
	pairs := k * (k - 1) / 2
	pair := 0
	for i := range k {
		for j := i + 1; j < k; j++ {
			if i == own || j == own {
				p := pairPool{peerSlot: slots[i+j-own], size: evenPart(local-fixedTotal, pairs, pair)}
				p.lowerSlot = c.Slot < p.peerSlot
				pools = append(pools, keepCounters(p, old))
			}
			pair++
		}
	}
	return evenPart(fixedTotal, k, own), pools
}

func keepCounters(p pairPool, old []pairPool) pairPool {
	for _, o := range old {
		if o.peerSlot == p.peerSlot {
			o.size = p.size
			return o
		}
	}
	return p
}

func remoteCapacity(c Config, s Server) int64 {
	if len(c.Domains) < 2 {
		return 0
	}
	return s.Capacity * remotePercent / 100
}

// remoteShare returns what this VM may hold at a server of another domain: a part of its remote capacity if this VM's
// domain is one of those that share it and this VM's slot ranks first in the domain, else 0.
func remoteShare(c Config, s Server) int64 {
	others := make([]string, 0, len(c.Domains))
	for _, d := range c.Domains {
		if d.Name != s.Domain {
			others = append(others, d.Name)
		}
	}
	slices.SortFunc(others, func(a, b string) int {
		return cmp.Or(cmp.Compare(membership.Hash(s.Name, b), membership.Hash(s.Name, a)), cmp.Compare(a, b))
	})
	others = others[:min(len(others), remoteDomains)]
	i := slices.Index(others, c.Domain)
	if i < 0 || topSlots(s.Name, c.Domain, c.slotsOf(c.Domain), 1)[0] != c.Slot {
		return 0
	}
	return evenPart(remoteCapacity(c, s), len(others), i)
}
