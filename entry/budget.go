package entry

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"ibiswinch/core/budget"
	"ibiswinch/core/config"
	"ibiswinch/core/event"
	"ibiswinch/core/membership"
	"ibiswinch/core/record"
	"ibiswinch/core/refusal"
	"ibiswinch/entry/stream"
	"ibiswinch/io/apexlog"
	"ibiswinch/io/peer"
)

// Timing and bounds of the budget controller.
const (
	budgetTick = 100 * time.Millisecond
	// reserveTimeout bounds how long a request waits for a grant or a slice.
	reserveTimeout = 2 * time.Second
	// reserveRetryInterval is the pause between two attempts of a waiting request to reserve tokens.
	reserveRetryInterval = 10 * time.Millisecond
	// exhaustedRetryAfter is the time after which callers are told to retry when the budget is empty.
	exhaustedRetryAfter = 30 * time.Second
	// sealAfter is how long the entry VM of a holder must be silent before its witnesses seal the holder: they acknowledge
	// nothing more, and append how far it may have issued. Sealing a live holder is safe, but it must then open a new one.
	sealAfter = 10 * time.Second
	// peerTimeout bounds a call to a peer.
	peerTimeout = 2 * time.Second
	// drawTimeout bounds a draw and a call to a witness, which take a round trip within the domain.
	drawTimeout = 300 * time.Millisecond
	// maxPeerCalls bounds the calls to peers in flight. Further ones are dropped, and a later tick repeats them.
	maxPeerCalls = 64
)

// budgetController runs the holder, the spender and the witness of this entry VM on the ledger stream: a holder issues
// slices of the tokens granted to its domain, a spender reserves the tokens of requests from slices, and a witness
// acknowledges how far a holder may issue. All of them are guarded by the lock of the stream's worker.
type budgetController struct {
	cfg     Config
	events  *apexlog.Logger
	peers   *peerController
	worker  *stream.Worker
	ledger  *budget.Ledger
	holder  *budget.Holder
	spender *budget.Spender
	witness *budget.Witness
	// drawTargets are the members that the last draw of each team was sent to. A repeat goes to the same member, since
	// only that one recognises its identity.
	drawTargets map[string]sentDraw
	// silentSince is when the entry VM of a holder that names this witness was first seen not to be live.
	silentSince map[budget.HolderID]time.Time
	holderID    budget.HolderID
	callSlots   chan struct{}
	wg          sync.WaitGroup
}

type sentDraw struct {
	number uint64
	member membership.Member
}

func newBudgetController(cfg Config, p *peerController, events *apexlog.Logger) *budgetController {
	b := &budgetController{
		cfg:         cfg,
		events:      events,
		peers:       p,
		ledger:      budget.NewLedger(),
		drawTargets: map[string]sentDraw{},
		silentSince: map[budget.HolderID]time.Time{},
		callSlots:   make(chan struct{}, maxPeerCalls),
	}
	b.ledger.OnRefusedLine = func(line budget.BillLine, err error) {
		events.Event(event.RecordSkipped, apexlog.Fields{
			"stream": ledgerStream, "team": line.Team, "identity": line.Identity, "error": err.Error(),
		})
	}
	b.holder = budget.NewHolder(budget.HolderConfig{
		Author: cfg.Author, Ledger: b.ledger,
		IsMoved: func(team string) bool { return p.holderOf(cfg.Now(), team).Author != cfg.Author },
	})
	b.spender = budget.NewSpender(budget.SpenderConfig{Author: cfg.Author, Ledger: b.ledger})
	b.witness = budget.NewWitness(cfg.Author, b.ledger)
	return b
}

// billLineTime returns the time for a bill line that is made now: the own clock, or log time if that is later. Log time
// follows the fastest clock of all authors, so the lines of VMs with a correct clock could otherwise be too old for the
// ledger. While the log can't be reached, the own clock goes on, so that lines don't look older than they are.
func (b *budgetController) billLineTime() time.Time {
	now := b.cfg.Now()
	b.worker.WithStream(func(s *record.Stream) {
		if s.LogTime().After(now) {
			now = s.LogTime()
		}
	})
	return now.UTC().Truncate(time.Millisecond)
}

// applyConfig implements configApplier.
func (b *budgetController) applyConfig(_ uint64, cfg *config.Config) {
	limits := cfg.Rules.Limits
	b.worker.WithLock(func() {
		b.holder.SetGrantLimits(limits.OutageHorizon, limits.MinGrantTokens)
		b.spender.SetSliceHorizon(limits.SliceHorizon)
	})
}

// loop ticks until ctx ends.
func (b *budgetController) loop(ctx context.Context) error {
	ticker := time.NewTicker(budgetTick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			b.wg.Wait()
			return ctx.Err()
		case <-ticker.C:
			b.tick(ctx)
		}
	}
}

func (b *budgetController) tick(ctx context.Context) {
	now := b.cfg.Now()
	candidates := b.peers.witnessCandidates(now)
	current := b.worker.AppliedUntil(now.Add(-budgetTick - maxReadAge))
	available := b.worker.Available()
	var holderActions budget.Actions
	var spenderActions budget.SpenderActions
	var seals []budget.Seal
	b.worker.WithLock(func() {
		if current {
			b.holder.SetLogReadTime(now)
		}
		b.holder.SetCandidates(candidates)
		holderActions = b.holder.Tick(now)
		spenderActions = b.spender.Tick(now)
		seals = b.sealSilent(now, available)
		b.logHolderChange()
	})
	b.enqueueAll(holderActions.Records(), seals, spenderActions.Returns)
	for _, ask := range holderActions.FrontierRequests {
		b.startCall(func() { b.askWitness(ctx, ask) })
	}
	for _, d := range spenderActions.Draws {
		b.startCall(func() { _ = b.draw(ctx, d) })
	}
	for _, r := range spenderActions.Restores {
		b.startCall(func() { b.restore(ctx, r) })
	}
}

// maxReadAge is the age of the last read up to which the ledger counts as current. It covers two long polls of an idle
// log: one that has ended, and one that hasn't yet.
const maxReadAge = 5 * time.Second

func (b *budgetController) logHolderChange() {
	id := b.holder.ID()
	if b.holderID != "" && b.holderID != id {
		b.events.Event(event.HolderClosed, apexlog.Fields{"holder": string(b.holderID), "next": string(id)})
	}
	b.holderID = id
}

// sealSilent seals the holders of silent entry VMs that name this witness. Nothing is sealed while the log is
// unavailable, since the records would only pile up in the outbox. The caller holds the lock.
func (b *budgetController) sealSilent(now time.Time, available bool) []budget.Seal {
	var seals []budget.Seal
	if !available {
		return nil
	}
	named := b.witness.WitnessedHolders()
	for _, id := range named {
		author, _ := id.Author()
		if b.peers.isLive(now, author) {
			delete(b.silentSince, id)
			continue
		}
		since, known := b.silentSince[id]
		if !known {
			b.silentSince[id] = now
			continue
		}
		if now.Sub(since) < sealAfter {
			continue
		}
		// The holder is sealed again after another sealAfter, in case the records get lost with a restart of the log.
		b.silentSince[id] = now
		b.events.Event(event.HolderSealed, apexlog.Fields{"holder": string(id)})
		seals = append(seals, b.witness.Seal(id)...)
	}
	for id := range b.silentSince {
		if !slices.Contains(named, id) {
			delete(b.silentSince, id)
		}
	}
	b.witness.ForgetClosed()
	return seals
}

func (b *budgetController) enqueueAll(payloads []budget.Payload, seals []budget.Seal, returns []budget.Return) {
	for _, e := range payloads {
		// Requests wait for a holder that opens or asks for more tokens; returns can wait for a later append.
		b.enqueue(e.Kind, e.Body, e.Kind != record.KindReturn)
	}
	for _, s := range seals {
		b.enqueue(record.KindSeal, s, false)
	}
	for _, r := range returns {
		b.enqueue(record.KindReturn, r, false)
	}
}

func (b *budgetController) enqueue(kind record.Kind, body any, urgent bool) uint64 {
	sequence, err := b.worker.Enqueue(kind, body, urgent)
	if err != nil {
		b.events.Event(event.AppendRejected, apexlog.Fields{"stream": ledgerStream, "error": err.Error()})
	}
	return sequence
}

// startCall runs a call to a peer in the background, or drops it if maxPeerCalls are in flight.
func (b *budgetController) startCall(call func()) {
	select {
	case b.callSlots <- struct{}{}:
	default:
		return
	}
	b.wg.Go(func() {
		defer func() { <-b.callSlots }()
		call()
	})
}

func (b *budgetController) askWitness(ctx context.Context, ask budget.FrontierRequest) {
	client, ok := b.peers.clientForAuthor(ask.Witness)
	if !ok {
		return
	}
	request := &peer.FrontierRequest{Holder: string(ask.Holder)}
	for _, f := range ask.Frontiers {
		request.Frontiers = append(request.Frontiers, &peer.Frontier{Team: f.Team, Tokens: f.Tokens})
	}
	ctx, cancel := context.WithTimeout(ctx, drawTimeout)
	defer cancel()
	reply, err := client.AdvanceFrontier(ctx, request)
	if err != nil {
		b.peers.avoid(b.cfg.Now(), ask.Witness)
		b.events.Event(event.PeerUnreachable, apexlog.Fields{"peer": ask.Witness.VM, "call": "AdvanceFrontier", "error": err.Error()})
		return
	}
	b.worker.WithLock(func() {
		b.holder.ApplyFrontierReply(ask, budget.FrontierReply{Acknowledged: reply.Acknowledged, Sealed: reply.Sealed})
	})
}

// draw sends a draw to the holder of its team and passes the reply to the spender.
func (b *budgetController) draw(ctx context.Context, d budget.Draw) error {
	member := b.drawTarget(d)
	if member.Author == b.cfg.Author {
		b.worker.WithLock(func() {
			now := b.cfg.Now()
			b.spender.ApplyDrawReply(now, b.holder.Draw(now, d))
		})
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, drawTimeout)
	defer cancel()
	reply, err := b.peers.clientForMember(member).Draw(ctx, &peer.DrawRequest{
		Identity: d.ID.String(), Spender: peer.EncodeAuthor(d.ID.Spender), Team: d.Team, Tokens: d.Tokens,
	})
	if err != nil {
		// The next draw goes to another holder, long before this member is suspected by the membership protocol.
		b.peers.avoid(b.cfg.Now(), member.Author)
		b.worker.WithLock(func() { b.spender.AbandonDraw(b.cfg.Now(), d) })
		return eris.Wrapf(err, "draw from %s", member.Author.VM)
	}
	b.worker.WithLock(func() {
		b.spender.ApplyDrawReply(b.cfg.Now(), budget.DrawReply{
			ID: d.ID, Team: d.Team, Holder: budget.HolderID(reply.Holder), Tokens: reply.Tokens,
			Exhausted: reply.BudgetExhausted,
		})
	})
	return nil
}

// drawTarget returns the member to send a draw to. A repeated draw goes to the same member.
func (b *budgetController) drawTarget(d budget.Draw) membership.Member {
	now := b.cfg.Now()
	var member membership.Member
	b.worker.WithLock(func() {
		if t := b.drawTargets[d.Team]; t.number == d.ID.Number {
			member = t.member
			return
		}
		member = b.peers.holderOf(now, d.Team)
		b.drawTargets[d.Team] = sentDraw{number: d.ID.Number, member: member}
	})
	return member
}

func (b *budgetController) restore(ctx context.Context, r budget.Restore) {
	reply := budget.RestoreReply{ID: r.ID, Team: r.Team}
	author, _ := r.Holder.Author()
	if author == b.cfg.Author {
		b.worker.WithLock(func() {
			now := b.cfg.Now()
			b.spender.ApplyRestoreReply(now, b.holder.Restore(now, r))
		})
		return
	}
	client, ok := b.peers.clientForAuthor(author)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	answer, err := client.Restore(ctx, &peer.RestoreRequest{
		Identity: r.ID.String(), Spender: peer.EncodeAuthor(r.ID.Spender), Team: r.Team, Holder: string(r.Holder), Tokens: r.Tokens,
	})
	if err != nil {
		return
	}
	reply.Accepted = answer.Accepted
	b.worker.WithLock(func() { b.spender.ApplyRestoreReply(b.cfg.Now(), reply) })
}

// reserve reserves tokens for a request. If too few are available here, it draws more and waits for them.
func (b *budgetController) reserve(ctx context.Context, team string, tokens uint64) (uint64, error) {
	deadline := b.cfg.Now().Add(reserveTimeout)
	for {
		var result budget.ReserveResult
		var known bool
		now := b.cfg.Now()
		b.worker.WithLock(func() {
			result = b.spender.Reserve(now, team, tokens)
			_, known = b.ledger.Totals(team)
		})
		if result.Outcome == budget.Exhausted && !known {
			// The first top-up of the team has not been read from the log yet, so the budget isn't known to be empty.
			result.Outcome = budget.NeedsDraw
		}
		switch result.Outcome {
		case budget.Reserved:
			return result.Reservation, nil
		case budget.Exhausted:
			b.events.Event(event.BudgetExhausted, apexlog.Fields{"team": team, "tokens": tokens})
			return 0, refusal.New(refusal.BudgetExhausted, "the prepaid budget has no %d tokens left for this request", tokens).
				WithRetryAt(now.Add(exhaustedRetryAfter))
		case budget.Stopping:
			return 0, refusal.New(refusal.Draining, "this entry VM is stopping")
		case budget.NeedsDraw:
		}
		if !now.Before(deadline) {
			return 0, refusal.New(refusal.BudgetUnavailable, "no part of the prepaid budget is within reach of this entry VM").
				WithRetryAt(now.Add(time.Second))
		}
		if err := b.drawMore(ctx, result.Draw, team, tokens); err != nil {
			return 0, err
		}
	}
}

// drawMore sends the draw, if there is one, and pauses if it brought too few tokens.
func (b *budgetController) drawMore(ctx context.Context, d budget.Draw, team string, tokens uint64) error {
	if d.ID.Number > 0 {
		_ = b.draw(ctx, d)
	}
	var enough bool
	b.worker.WithLock(func() { enough = b.spender.Available(team) >= tokens })
	if enough {
		return nil
	}
	timer := time.NewTimer(reserveRetryInterval)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return refusal.New(refusal.CallerGone, "the caller went away while the request waited for its budget")
	case <-timer.C:
		return nil
	}
}

// settle ends a reservation with the tokens that were used.
func (b *budgetController) settle(reservation, used uint64) {
	b.worker.WithLock(func() {
		if err := b.spender.Settle(b.cfg.Now(), reservation, used); err != nil {
			b.events.Event(event.BillLineNotReplicated, apexlog.Fields{"error": err.Error()})
		}
	})
}

// closeUnbilled ends the reservation of a request that has no bill line. The used tokens stay charged.
func (b *budgetController) closeUnbilled(reservation, used uint64) {
	b.worker.WithLock(func() {
		_ = b.spender.Settle(b.cfg.Now(), reservation, used)
		b.spender.Confirm(reservation)
	})
}

// appendMissingTopUps appends the top-ups that the ledger doesn't have yet. A top-up that is appended twice counts
// once, by its identity.
func (b *budgetController) appendMissingTopUps(topUps []budget.TopUp) {
	var missing []budget.TopUp
	b.worker.WithLock(func() {
		for _, t := range topUps {
			if !b.ledger.HasTopUp(t.Team, t.Identity) {
				missing = append(missing, t)
			}
		}
	})
	for _, t := range missing {
		b.enqueue(record.KindTopUp, t, true)
	}
}

// stop restores the slices to their holders, closes the own holder and waits until the log has its records.
func (b *budgetController) stop(ctx context.Context) error {
	b.worker.WithLock(func() { b.spender.Stop(b.cfg.Now()) })
	for range stopTicks {
		b.tick(ctx)
		// The loop still starts calls of its own, so the wait group can't be waited for here.
		for len(b.callSlots) > 0 && ctx.Err() == nil {
			sleep(ctx, drainPollInterval)
		}
	}
	var closing budget.Actions
	var returns []budget.Return
	b.worker.WithLock(func() {
		returns = b.spender.Release()
		closing = b.holder.Close()
	})
	b.enqueueAll(closing.Records(), nil, returns)
	return b.worker.Flush(ctx)
}

// stopTicks is enough for a restore to be sent, answered, and followed by one for another slice.
const stopTicks = 3
