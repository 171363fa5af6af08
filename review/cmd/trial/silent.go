//go:build review

package main

import (
	"sync"
	"time"
)

func init() { trials["silent-config"] = silentConfig }

const revokedKey = "wsjnbanfqasnmgkcuyj8"

// silentConfig silences all open connections between the entry VMs and the store, once. New connections work. Right after that a
// key is taken away.
func silentConfig(t *trial) error {
	routes, services := ordersRoute()
	t.publish(routes, services, tenant(key, revokedKey))
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
	time.Sleep(4500 * time.Millisecond)
	silencedAt := time.Now()
	if t.trouble {
		for _, v := range t.vms {
			t.note("%d connections of %s to the store go silent", v.storeProxy.silence(), v.name)
		}
	}
	time.Sleep(200 * time.Millisecond)
	acceptedAt := t.publish(routes, services, tenant(key))
	// Bounds hold again for machines that are in touch, and later than configApplyTime after the acceptance.
	from := silencedAt.Add(stabilityWindow)
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
				s := c.order(v, "/orders/2", revokedKey)
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
			t.note("%s ran the last order with the revoked key that was sent %.3f s after the connections went silent", v.name, last.Sub(silencedAt).Seconds())
		})
	}
	wg.Wait()
	t.note("%d orders with a key that was taken away ran too late", broken)
	if broken > 0 {
		return errBroken
	}
	return nil
}
