package budget

import (
	"cmp"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"ibiswinch/core/record"
)

// Errors of a spender. They are compared with eris.Is.
var (
	ErrUnknownReservation      = eris.New("unknown reservation")
	ErrUsageExceedsReservation = eris.New("usage exceeds the reservation")
)

// SpenderConfig are the settings of a spender. Zero values are replaced by those of DefaultSpenderConfig.
type SpenderConfig struct {
	// Author is the process that runs the spender.
	Author record.Author
	// Ledger is the ledger of this process. The spender only reads it.
	Ledger *Ledger
	// SliceHorizon is how long the slices of a team last at the recent rate.
	SliceHorizon time.Duration
	// RateWindow is the time constant of the recent rate.
	RateWindow time.Duration
	// IdleAfter is the time without a request after which the slices of a team are restored.
	IdleAfter time.Duration
	// DrawTimeout is how long a draw is repeated before it is abandoned.
	DrawTimeout time.Duration
	// ExhaustedFor is how long a team counts as exhausted after a reply with DrawReply.Exhausted.
	ExhaustedFor time.Duration
}

// DefaultSpenderConfig returns the settings used in docs/budgets.md.
func DefaultSpenderConfig() SpenderConfig {
	return SpenderConfig{
		SliceHorizon: 2 * time.Second,
		RateWindow:   10 * time.Second,
		IdleAfter:    5 * time.Second,
		DrawTimeout:  3 * time.Second,
		ExhaustedFor: 500 * time.Millisecond,
	}
}

func (c SpenderConfig) withDefaults() SpenderConfig {
	d := DefaultSpenderConfig()
	c.SliceHorizon = cmp.Or(c.SliceHorizon, d.SliceHorizon)
	c.RateWindow = cmp.Or(c.RateWindow, d.RateWindow)
	c.IdleAfter = cmp.Or(c.IdleAfter, d.IdleAfter)
	c.DrawTimeout = cmp.Or(c.DrawTimeout, d.DrawTimeout)
	c.ExhaustedFor = cmp.Or(c.ExhaustedFor, d.ExhaustedFor)
	return c
}

// maxAbandoned bounds the abandoned draws per team whose late reply is still credited.
const maxAbandoned = 8

// slice holds the remaining tokens that were drawn from one holder.
type slice struct {
	holder HolderID
	tokens uint64
}

// spenderTeam is the state of one team at its spender.
type spenderTeam struct {
	// slices are in the order in which their holders were first drawn from.
	slices      []slice
	reserveRate rate
	lastRequest time.Time
	// lastDrawNumber and lastRestoreNumber are the numbers of the last draw and the last restore.
	lastDrawNumber    uint64
	lastRestoreNumber uint64
	// draw is in flight if its number is not 0; the same holds for restore.
	draw         Draw
	drawStarted  time.Time
	abandoned    []DrawID
	restore      Restore
	restoreSends int
	// restoreAfter delays the next restore after a refusal.
	restoreAfter time.Time
	// shortfall is the largest number of tokens that a request lacked.
	shortfall      uint64
	exhaustedUntil time.Time
}

type reservation struct {
	team  string
	parts []slice
	// settled is true when the request has ended with a bill line, which may turn out to be a duplicate.
	settled bool
}

// Spender reserves the worst case of requests from slices. It is not safe for concurrent use.
type Spender struct {
	cfg             SpenderConfig
	teams           map[string]*spenderTeam
	queue           dueQueue
	reservations    map[uint64]*reservation
	lastReservation uint64
	stopping        bool
}

// NewSpender returns a spender without slices.
func NewSpender(cfg SpenderConfig) *Spender {
	return &Spender{
		cfg:          cfg.withDefaults(),
		teams:        map[string]*spenderTeam{},
		queue:        newDueQueue(),
		reservations: map[uint64]*reservation{},
	}
}

// SetSliceHorizon changes SpenderConfig.SliceHorizon. Zero is replaced by the default.
func (s *Spender) SetSliceHorizon(sliceHorizon time.Duration) {
	s.cfg.SliceHorizon = sliceHorizon
	s.cfg = s.cfg.withDefaults()
}

// Outcome is the outcome of Reserve.
type Outcome int

// Outcomes of Reserve.
const (
	// Reserved means that the request may run.
	Reserved Outcome = iota
	// NeedsDraw means that Draw must be sent to the holder of the team, and Reserve called again after its reply.
	NeedsDraw
	// Exhausted means that the budget has no tokens that can be drawn.
	Exhausted
	// Stopping means that the spender accepts no more requests.
	Stopping
)

// ReserveResult is the result of Spender.Reserve.
type ReserveResult struct {
	Outcome Outcome
	// Reservation identifies the reservation of this spender when Outcome is Reserved.
	Reservation uint64
	// Draw is the draw in flight when Outcome is NeedsDraw. Sending it more than once is harmless.
	Draw Draw
}

// Reserve deducts the worst case of a request from the slices of its team.
func (s *Spender) Reserve(now time.Time, team string, worstCase uint64) ReserveResult {
	if s.stopping {
		return ReserveResult{Outcome: Stopping}
	}
	if worstCase > MaxAmount || checkName("team", team) != nil {
		return ReserveResult{Outcome: Exhausted}
	}
	t := s.team(team)
	t.lastRequest = now
	if have := t.tokens(); have < worstCase {
		return s.needDraw(now, team, t, worstCase-have)
	}
	s.lastReservation++
	s.reservations[s.lastReservation] = &reservation{team: team, parts: t.take(worstCase)}
	t.reserveRate.add(now, float64(worstCase), s.cfg.RateWindow)
	s.queue.add(team, now)
	return ReserveResult{Outcome: Reserved, Reservation: s.lastReservation}
}

func (s *Spender) team(team string) *spenderTeam {
	t := s.teams[team]
	if t == nil {
		t = &spenderTeam{}
		s.teams[team] = t
	}
	return t
}

func (t *spenderTeam) tokens() uint64 {
	var n uint64
	for _, sl := range t.slices {
		n += sl.tokens
	}
	return n
}

// take deducts tokens from the slices, oldest first, and returns the parts. The caller checks that there are enough.
func (t *spenderTeam) take(tokens uint64) []slice {
	var parts []slice
	for i := range t.slices {
		n := min(tokens, t.slices[i].tokens)
		if n == 0 {
			continue
		}
		t.slices[i].tokens -= n
		tokens -= n
		parts = append(parts, slice{holder: t.slices[i].holder, tokens: n})
	}
	t.slices = slices.DeleteFunc(t.slices, func(sl slice) bool { return sl.tokens == 0 })
	return parts
}

func (t *spenderTeam) addSlice(sl slice) {
	if sl.tokens == 0 {
		return
	}
	for i := range t.slices {
		if t.slices[i].holder == sl.holder {
			t.slices[i].tokens += sl.tokens
			return
		}
	}
	t.slices = append(t.slices, sl)
}

// needDraw returns the draw in flight, or starts one for the shortfall and the tokens of the slice horizon.
func (s *Spender) needDraw(now time.Time, team string, t *spenderTeam, shortfall uint64) ReserveResult {
	s.queue.add(team, now)
	if now.Before(t.exhaustedUntil) {
		return ReserveResult{Outcome: Exhausted}
	}
	t.shortfall = max(t.shortfall, shortfall)
	if t.draw.ID.Number == 0 {
		s.startDraw(now, team, t, shortfall+t.reserveRate.tokens(now, s.cfg.RateWindow, s.cfg.SliceHorizon))
	}
	return ReserveResult{Outcome: NeedsDraw, Draw: t.draw}
}

func (s *Spender) startDraw(now time.Time, team string, t *spenderTeam, tokens uint64) {
	t.lastDrawNumber++
	id := DrawID{Spender: s.cfg.Author, Number: t.lastDrawNumber}
	t.draw = Draw{ID: id, Team: team, Tokens: min(tokens, MaxAmount)}
	t.drawStarted = now
}

// ApplyDrawReply handles the reply to a draw. A repeated reply has no effect.
func (s *Spender) ApplyDrawReply(now time.Time, reply DrawReply) {
	t := s.teams[reply.Team]
	if t == nil || !t.finishDraw(reply.ID) {
		return
	}
	t.addSlice(slice{holder: reply.Holder, tokens: reply.Tokens})
	t.shortfall -= min(t.shortfall, reply.Tokens)
	if reply.Exhausted {
		t.exhaustedUntil = now.Add(s.cfg.ExhaustedFor)
		t.shortfall = 0
	}
	s.queue.add(reply.Team, now)
}

func (t *spenderTeam) finishDraw(id DrawID) bool {
	if id.Number == 0 {
		return false
	}
	if t.draw.ID == id {
		t.draw = Draw{}
		return true
	}
	if i := slices.Index(t.abandoned, id); i >= 0 {
		t.abandoned = slices.Delete(t.abandoned, i, i+1)
		return true
	}
	return false
}

// Settle ends a reservation with the number of used tokens and gives the rest back to the slices. Usage beyond the
// reservation is not charged and reported as ErrUsageExceedsReservation. For a request that was not run, or whose
// identity is not billed, used is what the engines may have used. The reservation is kept until Confirm or Refund.
func (s *Spender) Settle(now time.Time, id uint64, used uint64) error {
	r := s.reservations[id]
	if r == nil || r.settled {
		return eris.Wrapf(ErrUnknownReservation, "%d", id)
	}
	r.settled = true
	t := s.teams[r.team]
	left := used
	var charged []slice
	for _, part := range r.parts {
		n := min(left, part.tokens)
		left -= n
		t.addSlice(slice{holder: part.holder, tokens: part.tokens - n})
		t.reserveRate.add(now, -float64(part.tokens-n), s.cfg.RateWindow)
		if n > 0 {
			charged = append(charged, slice{holder: part.holder, tokens: n})
		}
	}
	r.parts = charged
	s.queue.add(r.team, now)
	if len(charged) == 0 {
		delete(s.reservations, id)
	}
	if left > 0 {
		return eris.Wrapf(ErrUsageExceedsReservation, "%d tokens more than reserved", left)
	}
	return nil
}

// Confirm forgets a settled reservation whose line was billed, or one whose request ended without a bill line and stays
// charged.
func (s *Spender) Confirm(id uint64) { delete(s.reservations, id) }

// Refund gives the used tokens of a settled reservation back to the slices, after another line of the same identity was
// billed.
func (s *Spender) Refund(now time.Time, id uint64) error {
	r := s.reservations[id]
	if r == nil || !r.settled {
		return eris.Wrapf(ErrUnknownReservation, "%d", id)
	}
	delete(s.reservations, id)
	for _, part := range r.parts {
		s.teams[r.team].addSlice(part)
	}
	s.queue.add(r.team, now)
	return nil
}

// OpenReservations counts the reservations of a team that aren't settled.
func (s *Spender) OpenReservations(team string) int {
	n := 0
	for _, r := range s.reservations {
		if r.team == team && !r.settled {
			n++
		}
	}
	return n
}

// Available returns the unreserved tokens of a team.
func (s *Spender) Available(team string) uint64 {
	if t := s.teams[team]; t != nil {
		return t.tokens()
	}
	return 0
}
