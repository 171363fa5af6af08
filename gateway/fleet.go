package gateway

import (
	"context"
	"encoding/json"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"ibiswinch/core/event"
	"ibiswinch/core/keyed"
	"ibiswinch/io/apexlog"
)

const (
	// digestInterval is how often an entry VM says that it lives.
	digestInterval = time.Second
	// digestPerVM stretches the interval in a large fleet.
	digestPerVM = 30 * time.Millisecond
	// minDigestInterval bounds the digests that answer others.
	minDigestInterval = 200 * time.Millisecond
	// memberTimeout is how long an entry VM counts after its last digest.
	memberTimeout = 8 * time.Second
	// clockError covers the time that a digest takes to be read, and the differences of good clocks.
	clockError = firstDigestRead + 200*time.Millisecond
	// minClocks is the number of other entry VMs whose time of day has to be known before it is trusted.
	minClocks = 2
	// digestRead is the pause between reads of the others' digests; it is shorter while their clocks aren't known.
	digestRead      = time.Second
	firstDigestRead = 60 * time.Millisecond
	firstDigests    = 3 * time.Second
)

// digest is what an entry VM tells the others.
type digest struct {
	Incarnation string `json:"incarnation"`
	// Address is where the author serves other entry VMs.
	Address string `json:"address,omitempty"`
	// Zone is the author's failure domain; Leaving is set when it stops.
	Zone    string `json:"zone,omitempty"`
	Leaving bool   `json:"leaving,omitempty"`
	// Time is the author's time of day in Unix milliseconds.
	Time    int64   `json:"time"`
	Crashes []crash `json:"crashes,omitempty"`
}

// fleetController tells the other entry VMs about this one and keeps what they tell.
type fleetController struct {
	cfg      Config
	follow   follower
	suspects *suspectController
	started  time.Time
	// soon is signalled when another entry VM has started and waits for the digests of the others.
	soon chan struct{}

	mu      sync.Mutex
	members map[string]time.Time
	// addresses are those of the others; silent are the deadlines until which some count as out of reach.
	addresses map[string]netip.AddrPort
	silent    map[string]time.Time
	// zones are the failure domains of all entry VMs that don't leave; homes are chosen among them.
	zones map[string]string
	homes map[string][]string
	// read is set when the last words of the others are known; before that this entry VM is no home.
	read bool
	// leaving is set when this entry VM stops.
	leaving atomic.Bool
	// offsets are the times of day of the others against the own one.
	offsets map[string]time.Duration
	// lives are the incarnations of the others.
	lives map[string]string
	// away is set while the log doesn't answer; the members are kept as they were.
	away bool
}

func newFleetController(cfg Config, suspects *suspectController) *fleetController {
	f := &fleetController{cfg: cfg, suspects: suspects, members: map[string]time.Time{}, offsets: map[string]time.Duration{}, started: cfg.Now(),
		soon: make(chan struct{}, 1), lives: map[string]string{}, addresses: map[string]netip.AddrPort{}, silent: map[string]time.Time{},
		zones: map[string]string{cfg.Name: cfg.Zone}, homes: map[string][]string{}}
	f.follow = follower{
		cfg: cfg, partition: keyed.Partition{Stream: keyed.Fleet}, apply: f.apply,
		snapshot: f.snapshot, lost: func(time.Time) { f.setAway(true) }, regained: func(time.Time) { f.setAway(false) },
	}
	return f
}

func (f *fleetController) loop(ctx context.Context) error {
	done := make(chan error, 1)
	go func() { done <- f.runAnnounce(ctx) }()
	f.follow.pace = f.readPause
	err := f.follow.loop(ctx)
	<-done
	return err
}

func (f *fleetController) readPause() time.Duration {
	if f.cfg.Now().Sub(f.started) < firstDigests {
		return firstDigestRead
	}
	return max(digestRead, time.Duration(f.count())*digestPerVM/2)
}

// runAnnounce writes the digest until ctx ends. A digest that fails isn't repeated: the next one says the same.
func (f *fleetController) runAnnounce(ctx context.Context) error {
	for ctx.Err() == nil {
		_ = f.announce(ctx)
		pause(ctx, minDigestInterval)
		f.awaitNext(ctx)
	}
	return ctx.Err()
}

// awaitNext waits until the next digest is due, or another entry VM has started.
func (f *fleetController) awaitNext(ctx context.Context) {
	timer := time.NewTimer(max(digestInterval, time.Duration(f.count())*digestPerVM) - minDigestInterval)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-f.soon:
	}
}

func (f *fleetController) announce(ctx context.Context) error {
	value, err := json.Marshal(digest{
		Incarnation: f.cfg.Incarnation, Address: f.cfg.Address.String(), Zone: f.cfg.Zone, Leaving: f.leaving.Load(), Time: f.cfg.Now().UnixMilli(), Crashes: f.suspects.own(),
	})
	if err != nil {
		return eris.Wrap(err, "encode digest")
	}
	_, err = f.cfg.Log.Append(ctx, f.follow.partition, []keyed.Record{{Key: f.cfg.Name, Value: value}}, nil)
	return err
}

func (f *fleetController) setAway(away bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.away = away
	if !away {
		now := f.cfg.Now()
		for name := range f.members {
			f.members[name] = now
		}
	}
}

// snapshot takes the last words of all entry VMs. They say nothing about the time now.
func (f *fleetController) snapshot(records []keyed.Record) {
	for _, r := range records {
		f.take(r, false)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.read = true
	clear(f.homes)
}

func (f *fleetController) apply(r keyed.Record) { f.take(r, true) }

func (f *fleetController) take(r keyed.Record, fresh bool) {
	var d digest
	if err := json.Unmarshal(r.Value, &d); err != nil {
		f.cfg.Events.Event(event.RecordSkipped, apexlog.Fields{"key": r.Key, "offset": r.Offset, "error": err.Error()})
		return
	}
	f.mu.Lock()
	now := f.cfg.Now()
	f.members[r.Key] = now
	if addr, err := netip.ParseAddrPort(d.Address); err == nil && r.Key != f.cfg.Name {
		f.addresses[r.Key] = addr
		f.setZone(r.Key, d)
	}
	if fresh && r.Key != f.cfg.Name {
		f.answerStart(r.Key, d.Incarnation)
		f.offsets[r.Key] = time.UnixMilli(d.Time).Sub(now.Round(0))
	}
	f.mu.Unlock()
	if r.Key != f.cfg.Name {
		f.suspects.merge(r.Key, d.Crashes)
	}
}

// answerStart answers an entry VM that has started with a digest. The caller holds mu.
func (f *fleetController) answerStart(name, incarnation string) {
	if f.lives[name] == incarnation {
		return
	}
	f.lives[name] = incarnation
	select {
	case f.soon <- struct{}{}:
	default:
	}
}

// count is the number of entry VMs that share the rules of the fleet, this one included.
func (f *fleetController) count() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.cfg.Now()
	n := 0
	for name, seen := range f.members {
		switch {
		case name == f.cfg.Name:
		case f.away || now.Sub(seen) < memberTimeout:
			n++
		default:
			delete(f.members, name)
			delete(f.offsets, name)
			delete(f.addresses, name)
			f.dropZone(name)
			f.cfg.Events.Event(event.PeerGone, apexlog.Fields{"peer": name, "age": now.Sub(seen).String()})
		}
	}
	return n + 1
}

// offset is the median of the fleet's times of day against the own one, so that a minority of clocks that jump is
// without effect. The caller holds mu.
func (f *fleetController) offset() time.Duration {
	all := []time.Duration{0}
	for _, o := range f.offsets {
		all = append(all, o)
	}
	slices.Sort(all)
	return all[(len(all)-1)/2]
}

// timeOfDay is the fleet's time of day. It is never ahead of it by more than the difference of good clocks.
func (f *fleetController) timeOfDay() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.cfg.Now().Round(0).Add(f.offset())
}

// ageAtStart is the most that can have passed between a time of the fleet and the start of this process. It is unknown
// until enough other entry VMs have told their time.
func (f *fleetController) ageAtStart(t time.Time) (time.Duration, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.offsets) < minClocks || 2*len(f.offsets) < len(f.members) {
		return 0, false
	}
	now := f.cfg.Now()
	start := now.Round(0).Add(f.offset() - now.Sub(f.started))
	age := start.Sub(t) + clockError
	return age, age > 0
}
