package entry

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"ibiswinch/core/budget"
	"ibiswinch/core/config"
	"ibiswinch/core/event"
	"ibiswinch/core/membership"
	"ibiswinch/core/record"
	"ibiswinch/io/apexlog"
	"ibiswinch/io/peer"
)

// Timing and bounds of billing.
const (
	// billBatchDelay is how long bill lines wait for others, to be written in one record with them.
	billBatchDelay = 250 * time.Millisecond
	// replicationTimeout bounds the wait for a copy of a bill line, at a peer or in the log, before the last frame of an
	// answer.
	replicationTimeout = time.Second
	// takeoverDelay is how long an entry VM must be silent before the peer with copies of its lines appends them. It is
	// harmless if both append them.
	takeoverDelay = 5 * time.Second
	// billDrainPollInterval is how often a stopping process checks whether its lines are in the ledger.
	billDrainPollInterval = 20 * time.Millisecond
	// maxReplicatedLines bounds the lines in one HoldBills call.
	maxReplicatedLines = 256
)

// billKey identifies a bill line among those of one process.
type billKey struct {
	team, identity string
	reservation    uint64
}

// unreplicatedLine is a bill line that no peer or log is known to have yet. replicated is closed once one has it.
type unreplicatedLine struct {
	line       budget.BillLine
	replicated chan struct{}
}

// billController gets each bill line counted exactly once: the entry VM and one peer keep it until it is read back from
// the log, and the ledger counts only the first line of an identity.
type billController struct {
	cfg    Config
	events *apexlog.Logger
	peers  *peerController
	budget *budgetController
	// maxLines bounds ownLines, and also the number of lines in replicas.
	maxLines atomic.Int64

	mu sync.Mutex
	// ownLines are the lines of this process that aren't in the ledger yet.
	ownLines map[billKey]budget.BillLine
	// replicas are copies of the lines of other processes, by author.
	replicas     map[record.Author]map[billKey]budget.BillLine
	replicaCount int
	// silentSince is when an author in replicas was first seen not to be live, or its lines were last appended.
	silentSince map[record.Author]time.Time
	// unqueued are the own lines for the next bill record.
	unqueued []budget.BillLine
	// unreplicated are the lines for the next HoldBills call.
	unreplicated []unreplicatedLine
	replicating  bool
}

func newBillController(cfg Config, p *peerController, b *budgetController, events *apexlog.Logger) *billController {
	return &billController{
		cfg:         cfg,
		events:      events,
		peers:       p,
		budget:      b,
		ownLines:    map[billKey]budget.BillLine{},
		replicas:    map[record.Author]map[billKey]budget.BillLine{},
		silentSince: map[record.Author]time.Time{},
	}
}

// applyConfig implements configApplier.
func (b *billController) applyConfig(_ uint64, cfg *config.Config) {
	b.maxLines.Store(int64(cfg.Rules.Limits.MaxPendingBills))
}

// isFull reports whether new requests must be refused because too many lines wait for the log.
func (b *billController) isFull() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return int64(len(b.ownLines)) >= b.maxLines.Load()
}

func (b *billController) pending() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return int64(len(b.ownLines))
}

// add takes a line and returns once a peer or the log has it too. If neither confirms it in time, only this process has
// the line, and an event is logged.
func (b *billController) add(ctx context.Context, line budget.BillLine) {
	key := billKey{team: line.Team, identity: line.Identity, reservation: line.Reservation}
	added := unreplicatedLine{line: line, replicated: make(chan struct{})}
	b.mu.Lock()
	b.ownLines[key] = line
	b.unqueued = append(b.unqueued, line)
	b.unreplicated = append(b.unreplicated, added)
	start := !b.replicating
	b.replicating = true
	b.mu.Unlock()
	if start {
		go b.replicateLoop(context.WithoutCancel(ctx))
	}
	timer := time.NewTimer(replicationTimeout)
	defer timer.Stop()
	select {
	case <-added.replicated:
	case <-timer.C:
		if !b.isBilled(line) {
			b.events.Event(event.BillLineNotReplicated, apexlog.Fields{"team": line.Team, "identity": line.Identity})
		}
	}
}

func (b *billController) isBilled(line budget.BillLine) bool {
	var found bool
	b.budget.worker.WithLock(func() { _, found = b.budget.ledger.Billed(line.Team, line.Identity) })
	return found
}

// replicateLoop sends the unreplicated lines to a peer, one call at a time. A call carries the lines that were added
// during the one before.
func (b *billController) replicateLoop(ctx context.Context) {
	for {
		b.mu.Lock()
		n := min(len(b.unreplicated), maxReplicatedLines)
		batch := b.unreplicated[:n:n]
		b.unreplicated = b.unreplicated[n:]
		if n == 0 {
			b.unreplicated = nil
			b.replicating = false
			b.mu.Unlock()
			return
		}
		b.mu.Unlock()
		if b.replicate(ctx, batch) {
			for _, u := range batch {
				close(u.replicated)
			}
		}
	}
}

// replicate asks one peer after the other to store the lines, and reports whether one did. If none does, it waits until
// the log has them.
func (b *billController) replicate(ctx context.Context, batch []unreplicatedLine) bool {
	request := &peer.HoldBillsRequest{Author: peer.EncodeAuthor(b.cfg.Author)}
	for _, u := range batch {
		request.Lines = append(request.Lines, toWireLine(u.line))
	}
	for _, m := range b.peers.billReplicaPeers(b.cfg.Now()) {
		if b.replicateTo(ctx, m, request) {
			return true
		}
	}
	ctx, cancel := context.WithTimeout(ctx, replicationTimeout)
	defer cancel()
	b.flush()
	return b.budget.worker.Flush(ctx) == nil
}

func (b *billController) replicateTo(ctx context.Context, m membership.Member, request *peer.HoldBillsRequest) bool {
	ctx, cancel := context.WithTimeout(ctx, replicationTimeout/4)
	defer cancel()
	reply, err := b.peers.clientForMember(m).HoldBills(ctx, request)
	if err != nil {
		b.events.Event(event.PeerUnreachable, apexlog.Fields{"peer": m.Author.VM, "call": "HoldBills", "error": err.Error()})
		return false
	}
	return reply.Accepted
}

// storeReplicas stores copies of lines of another entry VM, and reports whether there was space for them.
func (b *billController) storeReplicas(author record.Author, lines []budget.BillLine) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if int64(b.replicaCount+len(lines)) > b.maxLines.Load() {
		return false
	}
	replicas := b.replicas[author]
	if replicas == nil {
		replicas = map[billKey]budget.BillLine{}
		b.replicas[author] = replicas
	}
	for _, line := range lines {
		key := billKey{team: line.Team, identity: line.Identity, reservation: line.Reservation}
		if _, known := replicas[key]; !known {
			replicas[key] = line
			b.replicaCount++
		}
	}
	return true
}

// loop queues new lines for the log, and those of silent entry VMs, until ctx ends.
func (b *billController) loop(ctx context.Context) error {
	ticker := time.NewTicker(billBatchDelay)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
			b.flush()
			if b.budget.worker.Available() {
				b.takeOver(b.cfg.Now())
			}
		}
	}
}

// flush queues the new lines for the log.
func (b *billController) flush() {
	b.mu.Lock()
	lines := b.unqueued
	b.unqueued = nil
	b.mu.Unlock()
	b.enqueueLines(lines)
}

func (b *billController) enqueueLines(lines []budget.BillLine) {
	for len(lines) > 0 {
		n := min(len(lines), budget.MaxLines)
		b.budget.enqueue(record.KindBill, budget.Bill{Lines: lines[:n]}, true)
		lines = lines[n:]
	}
}

// takeOver appends the stored lines of entry VMs that have been silent for takeoverDelay. Their copies are kept until
// the ledger has them.
func (b *billController) takeOver(now time.Time) {
	b.mu.Lock()
	var lines []budget.BillLine
	for author, replicas := range b.replicas {
		if b.peers.isLive(now, author) || len(replicas) == 0 {
			delete(b.silentSince, author)
			continue
		}
		since, known := b.silentSince[author]
		if !known {
			b.silentSince[author] = now
			continue
		}
		if now.Sub(since) < takeoverDelay {
			continue
		}
		// The delay starts again, so that a line is appended once more only if it is still missing from the ledger.
		b.silentSince[author] = now
		for _, line := range replicas {
			lines = append(lines, line)
		}
	}
	b.mu.Unlock()
	if len(lines) == 0 {
		return
	}
	b.events.Event(event.BillLinesRecovered, apexlog.Fields{"lines": len(lines)})
	b.enqueueLines(lines)
}

// onLedgerAdvance drops the lines that the ledger has counted or that are too old for it, and refunds those whose
// identity was billed by another answer.
func (b *billController) onLedgerAdvance() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.budget.worker.WithLock(func() {
		now := b.cfg.Now()
		for key, line := range b.ownLines {
			if b.settleOwn(now, line) {
				delete(b.ownLines, key)
			}
		}
		for author, replicas := range b.replicas {
			b.dropBilled(replicas)
			if len(replicas) == 0 {
				delete(b.replicas, author)
			}
		}
	})
}

func (b *billController) dropBilled(replicas map[billKey]budget.BillLine) {
	for key, line := range replicas {
		if _, ok := b.budget.ledger.Billed(key.team, key.identity); ok || b.budget.ledger.IsExpired(line.At) {
			delete(replicas, key)
			b.replicaCount--
		}
	}
}

// settleOwn ends the reservation of an own line once the ledger has counted or rejected the line, and reports whether
// it has. An expired line stays charged: it may have been billed and forgotten before this process read on, even if
// another answer to the identity was billed since. The caller holds the lock of the ledger.
func (b *billController) settleOwn(now time.Time, line budget.BillLine) bool {
	switch b.budget.ledger.BillLineState(line) {
	case budget.Undecided:
		return false
	case budget.Counted, budget.Expired:
		b.budget.spender.Confirm(line.Reservation)
		return true
	case budget.Duplicate:
		b.events.Event(event.DuplicateBill, apexlog.Fields{"team": line.Team, "identity": line.Identity})
		_ = b.budget.spender.Refund(now, line.Reservation)
	}
	return true
}

// stop waits until the ledger has decided about all own lines.
func (b *billController) stop(ctx context.Context) error {
	b.flush()
	if err := b.budget.worker.Flush(ctx); err != nil {
		return err
	}
	ticker := time.NewTicker(billDrainPollInterval)
	defer ticker.Stop()
	for b.pending() > 0 {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
	return nil
}

func toWireLine(l budget.BillLine) *peer.BillLine {
	return &peer.BillLine{
		Identity: l.Identity, Team: l.Team, Model: l.Model, Version: l.Version, PromptTokens: l.PromptTokens,
		CompletionTokens: l.CompletionTokens, Spender: peer.EncodeAuthor(l.Spender), Reservation: l.Reservation,
		AtUnixMilli: l.At.UnixMilli(),
	}
}

func fromWireLine(l *peer.BillLine) budget.BillLine {
	return budget.BillLine{
		Identity: l.GetIdentity(), Team: l.GetTeam(), Model: l.GetModel(), Version: l.GetVersion(),
		PromptTokens: l.GetPromptTokens(), CompletionTokens: l.GetCompletionTokens(),
		Spender: peer.DecodeAuthor(l.GetSpender()), Reservation: l.GetReservation(),
		At: time.UnixMilli(l.GetAtUnixMilli()).UTC(),
	}
}
