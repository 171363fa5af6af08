package gateway

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"ibiswinch/core/escrow"
	"ibiswinch/core/event"
	"ibiswinch/core/keyed"
	"ibiswinch/io/apexlog"
)

// wakeLoop wakes the loop.
func (k *ledger) wakeLoop() {
	select {
	case k.wake <- struct{}{}:
	default:
	}
}

// pace is the time between two writes that no call waits for. It grows with the number of entry VMs that write to the
// same partition.
func (k *ledger) pace() time.Duration {
	return max(planInterval, time.Duration(k.writers())*pacePerVM)
}

// writers is the expected number of entry VMs that write to the partition: one for each of its teams and failure
// domain.
func (k *ledger) writers() int {
	vms := k.b.fleet.count()
	c := k.b.catalogs.now()
	if c == nil {
		return vms
	}
	return min(vms, len(c.Teams())*k.b.fleet.zoneCount()/len(k.b.books)+1)
}

func (k *ledger) loop(ctx context.Context) {
	for ctx.Err() == nil {
		if err := k.renew(ctx); err != nil && ctx.Err() == nil {
			k.follow.fail(err)
			pause(ctx, retryPause)
		}
		interval := k.pace()
		timer := time.NewTimer(interval*9/10 + rand.N(interval/5))
		select {
		case <-ctx.Done():
		case <-timer.C:
		case <-k.wake:
		}
		timer.Stop()
	}
}

func (k *ledger) wants() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	now, pace := k.b.cfg.Now(), k.pace()
	for team, a := range k.accounts {
		if a.Wants(now, k.floors(team, pace), k.limit(team), k.team(team)) {
			return true
		}
	}
	return false
}

// renew reads the partition and appends what the accounts need, on the condition that nobody else appends first.
func (k *ledger) renew(ctx context.Context) error {
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
func (k *ledger) open() {
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
func (k *ledger) beginLook() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.begun++
}

func (k *ledger) endLook() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.ended, k.endedAt = k.begun, k.b.cfg.Now()
	k.signal()
}

type plan struct {
	team string
	escrow.Plan
}

func (k *ledger) plan() []plan {
	k.mu.Lock()
	defer k.mu.Unlock()
	var plans []plan
	now, pace := k.b.cfg.Now(), k.pace()
	for _, team := range slices.Sorted(maps.Keys(k.accounts)) {
		a := k.accounts[team]
		p := a.Plan(now, k.b.fleet.timeOfDay(), k.floors(team, pace), k.limit(team), k.team(team))
		if p.Reason == escrow.None {
			continue
		}
		a.Writing(now, k.follow.next, p.Record)
		plans = append(plans, plan{team: team, Plan: p})
	}
	return plans
}

func (k *ledger) append(ctx context.Context, plans []plan) error {
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
func (k *ledger) observe() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.seen = k.follow.next
	for team, a := range k.accounts {
		a.Observe(k.team(team).Record(k.b.cfg.Name), k.follow.next)
		k.recover(team, a)
	}
}

// settle returns everything that isn't used.
func (k *ledger) settle(ctx context.Context) error {
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

func (k *ledger) closing() []plan {
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
