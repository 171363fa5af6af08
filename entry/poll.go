package entry

import (
	"context"
	"time"

	"ibiswinch/core/routing"
	"ibiswinch/io/engine"
)

// pollLoad polls the load reports of one engine of the own domain until ctx ends.
func (s *serverController) pollLoad(ctx context.Context, e *engineEntry) {
	ticker := time.NewTicker(loadInterval)
	defer ticker.Stop()
	for {
		callCtx, cancel := context.WithTimeout(ctx, loadTimeout)
		load, err := e.client.LoadReport(callCtx)
		cancel()
		if err == nil {
			s.mu.Lock()
			e.incarnation = load.Incarnation
			s.table.ObserveLoad(newLoad(e.Name, s.cfg.Now(), load))
			s.mu.Unlock()
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// newLoad returns the load of a server by its report. A report from the future counts as of now, since the table ignores
// all older ones after it.
func newLoad(server string, now time.Time, report engine.LoadReport) routing.Load {
	at := report.Time
	if at.After(now) {
		at = now
	}
	return routing.Load{Server: server, At: at, Tokens: report.HeldTokens + report.WaitingTokens, Leaving: report.Draining}
}

// pollCacheEvents long-polls the cache events of one engine of the own domain until ctx ends.
func (s *serverController) pollCacheEvents(ctx context.Context, e *engineEntry) {
	var from uint64
	incarnation := 0
	for ctx.Err() == nil {
		callCtx, cancel := context.WithTimeout(ctx, eventWait+loadTimeout)
		page, err := e.client.CacheEvents(callCtx, from, eventWait)
		cancel()
		if err != nil {
			sleep(ctx, loadInterval)
			continue
		}
		s.observeCache(e.Name, page, page.Incarnation != incarnation)
		incarnation = page.Incarnation
		from = page.Next
	}
}

func (s *serverController) observeCache(name string, page engine.CacheEventPage, restarted bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if restarted {
		s.table.ObserveCache(routing.CacheEvent{Server: name, At: s.cfg.Now(), Cleared: true})
	}
	for _, e := range page.Events {
		c := routing.CacheEvent{Server: name, Sequence: e.Sequence, At: e.Time}
		if e.Type == engine.CacheEventStored {
			c.Stored = []uint64{uint64(e.Block)}
		} else {
			c.Evicted = []uint64{uint64(e.Block)}
		}
		s.table.ObserveCache(c)
	}
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
