package routing

import "time"

// Bounds of the prefix index.
const (
	// maxLocations is the number of servers remembered per prefix.
	maxLocations = 3
	// maxBlocks bounds the prefixes of one request that are looked up and remembered.
	maxBlocks = 32
	// prefixLifetime is how long a prefix is expected to stay in a cache after it was last used or reported.
	prefixLifetime = 5 * time.Minute
)

// CacheEvent reports changes of a server's prefix cache. Events may be delayed or lost.
type CacheEvent struct {
	Server string
	// Sequence grows by one per event of a server; a gap shows lost events.
	Sequence uint64
	At       time.Time
	Stored   []uint64
	Evicted  []uint64
	// Cleared is set when the whole cache was dropped.
	Cleared bool
}

// cacheState is the state of the cache events of one server.
type cacheState struct {
	sequence uint64
	// gapAt is the time of the event that showed a gap. The event of an eviction before it may have been lost.
	gapAt time.Time
	// clearedAt is when the cache was last empty.
	clearedAt time.Time
}

// location is a server that is expected to cache a prefix.
type location struct {
	server *server
	// at is when the prefix was last sent there or reported.
	at time.Time
}

// weightPercent is the weight of the location in percent, by which its cached tokens are multiplied: one recorded before
// a gap counts half, an expired one nothing.
func (l location) weightPercent(now time.Time) int64 {
	switch c := l.server.cache; {
	case !l.at.After(c.clearedAt) || !now.Before(l.at.Add(prefixLifetime)):
		return 0
	case l.at.Before(c.gapAt):
		return 50
	}
	return 100
}

type locations [maxLocations]location

// prefixIndex records at which servers prefixes were last computed. When it is full, the oldest prefix is dropped.
type prefixIndex struct {
	entries map[uint64]locations
	// ring holds the keys in the order of insertion. Once it is full, next is the index of the oldest.
	ring []uint64
	next int
}

func newPrefixIndex(size int) *prefixIndex {
	return &prefixIndex{entries: make(map[uint64]locations, size), ring: make([]uint64, 0, size)}
}

// add records that s computed the prefix. If the prefix has maxLocations locations, the oldest is replaced.
func (p *prefixIndex) add(hash uint64, s *server, at time.Time) {
	if cap(p.ring) == 0 {
		return
	}
	l, found := p.entries[hash]
	if !found {
		p.insertKey(hash)
	}
	oldest := 0
	for i := range l {
		if l[i].server == s {
			oldest = i
			break
		}
		if l[i].at.Before(l[oldest].at) {
			oldest = i
		}
	}
	if l[oldest].server != s || l[oldest].at.Before(at) {
		l[oldest] = location{server: s, at: at}
	}
	p.entries[hash] = l
}

// insertKey adds the hash to the ring and drops the oldest prefix if the ring is full.
func (p *prefixIndex) insertKey(hash uint64) {
	if len(p.ring) < cap(p.ring) {
		p.ring = append(p.ring, hash)
		return
	}
	delete(p.entries, p.ring[p.next])
	p.ring[p.next] = hash
	p.next = (p.next + 1) % len(p.ring)
}

// evict removes the location unless the prefix was sent there after the event.
func (p *prefixIndex) evict(hash uint64, s *server, at time.Time) {
	l, found := p.entries[hash]
	if !found {
		return
	}
	for i := range l {
		if l[i].server == s && !l[i].at.After(at) {
			l[i] = location{}
		}
	}
	p.entries[hash] = l
}

// lookup returns the tokens of the longest cached prefix at each of up to maxLocations servers, longest prefix first.
func (p *prefixIndex) lookup(now time.Time, prefixes []uint64, blockTokens int64) (out [maxLocations]cachedPrefix) {
	n := 0
	for i := min(len(prefixes), maxBlocks) - 1; i >= 0 && n < maxLocations; i-- {
		for _, l := range p.entries[prefixes[i]] {
			if l.server == nil || n == maxLocations || containsServer(out[:n], l.server) {
				continue
			}
			if v := l.weightPercent(now); v > 0 {
				out[n] = cachedPrefix{server: l.server, tokens: int64(i+1) * blockTokens * v / 100}
				n++
			}
		}
	}
	return out
}

type cachedPrefix struct {
	server *server
	tokens int64
}

func containsServer(list []cachedPrefix, s *server) bool {
	for _, c := range list {
		if c.server == s {
			return true
		}
	}
	return false
}

// ObserveCache applies a cache event. Of an event that arrives after a later one of the same server, only the stored
// and evicted prefixes are used.
func (t *Table) ObserveCache(e CacheEvent) {
	s, found := t.servers[e.Server]
	if !found {
		return
	}
	if s.cache.sequence > 0 && e.Sequence > s.cache.sequence+1 && e.At.After(s.cache.gapAt) {
		s.cache.gapAt = e.At
	}
	s.cache.sequence = max(s.cache.sequence, e.Sequence)
	if e.Cleared && e.At.After(s.cache.clearedAt) {
		s.cache.clearedAt = e.At
	}
	for _, h := range e.Stored {
		t.prefixes.add(h, s, e.At)
	}
	for _, h := range e.Evicted {
		t.prefixes.evict(h, s, e.At)
	}
}
