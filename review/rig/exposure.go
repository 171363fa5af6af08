//go:build review

package main

import (
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// exposureVMs is the number of entry VMs, exposureServers that of the servers of each version.
	exposureVMs     = 8
	exposureServers = 3
	// exposureDuration is the time of the roll-out, exposureGap the pause between two requests.
	exposureDuration = 12 * time.Second
	exposureGap      = 25 * time.Millisecond
	// exposureShare and exposureSlack are the bounds of the settings.
	exposureShare = 0.1
	exposureSlack = 50
	// badPortion of the answers of the new version are failures, usualPortion of those of the old one.
	badPortion   = 0.05
	usualPortion = 0.004
)

// playExposure rolls out a version of which more answers are failures than of the old one.
func playExposure(f *fleet, r *recorder, trouble bool) error {
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
	var all, exposed, failures atomic.Int64
	var ordered, deadline time.Time
	var mu sync.Mutex
	serve := func(isNew bool) func(s *server, w http.ResponseWriter, req *http.Request) {
		return func(s *server, w http.ResponseWriter, req *http.Request) {
			mu.Lock()
			now := time.Now()
			counts := !ordered.IsZero() && now.Before(deadline)
			mu.Unlock()
			if counts {
				all.Add(1)
				if isNew {
					exposed.Add(1)
				}
			}
			time.Sleep(time.Duration(40+rand.IntN(40)) * time.Millisecond)
			w.Header().Set("Response-Seal", s.seal(req))
			portion := usualPortion
			if trouble && isNew {
				portion = badPortion
			}
			if rand.Float64() < portion {
				if isNew {
					failures.Add(1)
				}
				w.WriteHeader(http.StatusInternalServerError)
				return
			}
			_, _ = w.Write([]byte("done"))
		}
	}
	for range exposureServers {
		if _, err := f.addServer("foundry-app", "v1", serve(false)); err != nil {
			return err
		}
	}
	if err := f.startVMs(exposureVMs); err != nil {
		return err
	}
	until := time.Now().Add(stability + exposureDuration + 3*time.Second)
	var wg sync.WaitGroup
	wg.Go(func() {
		every(f, exposureGap, until, func(address string) {
			a := send(address, request{method: http.MethodPost, target: "/order/1", key: "key-a", body: "x", deadline: 3 * time.Second})
			r.add("%s", a.String())
		})
	})
	time.Sleep(stability)
	for range exposureServers {
		if _, err := f.addServer("foundry-app", "v2", serve(true)); err != nil {
			return err
		}
	}
	order, err := json.Marshal(map[string]any{"service": "foundry-app", "target": "v2", "duration_s": exposureDuration.Seconds()})
	if err != nil {
		return err
	}
	mu.Lock()
	ordered, deadline = time.Now(), time.Now().Add(exposureDuration)
	mu.Unlock()
	f.store.Append("keyed.op", "rollout/foundry-app", order)
	r.add("order of the roll-out")
	wg.Wait()
	allowed := exposureShare*float64(all.Load()) + exposureSlack
	r.add("the new version got %d of %d requests between the order and its deadline, %d of them failed; allowed %.0f", exposed.Load(), all.Load(), failures.Load(), allowed)
	if trouble && float64(exposed.Load()) > allowed {
		return errBroken
	}
	return nil
}
