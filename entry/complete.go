package entry

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/rotisserie/eris"

	"ibiswinch/core/budget"
	"ibiswinch/core/config"
	"ibiswinch/core/event"
	"ibiswinch/core/refusal"
	"ibiswinch/entry/relay"
	"ibiswinch/io/apexlog"
	"ibiswinch/io/engine"
	"ibiswinch/io/openai"
)

// completion is one completion request that this entry VM serves.
type completion struct {
	vm     *VM
	team   config.Team
	model  config.Model
	input  *openai.CompletionRequest
	limits config.Limits
	// identity is the request identity for billing; hasKey is set if it is the caller's idempotency key.
	identity     string
	hasKey       bool
	identityHash uint64
	// fingerprint identifies requests with the same content, for the quarantine.
	fingerprint string
	arrivedAt   time.Time
	deadline    time.Time
	// maxTokens limits the answer; worstCaseTokens is what is reserved: the bound of the prompt plus maxTokens.
	maxTokens       uint64
	worstCaseTokens uint64
	reservation     uint64
	messages        []engine.Message
	buffer          *relay.Buffer

	// The fields below are used by the goroutine that reads from the engines, and by others once it has ended.
	attempts int
	// notRunAttempts counts the attempts that provably did not run.
	notRunAttempts int
	failures       int
	excluded       []string
	// mayHaveRun is set once an attempt has failed without proof that the engine did not run it.
	mayHaveRun   bool
	firstTokenAt time.Time
	promptTokens uint64
	outputTokens uint64
	version      string
	finish       engine.FinishReason
}

// handler serves a completion or passes it to the next handler.
type handler func(ctx context.Context, r *completion, out openai.AnswerWriter) error

// filter wraps a handler with one admission step.
type filter func(next handler) handler

// chain composes filters; the first one is the outermost.
func chain(last handler, filters ...filter) handler {
	for i := len(filters) - 1; i >= 0; i-- {
		last = filters[i](last)
	}
	return last
}

// Complete implements openai.Gateway.
func (vm *VM) Complete(ctx context.Context, team openai.Team, c *openai.CompletionRequest, out openai.AnswerWriter) error {
	r, err := vm.newCompletion(team, c)
	if err != nil {
		return err
	}
	end, err := vm.beginRequest(team.Name)
	if err != nil {
		return err
	}
	defer end()
	ctx, stop := vm.untilGivenUp(ctx)
	defer stop()
	ctx, cancel := context.WithDeadline(ctx, r.deadline)
	defer cancel()
	err = vm.completions(ctx, r, out)
	vm.countOutcome(team.Name, err)
	return err
}

func (vm *VM) newCompletion(team openai.Team, c *openai.CompletionRequest) (*completion, error) {
	current := vm.configs.active().config
	t, ok := current.Team(team.Name)
	if !ok {
		return nil, refusal.New(refusal.InvalidAPIKey, "team %q is no longer in the rules", team.Name)
	}
	model, ok := current.Model(c.Model)
	if !ok || !t.AllowsModel(c.Model) || !hasRoute(model, c.Route) {
		return nil, refusal.New(refusal.UnknownModel, "the model %q does not exist on this route or the team may not use it", c.Model)
	}
	messages, err := decodeMessages(c)
	if err != nil {
		return nil, err
	}
	now := vm.cfg.Now()
	r := &completion{
		vm: vm, team: t, model: model, input: c, limits: current.Rules.Limits, messages: messages,
		identity: c.IdempotencyKey, hasKey: c.IdempotencyKey != "", arrivedAt: now,
		deadline:  now.Add(current.Rules.Limits.RequestTimeout),
		maxTokens: c.MaxTokens,
	}
	if r.maxTokens == 0 {
		r.maxTokens = model.DefaultOutputTokens
	}
	if r.maxTokens > model.MaxOutputTokens {
		return nil, refusal.New(refusal.BadRequest, "max_tokens is above %d, the limit of model %q", model.MaxOutputTokens, model.Name)
	}
	if !r.hasKey {
		r.identity = vm.newIdentity()
	}
	r.identityHash = hashIdentity(t.Name, r.identity)
	r.worstCaseTokens = c.PromptBound + r.maxTokens
	return r, nil
}

func hasRoute(m config.Model, route openai.Route) bool {
	want := config.RouteChat
	if route == openai.RouteCompletion {
		want = config.RouteCompletion
	}
	for _, have := range m.Routes {
		if have == want {
			return true
		}
	}
	return false
}

// decodeMessages decodes chat messages, with the text parts of a message joined.
func decodeMessages(c *openai.CompletionRequest) ([]engine.Message, error) {
	if c.Route == openai.RouteCompletion {
		return nil, nil
	}
	var messages []struct {
		Role    string      `json:"role"`
		Content contentText `json:"content"`
	}
	if err := json.Unmarshal(c.Messages, &messages); err != nil {
		return nil, refusal.New(refusal.BadRequest, "messages: %v", err)
	}
	flat := make([]engine.Message, 0, len(messages))
	for _, m := range messages {
		flat = append(flat, engine.Message{Role: m.Role, Content: string(m.Content)})
	}
	return flat, nil
}

// contentText is a string, or a list of text parts.
type contentText string

// UnmarshalJSON implements json.Unmarshaler.
func (t *contentText) UnmarshalJSON(data []byte) error {
	var text string
	if json.Unmarshal(data, &text) == nil {
		*t = contentText(text)
		return nil
	}
	var parts []struct {
		Text string `json:"text"`
	}
	if err := json.Unmarshal(data, &parts); err != nil {
		return eris.Wrap(err, "content")
	}
	for _, p := range parts {
		*t += contentText(p.Text)
	}
	return nil
}

// admitMemory refuses requests when the process holds too many bytes.
func (vm *VM) admitMemory(next handler) handler {
	return func(ctx context.Context, r *completion, out openai.AnswerWriter) error {
		n := int64(r.input.PromptBound) + requestOverheadBytes
		if !vm.memory.Admit(n) {
			return vm.refuseFull()
		}
		defer vm.memory.Release(n)
		return next(ctx, r, out)
	}
}

// requestOverheadBytes is counted for each request in addition to its prompt and its text, for goroutines, buffers and
// connections. They take 65 to 69 KB of heap and stacks (BenchmarkActiveStream).
const requestOverheadBytes = 72 << 10

// admitBills refuses requests when too many bill lines wait for the log.
func (vm *VM) admitBills(next handler) handler {
	return func(ctx context.Context, r *completion, out openai.AnswerWriter) error {
		if vm.bills.isFull() {
			vm.events.Event(event.PendingBillsFull, apexlog.Fields{"lines": vm.bills.pending()})
			return refusal.New(refusal.PendingBillsFull, "too many bill lines wait for the platform's log").WithRetryAt(r.arrivedAt.Add(time.Second))
		}
		return next(ctx, r, out)
	}
}

// admitBudget reserves the most tokens that the request may use.
func (vm *VM) admitBudget(next handler) handler {
	return func(ctx context.Context, r *completion, out openai.AnswerWriter) error {
		reservation, err := vm.budget.reserve(ctx, r.team.Name, r.worstCaseTokens)
		if err != nil {
			return err
		}
		r.reservation = reservation
		return next(ctx, r, out)
	}
}

// relayAnswer copies the answer to the caller and bills it. It waits for a copy of the bill line at a peer or in the
// log before it sends the last frame.
func (vm *VM) relayAnswer(ctx context.Context, r *completion, out openai.AnswerWriter) error {
	r.buffer = relay.New(vm.memory, int(r.limits.StreamBufferBytes))
	ended := make(chan struct{})
	// Reading from the engine ends when writing to the caller ends, so that the engine stops running the request.
	engineCtx, cancel := context.WithCancel(ctx)
	go func() {
		defer close(ended)
		defer r.recoverPanic()
		r.run(engineCtx)
	}()
	err := r.copyTo(ctx, out)
	cancel()
	r.buffer.Close()
	// An attempt may still begin until this goroutine ends, and the caller would be told that the request did not run.
	<-ended
	if err != nil {
		err = r.contextRefusal(ctx, err)
		r.endIncomplete(err)
		return err
	}
	r.bill(ctx)
	return r.finishOutput(out)
}

func (r *completion) copyTo(ctx context.Context, out openai.AnswerWriter) error {
	for {
		chunk, done, err := r.buffer.Next(ctx)
		if done {
			return err
		}
		if err := out.WriteText(chunk); err != nil {
			return refusal.New(refusal.CallerGone, "%v", err).WithExecution(refusal.Ran)
		}
	}
}

// contextRefusal returns the refusal for a request whose context has ended, or else err. It is called after the last
// attempt has ended.
func (r *completion) contextRefusal(ctx context.Context, err error) error {
	if ctx.Err() == nil || refusal.From(err).Reason == refusal.CallerGone {
		return err
	}
	execution := refusal.NotRun
	if r.attempts > r.notRunAttempts {
		execution = refusal.Unknown
	}
	if errors.Is(context.Cause(ctx), errStopping) {
		return r.vm.stoppingRefusal(execution)
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return refusal.New(refusal.DeadlinePassed, "no whole answer within %s", r.limits.RequestTimeout).WithExecution(execution)
	}
	return refusal.New(refusal.CallerGone, "the caller went away").WithExecution(execution)
}

func (r *completion) usage() openai.Usage {
	return openai.Usage{
		PromptTokens: r.promptTokens, CompletionTokens: r.outputTokens, TotalTokens: r.promptTokens + r.outputTokens,
	}
}

func (r *completion) billLine() budget.BillLine {
	return budget.BillLine{
		Identity: r.identity, Team: r.team.Name, Model: r.model.Name, Version: r.version,
		PromptTokens: r.promptTokens, CompletionTokens: r.outputTokens,
		Spender: r.vm.cfg.Author, Reservation: r.reservation,
		At: r.vm.budget.billLineTime(),
	}
}

func (r *completion) bill(ctx context.Context) {
	r.vm.budget.settle(r.reservation, r.promptTokens+r.outputTokens)
	r.vm.bills.add(ctx, r.billLine())
	r.vm.metrics.AddBilledTokens(r.team.Name, r.promptTokens+r.outputTokens)
}

// endIncomplete ends a request without a complete answer. It is billed only if the caller has disconnected and sent no
// idempotency key; a repeat with the key is a request of its own, which is billed. The tokens that the engines may have
// used stay charged to the slice in any case: otherwise a caller that disconnects before the last frame could use
// tokens without limit.
func (r *completion) endIncomplete(err error) {
	if refusal.From(err).Reason == refusal.CallerGone && !r.hasKey && r.outputTokens > 0 {
		r.bill(context.Background())
		return
	}
	r.vm.budget.closeUnbilled(r.reservation, r.maxUsedTokens())
}

// maxUsedTokens returns an upper bound of the tokens that the engines used. They report the prompt tokens only at the
// end of an answer.
func (r *completion) maxUsedTokens() uint64 {
	switch {
	case r.attempts == r.notRunAttempts:
		return 0
	case r.promptTokens == 0:
		return r.input.PromptBound + r.outputTokens
	}
	return r.promptTokens + r.outputTokens
}

func (r *completion) finishOutput(out openai.AnswerWriter) error {
	if err := out.Finish(string(r.finish), r.usage()); err != nil {
		return refusal.New(refusal.CallerGone, "%v", err).WithExecution(refusal.Ran)
	}
	return nil
}
