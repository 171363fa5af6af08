package gateway

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"ibiswinch/core/event"
	"ibiswinch/core/keyed"
	"ibiswinch/io/apexlog"
)

const (
	// digestInterval is how often an entry VM says that it lives, and reads what the others say.
	digestInterval = time.Second
	// memberTimeout is how long an entry VM counts after its last digest.
	memberTimeout = 5 * time.Second
)

// digest is what an entry VM tells the others.
type digest struct {
	Incarnation string  `json:"incarnation"`
	Count       uint64  `json:"count"`
	Leaving     bool    `json:"leaving,omitempty"`
	Crashes     []crash `json:"crashes,omitempty"`
}

// fleetController tells the other entry VMs about this one and keeps what they tell.
type fleetController struct {
	cfg      Config
	follow   follower
	suspects *suspectController
	sent     uint64

	mu      sync.Mutex
	members map[string]time.Time
	// away is set while the log doesn't answer; the members are kept as they were.
	away bool
}

func newFleetController(cfg Config, suspects *suspectController) *fleetController {
	f := &fleetController{cfg: cfg, suspects: suspects, members: map[string]time.Time{}}
	f.follow = follower{
		cfg: cfg, partition: keyed.Partition{Stream: keyed.Fleet}, interval: digestInterval, apply: f.apply,
		snapshot: func(records []keyed.Record) {
			for _, r := range records {
				f.apply(r)
			}
		},
		lost: func(time.Time) { f.setAway(true) }, regained: func(time.Time) { f.setAway(false) },
	}
	return f
}

func (f *fleetController) loop(ctx context.Context) error {
	done := make(chan error, 1)
	go func() { done <- f.runAnnounce(ctx) }()
	err := f.follow.loop(ctx)
	<-done
	return err
}

// runAnnounce writes the digest until ctx ends. A digest that fails isn't repeated: the next one says the same.
func (f *fleetController) runAnnounce(ctx context.Context) error {
	for ctx.Err() == nil {
		_ = f.announce(ctx, false)
		pause(ctx, digestInterval)
	}
	return ctx.Err()
}

func (f *fleetController) announce(ctx context.Context, leaving bool) error {
	f.sent++
	value, err := json.Marshal(digest{
		Incarnation: f.cfg.Incarnation, Count: f.sent, Leaving: leaving, Crashes: f.suspects.own(),
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

func (f *fleetController) apply(r keyed.Record) {
	var d digest
	if err := json.Unmarshal(r.Value, &d); err != nil {
		f.cfg.Events.Event(event.RecordSkipped, apexlog.Fields{"key": r.Key, "offset": r.Offset, "error": err.Error()})
		return
	}
	f.mu.Lock()
	if d.Leaving {
		delete(f.members, r.Key)
	} else {
		f.members[r.Key] = f.cfg.Now()
	}
	f.mu.Unlock()
	if r.Key != f.cfg.Name {
		f.suspects.merge(r.Key, d.Crashes)
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
			f.cfg.Events.Event(event.PeerGone, apexlog.Fields{"peer": name, "age": now.Sub(seen).String()})
		}
	}
	return n + 1
}
