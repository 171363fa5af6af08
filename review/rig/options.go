//go:build review

package main

import (
	"net/http"
	"time"
)

const optionsSends = 20

// playOptions sends requests with the target "*", which no route matches.
func playOptions(f *fleet, r *recorder, trouble bool) error {
	err := f.publish(
		[]map[string]any{{
			"name": "status", "host": host, "path_prefix": "/status/", "kind": "safe", "timeout_ms": 1500, "target_latency_ms": 300,
			"priority": 2, "service": "foundry-app", "attempts": 2,
		}},
		[]map[string]any{{"name": "foundry-app", "health_path": "/health", "connection_limit": 110}},
		[]map[string]any{{"name": "tenant-a", "api_keys": []string{"key-a"}}},
	)
	if err != nil {
		return err
	}
	if _, err := f.addServer("foundry-app", "v1", serveDone); err != nil {
		return err
	}
	if err := f.startVMs(len(zones)); err != nil {
		return err
	}
	target := "*"
	if !trouble {
		target = "/other/"
	}
	unsealed := 0
	for i := range optionsSends {
		a := send(f.vms[i%len(f.vms)].front, request{method: http.MethodOptions, target: target, deadline: 3 * time.Second})
		r.add("OPTIONS %s: %s, seal %q", target, a.String(), a.seal)
		if a.err == nil && a.status/100 == 2 && a.seal == "" {
			unsealed++
		}
	}
	r.add("%d successes without a server's signature", unsealed)
	if unsealed > 0 {
		return errBroken
	}
	return nil
}

// serveDone answers at once.
func serveDone(s *server, w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Response-Seal", s.seal(r))
	_, _ = w.Write([]byte("done"))
}
