package budget

import (
	"cmp"
	"slices"
	"time"

	"ibiswinch/core/record"
)

// HolderConfig are the settings of a holder. Zero values are replaced by those of DefaultHolderConfig.
type HolderConfig struct {
	// Author is the process that runs the holder.
	Author record.Author
	// Ledger is the ledger of this process. The holder only reads it.
	Ledger *Ledger
	// OutageHorizon is how long a grant lasts at the recent rate while the log is unavailable.
	OutageHorizon time.Duration
	// RateWindow is the time constant of the recent rate.
	RateWindow time.Duration
	// MinGrant and MaxGrant bound what the holder wants to hold of a team, in tokens.
	MinGrant uint64
	MaxGrant uint64
	// IdleAfter is the time without a draw after which the grant of a team is returned.
	IdleAfter time.Duration
	// FrontierLead is how far ahead of the issued tokens a frontier is requested, as time at the recent rate. It bounds
	// the tokens that are lost when the holder crashes.
	FrontierLead time.Duration
	// IsMoved reports whether the team now belongs to the holder of another process, as far as this process knows. The
	// result may be wrong, since the holder returns only tokens that it has not issued. It may be nil.
	IsMoved func(team string) bool
	// WitnessTimeout is how long a witness may be missing from the candidates before the holder replaces it.
	WitnessTimeout time.Duration
}

// DefaultHolderConfig returns the settings used in docs/budgets.md.
func DefaultHolderConfig() HolderConfig {
	return HolderConfig{
		OutageHorizon:  15 * time.Minute,
		RateWindow:     time.Minute,
		MinGrant:       4096,
		MaxGrant:       1 << 40,
		IdleAfter:      5 * time.Minute,
		FrontierLead:   4 * time.Second,
		WitnessTimeout: 300 * time.Millisecond,
	}
}

func (c HolderConfig) withDefaults() HolderConfig {
	d := DefaultHolderConfig()
	c.OutageHorizon = cmp.Or(c.OutageHorizon, d.OutageHorizon)
	c.RateWindow = cmp.Or(c.RateWindow, d.RateWindow)
	c.MinGrant = cmp.Or(c.MinGrant, d.MinGrant)
	c.MaxGrant = cmp.Or(c.MaxGrant, d.MaxGrant)
	c.IdleAfter = cmp.Or(c.IdleAfter, d.IdleAfter)
	c.FrontierLead = cmp.Or(c.FrontierLead, d.FrontierLead)
	c.WitnessTimeout = cmp.Or(c.WitnessTimeout, d.WitnessTimeout)
	return c
}

// Timing of a holder.
const (
	// holderTick is the interval at which a team with recent draws is due.
	holderTick = time.Second
	// frontierRetryInterval is how long the holder waits for the reply of a witness before it requests the frontier again.
	frontierRetryInterval = 500 * time.Millisecond
	// maxLogAge is the maximum time since the last read of the log at which witnesses are changed, since no frontier
	// advances until the change is read from the log.
	maxLogAge = 5 * time.Second
	// The holder requests more tokens below requestBelow times the desired amount, and returns the excess above
	// returnAbove times it. The distance prevents oscillation between the two.
	requestBelow = 0.8
	returnAbove  = 2
	// movedTeamDelay is how long a holder keeps the grant of a team that has moved to another holder, for draws of
	// spenders that don't know that yet.
	movedTeamDelay = 3 * time.Second
	// minHorizon is how long the tokens last at the recent rate that a holder keeps even if its share of the pool is
	// smaller.
	minHorizon = 5 * time.Second
	// maxSpenders bounds the spenders whose last draw and restore are remembered per team.
	maxSpenders = 256
	// maxHolderTeams bounds the teams of one holder.
	maxHolderTeams = 1 << 17
)

type holderPhase int

const (
	phaseOpening holderPhase = iota
	phaseOpen
	phaseStopped
)

// holderTeam is the state of one team at its holder. All amounts are in tokens.
//
// Invariants: issued <= min(frontier, granted-returnedUnissued) while the holder has witnesses;
// restored + returnedRestored <= issued.
type holderTeam struct {
	// granted is the cumulative grant, as last read from the ledger while the holder was open.
	granted uint64
	// issued counts the tokens of the grant that were issued for the first time. It only grows.
	issued uint64
	// returnedUnissued counts never issued tokens that the holder returned to the pool.
	returnedUnissued uint64
	// restored tokens were issued and given back by a spender; they may be issued again without a new frontier.
	restored uint64
	// returnedRestored tokens were issued, restored, and returned to the pool.
	returnedRestored uint64
	// frontier is the highest acknowledged frontier, requested the highest requested one. Both only grow.
	frontier    uint64
	requested   uint64
	requestedAt time.Time
	// attempts counts the frontier requests since the last acknowledgement.
	attempts int
	// grantNumber is the number of the last grant request.
	grantNumber uint64
	// shortfall is the largest missing amount of a draw that was not fully served.
	shortfall uint64
	drawRate  rate
	lastDraw  time.Time
	spenders  map[record.Author]*spenderState
}

// Holder issues slices of the grants of one failure domain. After its witnesses have closed it, it starts a new epoch,
// which is another holder in the ledger, with an ID of its own and without grants. It is not safe for concurrent use.
type Holder struct {
	cfg   HolderConfig
	id    HolderID
	epoch uint64
	phase holderPhase
	teams map[string]*holderTeam
	queue dueQueue
	// hasWitnesses is true from the decision to set a witness, since the ledgers of other processes may contain it before
	// that of this one, until an empty set is read from the log.
	hasWitnesses bool
	// witnesses is the last witness set that was decided; changePending is true until it is read from the log.
	witnesses        []record.Author
	witnessSetNumber uint64
	changePending    bool
	// preferredWitness is the index of the witness that acknowledged last.
	preferredWitness int
	// sealedBy are the witnesses that sealed this holder.
	sealedBy map[record.Author]bool
	// missingSince is the time since which a witness is not among the candidates.
	missingSince map[record.Author]time.Time
	candidates   []record.Author
	logReadAt    time.Time
}

// NewHolder returns a holder of epoch 1. The first Tick opens it.
func NewHolder(cfg HolderConfig) *Holder {
	h := &Holder{cfg: cfg.withDefaults()}
	h.startEpoch()
	return h
}

// startEpoch starts the next epoch with nothing issued.
func (h *Holder) startEpoch() {
	h.epoch++
	h.id = NewHolderID(h.cfg.Author, h.epoch)
	h.phase = phaseOpening
	h.queue = newDueQueue()
	h.witnesses = nil
	h.witnessSetNumber = 0
	h.changePending = false
	h.hasWitnesses = false
	h.preferredWitness = 0
	h.sealedBy = map[record.Author]bool{}
	h.missingSince = map[record.Author]time.Time{}
	old := h.teams
	h.teams = map[string]*holderTeam{}
	// Only the demand is kept.
	for team, t := range old {
		h.teams[team] = &holderTeam{drawRate: t.drawRate, lastDraw: t.lastDraw, spenders: map[record.Author]*spenderState{}}
		h.queue.add(team, time.Time{})
	}
}

// SetGrantLimits changes HolderConfig.OutageHorizon and HolderConfig.MinGrant. Zero values are replaced by the
// defaults.
func (h *Holder) SetGrantLimits(outageHorizon time.Duration, minGrant uint64) {
	h.cfg.OutageHorizon, h.cfg.MinGrant = outageHorizon, minGrant
	h.cfg = h.cfg.withDefaults()
}

// ID returns the ID of the current epoch.
func (h *Holder) ID() HolderID { return h.id }

// SetCandidates sets the live peers of the failure domain that may be witnesses, best first.
func (h *Holder) SetCandidates(candidates []record.Author) {
	h.candidates = slices.DeleteFunc(slices.Clone(candidates), func(a record.Author) bool { return a.VM == h.cfg.Author.VM })
}

// SetLogReadTime sets the time of the last successful read of the log.
func (h *Holder) SetLogReadTime(now time.Time) { h.logReadAt = now }

// closed reports whether this epoch is closed in the ledger.
func (h *Holder) closed() bool { return h.phase == phaseOpen && !h.cfg.Ledger.IsOpen(h.id) }

// syncGranted reads the cumulative grant of the team. The last value stays after the holder was closed.
func (h *Holder) syncGranted(team string, t *holderTeam) {
	if g, ok := h.cfg.Ledger.HolderGrant(h.id, team); ok {
		t.granted = g.Granted
	}
}

// issueLimit returns the maximum of issued.
func (h *Holder) issueLimit(team string, t *holderTeam) uint64 {
	h.syncGranted(team, t)
	limit := t.granted - min(t.granted, t.returnedUnissued)
	if h.hasWitnesses {
		return min(limit, t.frontier)
	}
	return limit
}

// unissued returns the granted tokens that were neither issued nor returned, including those beyond the frontier.
func (h *Holder) unissued(team string, t *holderTeam) uint64 {
	h.syncGranted(team, t)
	return t.granted - min(t.granted, t.returnedUnissued+t.issued)
}

// available returns the tokens that can be issued now.
func (h *Holder) available(team string, t *holderTeam) uint64 {
	limit := h.issueLimit(team, t)
	return t.restored + limit - min(limit, t.issued)
}

// team returns the state of a team, or nil when the holder has too many teams.
func (h *Holder) team(name string) *holderTeam {
	if t := h.teams[name]; t != nil {
		return t
	}
	if len(h.teams) >= maxHolderTeams {
		return nil
	}
	t := &holderTeam{spenders: map[record.Author]*spenderState{}}
	h.teams[name] = t
	return t
}

// Issuable returns the tokens of a team that the holder could issue, including those beyond the frontier.
func (h *Holder) Issuable(team string) uint64 {
	t := h.teams[team]
	if t == nil || h.phase == phaseStopped || h.closed() {
		return 0
	}
	return t.restored + h.unissued(team, t)
}
