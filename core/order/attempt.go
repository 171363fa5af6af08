package order

import (
	"time"

	"ibiswinch/core/record"
)

// ActionKind is the kind of an Action.
type ActionKind int

// Kinds of actions. The entry VM runs them in the order in which they were returned.
const (
	// AppendClaim and the other Append actions queue a record for the orders stream. Attempt.Payload returns its payload,
	// and Attempt.Queued must be called with the sequence that it got.
	AppendClaim ActionKind = iota + 1
	AppendWithdraw
	AppendResult
	// AppendAnswered ends a withdrawal, so that the order can be claimed again. It may be appended only after the
	// preceding Reply was written or its caller disconnected.
	AppendAnswered
	// Dispatch sends the order to a server.
	Dispatch
	// Reply answers the caller.
	Reply
)

// Action is one step that the entry VM has to run for an attempt.
type Action struct {
	Kind ActionKind
	// Answer is set for Reply.
	Answer Answer
}

// AnswerKind is the kind of an Answer.
type AnswerKind int

// Kinds of answers.
const (
	// AnswerResult carries the server's result, without the body if Result.Omitted is set.
	AnswerResult AnswerKind = iota + 1
	// AnswerUnknown says that the order may have run, or may still run.
	AnswerUnknown
	// AnswerNotRun says that the order didn't run, and won't run for any request that arrived before this answer.
	AnswerNotRun
	// AnswerConflict is like AnswerNotRun, for an order whose idempotency key is in use for a different order.
	AnswerConflict
	// AnswerNoRoom says that no more orders may be remembered, so that this request didn't run the order. Another may have.
	AnswerNoRoom
)

// Answer is what the caller is told.
type Answer struct {
	Kind AnswerKind
	// Result is set for AnswerResult.
	Result Result
	// Replayed is true if the result comes from the log instead of the server.
	Replayed bool
}

// Request is one order that arrived at an entry VM.
type Request struct {
	Order       ID
	Fingerprint Fingerprint
	// Deadline is the time from which on the order isn't sent to a server.
	Deadline time.Time
	// AnswerBy is the time by which the caller gets an answer. The time between Deadline and AnswerBy is for reading
	// a withdrawal back from the log.
	AnswerBy time.Time
}

// StreamState is what this process has read of the orders stream.
type StreamState struct {
	Registry *Registry
	// Next is the offset of the next log entry to apply.
	Next uint64
	// LastSequence is the highest sequence among the applied records of this process.
	LastSequence uint64
	// WaitingForSnapshot is true while the registry lacks a snapshot to start from.
	WaitingForSnapshot bool
}

// StreamStateOf returns the state of a stream whose records are applied to registry.
func StreamStateOf(stream *record.Stream, registry *Registry, self record.Author) StreamState {
	return StreamState{
		Registry:           registry,
		Next:               stream.Next(),
		LastSequence:       stream.LastSequence(self),
		WaitingForSnapshot: stream.WaitingForSnapshot(),
	}
}

// phase is the progress of an attempt.
type phase int

const (
	// claiming: the claim was queued and has not been read back from the log.
	claiming phase = iota + 1
	// waiting: the claim of another attempt is in force; its result is awaited.
	waiting
	// dispatching: this attempt has the claim in force and a server may be running the order.
	dispatching
	// withdrawing: the withdrawal was queued and has not been read back from the log. No server has run the order for
	// this attempt.
	withdrawing
	finished
)

// Attempt is the state machine of one request in one entry VM. Its methods take the time and the state of the orders
// stream, and return the actions to run. An Attempt is not safe for concurrent use.
type Attempt struct {
	self  record.Author
	req   Request
	phase phase
	// arrivalOffset is the offset of the next log entry to apply when the request arrived.
	arrivalOffset uint64
	// claimSequence and withdrawSequence are the sequences of this attempt's records; 0 before they are queued.
	claimSequence    uint64
	withdrawSequence uint64
	// withdrawalOpen is true from when AppendWithdraw was returned until AppendAnswered is.
	withdrawalOpen bool
	answered       bool
	result         Result
}

// NewAttempt returns the attempt for a request that has just arrived at the process self.
func NewAttempt(self record.Author, req Request) *Attempt {
	return &Attempt{self: self, req: req}
}

// Done reports whether the attempt will return no more actions.
func (a *Attempt) Done() bool { return a.phase == finished }

// Start handles the arrival of the request. It must be called once, before further records are applied.
func (a *Attempt) Start(now time.Time, state StreamState) []Action {
	a.arrivalOffset = state.Next
	status := state.Registry.Lookup(a.req.Order)
	switch {
	case state.WaitingForSnapshot || !now.Before(a.req.Deadline):
		return a.finish(Answer{Kind: AnswerUnknown})
	case status.State != Free:
		a.phase = waiting
		return a.awaitOther(now, state, status)
	case !status.Claimable:
		return a.startWithdrawal()
	}
	a.phase = claiming
	return []Action{{Kind: AppendClaim}}
}

// Payload returns the kind and payload of the record for an Append action. It must be called when the record is queued.
func (a *Attempt) Payload(kind ActionKind) (record.Kind, any) {
	switch kind {
	case AppendClaim:
		return record.KindClaim, Claim{Order: a.req.Order, Fingerprint: a.req.Fingerprint, ArrivalOffset: a.arrivalOffset}
	case AppendWithdraw:
		return record.KindWithdraw, Withdrawal{Order: a.req.Order, Claim: a.claimSequence}
	case AppendAnswered:
		return record.KindWithdraw, Withdrawal{Order: a.req.Order, Answered: a.withdrawSequence}
	}
	return record.KindResult, Completion{Order: a.req.Order, Claim: a.claimSequence, Result: a.result}
}

// Queued sets the sequence of the record that was queued for an Append action.
func (a *Attempt) Queued(kind ActionKind, sequence uint64) {
	switch kind {
	case AppendClaim:
		a.claimSequence = sequence
	case AppendWithdraw:
		a.withdrawSequence = sequence
	}
}

// Advance returns what to do after records were applied or time has passed.
func (a *Attempt) Advance(now time.Time, state StreamState) []Action {
	if state.WaitingForSnapshot {
		return a.checkAnswerBy(now)
	}
	status := state.Registry.Lookup(a.req.Order)
	switch a.phase {
	case claiming:
		return a.checkClaim(now, state, status)
	case waiting:
		return a.awaitOther(now, state, status)
	case withdrawing:
		return a.checkWithdrawal(now, state, status)
	}
	return a.checkAnswerBy(now)
}

// checkAnswerBy answers the caller with AnswerUnknown once AnswerBy is reached.
func (a *Attempt) checkAnswerBy(now time.Time) []Action {
	if a.phase == finished || now.Before(a.req.AnswerBy) {
		return nil
	}
	if a.phase == dispatching {
		// The attempt stays open, so that a late result is still recorded.
		return a.reply(Answer{Kind: AnswerUnknown})
	}
	if a.phase == claiming {
		return append(a.startWithdrawal(), a.finish(Answer{Kind: AnswerUnknown})...)
	}
	return a.finish(Answer{Kind: AnswerUnknown})
}

func (a *Attempt) checkClaim(now time.Time, state StreamState, status Status) []Action {
	switch {
	case a.claimSequence == 0 || state.LastSequence < a.claimSequence:
		if now.Before(a.req.Deadline) {
			return nil
		}
		return append(a.startWithdrawal(), a.checkAnswerBy(now)...)
	case status.Claim != Ref{Author: a.self, Sequence: a.claimSequence}:
		a.phase = waiting
		return a.awaitOther(now, state, status)
	case !now.Before(a.req.Deadline):
		return append(a.startWithdrawal(), a.checkAnswerBy(now)...)
	}
	a.phase = dispatching
	return []Action{{Kind: Dispatch}}
}

// awaitOther returns what to do while the claim of another attempt is, or was, in force.
func (a *Attempt) awaitOther(now time.Time, state StreamState, status Status) []Action {
	switch {
	case status.State == Done && status.Fingerprint == a.req.Fingerprint:
		return a.finish(Answer{Kind: AnswerResult, Result: status.Result, Replayed: true})
	case status.State == Claimed && status.Fingerprint == a.req.Fingerprint:
		if now.Before(a.req.Deadline) {
			return nil
		}
		return a.finish(Answer{Kind: AnswerUnknown})
	case a.withdrawalOpen:
		a.phase = withdrawing
		return a.checkWithdrawal(now, state, status)
	}
	return append(a.startWithdrawal(), a.checkAnswerBy(now)...)
}

// checkWithdrawal answers the caller once the withdrawal has been read back from the log. From then until the
// withdrawal ends no new claim of the order takes effect; only a claim that was in force before it may still run
// the order.
func (a *Attempt) checkWithdrawal(now time.Time, state StreamState, status Status) []Action {
	if a.withdrawSequence == 0 || state.LastSequence < a.withdrawSequence {
		return a.checkAnswerBy(now)
	}
	switch {
	case a.arrivalOffset < status.Horizon:
		// The order may have run after the request arrived, and have been removed from the registry since.
		return a.finish(Answer{Kind: AnswerUnknown})
	case status.State == Free:
		return a.finish(Answer{Kind: AnswerNotRun})
	case status.Fingerprint != a.req.Fingerprint:
		return a.finish(Answer{Kind: AnswerConflict})
	}
	a.phase = waiting
	return a.awaitOther(now, state, status)
}

// ServerAnswered handles the server's answer.
func (a *Attempt) ServerAnswered(result Result) []Action {
	if a.phase != dispatching {
		return nil
	}
	a.result = result.recorded()
	actions := []Action{{Kind: AppendResult}}
	return append(actions, a.finish(Answer{Kind: AnswerResult, Result: result})...)
}

// NotDispatched handles proof that the server didn't get the order, such as a refused connection. The order is sent to
// another server if there is one, and is withdrawn otherwise.
func (a *Attempt) NotDispatched(now time.Time, another bool) []Action {
	if a.phase != dispatching {
		return nil
	}
	if another && now.Before(a.req.Deadline) {
		return []Action{{Kind: Dispatch}}
	}
	return append(a.startWithdrawal(), a.checkAnswerBy(now)...)
}

// OutcomeUnknown handles a dispatch with an unknown outcome, such as a broken connection. The claim stays forever.
func (a *Attempt) OutcomeUnknown() []Action {
	if a.phase != dispatching {
		return nil
	}
	return a.finish(Answer{Kind: AnswerUnknown})
}

// startWithdrawal withdraws the order. The attempt never dispatches it afterwards.
func (a *Attempt) startWithdrawal() []Action {
	a.phase = withdrawing
	a.withdrawalOpen = true
	return []Action{{Kind: AppendWithdraw}}
}

func (a *Attempt) reply(answer Answer) []Action {
	if a.answered {
		return nil
	}
	a.answered = true
	return []Action{{Kind: Reply, Answer: answer}}
}

// finish answers the caller and ends the withdrawal, if one is open.
func (a *Attempt) finish(answer Answer) []Action {
	a.phase = finished
	actions := a.reply(answer)
	if a.withdrawalOpen {
		a.withdrawalOpen = false
		actions = append(actions, Action{Kind: AppendAnswered})
	}
	return actions
}
