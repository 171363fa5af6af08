package gateway

import (
	"context"
	"errors"
	"fmt"
	"io"
	"runtime/debug"
	"time"

	"ibiswinch/core/memory"
	"ibiswinch/core/placement"
)

// Errors that end an attempt before its server does.
var (
	// errUnsigned is the error of an answer without the signature of a server.
	errUnsigned = errors.New("the answer isn't signed by the server")
	// errAnnounced is the error of an attempt that isn't sent, as its server has said meanwhile that it leaves or wants to wait.
	errAnnounced = errors.New("the server takes no more calls")
	// errSilent is the cause with which an attempt is cancelled when its server is silent and the call is at another server.
	errSilent = errors.New("no answer in time")
	// errSuperseded is the cause with which an attempt is cancelled when an earlier one has gone on.
	errSuperseded = errors.New("an earlier attempt has gone on")
	// errCancelled is the cause with which the open attempts of a call that has ended are cancelled.
	errCancelled = errors.New("the call has ended")
	// errCallerLost is the error of an event that couldn't be written to the caller.
	errCallerLost = errors.New("the caller can't be written to")
)

// attempt is one attempt to run a call at a server. Its goroutine reads the answer and sends it to the exchange, which forwards
// it. All fields but those that don't change belong to the exchange.
type attempt struct {
	g         *Gateway
	placement placement.Placement
	// number is the number of the attempt, from 1.
	number int
	// resumes is set if the caller had the head of a stream when the attempt started.
	resumes   bool
	startedAt time.Time
	cancel    context.CancelCauseFunc
	// updates receives the events of the answer, and the result last.
	updates chan<- update
	// handled receives nil once the exchange has forwarded an event, or the error with which the attempt ends.
	handled chan error

	// silentAt is when the server is taken for silent.
	silentAt time.Time
	// cancelCause is why the exchange has cancelled the attempt, or has ended it at an event, nil if it hasn't. What it sends
	// afterwards isn't forwarded.
	cancelCause error
	// events is the number of events that were forwarded, firstAt and lastAt are the times of the first and the last.
	events          int64
	firstAt, lastAt time.Time
	// goesOn is set once the answer has gone on for some time after its first event.
	goesOn bool
}

// update is what an attempt sends to its exchange: an event, or the result if that is set.
type update struct {
	attempt *attempt
	answer  Answer
	event   Event
	result  *attemptResult
}

// attemptResult is the result of an attempt.
type attemptResult struct {
	outcome placement.Outcome
	// done is set when the caller has its final answer.
	done bool
	// notRun is set when the attempt is proven not to have run.
	notRun bool
	// arrived is set when a server got the request.
	arrived bool
	// answer is a whole answer, or the answer that carried a stream that has ended. A failure is forwarded if there is no further
	// attempt.
	answer Answer
	body   []byte
	err    error
}

// attemptPanic is the error of an attempt whose goroutine panicked.
type attemptPanic struct {
	value any
	stack []byte
}

// Error implements error.
func (p *attemptPanic) Error() string { return fmt.Sprint(p.value) }

// run sends the call and all updates. It ends when ctx does.
func (a *attempt) run(ctx context.Context, request Attempt) {
	result := a.read(ctx, request)
	a.updates <- update{attempt: a, result: &result}
}

// read sends the call, reads the answer and returns the result.
func (a *attempt) read(ctx context.Context, request Attempt) (result attemptResult) {
	defer func() {
		if v := recover(); v != nil {
			result = attemptResult{outcome: placement.Failed, arrived: true, err: &attemptPanic{value: v, stack: debug.Stack()}}
		}
	}()
	if !a.g.servers.takesCalls(a.placement) {
		return attemptResult{outcome: placement.Cancelled, notRun: true, err: errAnnounced}
	}
	answer, err := a.g.cfg.Backend.Send(ctx, request)
	if err != nil {
		return resultOfError(ctx, err)
	}
	a.g.servers.recordAnnouncements(request.Server, answer)
	if !belongsToAttempt(answer) {
		answer.CloseConnection()
		return attemptResult{outcome: placement.Interrupted, arrived: true, err: errOtherRequest}
	}
	a.g.servers.recordLimit(request.Server, answer)
	switch {
	case provesNotRun(answer):
		return resultOfRefusal(answer)
	case answer.IsEventStream() && answer.Signed() && isSuccess(answer.Status()):
		defer answer.Close()
		return a.readEvents(ctx, answer)
	case a.resumes:
		answer.Close()
		return resultOfOtherAnswer(answer)
	}
	return readWhole(ctx, answer)
}

// readEvents sends the events of a stream to the exchange as they arrive.
func (a *attempt) readEvents(ctx context.Context, answer Answer) attemptResult {
	for {
		e, err := answer.Next()
		if err == io.EOF {
			return attemptResult{outcome: placement.Answered, arrived: true, answer: answer}
		}
		if err != nil {
			return resultOfError(ctx, err)
		}
		a.updates <- update{attempt: a, answer: answer, event: e}
		switch err := a.awaitHandled(ctx); err {
		case nil:
		case errCallerLost:
			return attemptResult{outcome: placement.Cancelled, arrived: true, done: true}
		default:
			return resultOfError(ctx, err)
		}
	}
}

// awaitHandled waits until the exchange has handled an event.
func (a *attempt) awaitHandled(ctx context.Context) error {
	select {
	case err := <-a.handled:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// readWhole reads an answer that isn't a stream.
func readWhole(ctx context.Context, answer Answer) attemptResult {
	if !answer.Signed() {
		answer.Close()
		return attemptResult{outcome: placement.Interrupted, arrived: true, err: errUnsigned}
	}
	body, err := answer.Body(maxAnswerBytes)
	if err != nil {
		answer.Close()
		return resultOfError(ctx, err)
	}
	if !isSuccess(answer.Status()) {
		return attemptResult{outcome: placement.Failed, arrived: true, answer: answer, body: body, err: errors.New("the server failed")}
	}
	return attemptResult{outcome: placement.Answered, arrived: true, answer: answer, body: body}
}

func isSuccess(status int) bool { return status/100 == 2 }

// resultOfRefusal returns the result of an attempt whose answer proves that it did not run.
func resultOfRefusal(answer Answer) attemptResult {
	outcome := placement.Rejected
	if answer.Misdirected() {
		outcome = placement.Misdirected
	}
	closeRefused(answer)
	return attemptResult{outcome: outcome, notRun: true, arrived: true, err: errors.New("the server did not run the call")}
}

// resultOfError returns the result of an attempt that failed with err. If the attempt was cancelled, the cause decides what it
// tells about the server.
func resultOfError(ctx context.Context, err error) attemptResult {
	result := attemptResult{outcome: placement.Interrupted, arrived: true, err: err}
	var failed *SendError
	if errors.As(err, &failed) {
		result.outcome, result.notRun, result.arrived = failed.Outcome, failed.NotRun, !failed.NotRun
	}
	switch cause := context.Cause(ctx); {
	case errors.Is(err, memory.ErrFull):
		// The server may be sound, so it isn't taken for one that crashed.
		result.outcome = placement.Failed
	case cause == nil:
	case errors.Is(cause, errSilent), errors.Is(cause, context.DeadlineExceeded):
		result.outcome = placement.TimedOut
	default:
		result.outcome = placement.Cancelled
	}
	return result
}
