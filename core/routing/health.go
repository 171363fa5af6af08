package routing

import "time"

// Parameters of the recovery of a failed server.
const (
	// maxFailures is the number of failures in a row that make a server unhealthy.
	maxFailures    = 3
	initialBackoff = time.Second
	maxBackoff     = 30 * time.Second
	// healthyProbeLimit is the number of concurrent requests at which a recovering server counts as healthy again.
	healthyProbeLimit = 16
)

// health tracks the failures of one server as seen by this VM.
type health struct {
	failures int
	// backoff doubles with each failed probe.
	backoff time.Duration
	// probeAt is when an unhealthy server may get requests again; zero while it is healthy.
	probeAt time.Time
	// probeLimit bounds the requests in flight while the server is probed. It grows by one with each success, which
	// doubles it about once per duration of a request.
	probeLimit int
	// inFlight counts the requests of this VM at the server.
	inFlight int
}

// check returns the reason why the server can't take a request now, or "".
func (h *health) check(now time.Time) Reason {
	switch {
	case h.probeAt.IsZero():
		return ""
	case now.Before(h.probeAt):
		return ReasonUnhealthy
	case h.inFlight >= h.probeLimit:
		return ReasonProbing
	}
	return ""
}

// recordOutcome updates the health by the outcome of a request.
func (h *health) recordOutcome(now time.Time, o Outcome) {
	switch {
	case o.Crashed:
		h.startBackoff(now)
	case o.Failed:
		h.failures++
		if h.failures >= maxFailures || !h.probeAt.IsZero() {
			h.startBackoff(now)
		}
	default:
		h.recordSuccess(now)
	}
}

// startBackoff starts or doubles the backoff. Requests that fail during the backoff were sent before it and don't
// double it.
func (h *health) startBackoff(now time.Time) {
	if !h.probeAt.IsZero() && now.Before(h.probeAt) {
		return
	}
	h.backoff = min(max(2*h.backoff, initialBackoff), maxBackoff)
	h.probeAt = now.Add(h.backoff)
	h.probeLimit = 1
}

// recordSuccess raises the probe limit of a recovering server. Successes during the backoff don't count, since their
// requests were sent before the failure.
func (h *health) recordSuccess(now time.Time) {
	h.failures = 0
	if h.probeAt.IsZero() || now.Before(h.probeAt) {
		return
	}
	h.probeLimit++
	if h.probeLimit >= healthyProbeLimit {
		h.probeAt = time.Time{}
		h.backoff = 0
	}
}
