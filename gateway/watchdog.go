package gateway

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"ibiswinch/core/placement"
)

const (
	// firstAnswerPercent of the target latency is how long a repeatable call waits for an answer before it is sent to
	// another server.
	firstAnswerPercent = 130
	// stallTimeout is the pause between events after which a stream is resumed at another server. Callers leave after 2 s.
	stallTimeout = 800 * time.Millisecond
	// silenceCheckInterval is how often a silent attempt that has no successor yet is checked again.
	silenceCheckInterval = 100 * time.Millisecond
)

// errAnswerTimeout is the cause with which an attempt is cancelled when the server doesn't answer in time.
var errAnswerTimeout = errors.New("no answer in time")

// watchdog cancels an attempt whose server is silent once the next attempt is allowed and placed. A sound server may be
// silent for a second, so without a successor the attempt goes on.
type watchdog struct {
	x      *exchange
	ctx    context.Context
	server string
	cancel context.CancelCauseFunc

	mu    sync.Mutex
	timer *time.Timer
	// resumable is set while another server could go on from what was forwarded.
	resumable bool
	// forwarding is set while an event is on its way to the caller.
	forwarding bool
	stopped    bool
	// next is the placement of the next attempt, set when this one was cancelled.
	next *placement.Placement
}

// startWatchdog watches the attempt at p. It never fires for calls that mustn't run again.
func (x *exchange) startWatchdog(ctx context.Context, p placement.Placement, cancel context.CancelCauseFunc) *watchdog {
	w := &watchdog{x: x, ctx: ctx, server: p.Server.ID, cancel: cancel, resumable: !x.headSent || x.isResumable(x.forwarded.last)}
	if !x.route.Repeatable() || x.runs+1 >= x.route.MaxRuns {
		return w
	}
	limit := x.route.TargetLatency * firstAnswerPercent / 100
	if x.headSent {
		limit = stallTimeout
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(limit, w.giveUp)
	return w
}

// received records that the server sent an event. The time until it is forwarded is the caller's.
func (w *watchdog) received() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.forwarding = true
	if w.timer != nil {
		w.timer.Stop()
	}
}

// forwarded records that an event was forwarded to the caller.
func (w *watchdog) forwarded(e Event) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.resumable, w.forwarding = w.x.isResumable(e.ID), false
	if w.timer != nil && w.next == nil {
		w.timer.Reset(stallTimeout)
	}
}

// giveUp cancels the attempt if the call may go to another server, and otherwise checks again later.
func (w *watchdog) giveUp() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped || w.forwarding || w.next != nil {
		return
	}
	if p, ok := w.place(); ok {
		w.next = &p
		w.cancel(errAnswerTimeout)
		return
	}
	w.timer.Reset(silenceCheckInterval)
}

// place places the next attempt if it is allowed. The caller holds mu.
func (w *watchdog) place() (placement.Placement, bool) {
	x := w.x
	if !w.resumable || x.denyAttempt(w.ctx) != retryAllowed {
		return placement.Placement{}, false
	}
	p, ok := x.choose(append(slices.Clone(x.excluded), w.server))
	if !ok {
		return p, false
	}
	// The silent attempt counts as arrived.
	if !x.mayArriveAfter(x.arrivals + 1) {
		x.g.servers.release(p, placement.Cancelled)
		return p, false
	}
	return p, true
}

// stop ends the watch and returns the placement of the next attempt, nil if there is none.
func (w *watchdog) stop() *placement.Placement {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	if w.timer != nil {
		w.timer.Stop()
	}
	return w.next
}
