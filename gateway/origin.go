package gateway

import "errors"

// IDEcho tells which request id an answer carries.
type IDEcho int

// Values of IDEcho.
const (
	// EchoedID is the id of the attempt's call, and no other.
	EchoedID IDEcho = iota
	// NoID is an answer without an id.
	NoID
	// OtherID is an id of another call.
	OtherID
)

// Origin holds what is known about the request that an answer belongs to. A faulty server may write an answer once more on
// a connection that is kept open, where it precedes the answer to the next request.
type Origin struct {
	Echo IDEcho
	// Reused is set when the connection has carried an earlier attempt.
	Reused bool
	// RefusedBefore is set when the connection has carried an earlier attempt of a call with the same id, and its answer
	// said that it did not run.
	RefusedBefore bool
}

// errOtherRequest is the error of an answer that may belong to another request.
var errOtherRequest = errors.New("the answer may belong to another request")

// belongsToAttempt reports whether an answer certainly belongs to its attempt. Otherwise it says nothing about the attempt,
// which may run. Servers may leave the id out of answers that say that the attempt did not run, which are then told from
// earlier ones only on a new connection.
func belongsToAttempt(a Answer) bool {
	o := a.Origin()
	switch o.Echo {
	case EchoedID:
		return !o.RefusedBefore || !provesNotRun(a)
	case NoID:
		return !o.Reused && provesNotRun(a)
	}
	return false
}

// provesNotRun reports whether an answer that belongs to its attempt proves that the attempt did not run.
func provesNotRun(a Answer) bool { return a.NotRun() || a.Misdirected() }

// closeRefused closes an answer that proves that its attempt did not run. A repetition of one without an id couldn't be told
// from the answer to the next attempt, so its connection isn't used again.
func closeRefused(a Answer) {
	if a.Origin().Echo == NoID {
		a.CloseConnection()
		return
	}
	a.Close()
}
