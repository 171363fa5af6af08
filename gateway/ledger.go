package gateway

import (
	"encoding/json"
	"slices"
	"strings"
	"sync"
	"time"

	"ibiswinch/core/escrow"
	"ibiswinch/core/event"
	"ibiswinch/core/keyed"
	"ibiswinch/core/refusal"
	"ibiswinch/io/apexlog"
)

// ledger is one partition of the ledger.
type ledger struct {
	b      *budgetController
	follow follower
	wake   chan struct{}

	// work is held while the partition is read and written; closed ends that when the reservations were returned.
	work   sync.Mutex
	closed bool
	// opened is set when the accounts of the first configuration were made.
	opened bool

	mu    sync.Mutex
	ready bool
	// away is set while the log doesn't answer.
	away     bool
	teams    map[string]*escrow.Book
	accounts map[string]*escrow.Account
	// seen is the end of what was read.
	seen uint64
	// begun and ended are the numbers of the last looks at the ledger that began and ended.
	begun, ended uint64
	endedAt      time.Time
	// drawings are the draws from other entry VMs that are under way; a team has none before emptyUntil.
	drawings   map[string]*drawing
	emptyUntil map[string]time.Time
	// homeUntil are the deadlines until which this entry VM reserves tokens itself, because no home gave any.
	homeUntil map[string]time.Time
	// changed is closed and replaced whenever accounts or books have changed.
	changed chan struct{}
}

// setAway wakes the calls that wait, so that they are refused at once when the log stops to answer.
func (k *ledger) setAway(away bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.away = away
	k.signal()
}

func (k *ledger) isReady() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.ready
}

// account returns the account of a team. The caller holds mu, and the partition has been read.
func (k *ledger) account(team string) *escrow.Account {
	a := k.accounts[team]
	if a == nil {
		a = escrow.NewAccount(k.b.cfg.Now(), k.b.cfg.Name, k.team(team).Record(k.b.cfg.Name))
		k.accounts[team] = a
		k.recover(team, a)
	}
	return a
}

// recover takes back what the life before this one can't have used. The caller holds mu.
func (k *ledger) recover(team string, a *escrow.Account) {
	record, inherited := a.Inherited()
	if !inherited {
		return
	}
	age, known := k.b.fleet.ageAtStart(time.UnixMilli(record.At))
	if !known {
		return
	}
	unused := a.Recover(age)
	k.b.cfg.Events.Event(event.ReservationRecovered, apexlog.Fields{
		"team": team, "tokens": unused, "reserved": record.Reserved, "base": record.Base, "ageMs": age.Milliseconds(),
	})
}

func (k *ledger) team(name string) *escrow.Book {
	t := k.teams[name]
	if t == nil {
		t = &escrow.Book{}
		k.teams[name] = t
	}
	return t
}

// limit is what the configuration in force says; 0 for a team that has none or is gone.
func (k *ledger) limit(team string) int64 {
	c := k.b.catalogs.now()
	if c == nil {
		return 0
	}
	if t := c.Team(team); t != nil && t.Limited {
		return t.Prepaid
	}
	return 0
}

// admit holds tokens for a call or notes that it waits; mark is the number of looks at the ledger that have begun.
func (k *ledger) admit(team string, tokens int64) (admitted bool, mark uint64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	a, now := k.account(team), k.b.cfg.Now()
	if a.Admit(now, tokens) {
		return true, 0
	}
	a.Await(tokens)
	if k.isHome(team) && !k.isFutile(team, tokens) {
		k.wakeLoop()
	}
	return false, k.begun
}

// isFutile reports whether a recent look at the ledger found no tokens for a call. The caller holds mu.
func (k *ledger) isFutile(team string, tokens int64) bool {
	return k.b.cfg.Now().Sub(k.endedAt) < lookMemory && k.team(team).Free(k.limit(team))+max(k.account(team).Idle(), 0) < tokens
}

// retry tries again after a change. It reports whether waiting is no use: the log doesn't answer, or it was looked at
// since the call came and has no tokens.
func (k *ledger) retry(team string, tokens int64, mark uint64) (admitted bool, changed <-chan struct{}, hopeless bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	a, now := k.account(team), k.b.cfg.Now()
	if a.Admit(now, tokens) {
		return true, nil, false
	}
	recent := now.Sub(k.endedAt) < lookMemory
	if !k.isHome(team) {
		return false, k.changed, true
	}
	looked := (k.ended > mark || recent) && k.team(team).Free(k.limit(team))+max(a.Idle(), 0) < tokens
	return false, k.changed, k.away || looked
}

// exhausted reports whether the recorded use leaves no room for a call.
func (k *ledger) exhausted(team string, tokens int64) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.limit(team)-k.team(team).Used() < tokens
}

// leave notes that a call waits no more.
func (k *ledger) leave(team string, tokens int64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.account(team).Leave(tokens)
}

// refuse refuses a call whose tokens are used, reserved elsewhere or can't be reserved now.
func (k *ledger) refuse(id, team string, tokens int64) *refusal.Error {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.b.cfg.Now()
	if limit, used := k.limit(team), k.team(team).Used(); limit-used < tokens {
		return k.refused(id, team, tokens, refusal.New(refusal.BudgetExhausted, "%d tokens of %d are used", used, limit))
	}
	retryAt := now.Add(reserveRetry)
	if k.ready {
		if at := k.account(team).UsableAt(now, tokens); at.After(retryAt) {
			retryAt = at
		}
	}
	e := refusal.New(refusal.BudgetUnavailable, "no tokens could be reserved").After(retryAt)
	return k.refused(id, team, tokens, e)
}

// refused logs what the refusal was based on. The caller holds mu.
func (k *ledger) refused(id, team string, tokens int64, e *refusal.Error) *refusal.Error {
	fields := apexlog.Fields{
		"request": id, "team": team, "tokens": tokens, "limit": k.limit(team), "used": k.team(team).Used(),
		"free": k.team(team).Free(k.limit(team)), "ledgerOffset": k.seen, "reason": string(e.Reason),
	}
	if k.ready {
		a := k.account(team)
		fields["reserved"], fields["left"], fields["held"] = a.Reserved(), a.Left(k.b.cfg.Now()), a.Held()
	}
	k.b.cfg.Events.Event(event.ReservationShort, fields)
	return e
}

// isHome reports whether this entry VM reserves tokens of the team in the ledger; others draw from those that do. The
// caller holds mu.
func (k *ledger) isHome(team string) bool {
	return k.b.cfg.Peers == nil || k.b.cfg.Now().Before(k.homeUntil[team]) ||
		slices.Contains(k.b.fleet.homesOf(team), k.b.cfg.Name)
}

// guestKeeps is what a guest keeps of the tokens of a team.
func (k *ledger) guestKeeps(team string) int64 {
	return min(guestTokens, k.limit(team)/(guestParts*int64(k.b.fleet.count())))
}

// floors are the least amounts of a team's account. They are bounded by small parts of the budget, so that the
// processes that die at once leave most of it. refresh is the pace of the ledger. The caller holds mu.
func (k *ledger) floors(team string, refresh time.Duration) escrow.Floors {
	if !k.isHome(team) {
		return escrow.Floors{Guest: true, Want: k.guestKeeps(team),
			Refresh: max(guestRefresh, time.Duration(k.b.fleet.count())*guestPerVM)}
	}
	limit, n := k.limit(team), int64(max(len(k.b.fleet.homesOf(team)), 1))
	return escrow.Floors{
		Want: limit / (floorParts * n), Burst: min(maxBurst, limit*burstShare/100/n), Rate: limit / (rateParts * n),
		Scarce:  min(scarceTokens*n, limit/5),
		Refresh: refresh,
	}
}

// signal wakes the calls that wait for tokens. The caller holds mu.
func (k *ledger) signal() {
	close(k.changed)
	k.changed = make(chan struct{})
}

func (k *ledger) snapshot(records []keyed.Record) {
	k.mu.Lock()
	for _, r := range records {
		k.set(r)
	}
	k.ready = true
	k.signal()
	k.mu.Unlock()
}

func (k *ledger) apply(r keyed.Record) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.set(r)
}

// set folds one record. The caller holds mu.
func (k *ledger) set(r keyed.Record) {
	team, holder, ok := strings.Cut(r.Key, "/")
	var record escrow.Record
	if !ok || json.Unmarshal(r.Value, &record) != nil {
		k.b.cfg.Events.Event(event.RecordSkipped, apexlog.Fields{"key": r.Key, "offset": r.Offset})
		return
	}
	k.team(team).Set(holder, record)
}
