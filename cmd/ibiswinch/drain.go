package main

import (
	"context"
	"time"

	"ibiswinch/core/event"
	"ibiswinch/io/apexlog"
)

const (
	// drainDelay is how long a stopping process accepts new calls, until the load balancer has seen that it isn't
	// ready. Calls that came later could outlast the grace period. In a short one, new calls are accepted for drainPercent of the
	// time until the open ones are given up, so that most of it is left for them to end.
	drainDelay   = 2600 * time.Millisecond
	drainPercent = 40
	// closeIdleDelay is the time from the start of a stop until idle connections are closed.
	closeIdleDelay = 3500 * time.Millisecond
	// drainPollInterval is how often a stopping process checks whether its connections are closed.
	drainPollInterval = 20 * time.Millisecond
	// 1/exitReserveDivisor of the grace period, maxExitReserve at most, is reserved to exit. In eighths of it: two to answer the
	// calls that are still open, two to return unused tokens to the ledger, one to hand them to another entry VM instead,
	// one to write the last log lines, and two for the exit itself.
	exitReserveDivisor = 6
	maxExitReserve     = 900 * time.Millisecond
)

// drainTimes are the times of a planned stop.
type drainTimes struct {
	// lastCallAt is when new calls are refused, closeIdleAt when idle connections are closed. At giveUpAt the calls that are
	// still open are ended, which must be done by answeredAt. The unused tokens must be returned to the ledger by returnedAt, or
	// to another entry VM by handedOverAt. At exitAt the process exits, whatever still runs.
	lastCallAt, closeIdleAt, giveUpAt, answeredAt, returnedAt, handedOverAt, exitAt time.Time
}

func newDrainTimes(start time.Time, gracePeriod time.Duration) drainTimes {
	reserve := min(gracePeriod/exitReserveDivisor, maxExitReserve)
	giveUpAt := start.Add(gracePeriod - reserve)
	return drainTimes{
		lastCallAt: start.Add(min(drainDelay, (gracePeriod-reserve)*drainPercent/100)), closeIdleAt: start.Add(closeIdleDelay), giveUpAt: giveUpAt,
		answeredAt: giveUpAt.Add(reserve * 2 / 8), returnedAt: giveUpAt.Add(reserve * 4 / 8), handedOverAt: giveUpAt.Add(reserve * 5 / 8),
		exitAt: giveUpAt.Add(reserve * 6 / 8),
	}
}

// drain keeps serving until the callers have closed their connections or the grace period nears its end, answers what is
// still open, and returns the unused reservations. Afterwards the process must exit.
func (p *platformProcess) drain(times drainTimes) {
	p.gateway.Drain(times.lastCallAt)
	p.awaitClosedConnections(times)
	p.endOpenCalls(times.answeredAt)
	ctx, cancel := context.WithDeadline(context.Background(), times.handedOverAt)
	defer cancel()
	if err := p.gateway.ReturnReservations(ctx, times.returnedAt); err != nil {
		p.events.Event(event.ReservationFailed, apexlog.Fields{"error": err.Error()})
	}
}

// awaitClosedConnections serves until there are no connections or open calls have to be given up.
func (p *platformProcess) awaitClosedConnections(times drainTimes) {
	for now := time.Now(); now.Before(times.giveUpAt); now = time.Now() {
		if now.After(times.lastCallAt) && p.callers.Open() == 0 {
			return
		}
		if now.After(times.closeIdleAt) {
			p.callers.CloseIdle()
		}
		time.Sleep(drainPollInterval)
	}
}

// endOpenCalls closes the listener and answers all calls that are still open, so that no call is read that the exit would
// cut off. It waits until the answers are sent, until the given time at most.
func (p *platformProcess) endOpenCalls(until time.Time) {
	if n := p.gateway.OpenCalls(); n > 0 {
		p.events.Event(event.DrainTimedOut, apexlog.Fields{"open": n})
	}
	if err := p.callerListener.Close(); err != nil {
		p.events.Event(event.HandlerPanicked, apexlog.Fields{"error": err.Error()})
	}
	p.gateway.GiveUp()
	// Each connection is closed when its answer is sent. http.Server.Shutdown would drop requests whose heads are being read.
	for time.Now().Before(until) {
		p.callers.CloseIdle()
		if p.callers.Open() == 0 {
			return
		}
		time.Sleep(drainPollInterval)
	}
}
