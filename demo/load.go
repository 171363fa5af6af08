package demo

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"ibiswinch/standin/engine"
)

// Properties of the load.
const (
	workersPerTeam = 8
	// maxPauseMillis is the longest pause of a worker between two requests, in ms.
	maxPauseMillis = 120
	// maxAttempts bounds the attempts of a request, including those that reach no entry VM.
	maxAttempts = 8
	// maxBudgetExhaustedAttempts bounds the attempts that are refused for an exhausted budget: one per failure domain.
	maxBudgetExhaustedAttempts = 2
	retryDelay                 = 100 * time.Millisecond
	// cancelledPercent of the requests are cancelled after at most maxCancelMillis and repeated while the first attempt
	// may still run. duplicatedPercent are sent to two entry VMs at once.
	cancelledPercent  = 8
	maxCancelMillis   = 80
	duplicatedPercent = 5
	// retryGracePeriod is how long after the end of the load requests are still repeated.
	retryGracePeriod = 6 * time.Second
	// maxMessageOverheadTokens bounds the tokens that a chat template adds to a message, as the callers' protocol says.
	maxMessageOverheadTokens = 8
)

// kind is the kind of a request.
type kind int

const (
	kindChat kind = iota
	kindTextCompletion
	kindOrder
	kindLookup
)

// request is one request of a caller with all its attempts.
type request struct {
	kind   kind
	team   *teamAccount
	key    string
	method string
	path   string
	body   []byte
	// stream, prompt and maxTokens belong to completions.
	stream    bool
	prompt    engine.Prompt
	maxTokens int
	// maxCost bounds the tokens that the request can cost.
	maxCost  uint64
	attempts []attempt
	// cancelAfter is the time after which the caller cancels the first attempt and repeats the request; 0 for never.
	cancelAfter time.Duration
	// duplicated requests are sent to two entry VMs at once.
	duplicated bool
	// ranDespiteNotRun is set when a service had run an order before its caller got the answer that it did not run.
	ranDespiteNotRun bool
	// falseRefusal is set when the last refusal for lack of budget came while there was budget left.
	falseRefusal bool
}

func (r *request) isCompletion() bool { return r.kind == kindChat || r.kind == kindTextCompletion }

func (r *request) lastAttempt() attempt { return r.attempts[len(r.attempts)-1] }

// teamAccount is a team with the state of its budget as its callers see it.
type teamAccount struct {
	team
	// prepaidTokens are the tokens of the published top-ups.
	prepaidTokens atomic.Uint64
	// committedTokens are the tokens of complete answers, the charged ones of broken attempts, and the maximum costs of
	// open requests.
	committedTokens atomic.Uint64
}

// loadGenerator sends the requests of all callers.
type loadGenerator struct {
	fleet    *fleet
	services []*httpService
	client   *http.Client
	accounts []*teamAccount
	// endTime is the time of the last new request, retryDeadline that of the last repeat.
	endTime, retryDeadline time.Time

	mu       sync.Mutex
	requests []*request
}

func newLoadGenerator(f *fleet, services []*httpService) *loadGenerator {
	l := &loadGenerator{fleet: f, services: services, client: newCallerClient()}
	for _, t := range teams {
		a := &teamAccount{team: t}
		a.prepaidTokens.Store(t.firstTopUpTokens)
		l.accounts = append(l.accounts, a)
	}
	return l
}

// run sends requests until the end of the load. The random choices of each worker follow from the seed; the number of
// its requests depends on the time that they take.
func (l *loadGenerator) run(ctx context.Context, seed uint64) {
	var wg sync.WaitGroup
	for t, a := range l.accounts {
		for worker := range workersPerTeam {
			random := rand.New(rand.NewPCG(seed, uint64(t*workersPerTeam+worker)))
			wg.Go(func() { l.runWorker(ctx, a, fmt.Sprintf("%s-%d-%d", a.name, seed, worker), random) })
		}
	}
	wg.Wait()
	l.client.CloseIdleConnections()
}

func (l *loadGenerator) runWorker(ctx context.Context, a *teamAccount, name string, random *rand.Rand) {
	for n := 0; ctx.Err() == nil && time.Now().Before(l.endTime); n++ {
		r := newRequest(a, fmt.Sprintf("%s-%d", name, n), random)
		l.sendUntilFinal(ctx, r, random)
		l.mu.Lock()
		l.requests = append(l.requests, r)
		l.mu.Unlock()
		sleep(ctx, time.Duration(random.IntN(maxPauseMillis))*time.Millisecond)
	}
}

// newRequest draws a request: 8 of 10 are completions, one is an order and one a look-up.
func newRequest(a *teamAccount, key string, random *rand.Rand) *request {
	r := &request{team: a, key: key, method: http.MethodPost}
	switch draw := random.IntN(100); {
	case draw < cancelledPercent:
		r.cancelAfter = time.Duration(1+random.IntN(maxCancelMillis)) * time.Millisecond
	case draw < cancelledPercent+duplicatedPercent:
		r.duplicated = true
	}
	switch draw := random.IntN(10); {
	case draw < 5:
		r.kind = kindChat
	case draw < 8:
		r.kind = kindTextCompletion
	case draw < 9:
		r.kind = kindOrder
		r.path = "/services/" + serviceName + "/orders"
		r.body = []byte(fmt.Sprintf(`{"item":%d}`, random.IntN(1000)))
		return r
	default:
		r.kind = kindLookup
		r.method = http.MethodGet
		r.path = fmt.Sprintf("/services/%s/items/%d", serviceName, random.IntN(1000))
		return r
	}
	r.setCompletion(random)
	return r
}

func (r *request) setCompletion(random *rand.Rand) {
	length := 8 + random.IntN(80)
	if random.IntN(10) == 0 {
		length = 300
	}
	content := fmt.Sprintf("%s asks for tokens=%d about %d", r.key, length, random.IntN(1<<30))
	// The limit of the request cuts some answers short.
	r.maxTokens = length + random.IntN(40) - 8
	r.maxTokens = max(r.maxTokens, 1)
	r.stream = random.IntN(4) > 0
	body := map[string]any{
		"model": models[random.IntN(len(models))], "max_tokens": r.maxTokens, "stream": r.stream,
		"stream_options": map[string]bool{"include_usage": r.stream},
	}
	if r.kind == kindChat {
		r.path = engine.RouteChat
		r.prompt = chatPrompt(content)
		body["messages"] = []map[string]string{{"role": "user", "content": content}}
	} else {
		r.path = engine.RouteCompletions
		r.prompt = engine.CompletionPrompt(content)
		body["prompt"] = content
	}
	r.maxCost = uint64(len(content) + maxMessageOverheadTokens + r.maxTokens)
	r.body, _ = json.Marshal(body)
}

// sendUntilFinal makes attempts until there is a final answer. A repeat goes to another entry VM if possible.
func (l *loadGenerator) sendUntilFinal(ctx context.Context, r *request, random *rand.Rand) {
	r.team.committedTokens.Add(r.maxCost)
	var billed, unbilled uint64
	var tried []*vmProcess
	for len(r.attempts) < maxAttempts {
		v := l.pickProcess(ctx, random, tried)
		if v == nil {
			break
		}
		tried = append(tried, v)
		if r.duplicated && len(r.attempts) == 0 {
			if second := l.pickProcess(ctx, random, tried); second != nil {
				tried = append(tried, second)
			}
		}
		l.attemptAll(ctx, r, tried[len(r.attempts):])
		a := r.lastAttempt()
		if a.outcome == outcomeAnswered {
			billed = a.usage.total()
		}
		unbilled = r.unbilledTokens()
		if r.isFinal(a) || ctx.Err() != nil || !time.Now().Before(l.retryDeadline) {
			break
		}
		sleep(ctx, retryDelay)
	}
	r.team.committedTokens.Add(billed + unbilled - r.maxCost)
}

// unbilledTokens returns the tokens that the attempts without a complete answer have used, as far as their caller can
// tell. They are charged to the budget, though no bill line has them.
func (r *request) unbilledTokens() uint64 {
	var tokens uint64
	for _, a := range r.attempts {
		if !r.isCompletion() || a.outcome == outcomeAnswered || a.outcome == outcomeNotRun || a.outcome == outcomeUnsent {
			continue
		}
		tokens += r.maxCost - uint64(r.maxTokens)
		if a.text != "" {
			tokens += uint64(strings.Count(a.text, " ") + 1)
		}
	}
	return tokens
}

// attemptAll makes one attempt at each of the processes concurrently. An attempt with a complete answer becomes the
// last one.
func (l *loadGenerator) attemptAll(ctx context.Context, r *request, processes []*vmProcess) {
	attempts := make([]attempt, len(processes))
	if r.cancelAfter > 0 && len(r.attempts) == 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, r.cancelAfter)
		defer cancel()
	}
	var wg sync.WaitGroup
	for i, v := range processes {
		wg.Go(func() {
			attempts[i] = r.send(ctx, l.client, v)
			attempts[i].cancelledByCaller = ctx.Err() != nil
		})
	}
	wg.Wait()
	slices.SortStableFunc(attempts, func(a, b attempt) int {
		return cmp.Compare(boolToInt(a.outcome == outcomeAnswered), boolToInt(b.outcome == outcomeAnswered))
	})
	r.attempts = append(r.attempts, attempts...)
	for _, a := range attempts {
		l.checkRefusal(r, a)
	}
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// pickProcess chooses a process that the load balancer finds ready: preferably an untried one in another failure domain
// than the last one tried, then an untried one. It waits while none is ready.
func (l *loadGenerator) pickProcess(ctx context.Context, random *rand.Rand, tried []*vmProcess) *vmProcess {
	for ctx.Err() == nil && time.Now().Before(l.retryDeadline) {
		var ready, untried, untriedOtherDomain []*vmProcess
		for _, v := range l.fleet.allProcesses() {
			if !v.ready.Load() {
				continue
			}
			ready = append(ready, v)
			if !slices.Contains(tried, v) {
				untried = append(untried, v)
			}
			if len(tried) > 0 && tried[len(tried)-1].domain != v.domain && !slices.Contains(tried, v) {
				untriedOtherDomain = append(untriedOtherDomain, v)
			}
		}
		for _, candidates := range [][]*vmProcess{untriedOtherDomain, untried, ready} {
			if len(candidates) > 0 {
				return candidates[random.IntN(len(candidates))]
			}
		}
		sleep(ctx, probeInterval)
	}
	return nil
}

// isFinal reports whether the caller doesn't repeat the request after a.
func (r *request) isFinal(a attempt) bool {
	switch a.outcome {
	case outcomeAnswered:
		return true
	case outcomeRan:
		// An order that ran must not be repeated. A completion may be, but these callers don't.
		return true
	case outcomeNotRun:
		if a.code == codeBudgetExhausted {
			return r.budgetExhaustedAttempts() >= maxBudgetExhaustedAttempts
		}
		return a.status < http.StatusInternalServerError && a.status != http.StatusConflict && a.status != http.StatusTooManyRequests
	}
	return false
}

func (r *request) budgetExhaustedAttempts() int {
	n := 0
	for _, a := range r.attempts {
		if a.code == codeBudgetExhausted {
			n++
		}
	}
	return n
}

// checkRefusal checks a refusal when it arrives, against the budget and the runs at that time.
func (l *loadGenerator) checkRefusal(r *request, a attempt) {
	if a.outcome != outcomeNotRun {
		return
	}
	if a.code == codeBudgetExhausted || a.code == codeBudgetUnavailable {
		// A refusal is false while less than 99% of the budget is spent. Tokens that open requests may still use count
		// as spent.
		r.falseRefusal = (r.team.committedTokens.Load())*100 < r.team.prepaidTokens.Load()*99
	}
	if r.kind != kindOrder || r.duplicated || slices.ContainsFunc(r.attempts, func(a attempt) bool { return a.outcome != outcomeNotRun && a.outcome != outcomeUnsent }) {
		return
	}
	for _, s := range l.services {
		if s.server.Stats().RunsByKey[r.key] > 0 {
			r.ranDespiteNotRun = true
		}
	}
}
