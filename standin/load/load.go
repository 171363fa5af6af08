// Package load sends requests to entry VMs, or directly to engines, at a fixed rate, and checks every answer against
// the text that the stand-in engine generates.
package load

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"time"
)

// Config holds the settings of a Runner.
type Config struct {
	// Targets are the addresses of entry VMs or engines, which get requests in turn.
	Targets []netip.AddrPort
	// Keys are the API keys of the teams, used in turn.
	Keys  []string
	Model string
	// The rates of completions and orders, per second. Sending orders needs Service.
	RequestsPerSecond float64
	OrdersPerSecond   float64
	Service           string
	// SlowStreams is the number of additional streams that are opened at the start and read slowly until the end.
	SlowStreams int
	// ReadInterval is the pause between two reads of a slow stream.
	ReadInterval time.Duration
	MaxTokens    int
	// PromptBytes is the minimum size of a prompt.
	PromptBytes int
	// Seed is the seed of the prompts and part of the idempotency keys.
	Seed uint64
	// Deadline is the time after which nothing is sent.
	Deadline time.Time
	// ReadyTargetsOnly sends requests only to targets whose /readyz answers 200, as a load balancer does.
	ReadyTargetsOnly bool
}

// Result holds the counters and latencies of a run. Sent, Answered and Wrong count completions.
type Result struct {
	Sent     int `json:"sent"`
	Answered int `json:"answered"`
	// Wrong counts answers with another text than the stand-in engine generates.
	Wrong int `json:"wrong"`
	// Broken counts calls without an answer and streams that ended early or with an error event.
	Broken int `json:"broken"`
	// Refused counts the answers other than 200, by status and Ibiswinch-Execution header.
	Refused    map[string]int `json:"refused"`
	OrdersDone int            `json:"ordersDone"`
	// Tokens counts the tokens of the completions that ended with [DONE].
	Tokens int `json:"tokens"`
	// SlowStreamsOpened counts the slow streams that were opened.
	SlowStreamsOpened int           `json:"slowOpen"`
	FirstTokenP50     time.Duration `json:"firstTokenP50Nanos"`
	FirstTokenP95     time.Duration `json:"firstTokenP95Nanos"`
	FirstTokenP99     time.Duration `json:"firstTokenP99Nanos"`
	// TokensPerSecond is the average from the start of the run to the end of the last answer.
	TokensPerSecond float64 `json:"tokensPerSecond"`
}

// Runner sends the requests of one run.
type Runner struct {
	cfg    Config
	client *http.Client
	random *rand.Rand

	mu                  sync.Mutex
	result              Result
	firstTokenLatencies []time.Duration
	// ready holds the targets that get requests; it is never empty.
	ready []netip.AddrPort
	wg    sync.WaitGroup
}

// maxIdleConnsPerTarget is above the number of streams that one run opens, so that no idle connection is closed.
const maxIdleConnsPerTarget = 20000

// New returns a runner.
func New(cfg Config) *Runner {
	return &Runner{
		cfg:    cfg,
		random: rand.New(rand.NewPCG(cfg.Seed, 1)),
		client: &http.Client{Transport: &http.Transport{
			MaxIdleConnsPerHost: maxIdleConnsPerTarget, DisableCompression: true, ReadBufferSize: 4 << 10, WriteBufferSize: 4 << 10,
		}},
		result: Result{Refused: map[string]int{}},
		ready:  cfg.Targets,
	}
}

// Run sends requests until the deadline, waits for the answers and returns the result.
func (r *Runner) Run(ctx context.Context) Result {
	started := time.Now()
	slowCtx, stopSlow := context.WithDeadline(ctx, r.cfg.Deadline)
	defer stopSlow()
	if r.cfg.ReadyTargetsOnly {
		r.wg.Go(func() { r.pollReadiness(slowCtx) })
	}
	for i := range r.cfg.SlowStreams {
		c := r.nextCompletion(i)
		r.wg.Go(func() { r.readSlowly(slowCtx, c) })
	}
	r.wg.Go(func() {
		r.startAtRate(ctx, r.cfg.RequestsPerSecond, func(i int) func() {
			c := r.nextCompletion(i)
			return func() { r.runCompletion(ctx, c) }
		})
	})
	r.wg.Go(func() {
		r.startAtRate(ctx, r.cfg.OrdersPerSecond, func(i int) func() {
			target, key := r.targetOf(i), r.cfg.Keys[i%len(r.cfg.Keys)]
			return func() { r.sendOrder(ctx, target, key, i) }
		})
	})
	r.wg.Wait()
	r.client.CloseIdleConnections()
	return r.summarize(time.Since(started))
}

// startAtRate starts calls at a rate per second until the deadline. Start times don't depend on earlier delays, so that
// the average rate holds.
func (r *Runner) startAtRate(ctx context.Context, rate float64, prepare func(i int) func()) {
	if rate <= 0 {
		return
	}
	started := time.Now()
	for i := 0; ; i++ {
		at := started.Add(time.Duration(float64(i) / rate * float64(time.Second)))
		if !at.Before(r.cfg.Deadline) {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Until(at)):
		}
		call := prepare(i)
		r.wg.Go(call)
	}
}

// nextCompletion returns the i-th completion request, with a random prompt.
func (r *Runner) nextCompletion(i int) call {
	target := r.targetOf(i)
	r.mu.Lock()
	defer r.mu.Unlock()
	prompt := fmt.Sprintf("request %d of %d tokens=%d ", i, r.random.Uint64(), r.cfg.MaxTokens)
	for len(prompt) < r.cfg.PromptBytes {
		prompt += "lorem "
	}
	return call{
		target: target,
		key:    r.cfg.Keys[i%len(r.cfg.Keys)],
		prompt: prompt,
	}
}

func (r *Runner) targetOf(i int) netip.AddrPort {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ready[i%len(r.ready)]
}

// readinessInterval is the time between two checks of the readiness of the targets.
const readinessInterval = 100 * time.Millisecond

// pollReadiness updates the list of ready targets until ctx is done. If none is ready, the last list stays.
func (r *Runner) pollReadiness(ctx context.Context) {
	for ctx.Err() == nil {
		var ready []netip.AddrPort
		for _, t := range r.cfg.Targets {
			resp, err := r.client.Get("http://" + t.String() + "/readyz")
			if err != nil {
				continue
			}
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				ready = append(ready, t)
			}
		}
		if len(ready) > 0 {
			r.mu.Lock()
			r.ready = ready
			r.mu.Unlock()
		}
		select {
		case <-ctx.Done():
		case <-time.After(readinessInterval):
		}
	}
}

func (r *Runner) summarize(elapsed time.Duration) Result {
	slices.SortFunc(r.firstTokenLatencies, cmp.Compare)
	r.result.FirstTokenP50 = quantile(r.firstTokenLatencies, 0.5)
	r.result.FirstTokenP95 = quantile(r.firstTokenLatencies, 0.95)
	r.result.FirstTokenP99 = quantile(r.firstTokenLatencies, 0.99)
	r.result.TokensPerSecond = float64(r.result.Tokens) / elapsed.Seconds()
	return r.result
}

func quantile(sorted []time.Duration, q float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(int(q*float64(len(sorted))), len(sorted)-1)]
}
