package gateway

import (
	"encoding/json"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"ibiswinch/core/escrow"
	"ibiswinch/core/event"
	"ibiswinch/core/keyed"
	"ibiswinch/core/refusal"
	"ibiswinch/io/apexlog"
)

// ledgerPartition is one partition of the ledger with the accounts of its teams.
type ledgerPartition struct {
	budgets *budgetController
	follow  follower
	wake    chan struct{}

	// ioMu is held while the partition is read and written. closed is set when the reservations were returned; nothing is
	// written after that.
	ioMu   sync.Mutex
	closed bool
	// accountsCreated is set once the accounts for the first configuration exist.
	accountsCreated bool

	// awaitedRead are own records that no other entry VM has answered for, nil if there are none.
	awaitedRead *awaitedRead

	// eraChanged is set when another stream was found restored from a copy, so that the partition must be read.
	eraChanged atomic.Bool

	mu sync.Mutex
	// ready is set once the partition has been read.
	ready bool
	// rewrite is what has to be written again after the log was restored from a copy. mayReserve is set while tokens may be
	// reserved, restoreAnnounced once all was written again in the era.
	rewrite                      escrow.Rewrite
	mayReserve, restoreAnnounced bool
	// eraRead is set once the first snapshot of the era was applied, remembersEra if tokens could be reserved in an earlier
	// era in which all entry VMs were listed.
	eraRead, remembersEra bool
	// lastSettledEra is the last era in which tokens could be reserved, nil before the first.
	lastSettledEra *keyed.Era
	// lastRestoredEra is the last era in which all was written again, nil before the first.
	lastRestoredEra *keyed.Era
	// logDown is set while the log is unavailable.
	logDown     bool
	teamRecords map[string]*escrow.Reservations
	ceilings    ceilings
	accounts    map[string]*escrow.Account
	// readEnd is the offset up to which the partition was read.
	readEnd uint64
	// renewalsStarted and renewalsEnded are the numbers of the last renewals that started and ended, lastRenewal is when
	// the last one ended.
	renewalsStarted, renewalsEnded uint64
	lastRenewal                    time.Time
	// writeTime is how long the last renewal took whose write the log accepted, writeBegun when the one in progress began, zero
	// if there is none.
	writeTime  time.Duration
	writeBegun time.Time
	// askers remember, by team, how the other entry VMs answer draws.
	askers map[string]*escrow.Asker
	// pendingDraws are the draws in progress by team. A team's tokens aren't drawn again before noDrawUntil.
	pendingDraws map[string]*pendingDraw
	noDrawUntil  map[string]time.Time
	// primaryUntil is, by team, how long this entry VM acts as a primary because it got no tokens from one.
	primaryUntil map[string]time.Time
	// changed is closed and replaced whenever accounts or records have changed.
	changed chan struct{}
}

// setLogDown wakes the waiting calls, so that they don't wait for a log that is unavailable.
func (lp *ledgerPartition) setLogDown(down bool) {
	lp.mu.Lock()
	defer lp.mu.Unlock()
	lp.logDown = down
	lp.notifyWaiters()
}

func (lp *ledgerPartition) isReady() bool {
	lp.mu.Lock()
	defer lp.mu.Unlock()
	return lp.ready
}

// account returns the account of a team. The caller holds mu, and ready is set.
func (lp *ledgerPartition) account(team string) *escrow.Account {
	a := lp.accounts[team]
	if a == nil {
		a = escrow.NewAccount(lp.budgets.cfg.Now(), lp.budgets.cfg.Name, lp.recordsOf(team).Record(lp.budgets.cfg.Name), lp.rewrite.Era())
		if lp.budgets.cfg.Peers != nil {
			a.RequireSharing()
		}
		lp.accounts[team] = a
		lp.recover(team, a)
	}
	return a
}

// recover makes the tokens available that the process before this one reserved but can't have used. The caller holds
// mu.
func (lp *ledgerPartition) recover(team string, a *escrow.Account) {
	record, inherited := a.PendingRecovery()
	if !inherited {
		return
	}
	if record.Era != lp.rewrite.Era() {
		// Its newest record may be lost with the log of an earlier era.
		if lp.mayReserve {
			a.Forfeit()
		}
		return
	}
	age, known := lp.budgets.fleet.ageAtStart(time.UnixMilli(record.At))
	if !known {
		return
	}
	unused := a.Recover(age)
	lp.budgets.cfg.Events.Event(event.ReservationRecovered, apexlog.Fields{
		"team": team, "tokens": unused, "reserved": record.Reserved, "base": record.Base, "ageMs": age.Milliseconds(),
	})
}

func (lp *ledgerPartition) recordsOf(team string) *escrow.Reservations {
	records := lp.teamRecords[team]
	if records == nil {
		records = &escrow.Reservations{}
		lp.teamRecords[team] = records
	}
	return records
}

// limit is the budget of a team in the current configuration, 0 if it has none.
func (lp *ledgerPartition) limit(team string) int64 {
	c := lp.budgets.catalogs.now()
	if c == nil {
		return 0
	}
	if t := c.Team(team); t != nil && t.Limited {
		return t.PrepaidTokens
	}
	return 0
}

// admit holds tokens for a call, or counts the call as waiting and returns the number of renewals started so far.
func (lp *ledgerPartition) admit(team string, tokens int64) (admitted bool, renewalsBefore uint64) {
	lp.mu.Lock()
	defer lp.mu.Unlock()
	a, now := lp.account(team), lp.budgets.cfg.Now()
	if a.Admit(now, tokens) {
		return true, 0
	}
	a.AddWaiting(tokens)
	if lp.isPrimary(team) && !lp.isKnownEmpty(team, tokens) {
		lp.wakeLoop()
	}
	return false, lp.renewalsStarted
}

// isKnownEmpty reports whether a recent renewal found too few free tokens for a call. The caller holds mu.
func (lp *ledgerPartition) isKnownEmpty(team string, tokens int64) bool {
	return lp.budgets.cfg.Now().Sub(lp.lastRenewal) < emptyLedgerTTL &&
		lp.recordsOf(team).Free(lp.limit(team))+max(lp.account(team).Idle(), 0) < tokens
}

// retryAdmit tries again after a change. noTokens reports that waiting for the ledger is of no use: this entry VM isn't
// a primary, the log is unavailable or slow, or a renewal since the call arrived found too few free tokens.
func (lp *ledgerPartition) retryAdmit(
	team string, tokens int64, renewalsBefore uint64,
) (admitted bool, changed <-chan struct{}, noTokens bool) {
	lp.mu.Lock()
	defer lp.mu.Unlock()
	a, now := lp.account(team), lp.budgets.cfg.Now()
	if a.Admit(now, tokens) {
		return true, nil, false
	}
	recent := now.Sub(lp.lastRenewal) < emptyLedgerTTL
	if !lp.isPrimary(team) {
		return false, lp.changed, true
	}
	empty := (lp.renewalsEnded > renewalsBefore || recent) && lp.recordsOf(team).Free(lp.limit(team))+max(a.Idle(), 0) < tokens
	return false, lp.changed, lp.logDown || !lp.mayReserve || empty || !lp.policy(team, 0).WritesSoon()
}

// isExhausted reports whether too few tokens for a call are left, with those of all entry VMs.
func (lp *ledgerPartition) isExhausted(team string, tokens int64) bool {
	lp.mu.Lock()
	defer lp.mu.Unlock()
	return lp.limit(team)-lp.recordsOf(team).Spent() < tokens
}

// isUnavailable reports whether a renewal and a draw from the others have just found too few tokens for a call, so that
// another wait would be in vain.
func (lp *ledgerPartition) isUnavailable(team string, tokens int64) bool {
	lp.mu.Lock()
	defer lp.mu.Unlock()
	return lp.budgets.cfg.Now().Before(lp.noDrawUntil[team]) && lp.isKnownEmpty(team, tokens)
}

// endWait counts a call as no longer waiting.
func (lp *ledgerPartition) endWait(team string, tokens int64) {
	lp.mu.Lock()
	defer lp.mu.Unlock()
	lp.account(team).RemoveWaiting(tokens)
}

// refuse returns the refusal of a call whose tokens are used up or can't be reserved now.
func (lp *ledgerPartition) refuse(id, team string, tokens int64) *refusal.Error {
	lp.mu.Lock()
	defer lp.mu.Unlock()
	now := lp.budgets.cfg.Now()
	if limit, spent := lp.limit(team), lp.recordsOf(team).Spent(); limit-spent < tokens {
		return lp.logRefusal(id, team, tokens, refusal.New(refusal.BudgetExhausted, "%d tokens of %d are used", spent, limit))
	}
	retryAt := now.Add(reserveRetryDelay)
	if lp.ready {
		if at := lp.account(team).UsableAt(now, tokens); at.After(retryAt) {
			retryAt = at
		}
	}
	e := refusal.New(refusal.BudgetUnavailable, "no tokens could be reserved").WithRetryAt(retryAt)
	return lp.logRefusal(id, team, tokens, e)
}

// logRefusal logs a refusal with the figures it is based on. The caller holds mu.
func (lp *ledgerPartition) logRefusal(id, team string, tokens int64, e *refusal.Error) *refusal.Error {
	fields := apexlog.Fields{
		"request": id, "team": team, "tokens": tokens, "limit": lp.limit(team), "used": lp.recordsOf(team).Used(), "spent": lp.recordsOf(team).Spent(),
		"free": lp.recordsOf(team).Free(lp.limit(team)), "ledgerOffset": lp.readEnd, "reason": string(e.Reason),
	}
	if lp.ready {
		a := lp.account(team)
		fields["reserved"], fields["left"], fields["held"] = a.Reserved(), a.Available(lp.budgets.cfg.Now()), a.Held()
	}
	lp.budgets.cfg.Events.Event(event.ReservationTooSmall, fields)
	return e
}

// isPrimary reports whether this entry VM reserves tokens of the team in the ledger. The caller holds mu.
func (lp *ledgerPartition) isPrimary(team string) bool {
	return lp.isElected(team) || lp.budgets.cfg.Now().Before(lp.primaryUntil[team])
}

// isElected reports whether this entry VM is one of the primaries that all choose for the team. The caller holds mu.
func (lp *ledgerPartition) isElected(team string) bool {
	return lp.budgets.cfg.Peers == nil || slices.Contains(lp.budgets.fleet.primariesOf(team), lp.budgets.cfg.Name)
}

// policy returns the limits of a team's account. refresh is the write interval of the partition. The caller holds mu.
func (lp *ledgerPartition) policy(team string, refresh time.Duration) escrow.Policy {
	limit, primaries, vms := lp.limit(team), len(lp.budgets.fleet.primariesOf(team)), lp.budgets.fleet.count()
	unused := limit - lp.recordsOf(team).Spent()
	var p escrow.Policy
	switch {
	case lp.isElected(team):
		p = escrow.PrimaryPolicy(limit, primaries, refresh)
		p.MaxBlock = escrow.MaxBlock(limit, unused)
	case lp.isPrimary(team):
		p = escrow.SubstitutePolicy(limit, vms, primaries, refresh)
		p.MaxBlock = escrow.MaxBlock(limit, unused)
	default:
		p = escrow.SecondaryPolicy(limit, unused, vms, primaries)
	}
	p.WriteTime, p.DrawTime = lp.currentWriteTime(), lp.asker(team).AnswerTime()
	return p
}

// currentWriteTime is how long writes take at present. The caller holds mu.
func (lp *ledgerPartition) currentWriteTime() time.Duration {
	if lp.writeBegun.IsZero() {
		return lp.writeTime
	}
	return max(lp.writeTime, lp.budgets.cfg.Now().Sub(lp.writeBegun))
}

// notifyWaiters wakes the calls that wait for tokens. The caller holds mu.
func (lp *ledgerPartition) notifyWaiters() {
	close(lp.changed)
	lp.changed = make(chan struct{})
}

func (lp *ledgerPartition) snapshot(records []keyed.Record) {
	lp.mu.Lock()
	defer lp.mu.Unlock()
	listed := map[string]bool{}
	for _, r := range records {
		lp.setCompletion(r)
	}
	for _, r := range records {
		listed[r.Key] = true
		lp.set(r)
	}
	for team, known := range lp.teamRecords {
		for holder := range known.Holders() {
			if key := ledgerKey(team, holder); !listed[key] {
				lp.rewrite.Observe(key, true)
			}
		}
	}
	lp.ready, lp.eraRead = true, true
	lp.notifyWaiters()
}

func (lp *ledgerPartition) apply(r keyed.Record) {
	lp.mu.Lock()
	defer lp.mu.Unlock()
	lp.set(r)
}

// set applies one record. The caller holds mu.
func (lp *ledgerPartition) set(r keyed.Record) {
	if lp.setCompletion(r) {
		return
	}
	team, holder, ok := parseLedgerKey(r.Key)
	if ok && holder == ceilingHolder {
		lp.setCeiling(team, r)
		return
	}
	var record escrow.Record
	if !ok || json.Unmarshal(r.Value, &record) != nil {
		lp.budgets.cfg.Events.Event(event.RecordSkipped, apexlog.Fields{"key": r.Key, "offset": r.Offset})
		return
	}
	lp.rewrite.Observe(r.Key, !lp.recordsOf(team).Set(holder, record))
}
