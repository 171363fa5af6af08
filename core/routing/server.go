// Package routing chooses the backend server of a request. Admission is weighted by tokens: an entry VM holds at a
// server at most its share of the server's capacity. The shares of all entry VMs never add up to more than the
// capacity, even when their views of each other differ. See docs/routing.md.
package routing

import (
	"fmt"
	"time"

	"github.com/rotisserie/eris"
)

// maxNameBytes bounds the names in messages.
const maxNameBytes = 128

// ErrInvalid is the error of a message from a peer that fails validation.
var ErrInvalid = eris.New("invalid routing message")

// ErrConfig is the error of an invalid configuration.
var ErrConfig = eris.New("invalid routing configuration")

// Server is a backend server of the inventory.
type Server struct {
	Name string `json:"name"`
	// Domain is the failure domain.
	Domain string `json:"domain"`
	// Target is the model or the plain service that the server runs.
	Target string `json:"target"`
	// Versions are those that the server has loaded. A plain service has the version "".
	Versions []string `json:"versions"`
	// Capacity bounds the requests in flight, in worst-case tokens. For a plain service a token stands for a request.
	Capacity int64 `json:"capacity"`
	// Leaving is set when the inventory takes the server out of service.
	Leaving bool `json:"leaving"`
}

// Priority decides which requests are admitted first when there is little room.
type Priority int

// Priorities of requests. The zero value is the normal one.
const (
	Low    Priority = -1
	Normal Priority = 0
	High   Priority = 1
)

// Request describes a request to be placed.
type Request struct {
	Target  string
	Version string
	// Tokens is the worst case: the upper bound of the prompt plus the output limit. It is held until Release.
	Tokens int64
	// PromptTokens is the part of Tokens that has to be computed before the first token.
	PromptTokens int64
	// Prefixes are hashes of the prompt's first block, first two blocks and so on, Config.BlockTokens each.
	Prefixes []uint64
	Priority Priority
	// Exclude names servers that must not be chosen, such as those where an attempt failed.
	Exclude []string
	// Suspect marks a crash suspect: a request that may have crashed a server before. It runs isolated, one suspect at a
	// time per server, on a server of the own domain where it is this VM's turn to run suspects. Among those it goes
	// where the fewest tokens are in flight. Other requests avoid the server as long as they have a choice.
	Suspect bool
}

// Placement is the result of a choice.
type Placement struct {
	// ID identifies the held tokens for Release.
	ID     uint64
	Server string
	Domain string
	// CachedTokens is how much of the prompt is expected in the server's prefix cache.
	CachedTokens int64
}

// Reason is why a server was chosen or not, or why a request was refused.
type Reason string

// Reasons, ordered from the most to the least promising: a refusal gives the first one that any candidate had.
const (
	ReasonChosen Reason = "chosen"
	// ReasonOutscored means that another candidate was better.
	ReasonOutscored Reason = "outscored"
	// ReasonShareFull means that the share of this entry VM has no room for the request.
	ReasonShareFull Reason = "shareFull"
	// ReasonServerLoaded means that the load report of the server, plus what was sent since, leaves no room.
	ReasonServerLoaded Reason = "serverLoaded"
	// ReasonSuspects means that a crash suspect has to wait: another one runs, or it is another entry VM's turn.
	ReasonSuspects Reason = "suspects"
	// ReasonProbing means that the server is recovering from a failure and its few probe requests are in flight.
	ReasonProbing Reason = "probing"
	// ReasonUnhealthy means that the server failed and its next probe is not due.
	ReasonUnhealthy Reason = "unhealthy"
	ReasonExcluded  Reason = "excluded"
	// ReasonNotOffered means that the other domain offers no share at present.
	ReasonNotOffered Reason = "notOffered"
	ReasonLeaving    Reason = "leaving"
	// ReasonTooLarge means that the request is larger than any share of this entry VM can become.
	ReasonTooLarge Reason = "tooLarge"
	// ReasonNoServer means that no server has the target and version.
	ReasonNoServer Reason = "noServer"
)

var reasonOrder = []Reason{
	ReasonShareFull, ReasonServerLoaded, ReasonSuspects, ReasonProbing, ReasonUnhealthy, ReasonExcluded, ReasonNotOffered,
	ReasonLeaving, ReasonTooLarge, ReasonNoServer,
}

// Refusal is the error of a request that was not placed and did not run.
type Refusal struct {
	Reason Reason
	// RetryAt is when a retry may succeed; zero if it can't without a change of the inventory.
	RetryAt time.Time
}

// Error implements error.
func (r *Refusal) Error() string { return fmt.Sprintf("no backend server: %s", r.Reason) }

// Load is the load report of a server. It lags behind the actual load.
type Load struct {
	Server string
	// At is when the server measured it.
	At time.Time
	// Tokens counts the tokens in flight or queued at the server, from all entry VMs.
	Tokens int64
	// Leaving is set when the server reports that it is shutting down.
	Leaving bool
}

// Outcome is how a placed request ended.
type Outcome struct {
	// Failed is set when the server is at fault.
	Failed bool
	// Crashed is set when the server crashed; the backoff then starts without waiting for further failures.
	Crashed bool
}

// server is the state of one backend server.
type server struct {
	Server
	shares
	health
	// local is false for a server of another domain.
	local bool
	// slots are the slots with a share of the server. ordinal is the position of the server among those of its target
	// in the domain; it decides when crash suspects may run there.
	slots   []int
	ordinal int
	// suspects counts the crash suspects of this VM in flight at the server.
	suspects int
	// listed is false when the server is no longer in the inventory and is only kept until its requests have ended.
	listed bool
	// platformLeaving is set by the platform's list of leaving servers, reportedLeaving by the server's load report.
	platformLeaving, reportedLeaving bool
	load                             Load
	sent                             sentLog
	// pending counts the uncached prompt tokens of this VM's requests that have no first token yet.
	pending int64
	// secondsPerToken is the moving average of the time to the first token per token of work; 0 if unknown.
	secondsPerToken float64
	cache           cacheState
	lastReason      Reason
	lastAt          time.Time
}

func (s *server) isLeaving() bool {
	return !s.listed || s.Leaving || s.platformLeaving || s.reportedLeaving
}

// reportLifetime is how long a load report is used.
const reportLifetime = 10 * time.Second

// loadAt estimates the tokens at the server: its last report plus what this VM has sent since, and at least what this
// VM holds there. Requests that ended since the report aren't subtracted, since it is unknown whether it includes them.
func (s *server) loadAt(now time.Time) int64 {
	if s.load.At.IsZero() || !now.Before(s.load.At.Add(reportLifetime)) {
		return s.held
	}
	return max(s.held, s.load.Tokens+s.sent.since(s.load.At))
}

// sentBuckets times sentBucketTime is longer than reportLifetime, so that the log covers every report in use. It is
// kept small because there is one per server.
const (
	sentBuckets    = 16
	sentBucketTime = 750 * time.Millisecond
)

// sentLog counts the tokens sent, in buckets of time.
type sentLog struct {
	buckets [sentBuckets]sentBucket
}

type sentBucket struct {
	// index is the number of the bucket since the Unix epoch.
	index  int64
	tokens int64
}

func (l *sentLog) add(now time.Time, tokens int64) {
	index := now.UnixNano() / int64(sentBucketTime)
	e := &l.buckets[index%sentBuckets]
	if e.index != index {
		*e = sentBucket{index: index}
	}
	e.tokens += tokens
}

// since counts the tokens sent since the start of the bucket of t.
func (l *sentLog) since(t time.Time) int64 {
	index := t.UnixNano() / int64(sentBucketTime)
	var sum int64
	for i := range l.buckets {
		if l.buckets[i].index >= index {
			sum += l.buckets[i].tokens
		}
	}
	return sum
}
