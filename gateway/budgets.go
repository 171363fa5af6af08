package gateway

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"hash/fnv"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"ibiswinch/core/catalog"
	"ibiswinch/core/escrow"
	"ibiswinch/core/event"
	"ibiswinch/core/keyed"
	"ibiswinch/core/refusal"
	"ibiswinch/io/apexlog"
)

const (
	// planInterval is how often the reservations are looked at without a request that lacks tokens.
	planInterval = 450 * time.Millisecond
	// pacePerVM is the least time between two such looks for each entry VM of the fleet.
	pacePerVM = 25 * time.Millisecond
	// reserveWait bounds how long a call waits for a larger reservation.
	reserveWait = 250 * time.Millisecond
	// floorParts is the number of parts of a budget of which all entry VMs together hold one when idle.
	floorParts = 8
	// maxBurst bounds what is usable between two records; burstShare is the part of a budget, in hundredths, that the bursts
	// of all entry VMs may have. rateParts is the number of seconds in which idle accounts would use up a budget.
	maxBurst   = 60_000
	burstShare = 12
	rateParts  = 200
	// scarceTokens is the reserve for each entry VM that is worth keeping.
	scarceTokens = 12_000
	// lookMemory is how long a look at the ledger answers further calls for tokens that it does not have.
	lookMemory = 150 * time.Millisecond
	// eagerAccounts bounds the accounts that a process opens before the first call of their teams.
	eagerAccounts = 256
	// conflictTries bounds the appends of one look that lose against other entry VMs.
	conflictTries = 6
	// reserveRetry is when a repeat may find tokens that are reserved elsewhere now.
	reserveRetry = 400 * time.Millisecond
	// settleTries bounds the attempts to return tokens at a planned stop.
	settleTries = 8
)

// budgetController reserves tokens in the ledger and admits calls against the reservations.
type budgetController struct {
	cfg      Config
	catalogs *catalogController
	fleet    *fleetController
	books    []*book
}

// book is one partition of the ledger.
type book struct {
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
	// changed is closed and replaced whenever accounts or books have changed.
	changed chan struct{}
}

func newBudgetController(cfg Config, catalogs *catalogController, fleet *fleetController) *budgetController {
	b := &budgetController{cfg: cfg, catalogs: catalogs, fleet: fleet}
	for i := range max(cfg.LedgerPartitions, 1) {
		k := &book{
			b: b, wake: make(chan struct{}, 1), teams: map[string]*escrow.Book{}, accounts: map[string]*escrow.Account{},
			changed: make(chan struct{}),
		}
		k.follow = follower{cfg: cfg, partition: keyed.Partition{Stream: keyed.Ledger, Number: i}, apply: k.apply, snapshot: k.snapshot,
			lost: func(time.Time) { k.setAway(true) }, regained: func(time.Time) { k.setAway(false) }}
		b.books = append(b.books, k)
	}
	return b
}

func (b *budgetController) loop(ctx context.Context) error {
	var wg sync.WaitGroup
	for _, k := range b.books {
		wg.Go(func() { k.loop(ctx) })
	}
	wg.Wait()
	return ctx.Err()
}

func (b *budgetController) wakeAll() {
	for _, k := range b.books {
		k.poke()
	}
}

func (b *budgetController) loaded() bool {
	for _, k := range b.books {
		if !k.isReady() {
			return false
		}
	}
	return true
}

func (b *budgetController) bookOf(team string) *book {
	h := fnv.New32a()
	_, _ = h.Write([]byte(team))
	return b.books[h.Sum32()%uint32(len(b.books))]
}

// admit holds tokens of a team for a call.
func (b *budgetController) admit(ctx context.Context, id string, team *catalog.Team, tokens int64, until time.Time) *refusal.Error {
	if team == nil || !team.Limited || tokens == 0 {
		return nil
	}
	k := b.bookOf(team.Name)
	if !k.isReady() {
		return refusal.New(refusal.NotReady, "the ledger isn't read yet").After(b.cfg.Now().Add(reserveRetry))
	}
	admitted, mark := k.admit(team.Name, tokens)
	if admitted {
		return nil
	}
	defer k.leave(team.Name, tokens)
	if latest := b.cfg.Now().Add(reserveWait); until.After(latest) {
		until = latest
	}
	timer := time.NewTimer(until.Sub(b.cfg.Now()))
	defer timer.Stop()
	for {
		admitted, changed, look := k.retry(team.Name, tokens, mark)
		switch {
		case admitted:
			return nil
		case look || !b.cfg.Now().Before(until):
			return k.refuse(id, team.Name, tokens)
		}
		select {
		case <-changed:
		case <-timer.C:
		case <-ctx.Done():
			return refusal.New(refusal.CallerGone, "the caller left while tokens were reserved")
		}
	}
}

// settle ends the hold of a call.
func (b *budgetController) settleCall(team *catalog.Team, held, used int64) {
	if team == nil || !team.Limited || held == 0 {
		return
	}
	k := b.bookOf(team.Name)
	k.mu.Lock()
	defer k.mu.Unlock()
	k.account(team.Name).Settle(b.cfg.Now(), held, used)
	b.cfg.Metrics.Billed(team.Name, uint64(used))
}

// free is the number of tokens that may be admitted now.
func (b *budgetController) free() int64 {
	sum, now := int64(0), b.cfg.Now()
	for _, k := range b.books {
		k.mu.Lock()
		for _, a := range k.accounts {
			sum += max(a.Left(now), 0)
		}
		k.mu.Unlock()
	}
	return sum
}

// drain begins a planned stop.
func (b *budgetController) drain() {
	for _, k := range b.books {
		k.mu.Lock()
		for _, a := range k.accounts {
			a.Drain(b.cfg.Now())
		}
		k.mu.Unlock()
	}
}

// settle returns all reservations at a planned stop.
func (b *budgetController) settle(ctx context.Context) error {
	var errs []error
	for _, k := range b.books {
		errs = append(errs, k.settle(ctx))
	}
	return errors.Join(errs...)
}

// setAway wakes the calls that wait, so that they are refused at once when the log stops to answer.
func (k *book) setAway(away bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.away = away
	k.signal()
}

func (k *book) isReady() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.ready
}

func (k *book) poke() {
	select {
	case k.wake <- struct{}{}:
	default:
	}
}

// account returns the account of a team. The caller holds mu, and the partition has been read.
func (k *book) account(team string) *escrow.Account {
	a := k.accounts[team]
	if a == nil {
		a = escrow.NewAccount(k.b.cfg.Now(), k.b.cfg.Name, k.team(team).Record(k.b.cfg.Name))
		k.accounts[team] = a
		k.recover(team, a)
	}
	return a
}

// recover takes back what the life before this one can't have used. The caller holds mu.
func (k *book) recover(team string, a *escrow.Account) {
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

func (k *book) team(name string) *escrow.Book {
	t := k.teams[name]
	if t == nil {
		t = &escrow.Book{}
		k.teams[name] = t
	}
	return t
}

// limit is what the configuration in force says; 0 for a team that has none or is gone.
func (k *book) limit(team string) int64 {
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
func (k *book) admit(team string, tokens int64) (admitted bool, mark uint64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	a, now := k.account(team), k.b.cfg.Now()
	if a.Admit(now, tokens) {
		return true, 0
	}
	a.Await(tokens)
	k.poke()
	return false, k.begun
}

// retry tries again after a change. It reports whether waiting is no use: the log doesn't answer, or it was looked at
// since the call came and has no tokens.
func (k *book) retry(team string, tokens int64, mark uint64) (admitted bool, changed <-chan struct{}, hopeless bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	a, now := k.account(team), k.b.cfg.Now()
	if a.Admit(now, tokens) {
		return true, nil, false
	}
	recent := now.Sub(k.endedAt) < lookMemory
	looked := (k.ended > mark || recent) && k.team(team).Free(k.limit(team))+max(a.Idle(), 0) < tokens
	return false, k.changed, k.away || looked
}

// leave notes that a call waits no more.
func (k *book) leave(team string, tokens int64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.account(team).Leave(tokens)
}

// refuse refuses a call whose tokens are used, reserved elsewhere or can't be reserved now.
func (k *book) refuse(id, team string, tokens int64) *refusal.Error {
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
func (k *book) refused(id, team string, tokens int64, e *refusal.Error) *refusal.Error {
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

// pace is the time between two writes that no call waits for. It grows with the fleet, since all write to the same
// partitions.
func (k *book) pace() time.Duration {
	return max(planInterval, time.Duration(k.b.fleet.count())*pacePerVM)
}

// floors are the least amounts of a team's account. They are bounded by small parts of the budget, so that the
// processes that die at once leave most of it.
func (k *book) floors(team string) escrow.Floors {
	limit, n := k.limit(team), int64(max(k.b.fleet.count(), 1))
	return escrow.Floors{
		Want: limit / (floorParts * n), Burst: min(maxBurst, limit*burstShare/100/n), Rate: limit / (rateParts * n),
		Scarce:  min(scarceTokens*n, limit/5),
		Refresh: k.pace(),
	}
}

func (k *book) loop(ctx context.Context) {
	for ctx.Err() == nil {
		if err := k.renew(ctx); err != nil && ctx.Err() == nil {
			k.follow.fail(err)
			pause(ctx, retryPause)
		}
		timer := time.NewTimer(k.pace()*9/10 + rand.N(k.pace()/5))
		select {
		case <-ctx.Done():
		case <-timer.C:
		case <-k.wake:
		}
		timer.Stop()
	}
}

func (k *book) wants() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.b.cfg.Now()
	for team, a := range k.accounts {
		if a.Wants(now, k.floors(team), k.limit(team), k.team(team)) {
			return true
		}
	}
	return false
}

// renew reads the partition and appends what the accounts need, on the condition that nobody else appends first.
func (k *book) renew(ctx context.Context) error {
	k.work.Lock()
	defer k.work.Unlock()
	if k.closed || k.opened && !k.wants() {
		return nil
	}
	defer k.endLook()
	for range conflictTries {
		k.beginLook()
		if err := k.follow.step(ctx); err != nil {
			return err
		}
		if !k.opened {
			k.opened = k.b.catalogs.now() != nil
			k.open()
		}
		k.observe()
		plans := k.plan()
		if len(plans) == 0 {
			return nil
		}
		err := k.append(ctx, plans)
		var conflict *keyed.ConflictError
		if !errors.As(err, &conflict) {
			return err
		}
	}
	return nil
}

// open makes accounts for the teams of the configuration before their first call, so that they have a reserve when the
// store goes away early.
func (k *book) open() {
	c := k.b.catalogs.now()
	if c == nil {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, name := range c.Teams() {
		if len(k.accounts) >= eagerAccounts {
			return
		}
		if c.Team(name).Limited && k.b.bookOf(name) == k {
			k.account(name)
		}
	}
}

// beginLook and endLook count the looks at the ledger. The calls that wait try again after each.
func (k *book) beginLook() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.begun++
}

func (k *book) endLook() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.ended, k.endedAt = k.begun, k.b.cfg.Now()
	k.signal()
}

type plan struct {
	team string
	escrow.Plan
}

func (k *book) plan() []plan {
	k.mu.Lock()
	defer k.mu.Unlock()
	var plans []plan
	now := k.b.cfg.Now()
	for _, team := range slices.Sorted(maps.Keys(k.accounts)) {
		a := k.accounts[team]
		p := a.Plan(now, k.b.fleet.timeOfDay(), k.floors(team), k.limit(team), k.team(team))
		if p.Reason == escrow.None {
			continue
		}
		a.Writing(now, k.follow.next, p.Record)
		plans = append(plans, plan{team: team, Plan: p})
	}
	return plans
}

func (k *book) append(ctx context.Context, plans []plan) error {
	records := make([]keyed.Record, 0, len(plans))
	for _, p := range plans {
		value, err := json.Marshal(p.Record)
		if err != nil {
			return eris.Wrap(err, "encode reservation")
		}
		records = append(records, keyed.Record{Key: ledgerKey(p.team, k.b.cfg.Name), Value: value})
	}
	expected := k.follow.next
	k.b.cfg.Metrics.Append()
	end, err := k.b.cfg.Log.Append(ctx, k.follow.partition, records, &expected)
	k.mu.Lock()
	defer k.mu.Unlock()
	if err != nil {
		var conflict *keyed.ConflictError
		if !errors.As(err, &conflict) {
			k.b.cfg.Events.Event(event.ReservationFailed, apexlog.Fields{"offset": expected, "error": err.Error()})
		}
		return err
	}
	k.follow.next = end
	for _, p := range plans {
		k.team(p.team).Set(k.b.cfg.Name, p.Record)
		k.accounts[p.team].Observe(p.Record, end)
		if p.Reason == escrow.Refresh {
			continue
		}
		k.b.cfg.Events.Event(event.ReservationChanged, apexlog.Fields{
			"team": p.team, "reason": string(p.Reason), "reserved": p.Record.Reserved, "used": p.Record.Used,
			"want": p.Record.Want, "offset": expected, "free": k.team(p.team).Free(k.limit(p.team)),
		})
	}
	k.signal()
	return nil
}

// observe takes over what the store holds for this entry VM.
func (k *book) observe() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.seen = k.follow.next
	for team, a := range k.accounts {
		a.Observe(k.team(team).Record(k.b.cfg.Name), k.follow.next)
		k.recover(team, a)
	}
}

// signal wakes the calls that wait for tokens. The caller holds mu.
func (k *book) signal() {
	close(k.changed)
	k.changed = make(chan struct{})
}

func (k *book) snapshot(records []keyed.Record) {
	k.mu.Lock()
	for _, r := range records {
		k.set(r)
	}
	k.ready = true
	k.signal()
	k.mu.Unlock()
}

func (k *book) apply(r keyed.Record) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.set(r)
}

// set folds one record. The caller holds mu.
func (k *book) set(r keyed.Record) {
	team, holder, ok := strings.Cut(r.Key, "/")
	var record escrow.Record
	if !ok || json.Unmarshal(r.Value, &record) != nil {
		k.b.cfg.Events.Event(event.RecordSkipped, apexlog.Fields{"key": r.Key, "offset": r.Offset})
		return
	}
	k.team(team).Set(holder, record)
}

// settle returns everything that isn't used.
func (k *book) settle(ctx context.Context) error {
	k.work.Lock()
	defer k.work.Unlock()
	k.closed = true
	var err error
	for range settleTries {
		if err = k.follow.step(ctx); err != nil {
			pause(ctx, retryPause)
			continue
		}
		k.observe()
		plans := k.closing()
		if len(plans) == 0 {
			return nil
		}
		if err = k.append(ctx, plans); err == nil {
			return nil
		}
		if ctx.Err() != nil {
			break
		}
	}
	return err
}

func (k *book) closing() []plan {
	k.mu.Lock()
	defer k.mu.Unlock()
	var plans []plan
	for _, team := range slices.Sorted(maps.Keys(k.accounts)) {
		a := k.accounts[team]
		if _, inherited := a.Inherited(); inherited || a.Reserved() == a.Used() {
			continue
		}
		p := a.Close(k.b.cfg.Now(), k.b.fleet.timeOfDay())
		a.Writing(k.b.cfg.Now(), k.follow.next, p.Record)
		plans = append(plans, plan{team: team, Plan: p})
	}
	return plans
}

func ledgerKey(team, holder string) string { return cmp.Or(team, "-") + "/" + holder }
