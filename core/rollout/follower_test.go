package rollout

import (
	"time"

	"ibiswinch/core/record"
)

// Follower combines a Controller with the fold, stream and outbox of its log. The caller reads and appends entries, and
// sends the Notifications. A Follower is not safe for concurrent use.
type Follower struct {
	*Controller
	changes *Changes
	stream  *record.Stream
	outbox  *record.Outbox
}

// Notifications are what the caller must send, apart from the batch of NextBatch.
type Notifications struct {
	// Stops are sent to all peers at once.
	Stops []Stop
	// Reports are sent to the operator if DecidedHere is true.
	Reports []Report
}

// NewFollower returns a follower that reads the log from offset 0.
func NewFollower(cfg Config) *Follower {
	changes := NewChanges()
	return &Follower{
		Controller: NewController(cfg),
		changes:    changes,
		stream:     record.NewStream(changes),
		outbox:     record.NewOutbox(cfg.Author),
	}
}

// Changes returns the state of the log. It must not be changed.
func (f *Follower) Changes() *Changes { return f.changes }

// Stream returns the stream, for its offsets, snapshots and halt reason. Entries must be applied with Fold.
func (f *Follower) Stream() *record.Stream { return f.stream }

// Fold applies the log entry at offset.
func (f *Follower) Fold(now time.Time, offset uint64, data []byte) (Notifications, []record.Skipped, error) {
	skipped := f.stream.Apply(offset, data)
	f.outbox.Confirm(f.stream.LastSequence(f.author))
	notifications, err := f.perform(now, f.Observe(now, f.changes))
	return notifications, skipped, err
}

// Tick runs the controller's Tick.
func (f *Follower) Tick(now time.Time) (Notifications, error) {
	return f.perform(now, f.Controller.Tick(now))
}

// NextBatch returns the batch to append next, or nil; the same bytes until they are confirmed.
func (f *Follower) NextBatch() ([]byte, error) { return f.outbox.NextBatch() }

// ConfirmBatch records that the log has acknowledged the batch of NextBatch.
func (f *Follower) ConfirmBatch() { f.outbox.Confirm(f.outbox.InFlightLast()) }

func (f *Follower) perform(now time.Time, actions []Action) (Notifications, error) {
	var notifications Notifications
	for _, action := range actions {
		switch a := action.(type) {
		case Append:
			if _, err := f.outbox.Add(now, a.Kind, a.Body); err != nil {
				return notifications, err
			}
		case Broadcast:
			notifications.Stops = append(notifications.Stops, a.Stop)
		case Report:
			notifications.Reports = append(notifications.Reports, a)
		}
	}
	return notifications, nil
}
