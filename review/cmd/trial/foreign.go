//go:build review

package main

import (
	"encoding/json"
	"time"
)

func init() {
	trials["foreign-entry"] = foreignEntry
	trials["foreign-service"] = foreignService
}

const (
	// foreignDelay is the time from the removal of the server's entry until another writer writes one under its id.
	foreignDelay = 3 * time.Second
	// servingTime is how long the leaving server serves after its entry was removed.
	servingTime = 3200 * time.Millisecond
)

// foreignEntry has a server leave without reporting that it drains: its entry is removed and its answers say that it leaves. Then
// an entry of another writer appears under its id, without the fields cold_remaining_ms, sequence and born. Such an entry names no
// server to use.
func foreignEntry(t *trial) error {
	routes, services := ordersRoute()
	t.publish(routes, services, tenant(key))
	for range 3 {
		if _, err := t.addServer("orders", 400*time.Millisecond); err != nil {
			return err
		}
	}
	if err := t.startVMs(2); err != nil {
		return err
	}
	c := newClient(t)
	until := time.Now().Add(9 * time.Second)
	for _, v := range t.vms {
		t.wg.Go(func() { c.run(v, "/orders/1", 40*time.Millisecond, until) })
	}
	time.Sleep(3 * time.Second)
	leaver := t.servers[0]
	removedAt := leaver.leave()
	time.Sleep(time.Until(removedAt.Add(foreignDelay)))
	if t.trouble {
		leaver.writeForeign("orders")
	}
	time.Sleep(time.Until(removedAt.Add(servingTime)))
	t.note("%s exits", leaver.id)
	leaver.exit()
	time.Sleep(time.Until(until.Add(deadline)))
	return t.judgeLeaving(c, leaver, removedAt)
}

// awaitBeat waits until the server has written its entry once more.
func (s *server) awaitBeat() {
	for last := s.beats(); s.beats() == last; {
		time.Sleep(10 * time.Millisecond)
	}
}

func (s *server) beats() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.sequence
}

// writeForeign writes an entry of another writer under the id of the server, for a service: fields are missing.
func (s *server) writeForeign(service string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	entry := s.entry()
	entry["service"] = service
	for _, field := range []string{"cold_remaining_ms", "sequence", "born"} {
		delete(entry, field)
	}
	value, _ := json.Marshal(entry)
	s.t.store.Append("keyed.servers", s.id, value)
	s.t.note("another writer writes under %s: %s", s.id, value)
}

// judgeLeaving checks the rule DRAIN for announcements: no request that a client sent later than drainTime after the entry VM passed on an
// answer with Server-Leaving reaches the server from that entry VM.
func (t *trial) judgeLeaving(c *client, leaver *server, removedAt time.Time) error {
	requests := c.requests()
	told := map[*vm]time.Time{}
	for _, s := range requests {
		if at, known := told[s.vm]; s.leaving && (!known || s.answeredAt.Before(at)) {
			told[s.vm] = s.answeredAt
		}
	}
	for v, at := range told {
		t.note("%s passed on the first answer with Server-Leaving at %s", v.name, t.at(at))
	}
	late, cut := 0, 0
	for _, a := range leaver.runs() {
		s, known := requests[a.id]
		at, isTold := told[s.vm]
		if !known || !isTold || !s.at.After(at.Add(drainTime)) {
			continue
		}
		late++
		if s.status/100 != 2 {
			cut++
			t.note("order %s, sent %v after that, ran at the leaving server and was lost: status %d", s.id, s.at.Sub(at).Round(time.Millisecond), s.status)
		}
	}
	t.note("%d requests reached the leaving server later than %v after Server-Leaving, %d of them got no answer of it; its entry was removed at %s", late, drainTime, cut, t.at(removedAt))
	if late > 0 {
		return errBroken
	}
	return nil
}

// foreignService has an entry of another writer appear under the id of a sound server of the service "kiln". It names the service
// "orders" and lacks the fields cold_remaining_ms, sequence and born. Such an entry names no server to use.
func foreignService(t *trial) error {
	routes, services := ordersRoute()
	routes = append(routes, map[string]any{
		"name": "r-kiln", "host": host, "path_prefix": "/kiln/", "kind": "safe", "timeout_ms": 3000, "target_latency_ms": 300,
		"priority": 1, "service": "kiln", "attempts": 2, "public": false, "sticky_sessions": false, "stream_resumption": false,
	})
	services = append(services, map[string]any{"name": "kiln", "health_path": "/health", "connection_limit": 110, "protocol": "h1", "tls": false})
	t.publish(routes, services, tenant(key))
	for _, service := range []string{"orders", "orders", "orders", "kiln", "kiln"} {
		if _, err := t.addServer(service, 60*time.Millisecond); err != nil {
			return err
		}
	}
	if err := t.startVMs(2); err != nil {
		return err
	}
	c := newClient(t)
	until := time.Now().Add(8 * time.Second)
	for _, v := range t.vms {
		t.wg.Go(func() { c.run(v, "/orders/1", 40*time.Millisecond, until) })
	}
	time.Sleep(4 * time.Second)
	wrong := t.servers[3]
	wrong.awaitBeat()
	if t.trouble {
		wrong.writeForeign("orders")
	}
	time.Sleep(time.Until(until.Add(deadline)))
	requests, ran, answered := c.requests(), 0, 0
	for _, a := range wrong.runs() {
		s := requests[a.id]
		ran++
		if s.status/100 == 2 {
			answered++
		}
	}
	t.note("%d orders ran at %s, a server of kiln; for %d of them the client got its answer as a success", ran, wrong.id, answered)
	if ran > 0 {
		return errBroken
	}
	return nil
}
