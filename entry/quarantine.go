package entry

import (
	"context"
	"encoding/hex"
	"sync"
	"time"

	"crypto/sha256"

	"ibiswinch/core/config"
	"ibiswinch/core/event"
	"ibiswinch/core/retry"
	"ibiswinch/io/apexlog"
	"ibiswinch/io/openai"
	"ibiswinch/io/peer"
)

// Timing and bounds of the quarantine.
const (
	quarantineExpireInterval = time.Second
	// maxDigestSuspects bounds the entries in one digest; the quarantined ones are sent first.
	maxDigestSuspects = 8
	// fingerprintBytes is the length of a fingerprint. It makes collisions between requests negligible.
	fingerprintBytes = 16
	// crashProbeTimeout bounds the check whether a server that broke a connection is still up.
	crashProbeTimeout = 500 * time.Millisecond
	// crashProbeInterval is the time between two probes of such a server.
	crashProbeInterval = 30 * time.Millisecond
	// broadcastTimeout bounds how long a refusal waits for the peers to learn of the quarantine.
	broadcastTimeout = 2 * time.Second
)

// broadcaster sends the digest of this entry VM to all live peers, and returns when each has answered or can't be
// reached.
type broadcaster interface {
	broadcast(ctx context.Context)
}

// quarantineController refuses requests that crash backend servers, and keeps the retry budget.
type quarantineController struct {
	cfg    Config
	events *apexlog.Logger
	peers  broadcaster

	mu         sync.Mutex
	quarantine *retry.Quarantine
	policy     retry.Policy
	lifetime   time.Duration
	// inFlight are the fingerprints at each server, by attempt.
	inFlight map[string]map[*attempt]retry.InFlight
	base     context.Context
	wg       sync.WaitGroup
}

func newQuarantineController(cfg Config, p broadcaster, events *apexlog.Logger) *quarantineController {
	return &quarantineController{
		cfg:        cfg,
		events:     events,
		peers:      p,
		quarantine: retry.NewQuarantine(retry.QuarantineConfig{}),
		policy:     retry.Policy{Budget: retry.NewBudget(0)},
		inFlight:   map[string]map[*attempt]retry.InFlight{},
		base:       context.Background(),
	}
}

// loop removes expired entries until ctx ends.
func (q *quarantineController) loop(ctx context.Context) error {
	q.mu.Lock()
	q.base = ctx
	q.mu.Unlock()
	ticker := time.NewTicker(quarantineExpireInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			q.wg.Wait()
			return ctx.Err()
		case <-ticker.C:
			q.mu.Lock()
			q.quarantine.Expire(q.cfg.Now())
			q.mu.Unlock()
		}
	}
}

// applyConfig implements configApplier. Only the first configuration sets the lifetime of entries.
func (q *quarantineController) applyConfig(_ uint64, cfg *config.Config) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.lifetime == 0 {
		q.lifetime = cfg.Rules.Limits.QuarantineTime
		q.quarantine = retry.NewQuarantine(retry.QuarantineConfig{Lifetime: q.lifetime})
	}
}

// fingerprintOf returns the same fingerprint for requests with the same model, route, prompt and messages, whoever
// sends them.
func fingerprintOf(c *openai.CompletionRequest) string {
	h := sha256.New()
	for _, part := range []string{c.Model, string(c.Route), c.Prompt, string(c.Messages)} {
		_, _ = h.Write([]byte(part))
		_, _ = h.Write([]byte{0})
	}
	return hex.EncodeToString(h.Sum(nil)[:fingerprintBytes])
}

// check returns how to treat requests with the fingerprint.
func (q *quarantineController) check(now time.Time, fingerprint string) retry.CheckResult {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.quarantine.Check(now, fingerprint)
}

// countRequest adds a request to the retry budget, which allows retries in proportion to requests.
func (q *quarantineController) countRequest() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.policy.Budget.AddRequest()
}

// attemptStarted records an attempt in flight at a server.
func (q *quarantineController) attemptStarted(a *attempt) {
	q.mu.Lock()
	defer q.mu.Unlock()
	at := q.inFlight[a.placement.Server]
	if at == nil {
		at = map[*attempt]retry.InFlight{}
		q.inFlight[a.placement.Server] = at
	}
	at[a] = retry.InFlight{Fingerprint: a.completion.fingerprint, Started: a.sentAt}
}

// attemptEnded records the end of an attempt. A request that ran to completion is no longer a suspect.
func (q *quarantineController) attemptEnded(now time.Time, a *attempt, completed bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	at := q.inFlight[a.placement.Server]
	delete(at, a)
	if len(at) == 0 {
		delete(q.inFlight, a.placement.Server)
	}
	if completed {
		q.quarantine.Completed(now, a.completion.fingerprint)
	}
}

// serverCrashed makes all requests in flight at a server suspects. If this quarantines the request of a, it returns
// after the broadcast to the peers.
func (q *quarantineController) serverCrashed(now time.Time, a *attempt) {
	q.mu.Lock()
	var requests []retry.InFlight
	for _, f := range q.inFlight[a.placement.Server] {
		requests = append(requests, f)
	}
	changed := q.quarantine.Crashed(now, a.placement.Server, requests)
	state := q.quarantine.Check(now, a.completion.fingerprint).State
	base := q.base
	q.mu.Unlock()
	q.events.Event(event.ServerCrashed, apexlog.Fields{"server": a.placement.Server, "inFlight": len(requests)})
	if state == retry.Quarantined {
		q.events.Event(event.RequestQuarantined, apexlog.Fields{"fingerprint": a.completion.fingerprint, "server": a.placement.Server})
	}
	switch {
	case state == retry.Quarantined:
		// The caller sends the request again as soon as it is answered, to any entry VM.
		ctx, cancel := context.WithTimeout(base, broadcastTimeout)
		defer cancel()
		q.peers.broadcast(ctx)
	case changed:
		q.wg.Go(func() { q.peers.broadcast(base) })
	}
}

// decideRetry decides whether a failed attempt is followed by another one.
func (q *quarantineController) decideRetry(now time.Time, a retry.Attempt) retry.Decision {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.policy.Decide(now, a)
}

// fillDigest implements digestHandler.
func (q *quarantineController) fillDigest(_ time.Time, _ string, d *peer.Digest) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, e := range q.quarantine.Entries(maxDigestSuspects) {
		w := &peer.Suspect{Fingerprint: e.Fingerprint, ExpiresUnixMilli: e.ExpiresAt.UnixMilli()}
		if !e.ClearedAt.IsZero() {
			w.ClearedUnixNano = e.ClearedAt.UnixNano()
		}
		for _, c := range e.Crashes {
			w.Crashes = append(w.Crashes, &peer.Crash{
				Server: c.Server, AtUnixNano: c.At.UnixNano(), StartedUnixNano: c.Started.UnixNano(),
			})
		}
		d.Suspects = append(d.Suspects, w)
	}
}

// mergeDigest implements digestHandler.
func (q *quarantineController) mergeDigest(now time.Time, d *peer.Digest) {
	entries := make([]retry.Entry, 0, len(d.GetSuspects()))
	for _, w := range d.GetSuspects() {
		e := retry.Entry{Fingerprint: w.GetFingerprint(), ExpiresAt: time.UnixMilli(w.GetExpiresUnixMilli())}
		if w.GetClearedUnixNano() != 0 {
			e.ClearedAt = time.Unix(0, w.GetClearedUnixNano())
		}
		for _, c := range w.GetCrashes() {
			e.Crashes = append(e.Crashes, retry.Crash{
				Server: c.GetServer(), At: time.Unix(0, c.GetAtUnixNano()), Started: time.Unix(0, c.GetStartedUnixNano()),
			})
		}
		entries = append(entries, e)
	}
	q.mu.Lock()
	skipped := q.quarantine.Merge(now, entries)
	q.mu.Unlock()
	if skipped > 0 {
		q.events.Event(event.PeerRejected, apexlog.Fields{"peer": d.GetAuthor().GetVm(), "suspects": skipped})
	}
}

func (q *quarantineController) dump() []retry.Status {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.quarantine.Dump()
}
