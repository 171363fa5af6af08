package gateway

import (
	"context"
	"maps"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"ibiswinch/core/event"
	"ibiswinch/core/keyed"
	"ibiswinch/core/membership"
	"ibiswinch/core/placement"
	"ibiswinch/io/apexlog"
)

const (
	// heartbeatInterval is the time between two heartbeats of an entry VM.
	heartbeatInterval = time.Second
	// heartbeatIntervalPerVM times the number of entry VMs is the least interval. It bounds the load on the log.
	heartbeatIntervalPerVM = 30 * time.Millisecond
	// minHeartbeatInterval is the least interval when heartbeats are sent early for entry VMs that have just started.
	minHeartbeatInterval = 200 * time.Millisecond
	// membershipHeartbeats is the number of heartbeats of each entry VM after which all that live are listed.
	membershipHeartbeats = 2
	// memberTimeout is how long an entry VM counts as live after its last heartbeat, in a small fleet.
	memberTimeout = 8 * time.Second
	// maxListedAge is how much older than the newest one the last heartbeat of a live entry VM may be in a list. It covers
	// memberTimeout and clocks that have jumped.
	maxListedAge = 12 * time.Second
	// firstEra is the era of a log that was never restored.
	firstEra keyed.Era = 1
	// maxClockError covers the time until a heartbeat is read and the differences between correct clocks.
	maxClockError = startupReadInterval + 200*time.Millisecond
	// minKnownClocks is the number of other entry VMs whose clocks must be known before the fleet's time is trusted.
	minKnownClocks = 2
	// readInterval is the pause between reads of heartbeats. During startupPeriod, while the clocks of the others aren't
	// known yet, it is startupReadInterval.
	readInterval        = time.Second
	startupReadInterval = 60 * time.Millisecond
	startupPeriod       = 3 * time.Second
	// minReadWait and readWaitPerVM times the number of entry VMs are the least time that a read of a stream with few
	// records waits.
	minReadWait   = time.Second
	readWaitPerVM = 10 * time.Millisecond
	// processMemory is how long a process that isn't heard any more is remembered: the age of a copy, an outage of the log and
	// the wait for others after it.
	processMemory = 30 * time.Second
	// maxVMNameBytes bounds the name of an entry VM.
	maxVMNameBytes = 128
)

// fleetController sends heartbeats to the other entry VMs and tracks theirs.
type fleetController struct {
	cfg     Config
	follow  follower
	started time.Time
	// servers has the limits to tell the others. It is set before loop.
	servers *serverController
	// rollouts has the evidence to tell the others, budgets what was rewritten into the ledger. They are set before loop.
	rollouts *rolloutController
	budgets  *budgetController
	// announceNow requests an early heartbeat: another entry VM has started and needs this one's state, or this one stops.
	announceNow chan struct{}

	mu sync.Mutex
	// members maps the known entry VMs to the time at which their last heartbeat was read.
	members map[string]time.Time
	// addresses are those of the other entry VMs; unreachableUntil is how long one that didn't answer counts as
	// unreachable.
	addresses        map[string]netip.AddrPort
	unreachableUntil map[string]time.Time
	// zones maps all entry VMs that aren't leaving to their failure domains; primaries caches those chosen for each team.
	zones     map[string]string
	primaries map[string][]string
	// loaded is set once the last heartbeats of the others were read; before that no primaries are chosen.
	loaded bool
	// listedSince is the time since which heartbeats are read without interruption in an era, until knowsMembers is set:
	// all live entry VMs were listed in the era membersKnownIn.
	listedSince    time.Time
	knowsMembers   bool
	membersKnownIn keyed.Era
	// restored holds the eras that the members have confirmed in heartbeats, settled is the latest one in which one of them
	// may reserve tokens.
	restored map[string]keyed.Era
	settled  keyed.Era
	// ledgerRead is how far the others have read the partitions of the ledger.
	ledgerRead map[string][]ledgerPosition
	// drained are the version changes whose old servers have no calls of an entry VM any more.
	drained map[string][]string
	// calls holds the calls that the other entry VMs had lately, by name and service.
	calls map[string]map[string]int
	// overloaded are the other entry VMs that are overloaded. load knows whether this one is; it is set before loop.
	overloaded map[string]bool
	load       *loadController
	// leaving is set when this entry VM stops.
	leaving atomic.Bool
	// clockOffsets are the differences of the other entry VMs' clocks to the own one.
	clockOffsets map[string]time.Duration
	// incarnations are those of the other entry VMs, to notice restarts.
	incarnations map[string]string
	// processes are the processes of other entry VMs that were heard lately, by incarnation.
	processes map[string]heardProcess
	// logDown is set while the log is unavailable. No members are removed then.
	logDown bool
}

func newFleetController(cfg Config) *fleetController {
	f := &fleetController{
		cfg: cfg, members: map[string]time.Time{}, restored: map[string]keyed.Era{}, ledgerRead: map[string][]ledgerPosition{}, drained: map[string][]string{}, clockOffsets: map[string]time.Duration{}, calls: map[string]map[string]int{},
		started: cfg.Now(), announceNow: make(chan struct{}, 1), incarnations: map[string]string{}, processes: map[string]heardProcess{},
		addresses: map[string]netip.AddrPort{}, unreachableUntil: map[string]time.Time{},
		zones: map[string]string{cfg.Name: cfg.Zone}, primaries: map[string][]string{}, overloaded: map[string]bool{},
	}
	f.follow = follower{
		cfg: cfg, partition: keyed.Partition{Stream: keyed.Fleet}, apply: f.apply,
		snapshot: f.snapshot, onLogDown: func(time.Time) { f.setLogDown(true) }, onLogUp: func(_, _ time.Time) { f.setLogDown(false) },
	}
	return f
}

func (f *fleetController) loop(ctx context.Context) error {
	done := make(chan error, 1)
	go func() { done <- f.runAnnounce(ctx) }()
	f.follow.interval = f.nextReadInterval
	err := f.follow.loop(ctx)
	<-done
	return err
}

func (f *fleetController) nextReadInterval() time.Duration {
	if f.cfg.Now().Sub(f.started) < startupPeriod {
		return startupReadInterval
	}
	if f.budgets.isRewriting() {
		return max(startupReadInterval, time.Duration(f.count())*rewriteIntervalPerVM)
	}
	return f.nextInterval(max(readInterval, time.Duration(f.count())*heartbeatIntervalPerVM/2))
}

// readWait is how long reads of streams with few records wait, so that those of all entry VMs stay a small part of what the
// store allows.
func (f *fleetController) readWait() time.Duration {
	return max(minReadWait, time.Duration(f.count())*readWaitPerVM)
}

// nextInterval shortens the usual interval while a version change is open, as far as the size of the fleet allows.
func (f *fleetController) nextInterval(usual time.Duration) time.Duration {
	if usual > heartbeatInterval || !f.rollouts.isOpen() {
		return usual
	}
	return max(evidenceInterval, time.Duration(f.count())*heartbeatIntervalPerVM)
}

func (f *fleetController) setLogDown(down bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.logDown = down
	if !down {
		now := f.cfg.Now()
		f.listedSince = now
		for name := range f.members {
			f.members[name] = now
		}
	}
}

// snapshot applies the last heartbeats of all entry VMs. They may be old, so they tell nothing about the clocks, and only
// the first snapshot shows entry VMs that live. Those that are gone are listed for good.
func (f *fleetController) snapshot(records []keyed.Record) {
	listed := map[string]heartbeat{}
	for _, r := range records {
		if h, ok := f.decode(r); ok {
			listed[r.Key] = h
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	oldest := latestTime(f.cfg.Now(), listed).Add(-max(maxListedAge, 2*announceInterval(len(listed))))
	for name, h := range listed {
		f.setSettled(h)
		if _, known := f.members[name]; known || !f.loaded && !time.UnixMilli(h.Time).Before(oldest) {
			f.set(name, h, false)
		}
	}
	f.loaded, f.listedSince = true, f.cfg.Now()
	clear(f.primaries)
}

// noteMembers takes note that a heartbeat was read. Once that has been possible for some heartbeats of each entry VM, all that
// live are listed. The caller holds mu.
func (f *fleetController) noteMembers() {
	if f.knowsMembers || f.cfg.Now().Sub(f.listedSince) < membershipHeartbeats*announceInterval(len(f.members)) {
		return
	}
	f.knowsMembers, f.membersKnownIn = true, f.follow.era
}

// knewMembersBefore reports whether all live entry VMs were listed in an earlier era. The list that is read in era may lack
// the newest.
func (f *fleetController) knewMembersBefore(era keyed.Era) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.knowsMembers && f.membersKnownIn < era
}

func (f *fleetController) apply(r keyed.Record) {
	h, ok := f.decode(r)
	if !ok {
		return
	}
	if r.Key != f.cfg.Name {
		f.servers.setPeerLimits(r.Key, h.Limits)
		f.servers.setPeerLeaving(r.Key, h.LeavingServers)
		f.rollouts.merge(r.Key, h.Evidence)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.set(r.Key, h, true)
	f.noteMembers()
}

// set applies one heartbeat. fresh is set if it was read soon after it was written, so that it tells the time of the
// sender's clock. The caller holds mu.
func (f *fleetController) set(name string, h heartbeat, fresh bool) {
	now := f.cfg.Now()
	f.setSettled(h)
	f.members[name] = now
	if h.Restored != nil {
		f.restored[name] = *h.Restored
	} else if fresh {
		// The sender has read nothing of the ledger before this era.
		f.restored[name] = f.follow.era
	}
	f.calls[name], f.ledgerRead[name], f.drained[name], f.overloaded[name] = h.Calls, h.Ledger, h.Drained, h.Overloaded
	if addr, err := netip.ParseAddrPort(h.Address); err == nil && name != f.cfg.Name {
		f.addresses[name] = addr
		f.setZone(name, h)
	}
	if fresh && name != f.cfg.Name {
		f.answerNewIncarnation(name, h.Incarnation)
		f.hearProcess(h, f.restored[name])
		f.clockOffsets[name] = time.UnixMilli(h.Time).Sub(now.Round(0))
	}
}

// answerNewIncarnation requests an early heartbeat if an entry VM has started. The caller holds mu.
func (f *fleetController) answerNewIncarnation(name, incarnation string) {
	if f.incarnations[name] == incarnation {
		return
	}
	f.incarnations[name] = incarnation
	f.requestAnnounce()
}

// memberTimeoutOf returns how long an entry VM counts as live after its last heartbeat in a fleet of n.
func memberTimeoutOf(n int) time.Duration { return max(memberTimeout, 2*announceInterval(n)) }

// setSettled takes note of the era in which the sender of a heartbeat may reserve tokens. The caller holds mu.
func (f *fleetController) setSettled(h heartbeat) {
	if h.Settled != nil {
		f.settled = max(f.settled, *h.Settled)
	}
}

// haveRestored reports whether the others have rewritten what they know in an era of the log. An entry VM that remembers an
// earlier era knows who they are. Any other one relies on those that do, as the list of entry VMs may be restored as
// well. In the first era nothing was lost.
func (f *fleetController) haveRestored(era keyed.Era, remembers bool) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !remembers {
		return era <= firstEra || f.settled >= era
	}
	now, timeout := f.cfg.Now(), memberTimeoutOf(len(f.members))
	for name, seen := range f.members {
		if name == f.cfg.Name || now.Sub(seen) >= timeout {
			continue
		}
		if restored, known := f.restored[name]; !known || restored < era {
			return false
		}
	}
	return true
}

// heardProcess is what is known of a process of another entry VM.
type heardProcess struct {
	// firstEra is the era in which it was heard first, restored the latest one that it has confirmed.
	firstEra, restored keyed.Era
	heardAt            time.Time
	// leaving is set if it stops as planned, and so passes on what it knows.
	leaving bool
}

// hearProcess takes note of a heartbeat that was read soon after it was written. The caller holds mu.
func (f *fleetController) hearProcess(h heartbeat, restored keyed.Era) {
	now := f.cfg.Now()
	if _, known := f.processes[h.Incarnation]; !known {
		maps.DeleteFunc(f.processes, func(_ string, p heardProcess) bool { return now.Sub(p.heardAt) > processMemory })
		f.processes[h.Incarnation] = heardProcess{firstEra: f.follow.era}
	}
	p := f.processes[h.Incarnation]
	p.heardAt, p.restored, p.leaving = now, restored, h.Leaving
	f.processes[h.Incarnation] = p
}

// missingProcesses returns the number of processes of earlier eras that have neither confirmed an era nor stopped as
// planned: they have ended or don't reach the log, and may have known reservations that it lacks.
func (f *fleetController) missingProcesses(era keyed.Era) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	now, n := f.cfg.Now(), 0
	for _, p := range f.processes {
		if p.firstEra < era && p.restored < era && !p.leaving && now.Sub(p.heardAt) <= processMemory {
			n++
		}
	}
	return n
}

// hasReadLedger reports whether another entry VM has read a partition of the ledger up to an offset in an era.
func (f *fleetController) hasReadLedger(partition int, era keyed.Era, end uint64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for name, positions := range f.ledgerRead {
		if name != f.cfg.Name && partition < len(positions) && positions[partition].Era == era && positions[partition].Next >= end {
			return true
		}
	}
	return false
}

// count is the number of live entry VMs, this one included. It removes those whose heartbeats have stopped.
func (f *fleetController) count() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	now, timeout := f.cfg.Now(), memberTimeoutOf(len(f.members))
	n := 0
	for name, seen := range f.members {
		switch {
		case name == f.cfg.Name:
		case f.logDown || now.Sub(seen) < timeout:
			n++
		default:
			delete(f.calls, name)
			delete(f.members, name)
			delete(f.restored, name)
			delete(f.ledgerRead, name)
			delete(f.drained, name)
			delete(f.overloaded, name)
			delete(f.clockOffsets, name)
			delete(f.addresses, name)
			f.dropZone(name)
			f.cfg.Events.Event(event.PeerTimedOut, apexlog.Fields{"peer": name, "age": now.Sub(seen).String()})
		}
	}
	return n + 1
}

// sharers are the live entry VMs with their calls of a service, this one first with calls. Those that are leaving still
// send calls.
func (f *fleetController) sharers(service string, calls int) []placement.VM {
	f.mu.Lock()
	defer f.mu.Unlock()
	list := []placement.VM{{Name: f.cfg.Name, Calls: calls}}
	for _, name := range slices.Sorted(maps.Keys(f.members)) {
		if name != f.cfg.Name {
			list = append(list, placement.VM{Name: name, Calls: f.calls[name][service]})
		}
	}
	return list
}

// membersKnown reports whether all live entry VMs are known.
func (f *fleetController) membersKnown() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.knowsMembers
}

// isFirst reports whether this entry VM ranks first for key among the live ones other than besides.
func (f *fleetController) isFirst(key, besides string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	own := membership.Hash(key, f.cfg.Name)
	for name := range f.members {
		if name != besides && name != f.cfg.Name && membership.Hash(key, name) > own {
			return false
		}
	}
	return f.cfg.Name != besides
}

// medianClockOffset is the median of the differences of the fleet's clocks to the own one. The median isn't affected by
// a minority of clocks that jump. The caller holds mu.
func (f *fleetController) medianClockOffset() time.Duration {
	all := []time.Duration{0}
	for _, o := range f.clockOffsets {
		all = append(all, o)
	}
	slices.Sort(all)
	return all[(len(all)-1)/2]
}

// timeOfDay is the fleet's wall-clock time: the own clock plus the median offset. It is ahead of the true time by no
// more than the difference between correct clocks.
func (f *fleetController) timeOfDay() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.cfg.Now().Round(0).Add(f.medianClockOffset())
}

// ageAtStart is the longest time that can have passed between t, in the fleet's time, and the start of this process. It
// is unknown until the clocks of enough other entry VMs are known.
func (f *fleetController) ageAtStart(t time.Time) (time.Duration, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.clockOffsets) < minKnownClocks || 2*len(f.clockOffsets) < len(f.members) {
		return 0, false
	}
	now := f.cfg.Now()
	start := now.Round(0).Add(f.medianClockOffset() - now.Sub(f.started))
	age := start.Sub(t) + maxClockError
	return age, age > 0
}
