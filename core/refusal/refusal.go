// Package refusal defines the reasons why a request gets no successful answer, and whether such a request ran.
package refusal

import (
	"fmt"
	"time"

	"github.com/rotisserie/eris"
)

// Execution tells the caller whether its request ran. It must be correct, since callers repeat requests that did not
// run.
type Execution string

// Values of the header Ibiswinch-Execution.
const (
	NotRun  Execution = "not-run"
	Ran     Execution = "ran"
	Unknown Execution = "unknown"
)

// Reason is the reason of a refusal. It is a label of metrics, so the set of values is fixed.
type Reason string

// Reasons before the request was dispatched.
const (
	BadRequest             Reason = "badRequest"
	UnknownRoute           Reason = "unknownRoute"
	MethodNotAllowed       Reason = "wrongMethod"
	InvalidAPIKey          Reason = "badKey"
	UnknownModel           Reason = "unknownModel"
	UnknownService         Reason = "unknownService"
	BodyTimeout            Reason = "bodyTimeout"
	HeaderTooLarge         Reason = "headerTooLarge"
	TooLarge               Reason = "tooLarge"
	BudgetExhausted        Reason = "budgetExhausted"
	BudgetUnavailable      Reason = "budgetUnavailable"
	NoCapacity             Reason = "noCapacity"
	NoServer               Reason = "noServer"
	MemoryFull             Reason = "memoryFull"
	PendingBillsFull       Reason = "billsFull"
	Quarantined            Reason = "quarantined"
	Draining               Reason = "draining"
	NotReady               Reason = "notReady"
	Overloaded             Reason = "overloaded"
	LateArrival            Reason = "lateArrival"
	Defect                 Reason = "defect"
	IdempotencyKeyRequired Reason = "keyRequired"
	IdempotencyKeyConflict Reason = "keyConflict"
)

// Reasons after the request was, or may have been, dispatched.
const (
	OrderUnconfirmed Reason = "orderUnconfirmed"
	OrderPending     Reason = "orderPending"
	ServerFailed     Reason = "serverFailed"
	DeadlinePassed   Reason = "deadlinePassed"
	CallerGone       Reason = "callerGone"
)

// Error is a refusal of a request.
type Error struct {
	Reason    Reason
	Execution Execution
	Message   string
	// RetryAt is when a repeat may succeed; zero if that isn't known or a repeat can't succeed.
	RetryAt time.Time
	// CloseConnection asks the caller to connect to another entry VM: its connection is closed after the refusal.
	CloseConnection bool
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("%s (%s): %s", e.Reason, e.Execution, e.Message)
}

// New returns a refusal of a request that did not run.
func New(reason Reason, format string, args ...any) *Error {
	return &Error{Reason: reason, Execution: NotRun, Message: fmt.Sprintf(format, args...)}
}

// WithRetryAt sets RetryAt and returns e.
func (e *Error) WithRetryAt(t time.Time) *Error {
	e.RetryAt = t
	return e
}

// WithExecution sets Execution and returns e.
func (e *Error) WithExecution(x Execution) *Error {
	e.Execution = x
	return e
}

// From returns the refusal that err wraps, or else one with the reason ServerFailed and an unknown execution.
func From(err error) *Error {
	var refused *Error
	if eris.As(err, &refused) {
		return refused
	}
	return &Error{Reason: ServerFailed, Execution: Unknown, Message: err.Error()}
}
