// Package call describes a request of a caller, independent of the protocol it was spoken in.
package call

import (
	"hash/fnv"
	"strconv"
	"time"
)

// Kind says what may be repeated.
type Kind string

// Kinds of calls.
const (
	// Idempotent calls may run any number of times.
	Idempotent Kind = "idempotent"
	// Once calls run at most once.
	Once Kind = "once"
	// Stream calls are answered by events; they run at most once unless the route is resumable.
	Stream Kind = "stream"
)

// Part is a part of a prompt. Calls that share their leading parts share the work of reading them.
type Part struct {
	ID     uint64
	Tokens int64
}

// Call is one request.
type Call struct {
	// ID names this attempt of the caller.
	ID     string
	Method string
	Host   string
	// Path is without the query; Target is what the caller sent, query included.
	Path   string
	Target string
	// Key is the secret of the caller. It never leaves the process.
	Key string
	// Headers are what the backend server gets beside what the system sets.
	Headers map[string][]string
	Body    []byte
	// Arrived and Deadline are in the process's monotonic time.
	Arrived  time.Time
	Deadline time.Time
	// LastEvent is the event after which the caller wants its stream to go on, empty for a new one.
	LastEvent string
	// Parts are the prompt's parts in order; the last belongs to this call alone.
	Parts []Part
	// InputTokens and MaxOutputTokens are 0 for calls without a model.
	InputTokens     int64
	MaxOutputTokens int64
}

// MaxTokens is the most that the call can cost.
func (c *Call) MaxTokens() int64 { return c.InputTokens + c.MaxOutputTokens }

// SharedParts are the parts that other calls may share.
func (c *Call) SharedParts() []Part {
	if len(c.Parts) < 2 {
		return c.Parts
	}
	return c.Parts[:len(c.Parts)-1]
}

// Session identifies the longest chain of shared parts, 0 without a prompt.
func (c *Call) Session() uint64 {
	shared := c.SharedParts()
	if len(shared) == 0 {
		return 0
	}
	return shared[len(shared)-1].ID
}

// Fingerprint is the same for repeats of a request by its caller.
func (c *Call) Fingerprint() string {
	h := fnv.New64a()
	for _, s := range []string{c.Method, c.Target, c.Key} {
		_, _ = h.Write([]byte(s))
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(c.Body)
	return strconv.FormatUint(h.Sum64(), 16)
}
