//go:build review

package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// eventTokens is the number of tokens in an event of a stream (stride), eventGap the pause between two.
	eventTokens = 4
	eventGap    = 3 * time.Millisecond
	// inputTokens and outputTokens are the tokens of each call.
	inputTokens, outputTokens = 400, 80
	// firstRequestID is the number of the first request id.
	firstRequestID = 0x5a0000000000
)

// engine is a sound model server of the service "llm".
type engine struct {
	t       *trial
	id      string
	address string
	born    int64
	http    *http.Server

	mu       sync.Mutex
	sequence int
}

// startEngine starts a model server and writes its entry each beatInterval.
func (t *trial) startEngine(i int) (*engine, error) {
	e := &engine{t: t, id: fmt.Sprintf("i-%04x", 0x9c40+i), address: fmt.Sprintf("%s:%d", t.ip(6, i), serverPort), born: time.Now().UnixMilli()}
	l, err := net.Listen("tcp4", e.address)
	if err != nil {
		return nil, err
	}
	e.http = &http.Server{Handler: e}
	go func() { _ = e.http.Serve(l) }()
	t.wg.Go(e.runBeats)
	return e, nil
}

func (e *engine) runBeats() {
	ticker := time.NewTicker(beatInterval)
	defer ticker.Stop()
	for {
		e.beat()
		select {
		case <-e.t.done:
			_ = e.http.Close()
			return
		case <-ticker.C:
		}
	}
}

func (e *engine) beat() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.sequence++
	value, _ := json.Marshal(map[string]any{
		"service": "llm", "address": e.address, "zone": "zone-0", "version": "v1", "slots": 128, "state": "ready", "cold_remaining_ms": 0,
		"stage": "both", "models": []map[string]any{{"name": "m", "version": 1, "adapters": []string{}}}, "sequence": e.sequence, "born": e.born,
	})
	e.t.store.Append("keyed.servers", e.id, value)
}

// ServeHTTP implements http.Handler.
func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Request-Id")
	_, _ = io.Copy(io.Discard, r.Body)
	h := w.Header()
	h.Set("Request-Id", id)
	if want := r.Header.Get("Expected-Instance"); want != "" && want != e.id {
		h.Set("Instance-Id", e.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	h.Set("Response-Seal", "seal-of-"+id)
	h.Set("Content-Type", "text/event-stream")
	for n := 1; n <= outputTokens/eventTokens; n++ {
		fmt.Fprintf(w, "id: %d\ndata: %s-%d\n\n", n, id, n)
		if http.NewResponseController(w).Flush() != nil || r.Context().Err() != nil {
			return
		}
		time.Sleep(eventGap)
	}
}

// usage counts what the tenants got.
type usage struct {
	// next is the number of calls so far.
	next atomic.Int64

	mu sync.Mutex
	// delivered are the tokens that each tenant got: the input of each answered call and the output delivered.
	delivered map[string]int64
	statuses  map[string]map[int]int
}

// ask sends one streaming call of a tenant and counts what it gets.
func (u *usage) ask(t *trial, c *http.Client, v *vm, name, id string) {
	r, _ := http.NewRequest(http.MethodPost, fmt.Sprintf("http://%s:%d/ask/1", v.ip, frontPort), io.NopCloser(strings.NewReader("prompt")))
	r.ContentLength, r.Host = 6, host
	r.Header.Set("Request-Id", id)
	r.Header.Set("Authorization", "Bearer key-of-"+name)
	r.Header.Set("Deadline-Milliseconds", "5000")
	r.Header.Set("Model", "m")
	r.Header.Set("Token-Counts", fmt.Sprintf("%d,%d", inputTokens, outputTokens))
	r.Header.Set("Prompt-Prefix", fmt.Sprintf("5c1e07a2:%d,%s:%d", inputTokens/2, id, inputTokens/2))
	resp, err := c.Do(r)
	if err != nil {
		t.note("%s of %s to %s: %v", id, name, v.name, err)
		return
	}
	defer func() { _ = resp.Body.Close() }()
	events := int64(0)
	for lines := bufio.NewScanner(resp.Body); lines.Scan(); {
		if strings.HasPrefix(lines.Text(), "data:") {
			events++
		}
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.statuses[name] == nil {
		u.statuses[name] = map[int]int{}
	}
	u.statuses[name][resp.StatusCode]++
	if resp.StatusCode/100 == 2 {
		u.delivered[name] += inputTokens + events*eventTokens
		t.note("%s of %s to %s: status %d, %d events, %d tokens so far", id, name, v.name, resp.StatusCode, events, u.delivered[name])
	}
}

// askRoute is the configuration of one streaming route.
func askRoute() (routes, services []map[string]any) {
	routes = []map[string]any{{
		"name": "r-ask", "host": host, "path_prefix": "/ask/", "kind": "streaming", "timeout_ms": 5000, "target_latency_ms": 500,
		"priority": 0, "service": "llm", "attempts": 1, "public": false, "sticky_sessions": true, "stream_resumption": false, "target_gap_ms": 250,
	}}
	services = []map[string]any{{
		"name": "llm", "health_path": "/health", "connection_limit": 620, "protocol": "h1", "tls": false,
		"engine": map[string]any{"slots": 128, "kv_cache_tokens": 497141, "kv_token_bytes": 35136, "link_mbps": 740000.0, "stride": eventTokens, "models": []map[string]any{{"name": "m"}}},
	}}
	return routes, services
}

// runAsks sends calls of all tenants in turn to the entry VMs that are up until stopped.
func (u *usage) runAsks(t *trial, names []string, up func(i int) *vm, interval time.Duration, stop <-chan struct{}) {
	c := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 16, DisableCompression: true}}
	var wg sync.WaitGroup
	for i := 0; ; i++ {
		select {
		case <-stop:
			wg.Wait()
			return
		case <-time.After(interval):
		}
		v := up(i / len(names))
		id := strconv.FormatInt(firstRequestID+u.next.Add(1), 16)
		wg.Go(func() { u.ask(t, c, v, names[i%len(names)], id) })
	}
}
