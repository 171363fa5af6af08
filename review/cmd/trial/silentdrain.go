//go:build review

package main

import (
	"sync"
	"time"
)

func init() { trials["silent-drain"] = silentDrain }

const (
	// removalDelay is the time from the silence until the store removes the entry of the server that leaves.
	removalDelay = stabilityWindow + 100*time.Millisecond
	// burstDelay is the time from the removal until many orders come at once to each entry VM of the other zone, burstSize how many.
	burstDelay = drainTime + 100*time.Millisecond
	burstSize  = 12
	// leaveTime is how long the leaving server serves after the store has removed its entry.
	leaveTime = drainTime + 200*time.Millisecond
)

// silentDrain silences all open connections between the entry VMs and the store, once. New connections work. Once they are in touch again a server of
// one zone leaves, which the entry VMs of the other zone use only under load: its entry is removed. After drainTime many orders
// come at once.
func silentDrain(t *trial) error {
	routes, services := ordersRoute()
	t.publish(routes, services, tenant(key))
	for range 2 {
		if _, err := t.addServer("orders", 250*time.Millisecond); err != nil {
			return err
		}
	}
	if err := t.startVMs(7); err != nil {
		return err
	}
	c := newClient(t)
	leaver := t.servers[1]
	var others []*vm
	for i := 0; i < len(t.vms); i += 2 {
		others = append(others, t.vms[i])
	}
	stop := time.Now().Add(12 * time.Second)
	var wg sync.WaitGroup
	wg.Go(func() { c.run(others[0], "/orders/1", 600*time.Millisecond, stop) })
	time.Sleep(4500 * time.Millisecond)
	silencedAt := time.Now()
	if t.trouble {
		for _, v := range t.vms {
			t.note("%d connections of %s to the store go silent", v.storeProxy.silence(), v.name)
		}
	}
	time.Sleep(time.Until(silencedAt.Add(removalDelay)))
	removedAt := leaver.leave()
	time.Sleep(time.Until(removedAt.Add(burstDelay)))
	for _, v := range others {
		for range burstSize {
			wg.Go(func() { c.order(v, "/orders/1", key) })
		}
	}
	time.Sleep(time.Until(removedAt.Add(leaveTime)))
	t.note("%s exits", leaver.id)
	leaver.exit()
	wg.Wait()
	requests, late, cut := c.requests(), 0, 0
	for _, a := range leaver.runs() {
		s := requests[a.id]
		if !a.at.After(removedAt.Add(drainTime)) || !s.at.After(silencedAt.Add(stabilityWindow)) {
			continue
		}
		late++
		if s.status/100 != 2 {
			cut++
		}
		t.note("order %s, sent %v after the silence, reached the leaving server %v after the store had removed it: status %d",
			s.id, s.at.Sub(silencedAt).Round(time.Millisecond), a.at.Sub(removedAt).Round(time.Millisecond), s.status)
	}
	t.note("%d orders reached the leaving server later than %v after the removal of its entry, %d of them were lost", late, drainTime, cut)
	if late > 0 {
		return errBroken
	}
	return nil
}
