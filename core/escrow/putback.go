package escrow

import (
	"slices"
	"time"
)

const (
	// putBackDelay is how long holders may take to write their own records again before others do it for them.
	putBackDelay = 600 * time.Millisecond
	// PutBackTimeout is how long holders that don't confirm that they have put their records back are waited for. An entry
	// VM that is gone counts as live for as long.
	PutBackTimeout = 8 * time.Second
)

// PutBack is what an entry VM has to write again after the store was restored from a copy. The copy lacks the newest
// records, so tokens that are reserved look free. Each holder writes its own record again, and that of a holder that
// doesn't is written by those who know it. Until all have done so, nothing is reserved.
// It covers one partition of the store and is not safe for concurrent use.
type PutBack struct {
	era   uint64
	since time.Time
	// stale holds the keys whose record in the store is older than the one that this entry VM knows.
	stale map[string]bool
	// settled is set once tokens may be reserved in the era.
	settled bool
}

// Begin starts an era of the store.
func (p *PutBack) Begin(now time.Time, era uint64) {
	p.era, p.since, p.settled = era, now, false
	p.stale = map[string]bool{}
}

// Observe records whether the store's record of a key is older than the known one.
func (p *PutBack) Observe(key string, stale bool) {
	if stale {
		p.stale[key] = true
	} else {
		delete(p.stale, key)
	}
}

// Stale returns the keys whose known records this entry VM has to write now, sorted: those that other holders haven't
// written themselves in time.
func (p *PutBack) Stale(now time.Time) []string {
	if now.Sub(p.since) < putBackDelay {
		return nil
	}
	return p.Missing()
}

// Missing returns the keys whose known records the store lacks, sorted.
func (p *PutBack) Missing() []string {
	keys := make([]string, 0, len(p.stale))
	for key := range p.stale {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}

// IsDone reports whether the store has all the records again that this entry VM knows.
func (p *PutBack) IsDone() bool { return len(p.stale) == 0 }

// MayReserve reports whether tokens may be reserved. othersDone reports whether all other live entry VMs have put back
// what they know.
func (p *PutBack) MayReserve(now time.Time, othersDone bool) bool {
	if !p.settled && p.IsDone() && (othersDone || now.Sub(p.since) >= PutBackTimeout) {
		p.settled = true
	}
	return p.settled
}

// Waited returns the time since the era began.
func (p *PutBack) Waited(now time.Time) time.Duration { return now.Sub(p.since) }

// Era returns the era of the last Begin.
func (p *PutBack) Era() uint64 { return p.era }
