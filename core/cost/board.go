package cost

import (
	"cmp"
	"container/heap"
	"slices"
	"time"
)

// Load is what a server still has to do for some entry VMs, and what they have seen of its speed.
type Load struct {
	// Server identifies the incarnation of the server.
	Server uint64
	// Running is the number of open calls, Waiting the number of uncached prompt tokens of those without a first event, and
	// Output the number of output tokens that are expected of them.
	Running, Waiting, Output int64
	// Sent is the number of uncached prompt tokens that are sent each second.
	Sent int64
	// SpeedSum is the sum of the logarithms of taken over predicted times, SpeedCount their number. In the report of one
	// entry VM they are those since its last report, in sums those that still count.
	SpeedSum, SpeedCount float64
}

// Report is what an entry VM tells another one of open work at servers.
type Report struct {
	// Sender is the name of the entry VM. Domain is set if Loads are the sums of its failure domain.
	Sender, Domain string
	Loads          []Load
}

// add adds the work of o, or takes it away if sign is -1.
func (l *Load) add(o Load, sign int64) {
	l.Running += sign * o.Running
	l.Waiting += sign * o.Waiting
	l.Output += sign * o.Output
	l.Sent += sign * o.Sent
}

// hasWork reports whether an entry VM has calls at the server.
func (l *Load) hasWork() bool {
	return l.Running != 0 || l.Waiting != 0 || l.Output != 0 || l.Sent != 0
}

// compare orders loads by waiting and sent tokens, then by calls.
func (l *Load) compare(o *Load) int {
	return cmp.Or(cmp.Compare(l.Waiting+l.Sent, o.Waiting+o.Sent), cmp.Compare(l.Running, o.Running), cmp.Compare(l.SpeedCount, o.SpeedCount), cmp.Compare(l.Server, o.Server))
}

const (
	// MaxLoads bounds the servers in one report. Those with the least work are left out.
	MaxLoads = 256
	// maxReporters bounds the entry VMs of a failure domain, and the domains, whose reports are kept; further ones are left out until
	// one expires. maxServers bounds the servers with a sum.
	maxReporters = 1024
	maxServers   = 16384
	// minSpeedWeight is the weight below which what was seen of a server is forgotten.
	minSpeedWeight = 0.2
)

// Board sums the loads that entry VMs of one failure domain, and the collectors of the other domains, report. It is not safe for
// concurrent use.
type Board struct {
	members, domains map[string]boardReport
	// totals are the sums of the reports, index their positions by server.
	totals []boardTotal
	index  map[uint64]int
}

type boardReport struct {
	loads []Load
	until time.Time
}

// boardTotal is the sum of the reports about a server.
type boardTotal struct {
	server uint64
	// domain is the sum of the members, others that of the other domains.
	domain, others Load
	// speed is what the members have seen, othersSpeedSum and othersSpeedCount what the other domains have.
	speed                            Speed
	othersSpeedSum, othersSpeedCount float64
}

// NewBoard returns an empty board.
func NewBoard() *Board {
	return &Board{members: map[string]boardReport{}, domains: map[string]boardReport{}, index: map[uint64]int{}}
}

// SetMember replaces the report of an entry VM, which holds until the given time. Its new observations of speeds are added to
// those of the others.
func (b *Board) SetMember(now time.Time, name string, loads []Load, until time.Time) {
	if isFull(b.members, name) {
		return
	}
	loads = b.withSums(loads)
	b.addMember(b.members[name].loads, -1)
	b.addMember(loads, 1)
	for _, l := range loads {
		if l.SpeedCount > 0 {
			b.total(l.Server).speed.Observe(now, l.SpeedSum, int(l.SpeedCount))
		}
	}
	b.members[name] = boardReport{loads: loads, until: until}
}

// SetDomain replaces the sums of another failure domain, which hold until the given time.
func (b *Board) SetDomain(name string, loads []Load, until time.Time) {
	if isFull(b.domains, name) {
		return
	}
	loads = b.withSums(loads)
	b.addDomain(b.domains[name].loads, -1)
	b.addDomain(loads, 1)
	b.domains[name] = boardReport{loads: loads, until: until}
}

// isFull reports whether the report of a further reporter isn't kept.
func isFull(reports map[string]boardReport, name string) bool {
	_, known := reports[name]
	return !known && len(reports) >= maxReporters
}

// withSums returns the loads of the servers that have a sum or get one.
func (b *Board) withSums(loads []Load) []Load {
	if len(b.totals)+len(loads) <= maxServers {
		return loads
	}
	kept := make([]Load, 0, len(loads))
	for _, l := range loads {
		if _, found := b.index[l.Server]; found || len(b.totals) < maxServers {
			b.total(l.Server)
			kept = append(kept, l)
		}
	}
	return kept
}

// Domain returns the sums of this failure domain for those with the most work.
func (b *Board) Domain(now time.Time) []Load {
	b.expire(now)
	return b.list(now, false)
}

// Fleet returns the sums of all failure domains without the open work of one entry VM, which knows its own better.
func (b *Board) Fleet(now time.Time, besides string) []Load {
	b.expire(now)
	own := b.members[besides].loads
	b.addMember(own, -1)
	defer b.addMember(own, 1)
	return b.list(now, true)
}

// HasOthers reports whether anyone besides one entry VM has reported.
func (b *Board) HasOthers(besides string) bool {
	_, own := b.members[besides]
	return len(b.domains) > 0 || len(b.members) > 1 || len(b.members) == 1 && !own
}

// expire drops the reports that no longer hold.
func (b *Board) expire(now time.Time) {
	for name, r := range b.members {
		if !now.Before(r.until) {
			b.addMember(r.loads, -1)
			delete(b.members, name)
		}
	}
	for name, r := range b.domains {
		if !now.Before(r.until) {
			b.addDomain(r.loads, -1)
			delete(b.domains, name)
		}
	}
}

func (b *Board) addMember(loads []Load, sign int64) {
	for _, l := range loads {
		b.total(l.Server).domain.add(l, sign)
	}
}

func (b *Board) addDomain(loads []Load, sign int64) {
	for _, l := range loads {
		t := b.total(l.Server)
		t.others.add(l, sign)
		t.othersSpeedSum += float64(sign) * l.SpeedSum
		t.othersSpeedCount += float64(sign) * l.SpeedCount
	}
}

// total returns the sum of a server, to be changed before the next call.
func (b *Board) total(server uint64) *boardTotal {
	i, found := b.index[server]
	if !found {
		i = len(b.totals)
		b.index[server] = i
		b.totals = append(b.totals, boardTotal{server: server})
	}
	return &b.totals[i]
}

// drop removes the sum at i.
func (b *Board) drop(i int) {
	last := len(b.totals) - 1
	delete(b.index, b.totals[i].server)
	if i < last {
		b.totals[i] = b.totals[last]
		b.index[b.totals[i].server] = i
	}
	b.totals = b.totals[:last]
}

// list returns the sums of the servers with the most work, and drops those of servers about which nothing is known any more.
func (b *Board) list(now time.Time, withOthers bool) []Load {
	busiest := make(loadHeap, 0, min(len(b.totals), MaxLoads))
	for i := len(b.totals) - 1; i >= 0; i-- {
		t := &b.totals[i]
		l := t.domain
		l.Server = t.server
		l.SpeedSum, l.SpeedCount = t.speed.Sums(now)
		hasSpeed := l.SpeedCount >= minSpeedWeight
		if !hasSpeed {
			l.SpeedSum, l.SpeedCount = 0, 0
		}
		if withOthers {
			l.add(t.others, 1)
			l.SpeedSum += t.othersSpeedSum
			l.SpeedCount += t.othersSpeedCount
		}
		if l.hasWork() || hasSpeed || l.SpeedCount >= minSpeedWeight {
			busiest.offer(l)
		} else if !t.domain.hasWork() && !t.others.hasWork() && t.othersSpeedCount < minSpeedWeight {
			b.drop(i)
		}
	}
	return busiest
}

// Busiest returns at most MaxLoads of the loads: those with the most work.
func Busiest(loads []Load) []Load {
	if len(loads) <= MaxLoads {
		return loads
	}
	slices.SortFunc(loads, func(a, b Load) int { return b.compare(&a) })
	return loads[:MaxLoads]
}

// loadHeap keeps the MaxLoads loads with the most work, the least of them first.
type loadHeap []Load

func (h *loadHeap) offer(l Load) {
	switch {
	case len(*h) < MaxLoads:
		*h = append(*h, l)
		if len(*h) == MaxLoads {
			heap.Init(h)
		}
	case l.compare(&(*h)[0]) > 0:
		(*h)[0] = l
		heap.Fix(h, 0)
	}
}

// Len implements heap.Interface.
func (h loadHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h loadHeap) Less(i, j int) bool { return h[i].compare(&h[j]) < 0 }

// Swap implements heap.Interface.
func (h loadHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *loadHeap) Push(l any) { *h = append(*h, l.(Load)) }

// Pop implements heap.Interface.
func (h *loadHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}
