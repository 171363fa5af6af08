package gateway

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"ibiswinch/core/escrow"
	"ibiswinch/core/event"
	"ibiswinch/core/keyed"
	"ibiswinch/core/membership"
	"ibiswinch/io/apexlog"
)

const (
	// maxSharePeers is the number of entry VMs that are told of a raised reservation. One that knows it is enough; the others
	// cover its end.
	maxSharePeers = 3
	// shareTimeout bounds one call.
	shareTimeout = 100 * time.Millisecond
	// maxShareRecords bounds the records of one call, maxHandOverRecords those of a partition that a stopping process passes on.
	maxShareRecords    = 1000
	maxHandOverRecords = 4000
	// aloneAfter is the age at which a process without others counts as the only one. Those that start with it are known then.
	aloneAfter = 2 * heartbeatInterval
)

// awaitedRead is a set of own records that no other entry VM has answered for. They are known once one has read the
// partition up to end in era.
type awaitedRead struct {
	era     keyed.Era
	end     uint64
	records map[string]escrow.Record
}

// shareRaises tells other entry VMs of the reservations that the log has confirmed, before their tokens are used. A store that
// is restored may lose them, and this process may die before anybody has read them. The partition has just been read or
// written.
func (lp *ledgerPartition) shareRaises(ctx context.Context) {
	raised := lp.unshared()
	if len(raised) == 0 || lp.isShared(ctx, raised) {
		lp.awaitedRead = nil
		lp.markShared(raised)
		return
	}
	switch a := lp.awaitedRead; {
	case a == nil || a.era != lp.follow.era:
		lp.awaitedRead = &awaitedRead{era: lp.follow.era, end: lp.follow.next, records: raised}
	case lp.budgets.fleet.hasReadLedger(lp.follow.partition.Number, a.era, a.end):
		lp.awaitedRead = nil
		lp.markShared(a.records)
	}
}

// isShared tells others of own records and reports whether one of them knows all, or there are no others.
func (lp *ledgerPartition) isShared(ctx context.Context, raised map[string]escrow.Record) bool {
	peers := lp.sharePeers()
	if len(peers) == 0 {
		return lp.budgets.fleet.isAlone()
	}
	records := make([]keyed.Record, 0, len(raised))
	for _, team := range slices.Sorted(maps.Keys(raised)) {
		r, err := encodeReservation(team, lp.budgets.cfg.Name, raised[team])
		if err != nil {
			return false
		}
		records = append(records, r)
	}
	return lp.budgets.share(ctx, peers, records)
}

// hasUnshared reports whether there are tokens that aren't usable before another entry VM knows of them.
func (lp *ledgerPartition) hasUnshared() bool {
	lp.mu.Lock()
	defer lp.mu.Unlock()
	for _, a := range lp.accounts {
		if a.HasUnshared() {
			return true
		}
	}
	return false
}

// unshared returns the own records, by team, with tokens that aren't usable before another entry VM knows them.
func (lp *ledgerPartition) unshared() map[string]escrow.Record {
	lp.mu.Lock()
	defer lp.mu.Unlock()
	raised, now := map[string]escrow.Record{}, lp.budgets.cfg.Now()
	for team, a := range lp.accounts {
		if r, open := a.Unshared(now); open {
			raised[team] = r
		}
	}
	return raised
}

// markShared makes the tokens of the own records usable.
func (lp *ledgerPartition) markShared(records map[string]escrow.Record) {
	if len(records) == 0 {
		return
	}
	lp.mu.Lock()
	defer lp.mu.Unlock()
	for team, r := range records {
		lp.accounts[team].Shared(r)
	}
	lp.notifyWaiters()
}

// sharePeers returns the entry VMs to tell of a reservation: first those that answer, among them those of other failure
// domains. The choice depends on the partition and on this entry VM, so that all are chosen about equally often.
func (lp *ledgerPartition) sharePeers() []peer {
	peers := lp.budgets.fleet.peers()
	key := fmt.Sprintf("%s/%d", lp.budgets.cfg.Name, lp.follow.partition.Number)
	slices.SortFunc(peers, func(x, y peer) int {
		return cmp.Or(cmp.Compare(lp.shareRank(x), lp.shareRank(y)), cmp.Compare(membership.Hash(key, x.name), membership.Hash(key, y.name)))
	})
	return peers[:min(len(peers), maxSharePeers)]
}

// shareRank is lower for the peers that are told of reservations first.
func (lp *ledgerPartition) shareRank(p peer) int {
	rank := 0
	if p.zone == lp.budgets.cfg.Zone {
		rank = 1
	}
	if p.unreachable {
		rank += 2
	}
	return rank
}

// share tells peers of records and reports, as soon as one does, whether one of them knows all.
func (b *budgetController) share(ctx context.Context, peers []peer, records []keyed.Record) bool {
	known := make(chan bool, len(peers))
	for _, p := range peers {
		go func() { known <- b.runShare(context.WithoutCancel(ctx), p, records) }()
	}
	for range peers {
		if <-known {
			return true
		}
	}
	return false
}

func (b *budgetController) runShare(ctx context.Context, p peer, records []keyed.Record) bool {
	for chunk := range slices.Chunk(records, maxShareRecords) {
		ctx, cancel := context.WithTimeout(ctx, shareTimeout)
		known, err := b.cfg.Peers.Share(ctx, p.addr, chunk)
		cancel()
		if err != nil {
			b.fleet.markUnreachable(p)
			b.cfg.Events.Event(event.PeerUnreachable, apexlog.Fields{"peer": p.name, "error": err.Error()})
		}
		if err != nil || !known {
			return false
		}
	}
	return true
}

// handOverKnowledge tells other entry VMs, at a planned stop, of all the records that a copy of the log may lack.
func (b *budgetController) handOverKnowledge(ctx context.Context) {
	if b.cfg.Peers == nil {
		return
	}
	var wg sync.WaitGroup
	for _, lp := range b.openedPartitions() {
		records := lp.recentRecords()
		if len(records) > 0 {
			wg.Go(func() { b.share(ctx, lp.sharePeers(), records) })
		}
	}
	wg.Wait()
}

// recentRecords returns the known records that a copy of the log may lack: those written lately, and for a while after a
// restoration those that others than their holders have rewritten.
func (lp *ledgerPartition) recentRecords() []keyed.Record {
	lp.mu.Lock()
	defer lp.mu.Unlock()
	era := lp.rewrite.Era()
	restored := era > uint64(firstEra) && lp.rewrite.Waited(lp.budgets.cfg.Now()) < 2*escrow.MaxCopyAge
	oldest := lp.budgets.fleet.timeOfDay().Add(-escrow.MaxCopyAge).UnixMilli()
	var records []keyed.Record
	for team, known := range lp.teamRecords {
		for holder := range known.Holders() {
			r := known.Record(holder)
			if r.At < oldest && (!restored || r.Era == era) || len(records) >= maxHandOverRecords {
				continue
			}
			if encoded, err := encodeReservation(team, holder, r); err == nil {
				records = append(records, encoded)
			}
		}
	}
	return records
}

// learn takes note of the records of other entry VMs and reports whether all will be written again if the log loses them.
func (b *budgetController) learn(records []keyed.Record) bool {
	if !b.opened.Load() {
		return false
	}
	all := true
	for _, r := range records {
		team, _, _ := parseLedgerKey(r.Key)
		all = b.partitionOf(team).learn(r) && all
	}
	return all
}

// learn takes note of a record. It isn't answered for if this entry VM has read a later era of the log, where it may have
// confirmed already that all it knew was rewritten.
func (lp *ledgerPartition) learn(r keyed.Record) bool {
	team, holder, ok := parseLedgerKey(r.Key)
	var record escrow.Record
	if !ok || json.Unmarshal(r.Value, &record) != nil {
		lp.budgets.cfg.Events.Event(event.RecordSkipped, apexlog.Fields{"key": r.Key})
		return false
	}
	// Teams that aren't in the configuration have no budget yet, or none any more.
	hasBudget := lp.limit(team) > 0
	lp.mu.Lock()
	defer lp.mu.Unlock()
	if !hasBudget || !lp.ready || lp.recordsOf(team).IsFull(holder) {
		return false
	}
	outdated := record.Era < lp.rewrite.Era()
	known := lp.recordsOf(team).Record(holder).Sequence
	if lp.recordsOf(team).Set(holder, record) && record.Sequence > known && outdated {
		lp.rewrite.Observe(r.Key, true)
		lp.wakeLoop()
	}
	return !outdated
}

// ledgerRead returns how far this entry VM has read the partitions, for others whose calls don't arrive.
func (b *budgetController) ledgerRead() []ledgerPosition {
	partitions := b.openedPartitions()
	positions := make([]ledgerPosition, 0, len(partitions))
	for _, lp := range partitions {
		lp.mu.Lock()
		positions = append(positions, ledgerPosition{Era: keyed.Era(lp.rewrite.Era()), Next: lp.readEnd})
		lp.mu.Unlock()
	}
	return positions
}
