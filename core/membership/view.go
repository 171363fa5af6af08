package membership

import (
	"cmp"
	"slices"
	"time"

	"ibiswinch/core/record"
)

// RoundInterval is the time between two exchange rounds.
const RoundInterval = 500 * time.Millisecond

// Config configures a View.
type Config struct {
	// Self is this VM's member, with the heartbeat of the process start; see Member.Heartbeat.
	Self Member
	// SuspectAfter is the shortest time without an advance of the heartbeat after which a member is suspected.
	// It is longer in a view that is so large that its members are heard of less often. Default 3 s.
	SuspectAfter time.Duration
	// ForgetAfter is the time without an advance after which a member is removed. It must be longer than any peer
	// still has the member in its digests, or a late digest adds it again for one more SuspectAfter. Default 10 min.
	ForgetAfter time.Duration
	// LocalPartners and RemotePartners bound the partners of a round. Default DefaultLocalPartners and
	// DefaultRemotePartners.
	LocalPartners, RemotePartners int
}

func (c Config) withDefaults() Config {
	c.SuspectAfter = cmp.Or(c.SuspectAfter, 3*time.Second)
	c.ForgetAfter = cmp.Or(c.ForgetAfter, 10*time.Minute)
	c.LocalPartners = cmp.Or(c.LocalPartners, DefaultLocalPartners)
	c.RemotePartners = cmp.Or(c.RemotePartners, DefaultRemotePartners)
	return c
}

// View is what one entry VM knows of the others. It is not safe for concurrent use.
type View struct {
	cfg  Config
	self Member
	// members are sorted by VM, at most one per VM, without this VM.
	members []entry
	// domainSize counts the members per domain, including this VM.
	domainSize map[string]int
	listedVMs  map[string]ListedVM
	lastRound  time.Time
	// seenByPeers is set once a digest of a peer has contained this incarnation.
	seenByPeers bool
	// replaced is set once a newer incarnation of this VM is known.
	replaced bool
	// rounds counts the calls of Partners; digests counts those of Digest.
	rounds, digests uint64
}

type entry struct {
	Member
	// heartbeatAt is when the heartbeat last advanced, by the clock of this VM.
	heartbeatAt time.Time
}

// NewView returns a view that holds only this VM.
func NewView(cfg Config) *View {
	cfg = cfg.withDefaults()
	return &View{
		cfg:        cfg,
		self:       cfg.Self,
		domainSize: map[string]int{cfg.Self.Domain: 1},
		listedVMs:  map[string]ListedVM{},
	}
}

// Self returns this VM's member.
func (v *View) Self() Member { return v.self }

// Replaced reports that a newer incarnation of this VM exists. The process should stop taking requests.
func (v *View) Replaced() bool { return v.replaced }

// SetLeaving announces the planned stop of this VM.
func (v *View) SetLeaving() {
	v.self.Leaving = true
	v.self.Heartbeat++
}

// StartRound starts a round: it advances this VM's heartbeat and removes members whose heartbeat has not advanced for
// ForgetAfter.
func (v *View) StartRound(now time.Time) {
	v.self.Heartbeat++
	// While this process was paused it could not hear of the others, so the time of the pause doesn't count against them.
	if gap := now.Sub(v.lastRound); !v.lastRound.IsZero() && gap > v.cfg.SuspectAfter/2 {
		for i := range v.members {
			v.members[i].heartbeatAt = v.members[i].heartbeatAt.Add(gap)
		}
	}
	v.lastRound = now
	v.members = slices.DeleteFunc(v.members, func(e entry) bool {
		forgotten := !now.Before(e.heartbeatAt.Add(v.cfg.ForgetAfter))
		if forgotten {
			v.addToDomainSize(e.Domain, -1)
		}
		return forgotten
	})
}

// Merge merges the digest of a peer. Members that fail Validate are skipped and counted. The result doesn't depend on
// the order in which digests arrive, and a repeated digest changes nothing.
func (v *View) Merge(now time.Time, members []Member) (skipped int) {
	for _, m := range members {
		if m.Validate() != nil {
			skipped++
			continue
		}
		if m.Author.VM == v.self.Author.VM {
			v.mergeSelf(m)
			continue
		}
		v.mergeOther(now, m)
	}
	return skipped
}

// mergeSelf merges a member of this VM. A process that starts after its clock was set back has a lower heartbeat than
// its predecessor; it raises its own above that. Once a digest has contained this incarnation, a higher heartbeat of
// another one means that this process was replaced while it was paused, and it must not raise its heartbeat above its
// successor's.
func (v *View) mergeSelf(m Member) {
	switch {
	case m.Author == v.self.Author:
		v.seenByPeers = true
	case m.Heartbeat < v.self.Heartbeat:
	case v.seenByPeers:
		v.replaced = true
	default:
		v.self.Heartbeat = m.Heartbeat + 1
	}
}

func (v *View) mergeOther(now time.Time, m Member) {
	i, found := v.find(m.Author.VM)
	if !found {
		v.members = slices.Insert(v.members, i, entry{Member: m, heartbeatAt: now})
		v.addToDomainSize(m.Domain, 1)
		return
	}
	e := &v.members[i]
	if m.compare(e.Member) <= 0 {
		return
	}
	v.addToDomainSize(e.Domain, -1)
	v.addToDomainSize(m.Domain, 1)
	*e = entry{Member: m, heartbeatAt: now}
}

func (v *View) addToDomainSize(domain string, delta int) {
	v.domainSize[domain] += delta
	if v.domainSize[domain] == 0 {
		delete(v.domainSize, domain)
	}
}

func (v *View) find(vm string) (int, bool) {
	return slices.BinarySearchFunc(v.members, vm, func(e entry, vm string) int {
		return cmp.Compare(e.Author.VM, vm)
	})
}

// SetListedVMs replaces the platform's VM list.
func (v *View) SetListedVMs(listed []ListedVM) {
	clear(v.listedVMs)
	for _, vm := range listed {
		if vm.VM != v.self.Author.VM && vm.Addr.IsValid() {
			v.listedVMs[vm.VM] = vm
		}
	}
}

// suspectAfter returns the time without an advance of the heartbeat after which e is suspected. Members of this VM's
// domain are contacted in rotation; they are suspected after two full rotations at the earliest. Members of other
// domains are mostly heard of through digests.
func (v *View) suspectAfter(e *entry) time.Duration {
	if e.Domain != v.self.Domain {
		return max(2*v.cfg.SuspectAfter, time.Duration(len(v.members))*remoteIntervalPerMember)
	}
	rotationRounds := (v.domainSize[e.Domain] + v.cfg.LocalPartners - 1) / v.cfg.LocalPartners
	return max(v.cfg.SuspectAfter, 2*time.Duration(rotationRounds)*RoundInterval)
}

func (v *View) isSuspected(now time.Time, e *entry) bool {
	return !now.Before(e.heartbeatAt.Add(v.suspectAfter(e)))
}

func (v *View) isLeaving(e *entry) bool { return e.Leaving || v.listedVMs[e.Author.VM].Leaving }

// IsLive reports whether the process is the newest known incarnation of its VM and not suspected.
func (v *View) IsLive(now time.Time, a record.Author) bool {
	if a.VM == v.self.Author.VM {
		return a == v.self.Author
	}
	i, found := v.find(a.VM)
	return found && v.members[i].Author == a && !v.isSuspected(now, &v.members[i])
}

// Lookup returns the newest known incarnation of a VM.
func (v *View) Lookup(vm string) (Member, bool) {
	if vm == v.self.Author.VM {
		return v.self, true
	}
	i, found := v.find(vm)
	if !found {
		return Member{}, false
	}
	return v.members[i].Member, true
}

// Live returns the members of a domain that are neither suspected nor leaving, including this VM, sorted by VM.
func (v *View) Live(now time.Time, domain string) []Member {
	var live []Member
	for i := range v.members {
		e := &v.members[i]
		if e.Domain == domain && !v.isSuspected(now, e) && !v.isLeaving(e) {
			live = append(live, e.Member)
		}
	}
	if domain == v.self.Domain && !v.self.Leaving {
		i, _ := slices.BinarySearchFunc(live, v.self.Author.VM, func(m Member, vm string) int {
			return cmp.Compare(m.Author.VM, vm)
		})
		live = slices.Insert(live, i, v.self)
	}
	return live
}

// Rank returns up to n live members of the domain by their rendezvous weight for key, highest first. For a team's key
// the first is the holder of the team's budget and the next ones are its witnesses, see package budget. The weight
// depends on the VM name, not on the incarnation, so a restart doesn't move keys.
func (v *View) Rank(now time.Time, domain, key string, n int) []Member {
	live := v.Live(now, domain)
	slices.SortStableFunc(live, func(a, b Member) int {
		return cmp.Or(
			cmp.Compare(Hash(key, b.Author.VM), Hash(key, a.Author.VM)),
			cmp.Compare(a.Author.VM, b.Author.VM),
		)
	})
	return live[:min(n, len(live))]
}

// Dump returns the state of all known members, this VM first.
func (v *View) Dump(now time.Time) []Status {
	dump := []Status{{Member: v.self, State: Live, PlatformLeaving: false}}
	for i := range v.members {
		e := &v.members[i]
		s := Status{
			Member:          e.Member,
			State:           Live,
			SuspectAt:       e.heartbeatAt.Add(v.suspectAfter(e)),
			PlatformLeaving: v.listedVMs[e.Author.VM].Leaving,
		}
		if v.isSuspected(now, e) {
			s.State = Suspected
		}
		dump = append(dump, s)
	}
	return dump
}
