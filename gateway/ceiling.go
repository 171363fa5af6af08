package gateway

import (
	"context"
	"encoding/json"
	"errors"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"ibiswinch/core/escrow"
	"ibiswinch/core/event"
	"ibiswinch/core/keyed"
	"ibiswinch/io/apexlog"
)

const (
	// ceilingHolder and lostHolder stand for the holder in the keys of a team's ceiling and of the reservations that were
	// lost with all processes that knew them. They are no names of entry VMs.
	ceilingHolder = "#ceiling"
	lostHolder    = "#lost"
	// completeKey is the key of the last era for which nothing is missing in the partition.
	completeKey = "#complete"
)

// completion tells that the partition has all reservations of earlier eras that may have been used, or ones in their place.
type completion struct {
	Era uint64 `json:"era"`
}

// ceilings tracks which part of each budget of a partition may be reserved.
type ceilings struct {
	trackers map[string]*escrow.CeilingTracker
	// completeEra is the newest era for which nothing is missing, 0 if none is recorded. completeAt is the offset of the
	// record of the present era.
	completeEra, completeAt uint64
	// readAt is a time before the last read of the partition in the present era.
	readAt time.Time
}

// begin forgets what was read in an earlier era.
func (c *ceilings) begin(now time.Time) {
	*c = ceilings{trackers: map[string]*escrow.CeilingTracker{}, completeAt: math.MaxUint64, readAt: now}
}

func (c *ceilings) tracker(team string) *escrow.CeilingTracker {
	t := c.trackers[team]
	if t == nil {
		t = &escrow.CeilingTracker{}
		c.trackers[team] = t
	}
	return t
}

// setCompletion applies the record of a completion if r is one.
func (lp *ledgerPartition) setCompletion(r keyed.Record) bool {
	if r.Key != completeKey {
		return false
	}
	var done completion
	if json.Unmarshal(r.Value, &done) != nil {
		lp.budgets.cfg.Events.Event(event.RecordSkipped, apexlog.Fields{"key": r.Key, "offset": r.Offset})
		return true
	}
	if done.Era > lp.ceilings.completeEra && done.Era <= lp.rewrite.Era() {
		lp.ceilings.completeEra = done.Era
		if done.Era == lp.rewrite.Era() {
			lp.ceilings.completeAt = r.Offset
		}
	}
	return true
}

// setCeiling applies the record of a team's ceiling. One of an earlier era before the completion of this one was in the copy
// from which the log was restored. The caller holds mu.
func (lp *ledgerPartition) setCeiling(team string, r keyed.Record) {
	var c escrow.Ceiling
	if json.Unmarshal(r.Value, &c) != nil {
		lp.budgets.cfg.Events.Event(event.RecordSkipped, apexlog.Fields{"key": r.Key, "offset": r.Offset})
		return
	}
	inherited := c.Era < lp.rewrite.Era() && r.Offset < lp.ceilings.completeAt
	lp.ceilings.tracker(team).Observe(lp.budgets.cfg.Now(), c, inherited)
}

// boundReservations limits the reservations of a team to what each copy of the log allows, as the log was read at a time.
// The caller holds mu.
func (lp *ledgerPartition) boundReservations(team string, readAt time.Time) {
	if limit := lp.limit(team); lp.budgets.cfg.Peers != nil && limit > 0 {
		lp.recordsOf(team).SetCeiling(lp.ceilings.tracker(team).Bound(readAt, limit))
	}
}

// proposedCeiling returns a new ceiling for the team of an account that reserves tokens, as the log was read at a time. The
// caller holds mu.
func (lp *ledgerPartition) proposedCeiling(team string, a *escrow.Account, readAt time.Time) (escrow.Ceiling, bool) {
	limit := lp.limit(team)
	if lp.budgets.cfg.Peers == nil || limit == 0 || !lp.isPrimary(team) {
		return escrow.Ceiling{}, false
	}
	return lp.ceilings.tracker(team).Propose(readAt, limit, a.Waiting(), lp.rewrite.Era(), lp.recordsOf(team))
}

// proposedCeilings returns the records of the new ceilings.
func (lp *ledgerPartition) proposedCeilings() ([]keyed.Record, error) {
	lp.mu.Lock()
	defer lp.mu.Unlock()
	var records []keyed.Record
	for _, team := range slices.Sorted(maps.Keys(lp.accounts)) {
		c, write := lp.proposedCeiling(team, lp.accounts[team], lp.ceilings.readAt)
		if !write {
			continue
		}
		r, err := encodeCeiling(team, c)
		if err != nil {
			return nil, err
		}
		records = append(records, r)
	}
	return records, nil
}

func encodeCeiling(team string, c escrow.Ceiling) (keyed.Record, error) {
	value, err := json.Marshal(c)
	if err != nil {
		return keyed.Record{}, eris.Wrap(err, "encode ceiling")
	}
	return keyed.Record{Key: ledgerKey(team, ceilingHolder), Value: value}, nil
}

// isComplete reports whether the partition lacks nothing that was reserved in earlier eras.
func (lp *ledgerPartition) isComplete() bool {
	lp.mu.Lock()
	defer lp.mu.Unlock()
	return lp.ceilings.completeEra >= lp.rewrite.Era()
}

// complete records that the partition lacks nothing that was reserved in earlier eras, and reports whether it is so.
// If that isn't known, it first reserves all tokens that may have been reserved since the copy was made. Which ones of them
// were used nobody knows, so they stay reserved. In any case it writes the ceilings of the era: each copy that lacks them
// withholds as much. The partition has just been read.
func (lp *ledgerPartition) complete(ctx context.Context) (bool, error) {
	if lp.isComplete() {
		return true, nil
	}
	if lp.follow.era > firstEra && !lp.remembers() && lp.rewriteWaited() < escrow.RewriteTimeout {
		// Another process remembers and has completed the partition after it was last read.
		return false, nil
	}
	if lp.budgets.catalogs.now() == nil && lp.follow.era > firstEra {
		return false, nil
	}
	if done, err := lp.beginCeilings(ctx, !lp.knowsAll()); err != nil || !done {
		return false, err
	}
	value, err := json.Marshal(completion{Era: uint64(lp.follow.era)})
	if err != nil {
		return false, eris.Wrap(err, "encode completion")
	}
	return lp.appendHere(ctx, []keyed.Record{{Key: completeKey, Value: value}})
}

// knowsAll reports whether those who have rewritten what they know can't have missed a reservation: this process remembers
// an earlier era, and of a holder and the entry VMs that it tells of its reservations one at least is left. Nothing is lost in
// the first era.
func (lp *ledgerPartition) knowsAll() bool {
	return lp.follow.era <= firstEra || lp.remembers() && lp.budgets.fleet.missingProcesses(lp.follow.era) <= maxSharePeers
}

func (lp *ledgerPartition) rewriteWaited() time.Duration {
	lp.mu.Lock()
	defer lp.mu.Unlock()
	return lp.rewrite.Waited(lp.budgets.cfg.Now())
}

// appendHere appends records if the partition ends where it was last read, and applies them. It reports whether it ended
// there.
func (lp *ledgerPartition) appendHere(ctx context.Context, records []keyed.Record) (bool, error) {
	expected := lp.follow.next
	appended, err := lp.appendRecords(ctx, records, &expected)
	var conflict *keyed.ConflictError
	if errors.As(err, &conflict) {
		return false, nil
	}
	if err != nil {
		return false, err
	}
	lp.follow.next = appended.End
	lp.mu.Lock()
	defer lp.mu.Unlock()
	for i, r := range records {
		r.Offset = appended.End - uint64(len(records)-i)
		lp.set(r)
	}
	return true, nil
}

// beginCeilings writes the ceilings of an era for all teams. If charge is set it reserves what may have been reserved since
// the copy was made.
func (lp *ledgerPartition) beginCeilings(ctx context.Context, charge bool) (bool, error) {
	records, err := lp.firstCeilings(charge)
	if err != nil {
		return false, err
	}
	// The records of a team are neighbours, and maxRewriteRecords is even.
	for chunk := range slices.Chunk(records, maxRewriteRecords) {
		if done, err := lp.appendHere(ctx, chunk); err != nil || !done {
			return false, err
		}
	}
	return true, nil
}

// firstCeilings returns, for each team whose ceiling is of an earlier era, that of the present one, after a reservation in
// place of those that may be lost if charge is set.
func (lp *ledgerPartition) firstCeilings(charge bool) ([]keyed.Record, error) {
	at := lp.budgets.fleet.timeOfDay().UnixMilli()
	lp.mu.Lock()
	defer lp.mu.Unlock()
	era := lp.rewrite.Era()
	var records []keyed.Record
	for _, team := range lp.limitedTeams() {
		known := lp.recordsOf(team)
		before := lp.ceilings.tracker(team).Record()
		lost, ceiling := before.Lost(lp.limit(team), lp.ceilings.completeEra, era, known)
		if ceiling == before {
			continue
		}
		if charge {
			r, err := encodeReservation(team, lostHolder, lostRecord(known.Record(lostHolder), lost, at, era))
			if err != nil {
				return nil, err
			}
			records = append(records, r)
			lp.budgets.cfg.Events.Event(event.ReservationsLost, apexlog.Fields{
				"team": team, "tokens": lost, "era": era, "free": lp.limit(team) - known.Reserved() - lost,
			})
		}
		r, err := encodeCeiling(team, ceiling)
		if err != nil {
			return nil, err
		}
		records = append(records, r)
	}
	return records, nil
}

// lostRecord adds lost tokens to the reservation in place of the lost ones.
func lostRecord(r escrow.Record, lost, at int64, era uint64) escrow.Record {
	r.Reserved, r.Base, r.At, r.Sequence, r.Era = r.Reserved+lost, r.Base+lost, at, r.Sequence+1, era
	return r
}

// limitedTeams returns the teams with a budget in this partition, sorted. The caller holds mu.
func (lp *ledgerPartition) limitedTeams() []string {
	var teams []string
	c := lp.budgets.catalogs.now()
	if c == nil {
		return nil
	}
	for _, name := range c.Teams() {
		if c.Team(name).Limited && lp.budgets.partitionOf(name) == lp {
			teams = append(teams, name)
		}
	}
	return slices.Sorted(slices.Values(teams))
}
