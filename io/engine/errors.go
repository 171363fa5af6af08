package engine

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"ibiswinch/io/internal/roundtrip"
)

// Errors of the client. They are compared with eris.Is.
var (
	// ErrNotRun means that the engine can't have read the request: there was no connection, or it closed before the
	// request header was written.
	ErrNotRun = eris.New("engine did not receive the request")
	// ErrInterrupted means that the response ended early, by a lost connection or an error event. The engine may have run
	// any part of the request.
	ErrInterrupted = eris.New("answer of the engine is broken off")
	// ErrCancelled means that the request was cancelled at the engine or by its context. It may have run in part.
	ErrCancelled = eris.New("request is cancelled")
	// ErrInvalidResponse means that the engine's response violates the protocol.
	ErrInvalidResponse = eris.New("answer of the engine is invalid")
	// ErrStaleFence means that the fencing number of an order is below the highest one that the engine has seen.
	ErrStaleFence = eris.New("fencing number is stale")
)

// Size limits of the body of an error response and of its texts, in bytes.
const (
	maxRefusalBytes = 16 << 10
	maxCodeBytes    = 64
	maxMessageBytes = 512
)

const codeStaleFence = "staleFence"

// RefusedError is a response of the engine with a status other than 200.
type RefusedError struct {
	Status  int
	Code    string
	Message string
	// RetryAt is the earliest time to retry, by the header Retry-After; zero without it.
	RetryAt time.Time
	// Draining is true if the engine is about to stop.
	Draining bool
}

// Error implements error.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("engine refuses with status %d, %s: %s", e.Status, e.Code, e.Message)
}

// NotRun reports whether the engine certainly has not run the request. By the protocol that holds for 4xx and 503.
func (e *RefusedError) NotRun() bool {
	return e.Status >= 400 && e.Status < 500 || e.Status == http.StatusServiceUnavailable
}

// Is reports a match with ErrStaleFence if the engine rejected an order for its fencing number.
func (e *RefusedError) Is(target error) bool {
	return target == ErrStaleFence && e.Status == http.StatusConflict && e.Code == codeStaleFence
}

type errorBody struct {
	Error struct {
		Code    string `json:"code"`
		Message string `json:"message"`
	} `json:"error"`
}

func newRefusedError(resp *http.Response) error {
	e := &RefusedError{Status: resp.StatusCode, Draining: isDraining(resp)}
	if seconds, err := strconv.Atoi(resp.Header.Get("Retry-After")); err == nil && seconds >= 0 {
		e.RetryAt = time.Now().Add(time.Duration(seconds) * time.Second)
	}
	data, _ := roundtrip.ReadBody(resp, maxRefusalBytes)
	var f errorBody
	if json.Unmarshal(data, &f) == nil {
		e.Code = f.Error.Code[:min(len(f.Error.Code), maxCodeBytes)]
		e.Message = f.Error.Message[:min(len(f.Error.Message), maxMessageBytes)]
	}
	return e
}

func isDraining(resp *http.Response) bool {
	return resp.Header.Get("Engine-Draining") == "true"
}
