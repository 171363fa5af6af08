package platform

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"ibiswinch/io/internal/roundtrip"
)

// Errors of the client. They are compared with eris.Is.
var (
	// ErrUnavailable means that the platform did not accept the request, which had no effect.
	ErrUnavailable = eris.New("platform is unavailable")
	// ErrOutcomeUnknown means that the response was lost or invalid. The request may have taken effect or may still do so.
	ErrOutcomeUnknown = eris.New("outcome of the platform request is unknown")
	// ErrRejected means that the platform rejected the request and would reject it again.
	ErrRejected = eris.New("platform rejected the request")
)

// defaultRetryAfter is used if a response with status 429 has no valid Retry-After.
const defaultRetryAfter = time.Second

// maxMessageBytes limits the part of a response body that goes into an error.
const maxMessageBytes = 256

// RateLimitError means that the request exceeded a rate limit and had no effect.
type RateLimitError struct {
	// RetryAt is the earliest time at which the request may succeed.
	RetryAt time.Time
}

// Error implements error.
func (e *RateLimitError) Error() string {
	return fmt.Sprintf("rate limit exceeded, retry at %s", e.RetryAt.Format(time.RFC3339Nano))
}

// statusError returns the error for a response whose status isn't 200. By the protocol, 503 and all of 4xx mean that
// the request had no effect; after any other status its outcome is unknown.
func statusError(resp *http.Response) error {
	data, _ := roundtrip.ReadBody(resp, maxReplyBytes)
	message := strings.ToValidUTF8(string(data[:min(len(data), maxMessageBytes)]), "")
	switch {
	case resp.StatusCode == http.StatusTooManyRequests:
		return &RateLimitError{RetryAt: time.Now().Add(retryAfter(resp))}
	case resp.StatusCode == http.StatusServiceUnavailable:
		return eris.Wrapf(ErrUnavailable, "status 503: %s", message)
	case resp.StatusCode >= 400 && resp.StatusCode < 500:
		return eris.Wrapf(ErrRejected, "status %d: %s", resp.StatusCode, message)
	}
	return eris.Wrapf(ErrOutcomeUnknown, "status %d: %s", resp.StatusCode, message)
}

func retryAfter(resp *http.Response) time.Duration {
	seconds, err := strconv.Atoi(resp.Header.Get("Retry-After"))
	if err != nil || seconds < 0 {
		return defaultRetryAfter
	}
	return time.Duration(seconds) * time.Second
}
