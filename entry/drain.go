package entry

import (
	"context"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"ibiswinch/core/event"
	"ibiswinch/core/refusal"
	"ibiswinch/io/apexlog"
)

// Drain timing. A planned stop takes at most exchangeTimeout, loadBalancerDelay, the drain timeout, callerCloseTimeout, closeTimeout,
// settleTimeout and innerCloseTimeout, one after the other.
const (
	// drainPollInterval is how often a stopping process checks whether its requests have ended.
	drainPollInterval = 20 * time.Millisecond
	// answerWait bounds the time for bodies to arrive and for answers to be written once no requests are open. A body, or a piece of an
	// answer, may take no longer.
	answerWait = 30 * time.Second
	// callerCloseTimeout bounds the time for the answers to requests that a planned stop has given up to be written and read.
	callerCloseTimeout = time.Second
	// closeTimeout bounds the time for requests to end whose connections were closed.
	closeTimeout = 500 * time.Millisecond
	// settleTimeout bounds the time to append bills, budgets and order results to the log after the last request.
	settleTimeout = 10 * time.Second
	// innerCloseTimeout bounds the time for the last calls of peers and operators to end.
	innerCloseTimeout = time.Second
	// loadBalancerDelay is how long the process still accepts requests after it reports not ready, so that the load
	// balancer has time to stop sending them.
	loadBalancerDelay = 300 * time.Millisecond
)

// drain refuses new requests, waits for the open ones and their answers, and settles bills and budgets.
func (vm *VM) drain(ctx context.Context, servers []*httpServer) {
	vm.events.Event(event.ProcessDraining, apexlog.Fields{"open": vm.openRequests()})
	vm.draining.Store(true)
	vm.peers.announceLeaving(ctx)
	sleep(ctx, loadBalancerDelay)
	vm.refusingNew.Store(true)
	deadline := vm.cfg.Now().Add(vm.cfg.DrainTimeout)
	var callers, others []*httpServer
	for _, s := range servers {
		if s.forCallers {
			callers = append(callers, s)
		} else {
			others = append(others, s)
		}
	}
	if !vm.awaitCallers(ctx, callers, deadline) {
		if n := vm.openRequests(); n > 0 {
			vm.events.Event(event.DrainTimedOut, apexlog.Fields{"open": n})
		}
		vm.giveUp()
		endAll(ctx, callers, callerCloseTimeout)
		vm.awaitRequests(ctx, vm.cfg.Now().Add(closeTimeout), vm.openRequests)
	}
	vm.settle(ctx)
	endAll(ctx, others, innerCloseTimeout)
}

// awaitCallers waits until all requests of callers have ended and their answers are written, at most until the deadline, and reports
// whether it is so. Requests whose bodies are still arriving, and answers that are being written, have answerWait.
func (vm *VM) awaitCallers(ctx context.Context, callers []*httpServer, deadline time.Time) bool {
	for vm.cfg.Now().Before(deadline) {
		vm.awaitRequests(ctx, deadline, func() int64 { return vm.openRequests() + vm.orders.runningAttempts.Load() })
		if shutDown(ctx, callers, min(answerWait, deadline.Sub(vm.cfg.Now()))) {
			return true
		}
		if vm.openRequests() == 0 {
			return false
		}
	}
	return false
}

// awaitRequests waits until count returns 0, at most until the deadline.
func (vm *VM) awaitRequests(ctx context.Context, deadline time.Time, count func() int64) {
	for count() > 0 && vm.cfg.Now().Before(deadline) {
		sleep(ctx, drainPollInterval)
	}
}

// settle appends bills, budgets and results of orders to the log.
func (vm *VM) settle(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, settleTimeout)
	defer cancel()
	if err := vm.bills.stop(ctx); err != nil {
		vm.events.Event(event.BillLineNotReplicated, apexlog.Fields{"lines": vm.bills.pending()})
	}
	_ = vm.budget.stop(ctx)
	// Results of orders aren't urgent, so they may still be queued.
	for _, w := range vm.workers {
		_ = w.Flush(ctx)
	}
}

// shutDown closes listeners at once, and each of their connections once its request has been answered. It reports whether all were closed
// within the timeout.
func shutDown(ctx context.Context, servers []*httpServer, timeout time.Duration) bool {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var g errgroup.Group
	for _, s := range servers {
		g.Go(func() error { return s.server.Shutdown(ctx) })
	}
	return g.Wait() == nil
}

// endAll ends requests that haven't arrived wholly, waits for the answers to the others, and closes the connections that are left after
// the timeout.
func endAll(ctx context.Context, servers []*httpServer, timeout time.Duration) {
	for _, s := range servers {
		s.server.CloseReceiving()
	}
	if !shutDown(ctx, servers, timeout) {
		closeAll(servers)
	}
}

// errStopping is the cause with which a request is ended when a planned stop has waited for it as long as it may.
var errStopping = eris.New("the process stops")

// untilGivenUp returns a context for a request that also ends when a planned stop gives the request up.
func (vm *VM) untilGivenUp(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	stop := context.AfterFunc(vm.givenUp, func() { cancel(errStopping) })
	return ctx, func() {
		stop()
		cancel(nil)
	}
}

// stoppingRefusal returns the refusal of a request that a planned stop has given up.
func (vm *VM) stoppingRefusal(x refusal.Execution) *refusal.Error {
	if x == refusal.NotRun {
		return refusal.New(refusal.Draining, "this entry VM is stopping").WithRetryAt(vm.cfg.Now().Add(notReadyRetryAfter))
	}
	return refusal.New(refusal.ServerFailed, "this entry VM stopped before the backend server had answered").WithExecution(x)
}
