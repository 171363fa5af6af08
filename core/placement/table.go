// Package placement chooses the backend server of a call. All entry VMs rank the servers for a shared prompt prefix the
// same way without communication (rendezvous hashing), so that one server processes and caches a prefix for all entry
// VMs. The package has no clock, goroutines or I/O.
package placement

import (
	"cmp"
	"math"
	"math/rand/v2"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"time"

	"ibiswinch/core/membership"
)

// Server describes a backend server, as the server itself reports it.
type Server struct {
	ID      string
	Service string
	Addr    netip.AddrPort
	Zone    string
	Version string
	// Slots is the number of requests that the server runs at once.
	Slots int
	// ColdRemaining is how much longer the server stays cold, as of its record.
	ColdRemaining time.Duration
	// Draining servers take no new calls.
	Draining bool
	// Born is the start time of the server. It tells a restarted server from the earlier one with the same id.
	Born time.Time
	// Sequence rises with each report of the server; 0 if it isn't known.
	Sequence uint64
	// Complete is set if the description has all fields that the platform's servers write, those included that may be missing.
	Complete bool
}

// IsPartial reports whether a description lacks fields that the known one of the server has, so that another writer has made it.
func (s Server) IsPartial(known Server) bool { return known.Complete && !s.Complete }

// IsOlder reports whether a description is older than a known one of the same incarnation. A server that drains doesn't
// take that back.
func (s Server) IsOlder(known Server) bool {
	return s.Born.Equal(known.Born) && (s.Sequence < known.Sequence || s.Sequence == known.Sequence && known.Draining && !s.Draining)
}

// Incarnation names the server from one start to its end.
func (s Server) Incarnation() string {
	return s.ID + incarnationSeparator + strconv.FormatInt(s.Born.UnixMilli(), 10)
}

// incarnationSeparator precedes the time of the start in the name of an incarnation.
const incarnationSeparator = "@"

// incarnationID returns the id of the server in the name of an incarnation.
func incarnationID(incarnation string) string {
	return incarnation[:max(strings.LastIndex(incarnation, incarnationSeparator), 0)]
}

// Request describes a call to the table.
type Request struct {
	Service string
	// PrefixID is the ID of the last shared part of the prompt, which identifies the shared prefix; 0 without a prompt.
	// PrefixTokens is the length of the shared prefix and Tokens that of the whole prompt.
	PrefixID     uint64
	PrefixTokens int64
	Tokens       int64
	// TargetLatency is the time in which the first event of a call with a prompt is due; 0 if there is none.
	TargetLatency time.Duration
	// Version, if set, is the only version whose servers may take the call; those of ExcludedVersion may not.
	Version         string
	ExcludedVersion string
	// Regions are those whose servers may take the call.
	Regions Regions
	// Excluded servers have failed this call.
	Excluded []string
}

func (r *Request) allowsVersion(version string) bool {
	return (r.Version == "" || version == r.Version) && (r.ExcludedVersion == "" || version != r.ExcludedVersion)
}

// Placement is a call placed at a server. It counts towards the load of the server until Release.
type Placement struct {
	Server Server
	// Rank is the position of the server in the ranking for the prefix, 0 for its first choice.
	Rank       int
	Candidates int
	tokens     int64
	sentAt     time.Time
	// overloadedAt is when the lack of a first event means that the server is overloaded; zero if it never does.
	overloadedAt time.Time
}

const (
	// minAffinityTokens is the length from which a shared prefix decides the server. Shorter ones go to the least
	// loaded.
	minAffinityTokens = 600
	// maxLoadFactor and maxLoadSlack bound the load of a prefix's first choice: factor times the mean load plus slack.
	maxLoadFactor = 2.0
	maxLoadSlack  = 4
	// tokensPerCall is the number of waiting prompt tokens that count as much as one running call.
	tokensPerCall = 2000
	// maxSlownessFirstChoice is the slowness of its first choice above which a prefix may go to its second choice. A
	// slowness of 1 is the usual one of the service.
	maxSlownessFirstChoice = 2.2
	// slownessWeight is the weight of one call in the slowness, which decays to 1 with the time constant
	// slownessDecayTime. maxSlowness bounds it.
	slownessWeight    = 0.2
	slownessDecayTime = 3 * time.Second
	maxSlowness       = 10
	// firstEventWeight is the weight of one call in the usual time to the first event.
	firstEventWeight = 0.02
	// sizeClassTokens is the upper bound of the smallest class of prompt sizes. Times to the first event below
	// minFirstEventTime count as minFirstEventTime.
	sizeClassTokens   = 1000
	minFirstEventTime = 5 * time.Millisecond
	// overdueFactor is how many times its expected time a first event may take before the server counts as slow. The
	// expected time is at least minExpectedTime.
	overdueFactor   = 5
	minExpectedTime = 80 * time.Millisecond
	// remoteZonePenalty is added to the load of servers in other zones.
	remoteZonePenalty = 1.5
	// initialPause is the pause of a failing server. It doubles with each further failure in a row, up to maxPause. After
	// a pause the server gets one call at a time until one succeeds.
	initialPause = 250 * time.Millisecond
	maxPause     = 3 * time.Second
	// rejectedPause is the pause of a server that rejected a call.
	rejectedPause = 60 * time.Millisecond
	// failureRateWeight is the weight of one call in the moving average of failed calls.
	failureRateWeight = 0.15
	// maxExcessFailureRate is how far the failure rate of a server may exceed that of its service before it is paused.
	maxExcessFailureRate = 0.3
)

type server struct {
	Server
	// runningCalls counts the calls of this entry VM, waitingTokens the prompt tokens of those without a first event.
	runningCalls  int
	waitingTokens int64
	// consecutiveFailures counts failures in a row. The server is paused until pausedUntil.
	consecutiveFailures int
	pausedUntil         time.Time
	// failureRate is the moving average of failed calls, countedCalls the number of calls in it.
	failureRate  float64
	countedCalls int
	// slowness is the moving average of the time to the first event relative to that of the service, slownessAt the
	// time of its last decay.
	slowness   float64
	slownessAt time.Time
	// pendingCalls holds the calls without a first event, oldest first.
	pendingCalls []pendingCall
	// window bounds runningCalls while a server of the service has a limit.
	window window
	// limit is nil unless the server named one. answeredAt is when it last answered this entry VM.
	limit      *requestLimit
	answeredAt time.Time
	// warmup is nil unless the server is cold, or was until lately.
	warmup *warmup
	// misdirected is set when another server has taken over the address.
	misdirected bool
	// announced is nil if the server announced nothing.
	announced *announcement
}

// Table holds the servers of all services and their state. It is not safe for concurrent use.
type Table struct {
	zone   string
	random *rand.Rand
	// vms are the entry VMs that share the limits of servers, by service, this one first.
	vms     map[string][]VM
	servers map[string]*server
	// announcements holds what servers announced, by incarnation.
	announcements map[string]*announcement
	// regions holds the regions of the failure domains.
	regions map[string]string
	// coldLimits holds the limits of cold servers, by service. Before membersKnown this entry VM uses none of them.
	coldLimits   map[string]ColdLimit
	membersKnown bool
	// evacuations holds the failure domains whose servers get no further calls.
	evacuations map[string]*evacuation
	// byService holds the servers of each service, sorted by id.
	byService map[string][]*server
	// failureRates holds the moving average of failed calls by service.
	failureRates map[string]float64
	// firstEventTimes holds the moving averages of the seconds to the first event, by service and prompt size.
	firstEventTimes map[firstEventKey]float64
}

// NewTable returns an empty table for an entry VM in zone.
func NewTable(zone string, seed uint64) *Table {
	return &Table{
		zone: zone, random: rand.New(rand.NewPCG(seed, seed)), vms: map[string][]VM{}, servers: map[string]*server{},
		byService: map[string][]*server{}, failureRates: map[string]float64{},
		firstEventTimes: map[firstEventKey]float64{}, announcements: map[string]*announcement{},
		evacuations: map[string]*evacuation{},
	}
}

// SetServer adds or updates a server. It reports whether the server is new or has changed whether it drains.
func (t *Table) SetServer(s Server) bool {
	old := t.servers[s.ID]
	if old != nil && old.Service == s.Service && old.Addr == s.Addr && old.Born.Equal(s.Born) {
		changed := old.Draining != s.Draining
		old.Server = s
		return changed
	}
	if old != nil {
		t.RemoveServer(s.ID)
	}
	n := &server{Server: s, slowness: 1, announced: t.announcements[s.Incarnation()]}
	t.servers[s.ID] = n
	list := append(t.byService[s.Service], n)
	slices.SortFunc(list, func(a, b *server) int { return cmp.Compare(a.ID, b.ID) })
	t.byService[s.Service] = list
	return true
}

// RemoveServer removes a server and reports whether it existed.
func (t *Table) RemoveServer(id string) bool {
	s := t.servers[id]
	if s == nil {
		return false
	}
	delete(t.servers, id)
	t.byService[s.Service] = slices.DeleteFunc(t.byService[s.Service], func(o *server) bool { return o == s })
	return true
}

// Server returns the description of a server.
func (t *Table) Server(id string) (Server, bool) {
	s := t.servers[id]
	if s == nil {
		return Server{}, false
	}
	return s.Server, true
}

// IDs returns the ids of all servers, in no particular order.
func (t *Table) IDs() []string {
	ids := make([]string, 0, len(t.servers))
	for id := range t.servers {
		ids = append(ids, id)
	}
	return ids
}

// Choose places a call. It reports false if no server takes calls.
func (t *Table) Choose(now time.Time, r Request) (Placement, bool) {
	usable := t.usable(now, r, false)
	if len(usable) == 0 {
		usable = t.usable(now, r, true)
	}
	for _, s := range usable {
		s.decaySlowness(now)
		s.raiseSlowness(now)
	}
	if len(usable) == 0 {
		return Placement{}, false
	}
	var chosen *server
	rank := 0
	if r.PrefixID != 0 && r.PrefixTokens >= minAffinityTokens {
		chosen, rank = t.choosePreferred(usable, r.PrefixID)
	} else {
		chosen = t.chooseLeastLoaded(usable)
	}
	chosen.countCall()
	chosen.runningCalls++
	chosen.waitingTokens += r.Tokens
	if r.Tokens > 0 {
		expected := time.Duration(max(t.firstEventTimes[newFirstEventKey(r.Service, r.Tokens)], minExpectedTime.Seconds()) * float64(time.Second))
		chosen.pendingCalls = append(chosen.pendingCalls, pendingCall{sentAt: now, expected: expected})
	}
	if !chosen.pausedUntil.IsZero() {
		// A server whose pause has ended gets one call at a time until its outcome is known.
		chosen.pausedUntil = now.Add(chosen.pauseDuration())
	}
	p := Placement{Server: chosen.Server, Rank: rank, Candidates: len(usable), tokens: r.Tokens, sentAt: now}
	if r.TargetLatency > 0 {
		p.overloadedAt = now.Add(r.TargetLatency * overloadedPercent / 100)
	}
	return p, true
}

// CommonVersion returns the version that most servers of the service have, other than besides; empty without any.
func (t *Table) CommonVersion(service, besides string) string {
	counts := map[string]int{}
	best := ""
	for _, s := range t.byService[service] {
		if s.Version == besides {
			continue
		}
		counts[s.Version]++
		if n := counts[s.Version]; n > counts[best] || n == counts[best] && s.Version < best {
			best = s.Version
		}
	}
	return best
}

// HasOtherVersion reports whether a server of the service has another version.
func (t *Table) HasOtherVersion(service, version string) bool {
	return slices.ContainsFunc(t.byService[service], func(s *server) bool { return s.Version != version })
}

// HasVersion reports whether a server of the service has the version.
func (t *Table) HasVersion(service, version string) bool {
	return slices.ContainsFunc(t.byService[service], func(s *server) bool { return s.Version == version })
}

// RunningCalls returns the number of calls of this entry VM at servers of the service with other versions than besides.
func (t *Table) RunningCalls(service, besides string) int {
	n := 0
	for _, s := range t.byService[service] {
		if s.Version != besides {
			n += s.runningCalls
		}
	}
	return n
}

// HasServers reports whether the service has servers that take further calls.
func (t *Table) HasServers(service string) bool {
	return slices.ContainsFunc(t.byService[service], func(s *server) bool { return !t.isClosed(s) })
}

// usable returns the servers that may take the call. Those that leave, are evacuated, asked for a wait, or are cold and have had their calls never
// do. Those at their limits don't, unless beyondLimits is set. While there are any of these, evacuated or cold ones, nor do those with full windows, as what the former
// don't take must not overload the others. If all of them are paused, it returns the one whose pause ends first.
func (t *Table) usable(now time.Time, r Request, beyondLimits bool) []*server {
	var usable []*server
	var first *server
	windowed := r.Tokens > 0 && (t.HasLimits(r.Service) || t.hasEvacuatedServers(r.Service) || t.HasColdServers(r.Service))
	for _, s := range t.byService[r.Service] {
		if t.isClosed(s) || slices.Contains(r.Excluded, s.ID) || now.Before(s.waitEnd()) || !s.takesCalls(now, beyondLimits) || !t.takesColdCalls(now, s) {
			continue
		}
		if !r.allowsVersion(s.Version) || !t.allowsRegion(s, r.Regions) {
			continue
		}
		if windowed && s.window.isFull(s.runningCalls, t.random.Float64()) {
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

// choosePreferred returns the server that ranks highest for the prefix, and its rank. It falls back to the second when
// the first is overloaded or slow.
func (t *Table) choosePreferred(usable []*server, prefix uint64) (*server, int) {
	mean := 0.0
	for _, s := range usable {
		mean += s.load()
	}
	mean /= float64(len(usable))
	bound := mean*maxLoadFactor + maxLoadSlack
	key := strconv.FormatUint(prefix, 16)
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
	if first.load() > bound && second.load() < first.load() || first.slowness > maxSlownessFirstChoice && second.slowness < first.slowness/2 {
		return second, 1
	}
	return first, 0
}

// chooseLeastLoaded returns the least loaded server, with a random term against ties. It prefers servers of the own
// zone.
func (t *Table) chooseLeastLoaded(usable []*server) *server {
	var best *server
	bestLoad := math.Inf(1)
	for _, s := range usable {
		load := s.load() + t.random.Float64()/2
		if s.Zone != t.zone {
			load += remoteZonePenalty
		}
		if s.limit != nil {
			load += limitedPenalty
		}
		if load < bestLoad {
			best, bestLoad = s, load
		}
	}
	return best
}

// Random returns a number in [0, 1) from the random source of the table.
func (t *Table) Random() float64 { return t.random.Float64() }
