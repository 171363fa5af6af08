// Package call describes a request of a caller, independent of its protocol.
package call

import (
	"hash/fnv"
	"strconv"
	"time"
)

// Kind says whether a call may run more than once.
type Kind string

// Kinds of calls.
const (
	// Idempotent calls may run any number of times.
	Idempotent Kind = "idempotent"
	// AtMostOnce calls run at most once.
	AtMostOnce Kind = "once"
	// Stream calls are answered by a stream of events; they run at most once unless the route is resumable.
	Stream Kind = "stream"
)

// PromptPart is a part of a prompt. A model engine that has the leading parts of a prompt in its cache needn't process
// them again.
type PromptPart struct {
	ID     uint64
	Tokens int64
}

// Call is one request.
type Call struct {
	// ID identifies this call; a repeat by the caller has another ID.
	ID     string
	Method string
	Host   string
	// Path is without the query; Target is what the caller sent, query included.
	Path   string
	Target string
	// APIKey is the secret API key of the caller. It never leaves the process.
	APIKey string
	// Headers are the headers of the caller that are passed on to the backend server.
	Headers map[string][]string
	Body    []byte
	// Arrived and Deadline have readings of the process's monotonic clock.
	Arrived  time.Time
	Deadline time.Time
	// LastEventID is the ID of the event after which the caller resumes its stream, empty for a new stream.
	LastEventID string
	// Parts are the prompt's parts in order. If there is more than one, the last is not shared with other calls.
	Parts []PromptPart
	// InputTokens and MaxOutputTokens are 0 for calls without a model.
	InputTokens     int64
	MaxOutputTokens int64
	// LengthHint is the caller's estimate of the number of output tokens, 0 without one.
	LengthHint int64
}

// MaxTokens returns the largest number of tokens that the call can cost.
func (c *Call) MaxTokens() int64 { return c.InputTokens + c.MaxOutputTokens }

// SharedParts returns the leading parts that other calls may share.
func (c *Call) SharedParts() []PromptPart {
	if len(c.Parts) < 2 {
		return c.Parts
	}
	return c.Parts[:len(c.Parts)-1]
}

// PrefixID returns the ID of the last shared part, which identifies the shared prefix; 0 without a prompt.
func (c *Call) PrefixID() uint64 {
	shared := c.SharedParts()
	if len(shared) == 0 {
		return 0
	}
	return shared[len(shared)-1].ID
}

// SharedPartIDs returns the IDs of the shared parts in hexadecimal.
func (c *Call) SharedPartIDs() []string {
	shared := c.SharedParts()
	ids := make([]string, 0, len(shared))
	for _, p := range shared {
		ids = append(ids, strconv.FormatUint(p.ID, 16))
	}
	return ids
}

// Fingerprint returns a hash of the request that is the same for repeats by its caller.
func (c *Call) Fingerprint() string {
	h := fnv.New64a()
	for _, s := range []string{c.Method, c.Target, c.APIKey} {
		_, _ = h.Write([]byte(s))
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(c.Body)
	return strconv.FormatUint(h.Sum64(), 16)
}
