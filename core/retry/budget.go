// Package retry decides whether a failed attempt may be retried, and quarantines requests that crash backend servers;
// see docs/quarantine.md. There are two limits on retries: Budget is the one of package entry, for all servers together,
// and WindowBudget the one of package gateway, for each service.
package retry

import "time"

// Cost and credit in the retry budget, in hundredths of a retry.
const (
	retryCost = 100
	// requestCredit allows one retry for every ten requests.
	requestCredit = 10
)

// DefaultBurst is the number of retries that a full budget allows at once. After a crash, every request that was in
// flight at the server needs one. The default covers the share of one entry VM in the crashes of 20 servers with 50
// requests each, which 10 crashing requests can cause.
const DefaultBurst = 500

// Budget is a token bucket of retries that is filled by requests, so that retries can't multiply the load on failing
// servers. It starts full. It is not safe for concurrent use.
type Budget struct {
	// max and tokens are in hundredths of a retry.
	max, tokens int64
}

// NewBudget returns a budget that allows burst retries at once, DefaultBurst if burst is 0.
func NewBudget(burst int) *Budget {
	if burst == 0 {
		burst = DefaultBurst
	}
	return &Budget{max: int64(burst) * retryCost, tokens: int64(burst) * retryCost}
}

// AddRequest counts a first attempt.
func (b *Budget) AddRequest() { b.tokens = min(b.tokens+requestCredit, b.max) }

// Left returns how many retries are left now.
func (b *Budget) Left() int { return int(b.tokens / retryCost) }

func (b *Budget) take() bool {
	if b.tokens < retryCost {
		return false
	}
	b.tokens -= retryCost
	return true
}

// Attempt describes a failed attempt.
type Attempt struct {
	// Count is the number of attempts so far, this one included.
	Count int
	// Idempotent is set when the configured rules allow the request to run more than once.
	Idempotent bool
	// NotRun is set when the attempt is proven not to have run, such as by a refused connection.
	NotRun bool
	// BytesSent is set when the caller has received a part of the answer.
	BytesSent bool
	// Resumable is set when another server can continue the answer from the part that was sent.
	Resumable bool
	// Deadline is the deadline of the request.
	Deadline time.Time
}

// Decision says what to do after a failed attempt.
type Decision string

// Decisions. All but Retry and Resume end the request.
const (
	Retry Decision = "retry"
	// Resume continues a partly sent answer on another server.
	Resume        Decision = "resume"
	NotIdempotent Decision = "notIdempotent"
	// PartlySent means that the caller has a part of an answer that can't be continued.
	PartlySent         Decision = "partlySent"
	TooManyAttempts    Decision = "tooManyAttempts"
	DeadlinePassed     Decision = "deadline"
	BudgetExhausted    Decision = "retryBudget"
	defaultMaxAttempts          = 4
)

// Policy decides on failed attempts.
type Policy struct {
	// MaxAttempts bounds the attempts of a request. Default 4: the first one, one after a crash that another request
	// caused, one as a suspect, and one more.
	MaxAttempts int
	Budget      *Budget
}

// Decide returns what to do after the failed attempt a. Retry and Resume take one retry from the budget.
func (p Policy) Decide(now time.Time, a Attempt) Decision {
	maxAttempts := p.MaxAttempts
	if maxAttempts == 0 {
		maxAttempts = defaultMaxAttempts
	}
	switch {
	case !a.Idempotent && !a.NotRun:
		return NotIdempotent
	case a.BytesSent && !a.Resumable:
		return PartlySent
	case a.Count >= maxAttempts:
		return TooManyAttempts
	case !now.Before(a.Deadline):
		return DeadlinePassed
	case !p.Budget.take():
		return BudgetExhausted
	case a.BytesSent:
		return Resume
	}
	return Retry
}
