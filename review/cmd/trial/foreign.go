//go:build review

package main

import (
	"encoding/json"
	"time"
)

func init() { trials["foreign-entry"] = foreignEntry }

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
		if _, err := t.addServer(400 * time.Millisecond); err != nil {
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
		leaver.writeForeign()
	}
	time.Sleep(time.Until(removedAt.Add(servingTime)))
	t.note("%s exits", leaver.id)
	leaver.exit()
	time.Sleep(time.Until(until.Add(deadline)))
	return t.judgeLeaving(c, leaver, removedAt)
}

// writeForeign writes an entry of another writer under the id of the server: fields are missing.
func (s *server) writeForeign() {
	s.mu.Lock()
	defer s.mu.Unlock()
	entry := s.entry()
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
