//go:build review

package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	// slashPrepaid is the budget of the tenant. It is asked for several times as much.
	slashPrepaid = 60_000
	slashInput   = 500
	slashOutput  = 40
	slashSends   = 600
	slashGap     = 40 * time.Millisecond
)

// playSlash adds a tenant in a new version of the configuration and lets it use up its budget. With trouble its name has a slash.
func playSlash(f *fleet, r *recorder, trouble bool) error {
	tenant := "kochi/temples"
	if !trouble {
		tenant = "kochi-temples"
	}
	tenants := []map[string]any{{"name": "exports", "api_keys": []string{"key-0"}, "prepaid": slashPrepaid}}
	if err := publishSlash(f, tenants); err != nil {
		return err
	}
	for range 3 {
		if _, err := f.addServer("nada-llm", "v1", serveSoundStream); err != nil {
			return err
		}
	}
	if err := f.startVMs(len(zones)); err != nil {
		return err
	}
	if err := publishSlash(f, append(tenants, map[string]any{"name": tenant, "api_keys": []string{"key-1"}, "prepaid": slashPrepaid})); err != nil {
		return err
	}
	r.add("a configuration adds tenant %q", tenant)
	time.Sleep(stability)
	var wg sync.WaitGroup
	var mu sync.Mutex
	used, refused := 0, 0
	for i := range slashSends {
		wg.Go(func() {
			a := send(f.vms[i%len(f.vms)].front, request{
				method: http.MethodPost, target: "/dossier/1", key: "key-1", body: "x", deadline: 5 * time.Second,
				headers: []string{
					"Model: m", fmt.Sprintf("Token-Counts: %d,%d", slashInput, slashOutput), fmt.Sprintf("Prompt-Prefix: 5c1e07a2:400,%x:100", 0xa000+i),
				},
			})
			tokens := 0
			if a.status == http.StatusOK {
				tokens = slashInput + eventTokens*a.events()
			}
			mu.Lock()
			defer mu.Unlock()
			used += tokens
			if tokens == 0 {
				refused++
			}
			r.add("%s: %s, %d tokens delivered, %d in all", f.vms[i%len(f.vms)].name, a.String(), tokens, used)
		})
		time.Sleep(slashGap)
	}
	wg.Wait()
	r.add("tenant %q: prepaid %d, delivered %d; %d of %d requests got nothing", tenant, slashPrepaid, used, refused, slashSends)
	if used > slashPrepaid {
		return errBroken
	}
	return nil
}

// publishSlash publishes a route to model servers for some tenants.
func publishSlash(f *fleet, tenants []map[string]any) error {
	return f.publish(
		[]map[string]any{{
			"name": "dossier", "host": host, "path_prefix": "/dossier/", "kind": "streaming", "timeout_ms": 5000, "target_latency_ms": 500,
			"target_gap_ms": 250, "priority": 1, "service": "nada-llm", "attempts": 1, "stream_resumption": false, "sticky_sessions": true,
		}},
		[]map[string]any{{
			"name": "nada-llm", "health_path": "/health", "connection_limit": 620,
			"engine": map[string]any{"slots": 128, "kv_cache_tokens": 497141, "stride": eventTokens},
		}},
		tenants,
	)
}

// serveSoundStream answers with the whole output that the request asks for.
func serveSoundStream(s *server, w http.ResponseWriter, r *http.Request) {
	time.Sleep(20 * time.Millisecond)
	s.beginStream(w, r)
	s.writeEvents(w, r, 1, outputEvents(r))
}
