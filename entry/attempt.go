package entry

import (
	"context"
	"errors"
	"fmt"
	"io"
	"runtime/debug"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"ibiswinch/core/config"
	"ibiswinch/core/event"
	"ibiswinch/core/refusal"
	"ibiswinch/core/retry"
	"ibiswinch/core/routing"
	"ibiswinch/entry/relay"
	"ibiswinch/io/apexlog"
	"ibiswinch/io/engine"
)

// run reads the answer from one engine after the other until it is complete or fails.
func (r *completion) run(ctx context.Context) {
	for {
		err := r.runAttempt(ctx)
		if err == nil {
			r.buffer.Finish(nil)
			return
		}
		if next := r.retryOrFail(ctx, err); next != nil {
			r.buffer.Finish(next)
			return
		}
	}
}

// recoverPanic fails the request when its goroutine panics, so that a defect doesn't end the process.
func (r *completion) recoverPanic() {
	if p := recover(); p != nil {
		r.vm.events.Event(event.HandlerPanicked, apexlog.Fields{"panic": fmt.Sprint(p), "stack": string(debug.Stack())})
		r.buffer.Finish(refusal.New(refusal.ServerFailed, "internal error").WithExecution(refusal.Unknown))
	}
}

// errSuspended ends an attempt whose caller doesn't read. The answer is resumed once the caller reads again.
var errSuspended = eris.New("suspended: the caller doesn't read")

// runAttempt sends the request, or the rest of it, to one engine.
func (r *completion) runAttempt(ctx context.Context) error {
	choice := r.vm.changes.chooseVersion(r.model.Name, r.identityHash, r.vm.servers.versions(r.model.Name))
	request := r.engineRequest(choice.version)
	placed, err := r.placeVersion(ctx, &choice, &request)
	if err != nil {
		return err
	}
	r.attempts++
	if r.attempts > 1 {
		r.vm.metrics.CountRetry()
	}
	a := &attempt{completion: r, placement: placed, choice: choice, sentAt: r.vm.cfg.Now()}
	r.vm.quarantine.attemptStarted(a)
	err = a.run(ctx, request)
	if provenNotRun(err) {
		r.notRunAttempts++
	}
	a.end(ctx, err)
	return err
}

// placeVersion chooses a server. A request for the new version of a change doesn't wait or fail for lack of capacity:
// if no server has any, the request takes the old version, which stays loaded everywhere until the change is over.
func (r *completion) placeVersion(ctx context.Context, choice *versionChoice, request *engine.Request) (placement, error) {
	if choice.other == "" {
		return r.place(ctx, choice.version, *request, true)
	}
	placed, err := r.place(ctx, choice.version, *request, false)
	if err == nil || !isNoCapacity(err) {
		return placed, err
	}
	choice.version, choice.other, choice.isNew = choice.other, choice.version, false
	request.Version = choice.version
	placed, err = r.place(ctx, choice.version, *request, true)
	if err != nil && isNoCapacity(err) {
		// Once the change is done, the old version may be unloaded, so the request waits for the new one.
		choice.version, choice.other, choice.isNew = choice.other, "", true
		request.Version = choice.version
		return r.place(ctx, choice.version, *request, true)
	}
	return placed, err
}

func isNoCapacity(err error) bool {
	var refused *refusal.Error
	return errors.As(err, &refused) && (refused.Reason == refusal.NoServer || refused.Reason == refusal.NoCapacity)
}

// place chooses a server. A request suspected of a crash goes to a server with few other requests. If wait is set it waits
// for servers that crashed with the request a moment ago, unless there are others.
func (r *completion) place(ctx context.Context, version string, request engine.Request, wait bool) (placement, error) {
	for {
		// The quarantine is checked before each attempt, since another crash may have made the request a suspect or
		// quarantined it.
		check := r.vm.quarantine.check(r.vm.cfg.Now(), r.fingerprint)
		if check.State == retry.Quarantined {
			return placement{}, quarantineRefusal(check)
		}
		placed, err := r.placeChecked(ctx, version, request, wait, check)
		if err == nil || !wait || len(check.Barred) == 0 || refusal.From(err).Reason != refusal.NoServer || check.BarredUntil.After(r.deadline) {
			return placed, err
		}
		sleep(ctx, check.BarredUntil.Sub(r.vm.cfg.Now()))
		if ctx.Err() != nil {
			return placement{}, ctx.Err()
		}
	}
}

// placeChecked chooses a server for a request that isn't quarantined.
func (r *completion) placeChecked(ctx context.Context, version string, request engine.Request, wait bool, check retry.CheckResult) (placement, error) {
	blocks := request.BlockIDs()
	prefixes := make([]uint64, len(blocks))
	for i, b := range blocks {
		prefixes[i] = uint64(b)
	}
	choice := routing.Request{
		Target: r.model.Name, Version: version, Tokens: int64(r.worstCaseTokens), PromptTokens: int64(r.input.PromptBound),
		Prefixes: prefixes, Priority: priorityOf(r.team), Suspect: check.State == retry.Suspect,
	}
	placed, err := placeUnlessFailed(r.excluded, wait, func(failed []string, wait bool) (routing.Placement, error) {
		choice.Exclude = slices.Concat(check.Avoid, failed)
		return r.vm.servers.place(ctx, choice, wait)
	})
	if err != nil && len(check.Avoid) > len(check.Barred) && refusal.From(err).Reason == refusal.NoServer {
		choice.Exclude = check.Barred
		placed, err = r.vm.servers.place(ctx, choice, wait)
	}
	if err != nil {
		return placement{}, err
	}
	at := r.vm.servers.resolveEngine(placed)
	if at.client == nil {
		r.vm.servers.release(r.vm.cfg.Now(), placed.ID, routing.Outcome{})
		return placement{}, refusal.New(refusal.NoServer, "the backend server left")
	}
	return at, nil
}

// A team priority of at least highPriority is high for routing, one of at most lowPriority is low.
const (
	highPriority = 7
	lowPriority  = 3
)

func priorityOf(t config.Team) routing.Priority {
	switch {
	case t.Priority >= highPriority:
		return routing.High
	case t.Priority <= lowPriority:
		return routing.Low
	}
	return routing.Normal
}

func (r *completion) engineRequest(version string) engine.Request {
	return engine.Request{
		Model:     r.model.Name,
		Version:   version,
		Prompt:    r.input.Prompt,
		Messages:  r.messages,
		MaxTokens: max(1, int(r.maxTokens-r.outputTokens)),
		RequestID: r.vm.cfg.Author.VM + "/" + r.identity,
		Priority:  maxTeamPriority - r.team.Priority,
		Prefix:    r.buffer.Text(),
		Params:    r.input.Params,
	}
}

// maxTeamPriority is the highest team priority in the rules. Engines serve the lowest number first, so it is inverted.
const maxTeamPriority = 9

// retryOrFail returns nil if another attempt follows the error, else the error for the caller.
func (r *completion) retryOrFail(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return ctx.Err()
	}
	if errors.Is(err, errSuspended) {
		return r.awaitReader(ctx)
	}
	var refused *refusal.Error
	if errors.As(err, &refused) {
		return r.withExecution(refused)
	}
	var rejected *engine.RefusedError
	if errors.As(err, &rejected) && rejected.Status == statusBadRequest {
		return r.withExecution(refusal.New(refusal.BadRequest, "the engine rejects the request: %s", rejected.Message))
	}
	notRun := provenNotRun(err)
	if !notRun {
		r.mayHaveRun = true
	}
	decision := r.vm.quarantine.decideRetry(r.vm.cfg.Now(), retry.Attempt{
		Count: r.failures, Idempotent: true, NotRun: notRun, BytesSent: r.outputTokens > 0, Resumable: true, Deadline: r.deadline,
	})
	switch decision {
	case retry.Resume:
		r.vm.events.Event(event.StreamResumed, apexlog.Fields{"team": r.team.Name, "tokens": r.outputTokens})
		return nil
	case retry.Retry:
		return nil
	}
	return r.withExecution(refusal.New(refusal.ServerFailed, "the backend server failed (%s): %v", decision, err))
}

const statusBadRequest = 400

// provenNotRun reports whether the error proves that the engine ran no part of the request.
func provenNotRun(err error) bool {
	var rejected *engine.RefusedError
	return errors.Is(err, engine.ErrNotRun) || errors.As(err, &rejected) && rejected.NotRun()
}

// withExecution corrects a refusal that says "not run" if an earlier attempt of the request may have run.
func (r *completion) withExecution(refused *refusal.Error) error {
	if r.mayHaveRun && refused.Execution == refusal.NotRun {
		refused.Execution = refusal.Ran
	}
	return refused
}

// awaitReader waits until the caller has read enough for the answer to be resumed.
func (r *completion) awaitReader(ctx context.Context) error {
	r.vm.events.Event(event.StreamSuspended, apexlog.Fields{"team": r.team.Name, "tokens": r.outputTokens})
	return r.buffer.WaitForSpace(ctx)
}

// attempt is one run of a request at one engine.
type attempt struct {
	completion   *completion
	placement    placement
	choice       versionChoice
	sentAt       time.Time
	firstChunkAt time.Time
	lastChunkAt  time.Time
	chunks       int
	// callerStalled is set when reading from the engine had to wait for the caller.
	callerStalled bool
	hasUsage      bool
}

func (a *attempt) run(ctx context.Context, request engine.Request) error {
	stream, err := a.placement.client.Complete(ctx, request)
	if err != nil {
		return err
	}
	defer stream.Close()
	a.completion.version = stream.Version()
	if stream.Draining() {
		a.completion.vm.servers.markDraining(a.placement.Server)
	}
	for {
		chunk, err := stream.Next()
		if err == io.EOF {
			return a.checkUsage()
		}
		if err != nil {
			return err
		}
		if err := a.handleChunk(ctx, chunk); err != nil {
			return err
		}
	}
}

func (a *attempt) handleChunk(ctx context.Context, chunk engine.Chunk) error {
	r := a.completion
	if chunk.HasUsage {
		a.hasUsage = true
		r.promptTokens = uint64(chunk.Usage.PromptTokens)
		r.outputTokens += uint64(chunk.Usage.CompletionTokens) - uint64(min(a.chunks, chunk.Usage.CompletionTokens))
	}
	if chunk.FinishReason != engine.FinishNone {
		r.finish = chunk.FinishReason
	}
	if len(chunk.Text) == 0 {
		return nil
	}
	a.recordTimes()
	a.chunks++
	if r.outputTokens >= r.maxTokens {
		// An earlier attempt broke after the last token, so only the usage is taken from this one.
		return nil
	}
	r.outputTokens++
	if err := r.buffer.Write(chunk.Text); err != nil {
		return err
	}
	if !r.buffer.Full() {
		return nil
	}
	return a.awaitBufferSpace(ctx)
}

// recordTimes notes when chunks arrive, for the evidence of version changes and the first-token metric.
func (a *attempt) recordTimes() {
	now := a.completion.vm.cfg.Now()
	if a.firstChunkAt.IsZero() {
		a.firstChunkAt = now
		a.completion.vm.servers.observeFirstToken(now, a.placement.ID)
	}
	a.lastChunkAt = now
	if a.completion.firstTokenAt.IsZero() {
		a.completion.firstTokenAt = now
		a.completion.vm.metrics.ObserveFirstToken(a.completion.model.Name, now.Sub(a.completion.arrivedAt))
	}
}

// awaitBufferSpace waits until the caller has read enough for the next chunk. After the slow-reader deadline it ends
// the attempt with errSuspended, so that the request doesn't occupy memory of the engine.
func (a *attempt) awaitBufferSpace(ctx context.Context) error {
	waitCtx, cancel := context.WithTimeout(ctx, a.completion.limits.SlowReaderDeadline)
	defer cancel()
	a.callerStalled = true
	err := a.completion.buffer.WaitForSpace(waitCtx)
	if err != nil && ctx.Err() == nil && waitCtx.Err() != nil {
		return errSuspended
	}
	return err
}

// checkUsage checks an attempt whose stream has ended: without the prompt tokens, the request can't be billed.
func (a *attempt) checkUsage() error {
	if !a.hasUsage {
		return eris.New("engine sent no usage")
	}
	return nil
}

// end reports the outcome of the attempt to routing, to the evidence of version changes and to the quarantine.
func (a *attempt) end(ctx context.Context, err error) {
	now := a.completion.vm.cfg.Now()
	cancelledHere := errors.Is(err, engine.ErrCancelled) && ctx.Err() != nil
	failed := err != nil && !cancelledHere && !errors.Is(err, errSuspended) && !errors.Is(err, relay.ErrClosed) &&
		!errors.Is(err, context.Canceled) && !errors.Is(err, context.DeadlineExceeded)
	crashed := errors.Is(err, engine.ErrInterrupted) && a.completion.vm.servers.hasCrashed(ctx, a.placement)
	if crashed {
		a.completion.vm.quarantine.serverCrashed(now, a)
	}
	a.completion.vm.quarantine.attemptEnded(now, a, err == nil)
	a.completion.vm.servers.release(now, a.placement.ID, routing.Outcome{Failed: failed, Crashed: crashed})
	a.completion.vm.changes.recordEvidence(now, a, failed, err == nil)
	if failed {
		a.completion.failures++
		a.completion.excluded = append(a.completion.excluded, a.placement.Server)
		a.completion.vm.events.Event(event.RequestFailed, apexlog.Fields{
			"server": a.placement.Server, "version": a.choice.version, "attempt": a.completion.attempts, "error": err.Error(),
		})
	}
}
