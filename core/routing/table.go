package routing

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/rotisserie/eris"
)

// DomainSlots gives the number of slots of a failure domain: the most entry VMs that run there at once.
type DomainSlots struct {
	Name  string
	Slots int
}

// Config configures a Table.
type Config struct {
	// Self is this incarnation of the entry VM.
	Self   Incarnation
	Domain string
	// Slot is the number of this VM in its domain, from 0 on. No two running VMs of a domain have the same one.
	Slot int
	// Domains lists all failure domains, the same on every VM. The order doesn't matter.
	Domains []DomainSlots
	// SlotsPerServer is the number of slots that have a share of a server, the same on every VM. Default
	// DefaultSlotsPerServer.
	SlotsPerServer int
	// BlockTokens is the size of a block of Request.Prefixes. Default 256.
	BlockTokens int64
	// MaxPrefixes bounds the number of prefixes in the index, about 200 bytes each. Default 16384.
	MaxPrefixes int
	// Seed makes different VMs sample different servers.
	Seed uint64
}

func (c Config) slotsOf(domain string) int {
	for _, d := range c.Domains {
		if d.Name == domain {
			return d.Slots
		}
	}
	return 0
}

func (c Config) validate() error {
	slots := c.slotsOf(c.Domain)
	switch {
	case slots == 0:
		return eris.Wrapf(ErrConfig, "domain %q has no slots", c.Domain)
	case c.Slot < 0 || c.Slot >= slots:
		return eris.Wrapf(ErrConfig, "slot %d is out of range 0 to %d", c.Slot, slots-1)
	case slices.ContainsFunc(c.Domains, func(d DomainSlots) bool { return d.Slots < 1 }):
		return eris.Wrap(ErrConfig, "a domain has fewer than 1 slot")
	case c.SlotsPerServer < 1:
		return eris.Wrapf(ErrConfig, "slots per server is %d, must be at least 1", c.SlotsPerServer)
	}
	return nil
}

// groupKey selects the servers that can run a request.
type groupKey struct {
	target, version, domain string
}

// hold is a placed request that is not released yet.
type hold struct {
	server *server
	tokens int64
	sentAt time.Time
	// work is the number of tokens that were expected to be computed before the first token.
	work int64
	// pending is what the request adds to server.pending; 0 once the first token has arrived.
	pending int64
	suspect bool
}

// poolRef refers to the pair pool at an index of server.pools.
type poolRef struct {
	server *server
	index  int
}

// Table is the routing state of one entry VM. It is not safe for concurrent use.
type Table struct {
	cfg     Config
	servers map[string]*server
	// groups holds the servers where this VM may have a share, sorted by name.
	groups map[groupKey][]*server
	// names holds the names of all servers, sorted, so that loops over servers have a fixed order.
	names       []string
	poolsBySlot map[int][]poolRef
	// rowCursors holds, by slot, where the next call of RowsFor continues; offerCursor is the same for Offers.
	rowCursors map[int]int
	// holds maps the IDs of placements to their holds; lastID is the last ID given.
	holds  map[uint64]hold
	lastID uint64
	// random is the state of the random number generator.
	random   uint64
	prefixes *prefixIndex
	// meanSecondsPerToken is the moving average of secondsPerToken over all servers.
	meanSecondsPerToken float64
	demandPeriodEnd     time.Time
	offerCursor         int
	stopped             bool
}

// NewTable returns a table without servers.
func NewTable(cfg Config) (*Table, error) {
	cfg.SlotsPerServer = cmp.Or(cfg.SlotsPerServer, DefaultSlotsPerServer)
	cfg.BlockTokens = cmp.Or(cfg.BlockTokens, 256)
	cfg.MaxPrefixes = cmp.Or(cfg.MaxPrefixes, 16384)
	// The monotonic clock reading is dropped, since it isn't sent to peers and would make comparisons differ.
	cfg.Self.Started = cfg.Self.Started.Round(0)
	if err := cfg.validate(); err != nil {
		return nil, err
	}
	return &Table{
		cfg:         cfg,
		servers:     map[string]*server{},
		groups:      map[groupKey][]*server{},
		poolsBySlot: map[int][]poolRef{},
		rowCursors:  map[int]int{},
		holds:       map[uint64]hold{},
		random:      cfg.Seed,
		prefixes:    newPrefixIndex(cfg.MaxPrefixes),
	}, nil
}

// SetServers replaces the servers by those of the inventory. Known servers keep their shares, health and held tokens.
func (t *Table) SetServers(list []Server) {
	for _, s := range t.servers {
		s.listed = false
	}
	for _, in := range list {
		s, found := t.servers[in.Name]
		if !found {
			s = &server{}
			t.servers[in.Name] = s
		}
		s.Server, s.listed = in, true
		s.Versions = slices.Clone(in.Versions)
		s.local = in.Domain == t.cfg.Domain
		t.updateShares(s)
	}
	for name, s := range t.servers {
		if !s.listed && s.inFlight == 0 {
			delete(t.servers, name)
		}
	}
	t.reindex()
}

func (t *Table) updateShares(s *server) {
	if s.local {
		s.fixed, s.pools = localShares(t.cfg, s.Server, s.pools)
	} else {
		s.fixed, s.pools = remoteShare(t.cfg, s.Server), nil
	}
	s.updateLimit()
}

// reindex rebuilds the indexes that are derived from the servers.
func (t *Table) reindex() {
	t.names = slices.Sorted(maps.Keys(t.servers))
	clear(t.groups)
	clear(t.poolsBySlot)
	count := map[string]int{}
	for _, name := range t.names {
		s := t.servers[name]
		if s.local && s.listed {
			s.slots = topSlots(s.Name, s.Domain, t.cfg.slotsOf(s.Domain), t.cfg.SlotsPerServer)
			slices.Sort(s.slots)
			s.ordinal = count[s.Target]
			count[s.Target]++
		}
		if s.listed && s.maxLimit > 0 {
			for _, v := range s.Versions {
				key := groupKey{target: s.Target, version: v, domain: s.Domain}
				t.groups[key] = append(t.groups[key], s)
			}
		}
		for i := range s.pools {
			slot := s.pools[i].peerSlot
			t.poolsBySlot[slot] = append(t.poolsBySlot[slot], poolRef{server: s, index: i})
		}
	}
}

// SetPlatformLeaving sets the names of the servers that the platform's list marks as leaving.
func (t *Table) SetPlatformLeaving(names []string) {
	for _, s := range t.servers {
		s.platformLeaving = false
	}
	for _, name := range names {
		if s, found := t.servers[name]; found {
			s.platformLeaving = true
		}
	}
}

// ObserveLoad applies a load report. A report older than the last one is ignored.
func (t *Table) ObserveLoad(l Load) {
	s, found := t.servers[l.Server]
	if !found || l.At.Before(s.load.At) {
		return
	}
	s.load = l
	s.reportedLeaving = l.Leaving
}

// Stop makes the table refuse all requests. A process that learns that a new incarnation has replaced it calls this,
// since the new one has the same shares.
func (t *Table) Stop() { t.stopped = true }

// demandPeriod is the time over which the highest demand is taken. The current and the previous period count.
const demandPeriod = 2 * time.Second

// Tick transfers shares to peers with more demand. It is called before the rows of an exchange round are sent.
func (t *Table) Tick(now time.Time) {
	newPeriod := !now.Before(t.demandPeriodEnd)
	if newPeriod {
		t.demandPeriodEnd = now.Add(demandPeriod)
	}
	for _, name := range t.names {
		s := t.servers[name]
		if newPeriod {
			s.lastDemand, s.demand = s.demand, s.held
		}
		s.rebalance()
	}
}

// RowsFor returns up to limit rows for the entry VM of a slot of the own domain. Repeated calls go through all
// servers that are shared with it.
func (t *Table) RowsFor(slot, limit int) []ShareRow {
	refs := t.poolsBySlot[slot]
	n := min(limit, len(refs))
	rows := make([]ShareRow, 0, n)
	for range n {
		ref := refs[t.rowCursors[slot]%len(refs)]
		t.rowCursors[slot]++
		rows = append(rows, t.shareRow(ref.server, &ref.server.pools[ref.index]))
	}
	return rows
}

func (t *Table) shareRow(s *server, p *pairPool) ShareRow {
	r := ShareRow{
		Server:   s.Name,
		From:     t.cfg.Self,
		FromSlot: t.cfg.Slot,
		To:       p.peer,
		ToSlot:   p.peerSlot,
		Given:    p.given,
		Demand:   s.recentDemand(),
		Suspect:  s.suspects > 0,
	}
	if !p.lowerSlot {
		r.InitialHolding = p.initialHolding
	}
	return r
}

// MergeRows applies the rows of a peer of the own domain. Rows for other slots or unknown servers are ignored; those
// that fail Validate are skipped and counted.
func (t *Table) MergeRows(now time.Time, rows []ShareRow) (skipped int) {
	for _, r := range rows {
		if r.Validate() != nil {
			skipped++
			continue
		}
		s, found := t.servers[r.Server]
		if !found || r.ToSlot != t.cfg.Slot {
			continue
		}
		for i := range s.pools {
			if s.pools[i].peerSlot == r.FromSlot {
				s.pools[i].merge(now, t.cfg.Self, r)
				s.updateLimit()
			}
		}
	}
	return skipped
}

// FirstToken records that the first token of a placement arrived. Further calls have no effect.
func (t *Table) FirstToken(now time.Time, id uint64) {
	h, found := t.holds[id]
	if !found || h.pending == 0 {
		return
	}
	h.server.pending -= h.pending
	h.pending = 0
	t.holds[id] = h
	t.updateSpeed(h.server, now.Sub(h.sentAt), h.work)
}

// Release ends a placement and frees its tokens. Further calls have no effect.
func (t *Table) Release(now time.Time, id uint64, o Outcome) {
	h, found := t.holds[id]
	if !found {
		return
	}
	delete(t.holds, id)
	s := h.server
	s.pending -= h.pending
	s.held -= h.tokens
	s.inFlight--
	if h.suspect {
		s.suspects--
	}
	s.recordOutcome(now, o)
	if o.Crashed {
		s.cache.clearedAt = now
	}
	if !s.listed && s.inFlight == 0 && t.servers[s.Name] == s {
		delete(t.servers, s.Name)
		t.reindex()
	}
}

// speedWeight is the weight of a new sample in the moving averages of the seconds per token.
const speedWeight = 0.2

func (t *Table) updateSpeed(s *server, wait time.Duration, work int64) {
	sample := wait.Seconds() / float64(work)
	s.secondsPerToken = movingAverage(s.secondsPerToken, sample)
	t.meanSecondsPerToken = movingAverage(t.meanSecondsPerToken, sample)
}

func movingAverage(old, sample float64) float64 {
	if old == 0 {
		return sample
	}
	return old + speedWeight*(sample-old)
}
