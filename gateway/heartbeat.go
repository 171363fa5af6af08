package gateway

import (
	"context"
	"encoding/json"
	"math"
	"time"

	"github.com/rotisserie/eris"

	"ibiswinch/core/keyed"
	"ibiswinch/core/rollout"
)

// heartbeat is the record with which an entry VM tells the others its state.
type heartbeat struct {
	Incarnation string `json:"incarnation"`
	// Address is where the sender serves other entry VMs.
	Address string `json:"address,omitempty"`
	// Zone is the sender's failure domain. Leaving is set when it stops.
	Zone    string `json:"zone,omitempty"`
	Leaving bool   `json:"leaving,omitempty"`
	// Overloaded is set while the sender's link or processor is overloaded.
	Overloaded bool `json:"overloaded,omitempty"`
	// Time is the sender's wall-clock time in Unix milliseconds.
	Time int64 `json:"time"`
	// Calls is the number of calls that the sender had lately, by service.
	Calls map[string]int `json:"calls,omitempty"`
	// Evidence is what the sender has measured of open version changes.
	Evidence []rollout.Evidence `json:"evidence,omitempty"`
	// Restored is the latest era of the log in which the ledger has had all reservations that the sender knows. It is missing
	// if the sender hasn't read the ledger yet.
	Restored *keyed.Era `json:"restored,omitempty"`
	// Settled is the latest era of the log in which the sender may reserve tokens; it is missing if there is none.
	Settled *keyed.Era `json:"settled,omitempty"`
	// Ledger is how far the sender has read the partitions of the ledger, by number.
	Ledger []ledgerPosition `json:"ledger,omitempty"`
	// Limits are those that servers named to the sender lately, by incarnation.
	Limits map[string]float64 `json:"limits,omitempty"`
	// Drained are the version changes whose old servers have no calls of the sender any more.
	Drained []string `json:"drained,omitempty"`
	// LeavingServers are the incarnations that lately said to the sender that they leave.
	LeavingServers []string `json:"leavingServers,omitempty"`
}

// ledgerPosition is the offset before which all records of a partition of the ledger were read in an era.
type ledgerPosition struct {
	Era  keyed.Era `json:"era"`
	Next uint64    `json:"next"`
}

// errInvalidHeartbeat is wrapped by the errors of heartbeats that no entry VM sends.
var errInvalidHeartbeat = eris.New("invalid heartbeat")

// validate checks a heartbeat of the entry VM with a name.
func (h *heartbeat) validate(name string) error {
	switch {
	case name == "" || len(name) > maxVMNameBytes:
		return eris.Wrapf(errInvalidHeartbeat, "name of %d bytes", len(name))
	case h.Incarnation == "":
		return eris.Wrap(errInvalidHeartbeat, "incarnation missing")
	case h.Time <= 0 || h.Time > keyed.MaxUnixMilli:
		return eris.Wrapf(errInvalidHeartbeat, "time %d", h.Time)
	}
	for _, n := range h.Calls {
		if n < 0 || n > math.MaxInt32 {
			return eris.Wrapf(errInvalidHeartbeat, "%d calls", n)
		}
	}
	for _, perSecond := range h.Limits {
		if perSecond < 0 || perSecond > math.MaxInt32 {
			return eris.Wrapf(errInvalidHeartbeat, "limit of %v calls a second", perSecond)
		}
	}
	return nil
}

// runAnnounce appends heartbeats until ctx ends. One that fails is retried only if it was requested: the next one has the
// same content.
func (f *fleetController) runAnnounce(ctx context.Context) error {
	requested := false
	for ctx.Err() == nil {
		if err := f.cfg.protect("heartbeat", func() error { return f.announce(ctx) }); err != nil && requested {
			f.requestAnnounce()
		}
		pause(ctx, minHeartbeatInterval)
		requested = f.awaitNextHeartbeat(ctx)
	}
	return ctx.Err()
}

// awaitNextHeartbeat waits until the next heartbeat is due or an early one is requested, and reports whether one is.
func (f *fleetController) awaitNextHeartbeat(ctx context.Context) bool {
	timer := time.NewTimer(f.nextInterval(announceInterval(f.count())) - minHeartbeatInterval)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-f.announceNow:
		return true
	}
	return false
}

// announceInterval is the time between two heartbeats of each of n entry VMs.
func announceInterval(n int) time.Duration {
	return max(heartbeatInterval, time.Duration(n)*heartbeatIntervalPerVM)
}

func (f *fleetController) announce(ctx context.Context) error {
	value, err := json.Marshal(heartbeat{
		Incarnation: f.cfg.Incarnation, Address: f.cfg.Address.String(), Zone: f.cfg.Zone,
		Leaving: f.leaving.Load(), Time: f.cfg.Now().UnixMilli(), Limits: f.servers.ownLimits(f.count()), Calls: f.servers.calls(),
		Evidence: f.rollouts.evidence(), Restored: f.budgets.restoredEra(), Settled: f.budgets.settledEra(), Ledger: f.budgets.ledgerRead(), LeavingServers: f.servers.ownLeaving(f.count()),
		Drained: f.rollouts.drainedChanges(), Overloaded: f.load.overloaded(),
	})
	if err != nil {
		return eris.Wrap(err, "encode heartbeat")
	}
	_, err = f.cfg.Log.Append(ctx, f.follow.partition, []keyed.Record{{Key: f.cfg.Name, Value: value}}, nil)
	return err
}

// latestTime returns the time of the newest heartbeat, without those of clocks that are far ahead.
func latestTime(now time.Time, heartbeats map[string]heartbeat) time.Time {
	var latest time.Time
	for _, h := range heartbeats {
		if at := time.UnixMilli(h.Time); at.After(latest) && at.Before(now.Add(maxListedAge)) {
			latest = at
		}
	}
	return latest
}

func (f *fleetController) decode(r keyed.Record) (heartbeat, bool) {
	var h heartbeat
	err := json.Unmarshal(r.Value, &h)
	if err == nil {
		err = h.validate(r.Key)
	}
	if err != nil {
		f.cfg.logSkipped(r, err)
	}
	return h, err == nil
}

// requestAnnounce requests an early heartbeat.
func (f *fleetController) requestAnnounce() {
	select {
	case f.announceNow <- struct{}{}:
	default:
	}
}
