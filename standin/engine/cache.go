package engine

import (
	"fmt"
	"hash/fnv"
	"net/http"
	"strconv"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"ibiswinch/standin/internal/host"
)

// BlockBytes is the size of a cached block: block i covers the first (i+1)*BlockBytes bytes of a prompt.
const BlockBytes = 256

const (
	// maxEvents is the number of latest cache events that readers can rely on getting.
	maxEvents = 4096
	// maxEventWait bounds a long poll.
	maxEventWait = 30 * time.Second
)

// BlockID names a cached block by the FNV-1a hash of the text from the start of the prompt to the block's end.
type BlockID uint64

// MarshalText implements encoding.TextMarshaler.
func (b BlockID) MarshalText() ([]byte, error) {
	return fmt.Appendf(nil, "%016x", uint64(b)), nil
}

// Blocks returns the complete blocks of the prompt.
func (p Prompt) Blocks() []BlockID {
	hash := fnv.New64a()
	var ids []BlockID
	for rest := p.text; len(rest) >= BlockBytes; rest = rest[BlockBytes:] {
		_, _ = hash.Write([]byte(rest[:BlockBytes]))
		ids = append(ids, BlockID(hash.Sum64()))
	}
	return ids
}

// CacheEventType says what happened to a block.
type CacheEventType string

const (
	CacheEventStored  CacheEventType = "stored"
	CacheEventRemoved CacheEventType = "removed"
)

// CacheEvent is one change of the prefix cache.
type CacheEvent struct {
	// Sequence grows by one per change, so a missing number means a lost event.
	Sequence uint64         `json:"sequence"`
	Type     CacheEventType `json:"type"`
	Block    BlockID        `json:"block"`
	Time     time.Time      `json:"time"`
}

// cache is the prefix cache and its events. Server.mu guards it.
type cache struct {
	now func() time.Time
	// blocks is nil if the size of the cache is 0.
	blocks *simplelru.LRU[BlockID, struct{}]
	// dropInterval is Config.EventDropInterval: every dropInterval-th event is lost; 0 loses none.
	dropInterval uint64
	nextSequence uint64
	// events holds at least the last maxEvents events.
	events []CacheEvent
	// changed is closed and replaced at each event.
	changed chan struct{}
}

func newCache(size int, dropInterval uint64, now func() time.Time) *cache {
	c := &cache{now: now, dropInterval: dropInterval, changed: make(chan struct{})}
	if size > 0 {
		c.blocks, _ = simplelru.NewLRU(size, func(id BlockID, _ struct{}) { c.recordEvent(CacheEventRemoved, id) })
	}
	return c
}

// lookUpOrAdd looks up the blocks of a prompt, adds the missing ones, and returns the number of leading blocks that
// were cached.
func (c *cache) lookUpOrAdd(ids []BlockID) (hits int) {
	if c.blocks == nil {
		return 0
	}
	for i, id := range ids {
		if _, ok := c.blocks.Get(id); ok {
			if hits == i {
				hits++
			}
			continue
		}
		c.blocks.Add(id, struct{}{})
		c.recordEvent(CacheEventStored, id)
	}
	return hits
}

func (c *cache) recordEvent(t CacheEventType, id BlockID) {
	sequence := c.nextSequence
	c.nextSequence++
	if c.dropInterval > 0 && c.nextSequence%c.dropInterval == 0 {
		return
	}
	c.events = append(c.events, CacheEvent{Sequence: sequence, Type: t, Block: id, Time: c.now()})
	if len(c.events) > 2*maxEvents {
		c.events = append([]CacheEvent(nil), c.events[maxEvents:]...)
	}
	close(c.changed)
	c.changed = make(chan struct{})
}

// eventPage is the answer of GET /v1/events.
type eventPage struct {
	Incarnation int `json:"incarnation"`
	// Next is the sequence number to read from next.
	Next   uint64       `json:"next"`
	Events []CacheEvent `json:"events"`
}

// visible returns the events from a sequence number up to a time, and the time of the first later event, or zero.
func (c *cache) visible(from uint64, until time.Time) (events []CacheEvent, nextTime time.Time) {
	events = []CacheEvent{}
	for _, e := range c.events {
		if e.Sequence < from {
			continue
		}
		if e.Time.After(until) {
			return events, e.Time
		}
		events = append(events, e)
	}
	return events, time.Time{}
}

func (s *Server) handleEvents(w http.ResponseWriter, r *http.Request) {
	from, err := strconv.ParseUint(r.URL.Query().Get("from"), 10, 64)
	if err != nil {
		host.WriteError(w, http.StatusBadRequest, "badRequest", "from is not a number")
		return
	}
	waitMs, _ := strconv.Atoi(r.URL.Query().Get("waitMs"))
	deadline := time.After(min(time.Duration(waitMs)*time.Millisecond, maxEventWait))
	for timedOut := false; ; {
		page, nextTime, changed := s.eventPage(from)
		if len(page.Events) > 0 || timedOut {
			host.WriteJSON(w, http.StatusOK, page)
			return
		}
		var visible <-chan time.Time
		if !nextTime.IsZero() {
			visible = time.After(nextTime.Add(s.cfg.EventLag).Sub(s.cfg.Now()))
		}
		select {
		case <-changed:
		case <-visible:
		case <-deadline:
			timedOut = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Server) eventPage(from uint64) (page eventPage, nextTime time.Time, changed <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	events, nextTime := s.cache.visible(from, s.cfg.Now().Add(-s.cfg.EventLag))
	page = eventPage{Incarnation: s.incarnation, Next: from, Events: events}
	if n := len(events); n > 0 {
		page.Next = events[n-1].Sequence + 1
	}
	return page, nextTime, s.cache.changed
}
