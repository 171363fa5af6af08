package retry

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/rotisserie/eris"
)

const (
	// crashWindow is the time within which reports of a crash of one server mean the same crash: entry VMs notice it at
	// different times. A server may restart within it, so no suspect is sent there again before its end.
	crashWindow = 5 * time.Second
	// maxCrashes bounds the reports kept per fingerprint. The latest ones are kept: if the earliest were, the result of a
	// merge would depend on whether a completion was merged before or after the crashes.
	maxCrashes = 8
	// maxNameBytes bounds the names in an entry.
	maxNameBytes = 128
)

// ErrInvalid is returned for an entry that fails Validate.
var ErrInvalid = eris.New("invalid quarantine entry")

// Crash is the report of one entry VM that a server crashed with the request in flight.
type Crash struct {
	Server string    `json:"server"`
	At     time.Time `json:"at"`
	// Started is when the request was sent to the server.
	Started time.Time `json:"started"`
}

// InFlight is a request that was in flight at a crash.
type InFlight struct {
	Fingerprint string
	Started     time.Time
}

// compare orders crashes by server, then by time.
func (c Crash) compare(d Crash) int {
	return cmp.Or(cmp.Compare(c.Server, d.Server), c.At.Compare(d.At), c.Started.Compare(d.Started))
}

// compareTime orders crashes by time, then by server.
func compareTime(c, d Crash) int {
	return cmp.Or(c.At.Compare(d.At), cmp.Compare(c.Server, d.Server), c.Started.Compare(d.Started))
}

// Entry holds the crashes of the requests with one fingerprint, as entry VMs exchange it.
type Entry struct {
	Fingerprint string `json:"fingerprint"`
	// Crashes are sorted by time and server.
	Crashes []Crash `json:"crashes"`
	// ClearedAt is when the request last completed. Crashes up to then don't count.
	ClearedAt time.Time `json:"clearedAt"`
	// ExpiresAt is when the entry is removed.
	ExpiresAt time.Time `json:"expiresAt"`
}

// Validate checks an entry that came from a peer.
func (e Entry) Validate() error {
	switch {
	case e.Fingerprint == "" || len(e.Fingerprint) > maxNameBytes:
		return eris.Wrap(ErrInvalid, "fingerprint missing or too long")
	case len(e.Crashes) > maxCrashes:
		return eris.Wrapf(ErrInvalid, "%d crashes", len(e.Crashes))
	case e.ExpiresAt.IsZero():
		return eris.Wrap(ErrInvalid, "expiry time missing")
	}
	for _, c := range e.Crashes {
		if c.Server == "" || len(c.Server) > maxNameBytes {
			return eris.Wrap(ErrInvalid, "server missing or too long")
		}
	}
	return nil
}

// merge merges o, an entry of the same fingerprint, into e and reports whether e changed. It is idempotent, commutative
// and associative: the crashes are a union, of which the latest are kept, and the times are maxima.
func (e *Entry) merge(o Entry) (changed bool) {
	if o.ExpiresAt.After(e.ExpiresAt) {
		e.ExpiresAt = o.ExpiresAt
		changed = true
	}
	if o.ClearedAt.After(e.ClearedAt) {
		e.ClearedAt = o.ClearedAt
		changed = true
	}
	for _, c := range o.Crashes {
		changed = e.addCrash(c) || changed
	}
	before := len(e.Crashes)
	e.Crashes = slices.DeleteFunc(e.Crashes, func(c Crash) bool { return !c.At.After(e.ClearedAt) })
	return changed || len(e.Crashes) != before
}

func (e *Entry) addCrash(c Crash) bool {
	// Crashes are compared as values, so their times are all kept in UTC.
	c.At, c.Started = c.At.Round(0).UTC(), c.Started.Round(0).UTC()
	i, found := slices.BinarySearchFunc(e.Crashes, c, compareTime)
	full := len(e.Crashes) == maxCrashes
	if found || full && i == 0 || !c.At.After(e.ClearedAt) {
		return false
	}
	e.Crashes = slices.Insert(e.Crashes, i, c)
	if full {
		e.Crashes = e.Crashes[1:]
	}
	return true
}

// State is how requests with a fingerprint are treated.
type State string

// States of a fingerprint.
const (
	Clear State = "clear"
	// Suspect requests were in flight at a crash. They run only on servers with few other requests.
	Suspect State = "suspect"
	// Quarantined requests are refused until the entry expires.
	Quarantined State = "quarantined"
)

// CheckResult says how to treat one request.
type CheckResult struct {
	State State
	// Until is when the state ends; zero if clear.
	Until time.Time
	// Avoid are the servers that crashed with the request in flight. They are used only if there are no others.
	Avoid []string
	// Barred are those of Avoid that crashed within crashWindow. They are not used at all: another crash there would be
	// taken for the same one. BarredUntil is when to check again; zero if there are none.
	Barred      []string
	BarredUntil time.Time
}

// avoid adds the server of a crash with the request in flight.
func (r *CheckResult) avoid(now time.Time, c Crash) {
	if !slices.Contains(r.Avoid, c.Server) {
		r.Avoid = append(r.Avoid, c.Server)
	}
	until := c.At.Add(crashWindow)
	if !now.Before(until) || !now.After(c.At.Add(-crashWindow)) {
		return
	}
	if !slices.Contains(r.Barred, c.Server) {
		r.Barred = append(r.Barred, c.Server)
	}
	if r.BarredUntil.IsZero() || until.Before(r.BarredUntil) {
		r.BarredUntil = until
	}
}

// QuarantineConfig configures a Quarantine.
type QuarantineConfig struct {
	// Lifetime is how long an entry lasts after its last crash. Default 10 min.
	Lifetime time.Duration
	// MaxEntries bounds the fingerprints kept. Default 10,000.
	MaxEntries int
}

// Quarantine holds the crashing requests that one entry VM knows of. It is not safe for concurrent use.
type Quarantine struct {
	cfg     QuarantineConfig
	entries map[string]*entry
	// stale is set when the states have to be derived again.
	stale bool
	// nextEntry is where Entries continues among the entries that aren't quarantined.
	nextEntry int
}

type entry struct {
	Entry
	state State
	// involvements are in the order of time of their incidents. They are valid when the quarantine isn't stale.
	involvements []*involvement
}

// NewQuarantine returns an empty quarantine.
func NewQuarantine(cfg QuarantineConfig) *Quarantine {
	cfg.Lifetime = cmp.Or(cfg.Lifetime, 10*time.Minute)
	cfg.MaxEntries = cmp.Or(cfg.MaxEntries, 10_000)
	return &Quarantine{cfg: cfg, entries: map[string]*entry{}}
}

// Crashed records that a server crashed with requests in flight. It reports whether peers should be told at once.
func (q *Quarantine) Crashed(now time.Time, server string, requests []InFlight) bool {
	now = now.Round(0)
	for _, r := range requests {
		q.merge(now, Entry{
			Fingerprint: r.Fingerprint,
			Crashes:     []Crash{{Server: server, At: now, Started: r.Started}},
			ExpiresAt:   now.Add(q.cfg.Lifetime),
		})
	}
	return len(requests) > 0
}

// Completed clears a request that ran to its end.
func (q *Quarantine) Completed(now time.Time, fingerprint string) {
	if e, found := q.entries[fingerprint]; found && now.After(e.ClearedAt) {
		q.merge(now, Entry{Fingerprint: fingerprint, ClearedAt: now.Round(0), ExpiresAt: e.ExpiresAt})
	}
}

// Merge merges the entries of a peer. Entries that fail Validate are skipped and counted.
func (q *Quarantine) Merge(now time.Time, entries []Entry) (skipped int) {
	for _, e := range entries {
		if e.Validate() != nil {
			skipped++
			continue
		}
		// A peer with a wrong clock must not keep an entry longer than one lifetime from now.
		if latest := now.Round(0).Add(q.cfg.Lifetime); e.ExpiresAt.After(latest) {
			e.ExpiresAt = latest
		}
		q.merge(now, e)
	}
	return skipped
}

func (q *Quarantine) merge(now time.Time, in Entry) {
	if !now.Before(in.ExpiresAt) {
		return
	}
	e, found := q.entries[in.Fingerprint]
	if !found {
		q.evictIfFull()
		e = &entry{Entry: Entry{Fingerprint: in.Fingerprint}}
		q.entries[in.Fingerprint] = e
	}
	if e.merge(in) {
		q.stale = true
	}
}

// evictIfFull removes an entry if the quarantine is full: a clear one if there is one, else a suspect, else a
// quarantined one; among equals the one that expires first.
func (q *Quarantine) evictIfFull() {
	if len(q.entries) < q.cfg.MaxEntries {
		return
	}
	var first *entry
	for _, e := range q.entries {
		if first == nil || compareEviction(e, first) < 0 {
			first = e
		}
	}
	delete(q.entries, first.Fingerprint)
	q.stale = true
}

func compareEviction(a, b *entry) int {
	return cmp.Or(
		cmp.Compare(evictionRank(a.state), evictionRank(b.state)),
		a.ExpiresAt.Compare(b.ExpiresAt),
		cmp.Compare(a.Fingerprint, b.Fingerprint),
	)
}

func evictionRank(s State) int {
	switch s {
	case Quarantined:
		return 2
	case Suspect:
		return 1
	}
	return 0
}

// Expire removes the entries that have expired.
func (q *Quarantine) Expire(now time.Time) {
	for f, e := range q.entries {
		if !now.Before(e.ExpiresAt) {
			delete(q.entries, f)
			q.stale = true
		}
	}
}

// Check returns how to treat a request.
func (q *Quarantine) Check(now time.Time, fingerprint string) CheckResult {
	q.deriveStates()
	e, found := q.entries[fingerprint]
	if !found || e.state == Clear || !now.Before(e.ExpiresAt) {
		return CheckResult{State: Clear}
	}
	result := CheckResult{State: e.state, Until: e.ExpiresAt}
	for _, c := range e.Crashes {
		result.avoid(now, c)
	}
	return result
}

// Entries returns up to limit entries for a peer: the quarantined ones first, then the others in rotation.
func (q *Quarantine) Entries(limit int) []Entry {
	q.deriveStates()
	var first, rest []Entry
	for _, f := range slices.Sorted(maps.Keys(q.entries)) {
		e := q.entries[f]
		if e.state == Quarantined {
			first = append(first, e.clone())
		} else {
			rest = append(rest, e.clone())
		}
	}
	out := first[:min(limit, len(first))]
	for range min(limit-len(out), len(rest)) {
		out = append(out, rest[q.nextEntry%len(rest)])
		q.nextEntry++
	}
	return out
}

func (e *entry) clone() Entry {
	c := e.Entry
	c.Crashes = slices.Clone(c.Crashes)
	return c
}

// Status is one line of the operator's dump.
type Status struct {
	Entry
	State State `json:"state"`
}

// Dump returns all entries, sorted by fingerprint.
func (q *Quarantine) Dump() []Status {
	q.deriveStates()
	dump := make([]Status, 0, len(q.entries))
	for _, f := range slices.Sorted(maps.Keys(q.entries)) {
		dump = append(dump, Status{Entry: q.entries[f].clone(), State: q.entries[f].state})
	}
	return dump
}
