//go:build review

package main

import (
	"maps"
	"slices"
	"sync"
	"time"
)

func init() { trials["silent-config"] = silentConfig }

// droppedPath is on a route that the second configuration drops.
const droppedPath = "/returns/1"

// margin keeps requests clear of the end of the stability window.
const margin = 50 * time.Millisecond

// silentConfig silences all open connections between the entry VMs and the store, once. New connections work. Right after that a
// configuration drops a route.
func silentConfig(t *trial) error {
	routes, services := ordersRoute()
	dropped := maps.Clone(routes[0])
	dropped["name"], dropped["path_prefix"] = "r-returns", "/returns/"
	t.publish(append(slices.Clone(routes), dropped), services, tenant(key))
	for range 3 {
		if _, err := t.addServer("orders", 20*time.Millisecond); err != nil {
			return err
		}
	}
	if err := t.startVMs(7); err != nil {
		return err
	}
	c := newClient(t)
	until := time.Now().Add(11 * time.Second)
	for _, v := range t.vms {
		t.wg.Go(func() { c.run(v, "/orders/1", 100*time.Millisecond, until) })
	}
	time.Sleep(4200 * time.Millisecond)
	silencedAt := time.Now()
	if t.trouble {
		for _, v := range t.vms {
			t.note("%d connections of %s to the store go silent", v.storeProxy.silence(), v.name)
		}
	}
	time.Sleep(200 * time.Millisecond)
	acceptedAt := t.publish(routes, services, tenant(key))
	// Bounds hold again for machines that are in touch, and later than configApplyTime after the acceptance.
	from := silencedAt.Add(stabilityWindow + margin)
	if applied := acceptedAt.Add(configApplyTime); applied.After(from) {
		from = applied
	}
	time.Sleep(time.Until(silencedAt.Add(500 * time.Millisecond)))
	broken := 0
	var mu sync.Mutex
	var wg sync.WaitGroup
	for _, v := range t.vms {
		wg.Go(func() {
			var last time.Time
			for time.Now().Before(from.Add(4 * time.Second)) {
				s := c.order(v, droppedPath, key)
				if s.status == 200 {
					last = s.at
					if s.at.After(from) {
						mu.Lock()
						broken++
						mu.Unlock()
					}
				}
				time.Sleep(30 * time.Millisecond)
			}
			t.note("%s ran the last request on the dropped route that was sent %.3f s after the connections went silent", v.name, last.Sub(silencedAt).Seconds())
		})
	}
	wg.Wait()
	t.note("%d requests on the dropped route ran too late", broken)
	if broken > 0 {
		return errBroken
	}
	return nil
}
