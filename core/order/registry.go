package order

import (
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"ibiswinch/core/record"
)

// Retention is how long, in log time, a finished or withdrawn order is kept. An order that is claimed and has no result
// is kept forever, since its claimer may be paused just before it sends the first byte to the server.
const Retention = 24 * time.Hour

// maxBodyBytesTotal bounds the bytes of all bodies in the registry. Above it the oldest bodies are dropped; their
// results are kept without a body.
const maxBodyBytesTotal = 16 << 20

// State is the state of an order in the registry.
type State string

// States of an order.
const (
	// Free orders can be claimed, unless a withdrawal is open: an entry VM is about to say that the order didn't run.
	Free State = "free"
	// Claimed orders may be running, or may have run without a result.
	Claimed State = "claimed"
	// Done orders have a result.
	Done State = "done"
)

// entry is the state of one order in the registry.
type entry struct {
	state       State
	fingerprint Fingerprint
	// claim is the claim in force; nil unless state is Claimed.
	claim *Ref
	// result is nil unless state is Done.
	result *Result
	// openWithdrawals are the withdraw records whose authors have not answered their callers yet, in log order.
	openWithdrawals []Ref
	// fence is 1 + the offset of the newest withdraw record that found the order unclaimed or freed it; 0 without
	// one. A claim with a lower arrival offset has no effect: its request arrived before a caller was told that the order
	// didn't run.
	fence uint64
	// changedOffset is the offset of the newest record that changed the order.
	changedOffset uint64
	// serial is the number of the newest change, counted over all orders. It tells stale queue items from current ones.
	serial uint64
	// changedMS is the log time of the newest change, in Unix milliseconds.
	changedMS int64
}

// settled reports whether the order may be removed: no entry VM can still run it or say that it didn't run.
func (e *entry) settled() bool { return e.state != Claimed && len(e.openWithdrawals) == 0 }

func (e *entry) bodyBytes() int {
	if e.result == nil {
		return 0
	}
	return len(e.result.Body)
}

// Registry is the state of all orders, built from the records of the orders stream. It implements record.Fold. It is
// not safe for concurrent use.
type Registry struct {
	orders map[ID]*entry
	serial uint64
	// retention is how long settled orders are kept. Tests shorten it.
	retention time.Duration
	// horizon is 1 + the highest offset at which a removed order was changed. A claim with a lower arrival offset may be
	// for a removed order and has no effect.
	horizon uint64
	// settled holds the settled orders by serial, oldest first. Items whose order has changed since are stale.
	settled queue
	// bodies holds the orders with a body by serial. bodyBytesTotal is the sum of their sizes.
	bodies         queue
	bodyBytesTotal int
}

// NewRegistry returns an empty registry.
func NewRegistry() *Registry { return &Registry{orders: map[ID]*entry{}, retention: Retention} }

// Len counts the orders in the registry.
func (g *Registry) Len() int { return len(g.orders) }

// Remembers reports whether an order is in the registry.
func (g *Registry) Remembers(id ID) bool { return g.orders[id] != nil }

// Status is the state of one order as returned by Lookup.
type Status struct {
	State       State
	Fingerprint Fingerprint
	// Claim is the claim in force if State is Claimed.
	Claim Ref
	// Result is the result if State is Done.
	Result Result
	// Claimable is true if a claim by a request that arrives now can come into force.
	Claimable bool
	// Horizon is the offset before which changes of removed orders may lie.
	Horizon uint64
}

// Lookup returns the state of an order. An order that isn't in the registry is Free.
func (g *Registry) Lookup(id ID) Status {
	v := Status{State: Free, Claimable: true, Horizon: g.horizon}
	e := g.orders[id]
	if e == nil {
		return v
	}
	v.State, v.Fingerprint = e.state, e.fingerprint
	v.Claimable = e.state == Free && len(e.openWithdrawals) == 0
	if e.claim != nil {
		v.Claim = *e.claim
	}
	if e.result != nil {
		v.Result = *e.result
	}
	return v
}

// Apply implements record.Fold. A claim of an order that is already claimed and a withdrawal of a claim that is no
// longer in force are valid records without an effect on the claim.
func (g *Registry) Apply(at record.Position, r record.Record) error {
	switch r.Kind {
	case record.KindClaim:
		return apply(g, at, r, g.claim)
	case record.KindWithdraw:
		return apply(g, at, r, g.withdraw)
	case record.KindResult:
		return apply(g, at, r, g.finish)
	}
	return eris.Wrapf(record.ErrUnknownKind, "%s in the orders stream", r.Kind)
}

// apply decodes the payload before it changes the state, since a skipped record must leave the state as it is.
func apply[T record.Validator](g *Registry, at record.Position, r record.Record, fold func(record.Position, Ref, T)) error {
	body, err := record.Body[T](r)
	if err != nil {
		return err
	}
	g.expire(at.LogTime)
	fold(at, Ref{Author: r.Author, Sequence: r.Sequence}, body)
	return nil
}

func (g *Registry) claim(at record.Position, ref Ref, c Claim) {
	e := g.orders[c.Order]
	if c.ArrivalOffset < g.horizon || c.ArrivalOffset > at.Offset {
		return
	}
	if e == nil {
		e = g.add(c.Order)
	}
	if e.state != Free || len(e.openWithdrawals) > 0 || c.ArrivalOffset < e.fence {
		return
	}
	e.state = Claimed
	e.fingerprint = c.Fingerprint
	e.claim = &ref
	g.markChanged(at, c.Order, e)
}

// withdraw frees the order if the author has the claim in force. In any case the order can't be claimed again until the
// author has answered its caller, so that "not run" is still true when the caller reads it.
func (g *Registry) withdraw(at record.Position, ref Ref, w Withdrawal) {
	if w.Answered != 0 {
		g.endWithdrawal(at, Ref{Author: ref.Author, Sequence: w.Answered}, w.Order)
		return
	}
	e := g.orders[w.Order]
	if e == nil {
		e = g.add(w.Order)
	}
	if e.claim != nil && *e.claim == (Ref{Author: ref.Author, Sequence: w.Claim}) {
		e.state = Free
		e.claim = nil
		e.fingerprint = Fingerprint{}
	}
	if e.state == Free {
		e.fence = at.Offset + 1
	}
	e.openWithdrawals = append(e.openWithdrawals, ref)
	g.markChanged(at, w.Order, e)
}

func (g *Registry) endWithdrawal(at record.Position, ref Ref, id ID) {
	e := g.orders[id]
	if e == nil {
		return
	}
	i := slices.Index(e.openWithdrawals, ref)
	if i < 0 {
		return
	}
	e.openWithdrawals = slices.Delete(e.openWithdrawals, i, i+1)
	if len(e.openWithdrawals) == 0 {
		e.openWithdrawals = nil
	}
	g.markChanged(at, id, e)
}

func (g *Registry) finish(at record.Position, ref Ref, c Completion) {
	e := g.orders[c.Order]
	if e == nil || e.claim == nil || *e.claim != (Ref{Author: ref.Author, Sequence: c.Claim}) {
		return
	}
	e.state = Done
	e.claim = nil
	e.result = &c.Result
	g.bodyBytesTotal += len(c.Result.Body)
	g.markChanged(at, c.Order, e)
	for g.bodyBytesTotal > maxBodyBytesTotal {
		g.dropBody(g.orders[g.bodies.front().id])
		g.trimBodies()
	}
}

func (g *Registry) dropBody(e *entry) {
	if e.bodyBytes() == 0 {
		return
	}
	g.bodyBytesTotal -= e.bodyBytes()
	e.result.Body, e.result.Omitted = nil, true
}

// trimBodies removes stale items from the front of bodies, so that its front is the oldest body.
func (g *Registry) trimBodies() {
	for g.bodies.len() > 0 {
		front := g.bodies.front()
		if e := g.orders[front.id]; e != nil && e.serial == front.serial && e.bodyBytes() > 0 {
			return
		}
		g.bodies.pop()
	}
}

func (g *Registry) add(id ID) *entry {
	e := &entry{state: Free}
	g.orders[id] = e
	return e
}

// markChanged sets where and when an order last changed, and adds it to the queues for removal.
func (g *Registry) markChanged(at record.Position, id ID, e *entry) {
	g.serial++
	e.serial = g.serial
	e.changedOffset = at.Offset
	e.changedMS = at.LogTime.UnixMilli()
	g.enqueue(item{serial: e.serial, id: id})
	g.trimBodies()
}

func (g *Registry) enqueue(i item) {
	e := g.orders[i.id]
	if e.settled() {
		g.settled.push(i)
	}
	if e.bodyBytes() > 0 {
		g.bodies.push(i)
	}
}

// expire removes the settled orders that have not changed within the retention time.
func (g *Registry) expire(logTime time.Time) {
	limit := logTime.Add(-g.retention).UnixMilli()
	for g.settled.len() > 0 {
		front := g.settled.front()
		e := g.orders[front.id]
		if e != nil && e.serial == front.serial {
			if e.changedMS > limit {
				return
			}
			g.horizon = max(g.horizon, e.changedOffset+1)
			g.dropBody(e)
			delete(g.orders, front.id)
		}
		g.settled.pop()
	}
	g.trimBodies()
}
