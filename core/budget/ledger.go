package budget

import (
	"math/bits"
	"time"

	"github.com/rotisserie/eris"

	"ibiswinch/core/record"
)

// Constants of the ledger. They belong to record.FoldVersion: readers with different values would compute different
// ledgers from the same records.
const (
	// IdentityRetention is how long a billed identity is remembered, and the maximum age of a bill line when it reaches
	// the log, in log time. The lines of an entry VM that was disconnected from the log for longer are refused, so it
	// must be well above the disconnections of an hour that the design allows for. 24 h would need 6 times the memory,
	// 0.6 GB at 200 requests/s.
	IdentityRetention = 4 * time.Hour
	// activeWindow is how long after its last request a holder counts as active, in log time.
	activeWindow = 10 * time.Minute
	// minGrant is the size in tokens below which a grant is not reduced to the holder's share of the pool.
	minGrant = 1024
	// shareNumerator / shareDenominator is the part of the pool that the holders share; docs/budgets.md has the
	// measurements. The rest is left for failure domains that begin to have demand.
	shareNumerator   = 3
	shareDenominator = 4
	// maxTeamTotal bounds the cumulative amounts of one team.
	maxTeamTotal = 1 << 62
)

// Totals are the amounts of one team, in tokens.
type Totals struct {
	ToppedUp uint64
	// Granted and Returned are cumulative. Returned includes what was reclaimed from closed holders.
	Granted  uint64
	Returned uint64
	Billed   uint64
}

// Pool returns the tokens that are not granted to a holder.
func (t Totals) Pool() uint64 { return t.ToppedUp - t.Granted + t.Returned }

// HolderGrant is the grant of one team to one open holder, in tokens.
type HolderGrant struct {
	// Granted is cumulative.
	Granted uint64
	// Unissued and Restored are the sums of the returns.
	Unissued uint64
	Restored uint64
	// Frontier is the highest frontier in the log.
	Frontier uint64
	// Number is the number of the last applied grant request.
	Number uint64
	// RequestedAt is the log time of that request. Demand is the number of tokens that the holder wanted to hold then.
	RequestedAt time.Time
	Demand      uint64
}

// Outstanding returns granted minus returned.
func (g HolderGrant) Outstanding() uint64 { return g.Granted - g.Unissued - g.Restored }

// reclaimable returns the tokens that nobody can use once no frontier above g.Frontier can be acknowledged.
func (g HolderGrant) reclaimable() uint64 {
	unused := g.Granted - g.Unissued
	if unused <= g.Frontier {
		return 0
	}
	return min(unused-g.Frontier, g.Outstanding())
}

type teamState struct {
	Totals
	// closedOutstanding is the sum of the outstanding tokens of all closed holders. It includes used tokens.
	closedOutstanding uint64
	topUps            map[string]struct{}
	// holders are the open holders with a grant of the team.
	holders map[HolderID]*HolderGrant
}

type holderState struct {
	witnessSetNumber uint64
	witnesses        []record.Author
	// sealed[i] is true when the seal of witnesses[i] is complete.
	sealed [MaxWitnesses]bool
	teams  map[string]*HolderGrant
}

// BilledReservation is the reservation whose bill line was counted for an identity.
type BilledReservation struct {
	Spender     record.Author
	Reservation uint64
}

// BillLineState is the state of a bill line.
type BillLineState int

// States of a bill line. All but Undecided are final.
const (
	// Undecided lines may still be billed: the ledger has no line of the identity, or one that it forgets earlier.
	Undecided BillLineState = iota
	// Counted lines are billed.
	Counted
	// Duplicate lines are never billed, since another line of the identity is billed.
	Duplicate
	// Expired lines may have been billed and forgotten. They are never billed from now on.
	Expired
)

// grantSizer returns the number of tokens to grant.
type grantSizer func(g GrantRequest, c poolDemand) uint64

// poolDemand is the pool of a team and the demand of all holders for it.
type poolDemand struct {
	pool     uint64
	toppedUp uint64
	// active counts the holders with a request within activeWindow, including the requesting one. demand sums what they
	// want to hold.
	active int
	demand uint64
}

// Ledger is the state of a ledger stream. It is not safe for concurrent use.
type Ledger struct {
	grantSize grantSizer
	teams     map[string]*teamState
	holders   map[HolderID]*holderState
	billed    identities
	// OnRefusedLine, if set, is called with each bill line that is refused; the other lines of its record are still
	// counted. It must not use the ledger.
	OnRefusedLine func(line BillLine, err error)
}

var _ record.Fold = (*Ledger)(nil)

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{
		grantSize: byDemand(shareNumerator, shareDenominator),
		teams:     map[string]*teamState{},
		holders:   map[HolderID]*holderState{},
		billed:    identities{retention: IdentityRetention},
	}
}

// byDemand limits what the holder has after the grant to a share of a part of the pool, in proportion to its demand.
// The tokens that the holder still has count, since it could otherwise empty the pool with a few successive requests.
func byDemand(numerator, denominator uint64) grantSizer {
	return func(g GrantRequest, c poolDemand) uint64 {
		own := g.Held + g.Wanted
		hi, lo := bits.Mul64(c.pool*numerator/denominator, own)
		share, _ := bits.Div64(hi, lo, max(c.demand, own, 1))
		size := share - min(share, g.Held)
		size = max(size, min(minGrant, c.pool))
		return min(size, g.Wanted, c.pool)
	}
}

// Apply implements record.Fold.
func (l *Ledger) Apply(at record.Position, r record.Record) error {
	switch r.Kind {
	case record.KindTopUp:
		return decodeAndApply(r, l.applyTopUp)
	case record.KindGrant:
		return decodeAndApply(r, func(g GrantRequest) error { return l.applyGrant(at, r.Author, g) })
	case record.KindReturn:
		return decodeAndApply(r, func(p Return) error { return l.applyReturn(r.Author, p) })
	case record.KindWitness:
		return decodeAndApply(r, func(p WitnessSet) error { return l.applyWitnessSet(r.Author, p) })
	case record.KindSeal:
		return decodeAndApply(r, func(p Seal) error { return l.applySeal(r.Author, p) })
	case record.KindBill:
		return decodeAndApply(r, func(p Bill) error { return l.applyBill(at, p) })
	}
	return eris.Wrapf(record.ErrUnknownKind, "%q in a ledger stream", r.Kind)
}

func decodeAndApply[T record.Validator](r record.Record, applyBody func(T) error) error {
	body, err := record.Body[T](r)
	if err != nil {
		return err
	}
	return applyBody(body)
}

func (l *Ledger) applyTopUp(p TopUp) error {
	t := l.teams[p.Team]
	if t == nil {
		t = &teamState{topUps: map[string]struct{}{}}
		l.teams[p.Team] = t
	}
	if _, ok := t.topUps[p.Identity]; ok {
		return nil
	}
	if t.ToppedUp+p.Tokens > MaxAmount {
		return eris.Wrapf(ErrRejected, "top-up exceeds the maximum budget of team %q", p.Team)
	}
	t.topUps[p.Identity] = struct{}{}
	t.ToppedUp += p.Tokens
	return nil
}

// isRunBy reports whether author is the process that runs the holder.
func isRunBy(id HolderID, author record.Author) bool {
	a, ok := id.Author()
	return ok && a == author
}

func (l *Ledger) applyGrant(at record.Position, author record.Author, p GrantRequest) error {
	t := l.teams[p.Team]
	h := l.holders[p.Holder]
	if t == nil || h == nil || !isRunBy(p.Holder, author) {
		return eris.Wrapf(ErrRejected, "grant of team %q to holder %q: unknown team, holder not open, or wrong author", p.Team, string(p.Holder))
	}
	g := h.teams[p.Team]
	if g != nil && p.Number <= g.Number {
		return eris.Wrap(ErrRejected, "grant request was already applied")
	}
	size := l.grantSize(p, t.poolDemand(p.Holder, p.Held+p.Wanted, at.LogTime))
	size = min(size, t.Pool())
	if t.Granted+size > maxTeamTotal {
		return eris.Wrapf(ErrRejected, "grants exceed the maximum total of team %q", p.Team)
	}
	if g == nil {
		g = l.addHolderGrant(p.Holder, p.Team, HolderGrant{})
	}
	g.Number = p.Number
	g.RequestedAt = at.LogTime
	g.Demand = p.Held + p.Wanted
	g.Granted += size
	t.Granted += size
	return nil
}

func (l *Ledger) addHolderGrant(id HolderID, team string, state HolderGrant) *HolderGrant {
	g := &state
	l.holders[id].teams[team] = g
	t := l.teams[team]
	if t.holders == nil {
		t.holders = map[HolderID]*HolderGrant{}
	}
	t.holders[id] = g
	return g
}

// poolDemand sums the demand of the holders with a recent request and of the requesting one.
func (t *teamState) poolDemand(requester HolderID, demand uint64, now time.Time) poolDemand {
	c := poolDemand{pool: t.Pool(), toppedUp: t.ToppedUp, active: 1, demand: demand}
	for id, g := range t.holders {
		if id != requester && g.Number > 0 && now.Sub(g.RequestedAt) <= activeWindow {
			c.active++
			c.demand += g.Demand
		}
	}
	return c
}

// applyReturn moves returned tokens to the pool. Of a late return to a closed holder only the restored part counts: the
// unissued part went back to the pool when the holder was closed.
func (l *Ledger) applyReturn(author record.Author, p Return) error {
	t := l.teams[p.Team]
	if t == nil {
		return eris.Wrapf(ErrRejected, "return to unknown team %q", p.Team)
	}
	g := t.holders[p.Holder]
	if g == nil {
		if p.Restored > t.closedOutstanding {
			return eris.Wrap(ErrRejected, "return exceeds the outstanding tokens of closed holders")
		}
		t.closedOutstanding -= p.Restored
		t.Returned += p.Restored
		return nil
	}
	if p.Unissued > 0 && !isRunBy(p.Holder, author) {
		return eris.Wrap(ErrRejected, "unissued tokens returned by another VM")
	}
	if p.Unissued+p.Restored > g.Outstanding() {
		return eris.Wrap(ErrRejected, "return exceeds the outstanding tokens of the holder")
	}
	g.Unissued += p.Unissued
	g.Restored += p.Restored
	t.Returned += p.Unissued + p.Restored
	return nil
}

// applyBill counts the lines of known teams whose identity is not billed yet and that are not expired.
func (l *Ledger) applyBill(at record.Position, p Bill) error {
	l.billed.advance(at.LogTime)
	for _, line := range p.Lines {
		if err := l.billLine(line); err != nil && l.OnRefusedLine != nil {
			l.OnRefusedLine(line, err)
		}
	}
	return nil
}

func (l *Ledger) billLine(line BillLine) error {
	t := l.teams[line.Team]
	if t == nil {
		return eris.Wrapf(ErrRejected, "bill line of unknown team %q", line.Team)
	}
	h := hashIdentity(line.Team, line.Identity)
	if reservation, slot, ok := l.billed.find(h); ok {
		l.billed.extend(h, line.At, reservation, slot)
		return nil
	}
	// An expired line may have been billed before and forgotten.
	if l.billed.isExpired(line.At) {
		return eris.Wrapf(ErrRejected, "bill line of team %q is older than %s", line.Team, l.billed.retention)
	}
	l.billed.add(h, line.At, BilledReservation{Spender: line.Spender, Reservation: line.Reservation})
	t.Billed = min(t.Billed+line.Tokens(), maxTeamTotal)
	return nil
}
