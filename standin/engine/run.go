package engine

import (
	"container/heap"
	"context"
	"net/http"
	"sort"
	"strings"
	"sync/atomic"
	"time"
)

// outcome says how a request ended.
type outcome int

const (
	outcomeNone outcome = iota
	outcomeFinished
	outcomeCancelled
	outcomeFailed
	outcomeCrashed
)

// cancelGrace bounds the write of the last chunk of a cancelled stream whose caller doesn't read.
const cancelGrace = 200 * time.Millisecond

// RunCount counts the runs of one request ID.
type RunCount struct {
	RequestID string `json:"requestId"`
	// Started counts the runs that left the queue. Each of them ends as Finished, Cancelled, Failed or Crashed.
	Started   uint64 `json:"started"`
	Finished  uint64 `json:"finished"`
	Cancelled uint64 `json:"cancelled"`
	Failed    uint64 `json:"failed"`
	Crashed   uint64 `json:"crashed"`
	// Dropped counts the requests that were cancelled, or lost in a crash, before they left the queue.
	Dropped uint64 `json:"dropped"`
	// Tokens counts the produced tokens of all runs that have ended.
	Tokens uint64 `json:"tokens"`
}

// Totals are the counters of all requests since the stand-in was created. A crash doesn't reset them.
type Totals struct {
	RunCount
	// Refused counts the requests that were answered without running.
	Refused     uint64 `json:"refused"`
	Crashes     uint64 `json:"crashes"`
	Orders      uint64 `json:"orders"`
	StaleOrders uint64 `json:"staleOrders"`
	// LateStarts counts the runs that started more than 3 s after the engine began to drain.
	LateStarts uint64 `json:"lateStarts"`
	// Versions counts the started runs of each version.
	Versions map[string]uint64 `json:"versions"`
}

// Runs is the answer of GET /v1/runs.
type Runs struct {
	Totals Totals `json:"totals"`
	// Runs is sorted by request ID.
	Runs []RunCount `json:"runs"`
}

// run is one request in the queue or in the batch.
type run struct {
	id       string
	prompt   Prompt
	route    string
	version  string
	priority int
	// from and to are the positions of the first token and after the last one in the full answer. from is above 0 if the
	// request has a prefix.
	from, to int

	arrival uint64
	// queueIndex is the index in the queue; -1 once the run has started.
	queueIndex   int
	counters     *batchCounters
	cachedTokens int
	faults       faultPlan
	// started is closed when the run leaves the queue, stop when it is cancelled or the engine crashes.
	started, stop chan struct{}
	// tokens counts the produced tokens.
	tokens     atomic.Int64
	controller *http.ResponseController
	// outcome is set once, when the run ends. Server.mu guards it and cancelled.
	outcome   outcome
	cancelled bool
}

// initialTokens is the number of tokens that the run holds in memory before its first token.
func (r *run) initialTokens() int64 { return int64(r.prompt.Tokens() + r.from) }

// refusal is the error answer to a request that doesn't run.
type refusal struct {
	status        int
	code, message string
}

// enqueue adds a run to the queue and starts waiting runs while the batch has room.
func (s *Server) enqueue(r *run) *refusal {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return &refusal{status: http.StatusServiceUnavailable, code: "down", message: "engine is down"}
	}
	if s.isFull() && s.cfg.MaxWaiting > 0 && len(s.waiting) >= s.cfg.MaxWaiting {
		return &refusal{status: http.StatusServiceUnavailable, code: "overloaded", message: "queue is full"}
	}
	s.arrivals++
	r.arrival = s.arrivals
	s.waitingTokens += r.initialTokens()
	heap.Push(&s.waiting, r)
	s.startWaiting()
	s.recordLoad()
	return nil
}

func (s *Server) isFull() bool {
	return s.cfg.MaxRunning > 0 && int(s.running.Load()) >= s.cfg.MaxRunning
}

// startWaiting starts waiting runs while the batch has room. The caller holds mu.
func (s *Server) startWaiting() {
	for len(s.waiting) > 0 && !s.isFull() {
		r := heap.Pop(&s.waiting).(*run)
		r.queueIndex = -1
		s.waitingTokens -= r.initialTokens()
		s.startRun(r)
	}
}

// startRun puts a run into the batch. The caller holds mu.
func (s *Server) startRun(r *run) {
	s.active[r] = struct{}{}
	r.counters = s.batchCounters
	running := s.running.Add(1)
	s.heldTokens.Add(r.initialTokens())
	s.countsOf(r.id).Started++
	s.totals.Started++
	if s.totals.Versions == nil {
		s.totals.Versions = map[string]uint64{}
	}
	s.totals.Versions[r.version]++
	if !s.drainingSince.IsZero() && s.cfg.Now().Sub(s.drainingSince) > drainGracePeriod {
		s.totals.LateStarts++
	}
	r.cachedTokens = s.cache.lookUpOrAdd(r.prompt.Blocks()) * BlockBytes / bytesPerToken
	r.faults = faultPlan{cutAfter: -1, cancelAfter: -1, freezeAfter: -1, faultsChanged: s.faultsChanged}
	for _, rule := range s.rules {
		if rule.applies(r.version, r.route, int(running)) {
			r.faults.add(rule.Rule)
		}
	}
	close(r.started)
}

// countsOf returns the counters of a request ID. The caller holds mu.
func (s *Server) countsOf(id string) *RunCount {
	c := s.counts[id]
	if c == nil {
		c = &RunCount{RequestID: id}
		s.counts[id] = c
	}
	return c
}

// finishRun removes a run from the batch or the queue and returns its outcome, which a crash may have set before.
func (s *Server) finishRun(r *run, o outcome) outcome {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.outcome != outcomeNone {
		return r.outcome
	}
	if r.queueIndex >= 0 {
		heap.Remove(&s.waiting, r.queueIndex)
		s.waitingTokens -= r.initialTokens()
		s.countsOf(r.id).Dropped++
		s.totals.Dropped++
		r.outcome = o
		s.recordLoad()
		return o
	}
	s.endRun(r, o)
	s.startWaiting()
	s.recordLoad()
	return o
}

// endRun removes a run from the batch. The caller holds mu.
func (s *Server) endRun(r *run, o outcome) {
	r.outcome = o
	delete(s.active, r)
	tokens := r.tokens.Load()
	r.counters.heldTokens.Add(-r.initialTokens() - tokens)
	r.counters.running.Add(-1)
	for _, c := range []*RunCount{s.countsOf(r.id), &s.totals.RunCount} {
		c.Tokens += uint64(tokens)
		switch o {
		case outcomeFinished:
			c.Finished++
		case outcomeCancelled:
			c.Cancelled++
		case outcomeFailed:
			c.Failed++
		case outcomeCrashed:
			c.Crashed++
		}
	}
	if o == outcomeCrashed && !r.cancelled {
		close(r.stop)
	}
}

// Cancel cancels all requests with a request ID and returns their number.
func (s *Server) Cancel(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	cancel := func(r *run) {
		if r.id != id || r.cancelled {
			return
		}
		n++
		r.cancelled = true
		close(r.stop)
		// Without a deadline, a write to a caller that doesn't read would block forever.
		_ = r.controller.SetWriteDeadline(time.Now().Add(cancelGrace))
	}
	for r := range s.active {
		cancel(r)
	}
	for _, r := range s.waiting {
		cancel(r)
	}
	return n
}

// Runs returns what GET /v1/runs returns, for one request ID, or for all if it is empty.
func (s *Server) Runs(id string) Runs {
	s.mu.Lock()
	defer s.mu.Unlock()
	runs := Runs{Totals: s.totals, Runs: []RunCount{}}
	runs.Totals.Versions = make(map[string]uint64, len(s.totals.Versions))
	for v, n := range s.totals.Versions {
		runs.Totals.Versions[v] = n
	}
	for _, c := range s.counts {
		if id == "" || c.RequestID == id {
			runs.Runs = append(runs.Runs, *c)
		}
	}
	sort.Slice(runs.Runs, func(i, j int) bool { return runs.Runs[i].RequestID < runs.Runs[j].RequestID })
	return runs
}

// generate writes the tokens of a started run to out and returns how it ended. It doesn't call finishRun.
func (s *Server) generate(ctx context.Context, r *run, out answerWriter) outcome {
	if s.cfg.CrashMarker != "" && strings.Contains(r.prompt.text, s.cfg.CrashMarker) {
		s.Crash()
	}
	if s.isOverCapacity(r) {
		s.Crash()
	}
	if r.faults.failStatus != 0 {
		return outcomeFailed
	}
	var token []byte
	for i := r.from; ; i++ {
		produced := i - r.from
		if produced == r.faults.cutAfter {
			return outcomeFailed
		}
		if produced == r.faults.cancelAfter {
			return outcomeCancelled
		}
		if !s.sleep(ctx, r, s.nextTokenDelay(r, produced)) || produced == r.faults.freezeAfter && !s.freeze(ctx, r) {
			return outcomeCancelled
		}
		if i == r.to {
			return outcomeFinished
		}
		r.tokens.Add(1)
		r.counters.heldTokens.Add(1)
		if s.isOverCapacity(r) {
			s.Crash()
			return outcomeCrashed
		}
		token = r.prompt.appendToken(token[:0], i)
		if out.writeToken(token) != nil {
			return outcomeCancelled
		}
	}
}

func (s *Server) isOverCapacity(r *run) bool {
	return s.cfg.CapacityTokens > 0 && r.counters.heldTokens.Load() > s.cfg.CapacityTokens
}

// nextTokenDelay returns the time before the next token.
func (s *Server) nextTokenDelay(r *run, produced int) time.Duration {
	switch {
	case r.from+produced == r.to:
		return 0
	case produced == 0:
		uncached := max(0, r.prompt.Tokens()-r.cachedTokens)
		return s.cfg.FirstTokenDelay + time.Duration(uncached)*s.cfg.PrefillDelay + r.faults.firstTokenDelay
	case r.faults.tokenDelay > 0 && int(r.counters.running.Load()) > r.faults.tokenDelayAbove:
		return s.cfg.TokenDelay + r.faults.tokenDelay
	}
	return s.cfg.TokenDelay
}

// sleep waits for d and returns false if the run is stopped or its caller disconnects.
func (s *Server) sleep(ctx context.Context, r *run, d time.Duration) bool {
	if d <= 0 {
		select {
		case <-r.stop:
			return false
		case <-ctx.Done():
			return false
		default:
			return true
		}
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-r.stop:
	case <-ctx.Done():
	}
	return false
}

// freeze waits until the faults that were active at the start of the run are replaced. It returns false if the run is
// stopped or its caller disconnects.
func (s *Server) freeze(ctx context.Context, r *run) bool {
	select {
	case <-r.faults.faultsChanged:
		return true
	case <-r.stop:
	case <-ctx.Done():
	}
	return false
}
