package gateway

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"ibiswinch/core/event"
	"ibiswinch/core/overload"
	"ibiswinch/io/apexlog"
)

const (
	// loadInterval separates the samples of the use of resources.
	loadInterval = 250 * time.Millisecond
	// maxQueue is how long bytes may wait at the link, and maxArrival how long a request may take to arrive, before an
	// overloaded entry VM refuses calls: they would reach a server after their callers have left.
	// An entry VM that isn't overloaded yet refuses them at longestQueue.
	maxQueue     = 100 * time.Millisecond
	maxArrival   = 250 * time.Millisecond
	longestQueue = 250 * time.Millisecond
	// overloadRetry is when a refused call may come back; it reaches another entry VM.
	overloadRetry = 50 * time.Millisecond
)

// loadController takes this entry VM out of rotation while its link or processor is full.
type loadController struct {
	cfg Config

	mu      sync.Mutex
	monitor *overload.Monitor
	queue   overload.Queue
}

func newLoadController(cfg Config) *loadController {
	return &loadController{cfg: cfg, monitor: overload.NewMonitor(cfg.Limits), queue: overload.Queue{LinkBytes: cfg.Limits.LinkBytes}}
}

func (l *loadController) loop(ctx context.Context) error {
	if l.cfg.Usage == nil {
		<-ctx.Done()
		return ctx.Err()
	}
	ticker := time.NewTicker(loadInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
			l.sample()
		}
	}
}

func (l *loadController) sample() {
	s, err := l.cfg.Usage()
	if err != nil {
		l.cfg.Events.Event(event.UsageUnknown, apexlog.Fields{"error": err.Error()})
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.queue.Wait(s.At, s.Out)
	if l.monitor.Add(s) {
		l.cfg.Events.Event(event.OverloadChanged, apexlog.Fields{
			"overloaded": l.monitor.Overloaded(), "share": l.monitor.Share(), "in": s.In, "out": s.Out, "cpuMs": s.CPU.Milliseconds(),
		})
	}
}

func (l *loadController) overloaded() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.monitor.Overloaded()
}

// sheds reports whether the connection of an answer should be closed.
func (l *loadController) sheds() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.monitor.Sheds(l.cfg.Now(), rand.Float64())
}

// refuses reports whether a call that took so long to arrive should go to another entry VM.
func (l *loadController) refuses(arrival time.Duration) bool {
	if l.cfg.Sent == nil {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	wait := l.queue.Wait(l.cfg.Now(), l.cfg.Sent())
	return wait > longestQueue || l.monitor.Overloaded() && (wait > maxQueue || arrival > maxArrival)
}
