//go:build review

package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// sharedPart is the first part of all prompts, poisonPart the one that crashes servers, dossierPart that of the long prompts.
	sharedPart  = "5c1e07a2"
	poisonPart  = "91bd3f06"
	dossierPart = "e4402b7d"
	// poisonWork is the time from the arrival of a request with the poisonous part until its answer begins.
	poisonWork = 300 * time.Millisecond
	// partCrashes is the number of crashes from which the rule for a part of a prompt counts, requestCrashes that for a whole request.
	// allowedArrivals is the number of later requests that it allows.
	partCrashes     = 5
	requestCrashes  = 3
	allowedArrivals = 3
	// outputTokens is the output that a prompt asks for.
	outputTokens = 40
	// poisonGap and soundGap are the pauses between two poisonous prompts, and between two sound ones, for promptsTime.
	poisonGap   = 500 * time.Millisecond
	soundGap    = 100 * time.Millisecond
	promptsTime = 40 * time.Second
)

// poisonLog follows the arrivals of poisonous requests and the crashes.
type poisonLog struct {
	r *recorder
	// limit is the number of crashes from which the rule counts.
	limit int

	mu       sync.Mutex
	crashes  int
	from     time.Time
	late     int
	arrivals int
}

// arrive records that a poisonous request has reached a server.
func (p *poisonLog) arrive(s *server, r *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.arrivals++
	note := ""
	if !p.from.IsZero() && time.Now().After(p.from) {
		p.late++
		note = fmt.Sprintf(", %d after the bound", p.late)
	}
	p.r.add("poisonous request %s reaches %s%s", r.Header.Get("Request-Id"), s.id, note)
}

// crash has a server crash on a poisonous request.
func (p *poisonLog) crash(s *server, r *http.Request) {
	if !s.crash() {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.crashes++
	p.r.add("%s crashes on %s, crash %d", s.id, r.Header.Get("Request-Id"), p.crashes)
	if p.crashes == p.limit {
		p.from = time.Now().Add(stability)
	}
}

// result returns whether the rule held.
func (p *poisonLog) result() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.r.add("%d poisonous requests reached servers, %d of them later than %v after crash %d (allowed %d); %d crashes", p.arrivals, p.late, stability, p.limit, allowedArrivals, p.crashes)
	if p.late > allowedArrivals {
		return errBroken
	}
	return nil
}

// publishEngines publishes a route to model servers.
func publishEngines(f *fleet) error {
	return f.publish(
		[]map[string]any{{
			"name": "dossier", "host": host, "path_prefix": "/dossier/", "kind": "streaming", "timeout_ms": 10000, "target_latency_ms": 3000,
			"target_gap_ms": 250, "priority": 1, "service": "nada-llm", "attempts": 1, "stream_resumption": false, "sticky_sessions": true,
		}},
		[]map[string]any{{
			"name": "nada-llm", "health_path": "/health", "connection_limit": 620,
			"engine": map[string]any{"slots": 128, "kv_cache_tokens": 497141, "stride": eventTokens},
		}},
		[]map[string]any{{"name": "tenant-a", "api_keys": []string{"key-a"}, "prepaid": 1_000_000_000}},
	)
}

// prompt returns a request with a prompt of the shared part, another one and one of its own.
func prompt(part string, tokens int) request {
	own := lastOwn.Add(1)
	return request{
		method: http.MethodPost, target: "/dossier/1", key: "key-a", body: fmt.Sprintf("prompt %d", own), deadline: 10 * time.Second,
		headers: []string{
			"Model: m", fmt.Sprintf("Token-Counts: %d,%d", tokens, outputTokens),
			fmt.Sprintf("Prompt-Prefix: %s:100,%s:%d,%x:50", sharedPart, part, tokens-150, 0xa0000000+own),
		},
	}
}

var lastOwn atomic.Int64

// every sends requests from the entry VMs in turn until the end.
func every(f *fleet, gap time.Duration, until time.Time, send func(address string)) {
	var wg sync.WaitGroup
	for i := 0; time.Now().Before(until); i++ {
		address := f.vms[i%len(f.vms)].front
		wg.Go(func() { send(address) })
		time.Sleep(gap)
	}
	wg.Wait()
}

func isPoisonous(r *http.Request) bool {
	return strings.Contains(r.Header.Get("Prompt-Prefix"), ","+poisonPart)
}

// playFirstEvent has servers crash on a part of a prompt once they have begun to write an answer.
func playFirstEvent(f *fleet, r *recorder, trouble bool) error {
	return playPart(f, r, poisonPart, 1, trouble)
}

// playLongID has servers crash on a part with an id of 128 bits before they write anything.
func playLongID(f *fleet, r *recorder, trouble bool) error {
	return playPart(f, r, strings.Repeat(poisonPart, 4), 0, trouble)
}

// playPart has servers crash on a part of a prompt after a number of events.
func playPart(f *fleet, r *recorder, part string, events int, trouble bool) error {
	p := &poisonLog{r: r, limit: partCrashes}
	if err := publishEngines(f); err != nil {
		return err
	}
	for range 3 {
		_, err := f.addServer("nada-llm", "v1", func(s *server, w http.ResponseWriter, req *http.Request) {
			if !isPoisonous(req) {
				serveSoundStream(s, w, req)
				return
			}
			p.arrive(s, req)
			time.Sleep(poisonWork)
			if !trouble {
				s.beginStream(w, req)
				s.writeEvents(w, req, 1, outputEvents(req))
				return
			}
			if events > 0 {
				s.beginStream(w, req)
				s.writeEvents(w, req, 1, events)
			}
			p.crash(s, req)
		})
		if err != nil {
			return err
		}
	}
	if err := f.startVMs(len(zones)); err != nil {
		return err
	}
	time.Sleep(stability)
	return playPrompts(f, r, p, part)
}

// playPrompts sends poisonous and sound prompts of the same caller for a time.
func playPrompts(f *fleet, r *recorder, p *poisonLog, part string) error {
	until := time.Now().Add(promptsTime)
	var wg sync.WaitGroup
	var whole, sent atomic.Int64
	wg.Go(func() {
		every(f, soundGap, until, func(address string) {
			a := send(address, prompt(dossierPart, 9000))
			sent.Add(1)
			if a.isWhole() {
				whole.Add(1)
			}
			r.add("sound: %s", a.String())
		})
	})
	wg.Go(func() {
		time.Sleep(200 * time.Millisecond)
		every(f, poisonGap, until, func(address string) {
			a := send(address, prompt(part, 2000))
			r.add("poisonous: %s", a.String())
		})
	})
	wg.Wait()
	r.add("%d of %d sound requests were answered", whole.Load(), sent.Load())
	return p.result()
}

const (
	// lapseGap is the pause between two repeats of the same request, lapseWork the time until it crashes its server.
	lapseGap  = 100 * time.Millisecond
	lapseWork = 500 * time.Millisecond
	// lapseLength is the length of the play.
	lapseLength = 90 * time.Second
)

// playLapse sends the same request again and again; each server that runs it crashes.
func playLapse(f *fleet, r *recorder, trouble bool) error {
	p := &poisonLog{r: r, limit: requestCrashes}
	err := f.publish(
		[]map[string]any{{
			"name": "order", "host": host, "path_prefix": "/order/", "kind": "unsafe", "timeout_ms": 1500, "target_latency_ms": 300,
			"priority": 2, "service": "foundry-app", "attempts": 1,
		}},
		[]map[string]any{{"name": "foundry-app", "health_path": "/health", "connection_limit": 110}},
		[]map[string]any{{"name": "tenant-a", "api_keys": []string{"key-a"}}},
	)
	if err != nil {
		return err
	}
	for range 3 {
		_, err := f.addServer("foundry-app", "v1", func(s *server, w http.ResponseWriter, req *http.Request) {
			if req.URL.Path != "/order/poison" {
				time.Sleep(60 * time.Millisecond)
				serveDone(s, w, req)
				return
			}
			p.arrive(s, req)
			time.Sleep(lapseWork)
			if trouble {
				p.crash(s, req)
				return
			}
			serveDone(s, w, req)
		})
		if err != nil {
			return err
		}
	}
	if err := f.startVMs(len(zones)); err != nil {
		return err
	}
	time.Sleep(stability)
	until := time.Now().Add(lapseLength)
	var wg sync.WaitGroup
	var lost atomic.Int64
	wg.Go(func() {
		every(f, 50*time.Millisecond, until, func(address string) {
			a := send(address, request{method: http.MethodPost, target: "/order/sound", key: "key-a", body: "x", deadline: 1500 * time.Millisecond})
			if a.status != http.StatusServiceUnavailable && !a.isWhole() {
				lost.Add(1)
				r.add("sound: %s", a.String())
			}
		})
	})
	wg.Go(func() {
		every(f, lapseGap, until, func(address string) {
			a := send(address, request{method: http.MethodPost, target: "/order/poison", key: "key-a", body: "order 4711", deadline: 3 * time.Second})
			if a.status != http.StatusServiceUnavailable {
				r.add("poisonous: %s", a.String())
			}
		})
	})
	wg.Wait()
	r.add("%d sound requests were lost", lost.Load())
	return p.result()
}
