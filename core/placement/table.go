// Package placement chooses the backend server of a call. All entry VMs rank the servers of a chain of prompt parts the
// same way without talking to each other, so that a server reads a shared part once for the whole fleet. Nothing here
// has a clock, a goroutine or I/O.
package placement

import (
	"cmp"
	"math"
	"math/rand/v2"
	"net/netip"
	"slices"
	"strconv"
	"time"

	"ibiswinch/core/membership"
)

// Server is what a server says of itself.
type Server struct {
	ID      string
	Service string
	Addr    netip.AddrPort
	Zone    string
	Version string
	Slots   int
	// Draining servers take nothing new.
	Draining bool
	// Born is the start of the server; a server that starts again under its id has another one.
	Born time.Time
}

// Request describes a call to the table.
type Request struct {
	Service string
	// Session is the longest shared chain of the prompt, 0 without one. SharedTokens is its length and Tokens that of
	// the whole prompt.
	Session      uint64
	SharedTokens int64
	Tokens       int64
	// Excluded servers have failed this call.
	Excluded []string
}

// Placement is the hold that a call has on a server.
type Placement struct {
	Server Server
	// Rank is the place of the server in the order of the chain, 0 for its first choice.
	Rank       int
	Candidates int
	tokens     int64
	sentAt     time.Time
}

const (
	// chainTokens is the length of a shared chain from which its place goes before the load.
	chainTokens = 600
	// crowdedFactor and crowdedSlack bound the load of the first choice against the mean load.
	crowdedFactor = 2.0
	crowdedSlack  = 4
	// tokensPerPlace weighs the prompt tokens that wait at a server against running calls.
	tokensPerPlace = 2000
	// slowServer is the slowness from which a chain goes to its second choice.
	slowServer     = 2.2
	slownessWeight = 0.2
	slownessMemory = 3 * time.Second
	maxSlowness    = 10
	usualWeight    = 0.02
	// sizeStep is the smallest class of prompt sizes, minFirst the least time that is compared.
	sizeStep = 1000
	minFirst = 5 * time.Millisecond
	// overdue is how many times the usual time a first event may take before the server is suspected; minDue is the
	// least usual time.
	overdue = 5
	minDue  = 80 * time.Millisecond
	// remotePenalty is the load that another zone must be better by.
	remotePenalty = 1.5
	// firstPause and maxPause bound how long a failing server gets nothing but a single trial.
	firstPause = 250 * time.Millisecond
	maxPause   = 3 * time.Second
	fullPause  = 60 * time.Millisecond
	// failureWeight is the weight of one call in the average of failures.
	failureWeight = 0.15
	// failingShare is the share of failures, beyond that of the service, from which a server is paused.
	failingShare = 0.3
)

type server struct {
	Server
	// running counts the calls of this entry VM, waiting the prompt tokens of those without a first event.
	running int
	waiting int64
	// strikes counts failures in a row; the server is paused until the deadline.
	strikes     int
	pausedUntil time.Time
	// failures is the moving average of failed answers.
	failures float64
	answers  int
	// slowness is the moving average of the time to the first event against that of the service, slowAt its last change.
	slowness float64
	slowAt   time.Time
	// unanswered are the calls without a first event, oldest first.
	unanswered []pending
	// gone servers have another owner of their address.
	gone bool
}

// Table knows the servers of all services. It is not safe for concurrent use.
type Table struct {
	zone    string
	random  *rand.Rand
	servers map[string]*server
	// byService is sorted by id.
	byService map[string][]*server
	// failures is the moving average of each service.
	failures map[string]float64
	// firsts are the moving averages of the time to the first event, by service and size of the prompt.
	firsts map[firstKey]float64
}

// NewTable returns an empty table for an entry VM in zone.
func NewTable(zone string, seed uint64) *Table {
	return &Table{
		zone: zone, random: rand.New(rand.NewPCG(seed, seed)), servers: map[string]*server{},
		byService: map[string][]*server{}, failures: map[string]float64{},
		firsts: map[firstKey]float64{},
	}
}

// Set adds or updates a server. It reports whether the server is new or takes calls no more.
func (t *Table) Set(s Server) bool {
	old := t.servers[s.ID]
	if old != nil && old.Service == s.Service && old.Addr == s.Addr && old.Born.Equal(s.Born) {
		changed := old.Draining != s.Draining
		old.Server = s
		return changed
	}
	if old != nil {
		t.Remove(s.ID)
	}
	n := &server{Server: s, slowness: 1}
	t.servers[s.ID] = n
	list := append(t.byService[s.Service], n)
	slices.SortFunc(list, func(a, b *server) int { return cmp.Compare(a.ID, b.ID) })
	t.byService[s.Service] = list
	return true
}

// Remove forgets a server and reports whether there was one.
func (t *Table) Remove(id string) bool {
	s := t.servers[id]
	if s == nil {
		return false
	}
	delete(t.servers, id)
	t.byService[s.Service] = slices.DeleteFunc(t.byService[s.Service], func(o *server) bool { return o == s })
	return true
}

// IDs returns the servers that the table knows.
func (t *Table) IDs() []string {
	ids := make([]string, 0, len(t.servers))
	for id := range t.servers {
		ids = append(ids, id)
	}
	return ids
}

// Choose places a call. It reports false if no server takes calls.
func (t *Table) Choose(now time.Time, r Request) (Placement, bool) {
	usable := t.usable(now, r)
	for _, s := range usable {
		s.decaySlowness(now)
		s.raiseSlowness(now)
	}
	if len(usable) == 0 {
		return Placement{}, false
	}
	var chosen *server
	rank := 0
	if r.Session != 0 && r.SharedTokens >= chainTokens {
		chosen, rank = t.byChain(usable, r.Session)
	} else {
		chosen = t.byLoad(usable)
	}
	chosen.running++
	chosen.waiting += r.Tokens
	if r.Tokens > 0 {
		due := time.Duration(max(t.firsts[keyOf(r.Service, r.Tokens)], minDue.Seconds()) * float64(time.Second))
		chosen.unanswered = append(chosen.unanswered, pending{sentAt: now, due: due})
	}
	if !chosen.pausedUntil.IsZero() {
		// One trial at a time, until its outcome is known.
		chosen.pausedUntil = now.Add(chosen.pause())
	}
	return Placement{Server: chosen.Server, Rank: rank, Candidates: len(usable), tokens: r.Tokens, sentAt: now}, true
}

// usable lists the servers that may take the call; if all of them are paused, the one whose pause ends first.
func (t *Table) usable(now time.Time, r Request) []*server {
	var usable []*server
	var first *server
	for _, s := range t.byService[r.Service] {
		if s.Draining || s.gone || slices.Contains(r.Excluded, s.ID) {
			continue
		}
		if now.Before(s.pausedUntil) {
			if first == nil || s.pausedUntil.Before(first.pausedUntil) {
				first = s
			}
			continue
		}
		usable = append(usable, s)
	}
	if len(usable) == 0 && first != nil {
		return []*server{first}
	}
	return usable
}

// byChain takes the first server in the order of the chain that isn't crowded.
func (t *Table) byChain(usable []*server, chain uint64) (*server, int) {
	mean := 0.0
	for _, s := range usable {
		mean += s.load()
	}
	mean /= float64(len(usable))
	bound := mean*crowdedFactor + crowdedSlack
	key := strconv.FormatUint(chain, 16)
	var first, second *server
	var firstScore, secondScore uint64
	for _, s := range usable {
		score := membership.Hash(key, s.ID)
		switch {
		case first == nil || score > firstScore:
			second, secondScore = first, firstScore
			first, firstScore = s, score
		case second == nil || score > secondScore:
			second, secondScore = s, score
		}
	}
	if second == nil {
		return first, 0
	}
	if first.load() > bound && second.load() < first.load() || first.slowness > slowServer && second.slowness < first.slowness/2 {
		return second, 1
	}
	return first, 0
}

// byLoad takes the least loaded server; ties are broken at random. Servers of the own zone are preferred.
func (t *Table) byLoad(usable []*server) *server {
	var best *server
	bestLoad := math.Inf(1)
	for _, s := range usable {
		load := s.load() + t.random.Float64()/2
		if s.Zone != t.zone {
			load += remotePenalty
		}
		if load < bestLoad {
			best, bestLoad = s, load
		}
	}
	return best
}

// Random returns a number in [0, 1) from the table's source.
func (t *Table) Random() float64 { return t.random.Float64() }
