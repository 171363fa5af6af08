package entry

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"ibiswinch/core/event"
	"ibiswinch/core/order"
	"ibiswinch/core/record"
	"ibiswinch/core/refusal"
	"ibiswinch/entry/stream"
	"ibiswinch/io/apexlog"
	"ibiswinch/io/service"
)

// noRoomRetryAfter is the Retry-After of an order for which there is no room. Others are forgotten a day after they have run.
const noRoomRetryAfter = time.Minute

// withdrawalGrace is the time after the deadline of an order for its withdrawal to be read back from the log.
const withdrawalGrace = 3 * time.Second

// dispatchFunc sends an order to a server. It returns errNoOtherServer if nothing was sent. After other errors the
// outcome is unknown, unless they wrap service.ErrNotRun.
type dispatchFunc func(ctx context.Context) (order.Result, error)

// errNoOtherServer is returned when there is no server left to send the order to.
var errNoOtherServer = eris.New("no other server for the order")

// orderController runs orders: calls to services that aren't idempotent.
type orderController struct {
	cfg    Config
	events *apexlog.Logger
	worker *stream.Worker
	// registry and room are guarded by the lock of the worker.
	registry *order.Registry
	room     *order.Room
	base     context.Context
	// givenUp ends when a planned stop gives up open requests.
	givenUp context.Context
	started chan struct{}
	// runningAttempts counts the attempts that are not done. An attempt goes on after its caller has disconnected.
	runningAttempts atomic.Int64
	wg              sync.WaitGroup
}

func newOrderController(cfg Config, givenUp context.Context, events *apexlog.Logger) *orderController {
	return &orderController{cfg: cfg, givenUp: givenUp, events: events, registry: order.NewRegistry(), room: order.NewRoom(cfg.MaxOrders), started: make(chan struct{})}
}

// loop sets the context of the attempts, and waits for them when ctx ends.
func (o *orderController) loop(ctx context.Context) error {
	o.base = ctx
	close(o.started)
	<-ctx.Done()
	o.wg.Wait()
	return ctx.Err()
}

// run executes an order of a team and returns the answer for the caller. The attempt goes on in the background after that, since
// its result must be recorded. hasOthers is set if there are other teams.
func (o *orderController) run(team string, hasOthers bool, request order.Request, dispatch dispatchFunc) order.Answer {
	<-o.started
	if !o.hasRoom(team, hasOthers, request.Order) {
		return order.Answer{Kind: order.AnswerNoRoom}
	}
	run := &orderRun{
		controller: o, attempt: order.NewAttempt(o.cfg.Author, request), request: request, dispatch: dispatch,
		answer: make(chan order.Answer, 1), dispatched: make(chan dispatchResult, 1),
	}
	o.runningAttempts.Add(1)
	o.wg.Go(func() {
		defer o.runningAttempts.Add(-1)
		run.run(o.base)
	})
	select {
	case answer := <-run.answer:
		return answer
	case <-o.givenUp.Done():
		return order.Answer{Kind: order.AnswerUnknown}
	}
}

// hasRoom reports whether an order is remembered already or may be, and counts it in the second case.
func (o *orderController) hasRoom(team string, hasOthers bool, id order.ID) (ok bool) {
	o.worker.WithLock(func() {
		ok = o.registry.Remembers(id) || o.room.Add(o.cfg.Now(), team, o.registry.Len(), hasOthers)
	})
	return ok
}

// remembered counts the orders that are remembered.
func (o *orderController) remembered() (n int64) {
	o.worker.WithLock(func() { n = int64(o.registry.Len()) })
	return n
}

type dispatchResult struct {
	result order.Result
	err    error
}

// orderRun is one attempt of an order, run by its own goroutine.
type orderRun struct {
	controller *orderController
	attempt    *order.Attempt
	request    order.Request
	dispatch   dispatchFunc
	answer     chan order.Answer
	dispatched chan dispatchResult
	answered   bool
}

// run passes dispatch results, log changes and deadlines to the attempt until it is done.
func (r *orderRun) run(ctx context.Context) {
	defer r.reply(order.Answer{Kind: order.AnswerUnknown})
	changed := r.step(ctx, func(now time.Time, f order.StreamState) []order.Action { return r.attempt.Start(now, f) })
	for !r.attempt.Done() {
		timer := time.NewTimer(r.untilNextDeadline(r.controller.cfg.Now()))
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case d := <-r.dispatched:
			r.execute(ctx, r.handleDispatchResult(d))
		case <-changed:
			changed = r.step(ctx, r.attempt.Advance)
		case <-timer.C:
			changed = r.step(ctx, r.attempt.Advance)
		}
		timer.Stop()
	}
}

// untilNextDeadline returns the time until the next deadline of the request.
func (r *orderRun) untilNextDeadline(now time.Time) time.Duration {
	if now.Before(r.request.Deadline) {
		return r.request.Deadline.Sub(now)
	}
	if now.Before(r.request.AnswerBy) {
		return r.request.AnswerBy.Sub(now)
	}
	return withdrawalGrace
}

// step lets the attempt decide by the present state of the log, executes its actions, and returns the channel that is
// closed when that state changes.
func (r *orderRun) step(ctx context.Context, decide func(time.Time, order.StreamState) []order.Action) <-chan struct{} {
	var actions []order.Action
	changed := r.controller.worker.Changed()
	now := r.controller.cfg.Now()
	r.controller.worker.WithStream(func(s *record.Stream) {
		actions = decide(now, order.StreamStateOf(s, r.controller.registry, r.controller.cfg.Author))
	})
	r.execute(ctx, actions)
	return changed
}

func (r *orderRun) execute(ctx context.Context, actions []order.Action) {
	for _, a := range actions {
		switch a.Kind {
		case order.Dispatch:
			go func() {
				result, err := r.dispatch(ctx)
				r.dispatched <- dispatchResult{result: result, err: err}
			}()
		case order.Reply:
			r.reply(a.Answer)
		default:
			r.enqueue(a.Kind)
		}
	}
}

func (r *orderRun) enqueue(kind order.ActionKind) {
	recordKind, body := r.attempt.Payload(kind)
	// Callers wait for all records but results: a key can be claimed again only after its withdrawal is in the log.
	urgent := kind != order.AppendResult
	sequence, err := r.controller.worker.Enqueue(recordKind, body, urgent)
	if err != nil {
		r.controller.events.Event(event.AppendRejected, apexlog.Fields{"stream": ordersStream, "error": err.Error()})
		return
	}
	r.attempt.Queued(kind, sequence)
	if kind == order.AppendWithdraw {
		r.controller.events.Event(event.OrderWithdrawn, apexlog.Fields{"sequence": sequence})
	}
}

func (r *orderRun) reply(a order.Answer) {
	if r.answered {
		return
	}
	r.answered = true
	if a.Kind == order.AnswerUnknown {
		r.controller.events.Event(event.OrderOutcomeUnknown, nil)
	}
	r.answer <- a
}

func (r *orderRun) handleDispatchResult(d dispatchResult) []order.Action {
	switch {
	case d.err == nil:
		return r.attempt.ServerAnswered(d.result)
	case eris.Is(d.err, errNoOtherServer):
		return r.attempt.NotDispatched(r.controller.cfg.Now(), false)
	case eris.Is(d.err, service.ErrNotRun):
		return r.attempt.NotDispatched(r.controller.cfg.Now(), true)
	}
	return r.attempt.OutcomeUnknown()
}

// claimedOrders lists the orders that are claimed and have no result.
func (o *orderController) claimedOrders(time.Time) []OrderReport {
	reports := []OrderReport{}
	o.worker.WithLock(func() {
		for _, c := range o.registry.Claimed() {
			reports = append(reports, OrderReport(c))
		}
	})
	return reports
}

// orderRefusal returns the refusal for an answer without a result, or nil.
func orderRefusal(a order.Answer, now time.Time) *refusal.Error {
	switch a.Kind {
	case order.AnswerNotRun:
		return refusal.New(refusal.OrderUnconfirmed, "the order could not be claimed or sent in time; it did not run").
			WithRetryAt(now.Add(time.Second))
	case order.AnswerConflict:
		return refusal.New(refusal.IdempotencyKeyConflict, "the idempotency key belongs to another order; this one did not run")
	case order.AnswerNoRoom:
		return refusal.New(refusal.Overloaded, "too many orders are remembered, or too many of the team").WithRetryAt(now.Add(noRoomRetryAfter))
	case order.AnswerUnknown:
		return refusal.New(refusal.OrderPending, "the outcome of the order is not known; ask again with the same key").
			WithExecution(refusal.Unknown).WithRetryAt(now.Add(time.Second))
	}
	return nil
}
