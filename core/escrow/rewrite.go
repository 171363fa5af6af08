package escrow

import (
	"slices"
	"time"
)

const (
	// rewriteDelay is how long holders may take to write their own records again before others do it for them.
	rewriteDelay = 600 * time.Millisecond
	// RewriteTimeout is how long holders that don't confirm that they have rewritten their records are waited for. An entry
	// VM that is gone counts as live for as long.
	RewriteTimeout = 8 * time.Second
)

// Rewrite is what an entry VM has to write again after the store was restored from a copy. The copy lacks the newest
// records, so tokens that are reserved look free. Each holder writes its own record again, and that of a holder that
// doesn't is written by those who know it. Until all have done so, nothing is reserved.
// It covers one partition of the store and is not safe for concurrent use.
type Rewrite struct {
	era   uint64
	since time.Time
	// stale holds the keys whose record in the store is older than the one that this entry VM knows.
	stale map[string]bool
	// settled is set once tokens may be reserved in the era.
	settled bool
}

// Begin starts an era of the store.
func (p *Rewrite) Begin(now time.Time, era uint64) {
	p.era, p.since, p.settled = era, now, false
	p.stale = map[string]bool{}
}

// Observe records whether the store's record of a key is older than the known one.
func (p *Rewrite) Observe(key string, stale bool) {
	if stale {
		p.stale[key] = true
	} else {
		delete(p.stale, key)
	}
}

// Stale returns the keys whose known records this entry VM has to write now, sorted: those that other holders haven't
// written themselves in time.
func (p *Rewrite) Stale(now time.Time) []string {
	if now.Sub(p.since) < rewriteDelay {
		return nil
	}
	return p.Missing()
}

// Missing returns the keys whose known records the store lacks, sorted.
func (p *Rewrite) Missing() []string {
	keys := make([]string, 0, len(p.stale))
	for key := range p.stale {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}

// IsDone reports whether the store has all the records again that this entry VM knows.
func (p *Rewrite) IsDone() bool { return len(p.stale) == 0 }

// MayReserve reports whether tokens may be reserved. othersDone reports whether all other live entry VMs have rewritten
// what they know.
func (p *Rewrite) MayReserve(now time.Time, othersDone bool) bool {
	if !p.settled && p.IsDone() && (othersDone || now.Sub(p.since) >= RewriteTimeout) {
		p.settled = true
	}
	return p.settled
}

// Waited returns the time since the era began.
func (p *Rewrite) Waited(now time.Time) time.Duration { return now.Sub(p.since) }

// Era returns the era of the last Begin.
func (p *Rewrite) Era() uint64 { return p.era }
