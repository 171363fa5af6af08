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
	quarantineTick = time.Second
	// maxDigestSuspects bounds the entries in one digest; the quarantined ones come first.
	maxDigestSuspects = 8
	// fingerprintBytes of the hash make a collision of two requests negligible.
	fingerprintBytes = 16
	// crashProbeTimeout bounds the question whether a server that broke a connection is still up.
	crashProbeTimeout = 500 * time.Millisecond
	// crashProbePause is the time between two such questions.
	crashProbePause = 30 * time.Millisecond
	// tellTimeout bounds how long a refusal waits until the peers know of the quarantine.
	tellTimeout = 2 * time.Second
)

// broadcaster tells all live peers what this entry VM knows, and returns when they have it or can't be reached.
type broadcaster interface {
	broadcast(ctx context.Context)
}

// suspectController keeps requests that crash backend servers away from them, and the retry budget.
type suspectController struct {
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

func newSuspectController(cfg Config, p broadcaster, events *apexlog.Logger) *suspectController {
	return &suspectController{
		cfg:        cfg,
		events:     events,
		peers:      p,
		quarantine: retry.NewQuarantine(retry.QuarantineConfig{}),
		policy:     retry.Policy{Budget: retry.NewBudget(0)},
		inFlight:   map[string]map[*attempt]retry.InFlight{},
		base:       context.Background(),
	}
}

// loop forgets expired entries until ctx ends.
func (s *suspectController) loop(ctx context.Context) error {
	s.mu.Lock()
	s.base = ctx
	s.mu.Unlock()
	ticker := time.NewTicker(quarantineTick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			s.wg.Wait()
			return ctx.Err()
		case <-ticker.C:
			s.mu.Lock()
			s.quarantine.Expire(s.cfg.Now())
			s.mu.Unlock()
		}
	}
}

// applyConfig implements applier. A new lifetime holds from the first configuration on.
func (s *suspectController) applyConfig(_ uint64, cfg *config.Config) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lifetime == 0 {
		s.lifetime = cfg.Rules.Limits.QuarantineTime
		s.quarantine = retry.NewQuarantine(retry.QuarantineConfig{Lifetime: s.lifetime})
	}
}

// fingerprintOf identifies requests with the same prompt and limits, whoever sends them.
func fingerprintOf(c *openai.Completion) string {
	h := sha256.New()
	for _, part := range []string{c.Model, string(c.Route), c.Prompt, string(c.Messages)} {
		_, _ = h.Write([]byte(part))
		_, _ = h.Write([]byte{0})
	}
	return hex.EncodeToString(h.Sum(nil)[:fingerprintBytes])
}

// check returns how to treat a request.
func (s *suspectController) check(now time.Time, fingerprint string) retry.Verdict {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.quarantine.Check(now, fingerprint)
}

// begin counts a first attempt for the retry budget.
func (s *suspectController) begin() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.policy.Budget.AddRequest()
}

// sent notes an attempt in flight at a server.
func (s *suspectController) sent(a *attempt) {
	s.mu.Lock()
	defer s.mu.Unlock()
	at := s.inFlight[a.placement.Server]
	if at == nil {
		at = map[*attempt]retry.InFlight{}
		s.inFlight[a.placement.Server] = at
	}
	at[a] = retry.InFlight{Fingerprint: a.r.fingerprint, Started: a.sentAt}
}

// ended notes the end of an attempt. A request that ran to its end is no suspect.
func (s *suspectController) ended(now time.Time, a *attempt, whole bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	at := s.inFlight[a.placement.Server]
	delete(at, a)
	if len(at) == 0 {
		delete(s.inFlight, a.placement.Server)
	}
	if whole {
		s.quarantine.Completed(now, a.r.fingerprint)
	}
}

// crashed makes all requests in flight at a server suspects.
func (s *suspectController) crashed(now time.Time, a *attempt) {
	s.mu.Lock()
	var requests []retry.InFlight
	for _, f := range s.inFlight[a.placement.Server] {
		requests = append(requests, f)
	}
	tell := s.quarantine.Crashed(now, a.placement.Server, requests)
	state := s.quarantine.Check(now, a.r.fingerprint).State
	base := s.base
	s.mu.Unlock()
	s.events.Event(event.ServerCrashed, apexlog.Fields{"server": a.placement.Server, "inFlight": len(requests)})
	if state == retry.Quarantined {
		s.events.Event(event.RequestQuarantine, apexlog.Fields{"fingerprint": a.r.fingerprint, "server": a.placement.Server})
	}
	switch {
	case state == retry.Quarantined:
		// The caller sends the request again as soon as it is answered, to any entry VM.
		ctx, cancel := context.WithTimeout(base, tellTimeout)
		defer cancel()
		s.peers.broadcast(ctx)
	case tell:
		s.wg.Go(func() { s.peers.broadcast(base) })
	}
}

// decide says whether a failed attempt is followed by another one.
func (s *suspectController) decide(now time.Time, a retry.Attempt) retry.Decision {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.policy.Decide(now, a)
}

// fillDigest implements digester.
func (s *suspectController) fillDigest(_ time.Time, _ string, d *peer.Digest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range s.quarantine.Entries(maxDigestSuspects) {
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

// mergeDigest implements digester.
func (s *suspectController) mergeDigest(now time.Time, d *peer.Digest) {
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
	s.mu.Lock()
	skipped := s.quarantine.Merge(now, entries)
	s.mu.Unlock()
	if skipped > 0 {
		s.events.Event(event.PeerRejected, apexlog.Fields{"peer": d.GetAuthor().GetVm(), "suspects": skipped})
	}
}

func (s *suspectController) dump() []retry.Status {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.quarantine.Dump()
}
