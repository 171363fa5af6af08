//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// server is a sound server of a plain service. It runs any request that expects it.
type server struct {
	t        *trial
	id       string
	service  string
	address  string
	zone     string
	workTime time.Duration
	born     int64
	http     *http.Server

	mu       sync.Mutex
	sequence int
	// listed is set while the server writes its entry, leaving once its answers say that it leaves.
	listed, leaving bool
	arrivals        []arrival
	exited          bool
}

// arrival is a request that a server began to run.
type arrival struct {
	id string
	at time.Time
}

// addServer starts the next server of a service and writes its entry.
func (t *trial) addServer(service string, workTime time.Duration) (*server, error) {
	i := len(t.servers)
	s := &server{
		t: t, service: service, id: fmt.Sprintf("i-%04x", 0x7f30+i), address: fmt.Sprintf("%s:%d", t.ip(2, i), serverPort), zone: fmt.Sprintf("zone-%d", i%2),
		workTime: workTime, born: time.Now().UnixMilli(), listed: true,
	}
	l, err := net.Listen("tcp4", s.address)
	if err != nil {
		return nil, err
	}
	s.http = &http.Server{Handler: s}
	go func() { _ = s.http.Serve(l) }()
	t.servers = append(t.servers, s)
	s.beat()
	t.wg.Go(s.runBeats)
	return s, nil
}

func (s *server) runBeats() {
	ticker := time.NewTicker(beatInterval)
	defer ticker.Stop()
	for {
		select {
		case <-s.t.done:
			return
		case <-ticker.C:
			s.beat()
		}
	}
}

// beat writes the entry while the server is listed.
func (s *server) beat() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.listed {
		return
	}
	s.sequence++
	value, _ := json.Marshal(s.entry())
	s.t.store.Append("keyed.servers", s.id, value)
}

// entry is the server's entry. The caller holds mu.
func (s *server) entry() map[string]any {
	return map[string]any{
		"service": s.service, "address": s.address, "zone": s.zone, "version": "v1", "slots": 8, "state": "ready",
		"cold_remaining_ms": 0, "sequence": s.sequence, "born": s.born,
	}
}

// leave removes the entry of the server without reporting that it drains. From then on all its answers say that it leaves.
func (s *server) leave() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listed, s.leaving = false, true
	s.t.store.Append("keyed.servers", s.id, nil)
	s.t.note("the store removes the entry of %s, which leaves", s.id)
	return time.Now()
}

// exit ends the server and resets its connections.
func (s *server) exit() {
	s.mu.Lock()
	ended := s.exited
	s.exited, s.listed = true, false
	s.mu.Unlock()
	if !ended {
		_ = s.http.Close()
	}
}

// ServeHTTP implements http.Handler.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Request-Id")
	h := w.Header()
	if r.URL.Path == "/health" {
		h.Set("Instance-Id", s.id)
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	h.Set("Request-Id", id)
	if want := r.Header.Get("Expected-Instance"); want != "" && want != s.id {
		h.Set("Instance-Id", s.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	s.mu.Lock()
	s.arrivals = append(s.arrivals, arrival{id: id, at: time.Now()})
	s.mu.Unlock()
	s.t.note("%s of service %s runs %s for tenant %s", s.id, s.service, id, r.Header.Get("Tenant"))
	select {
	case <-r.Context().Done():
		s.t.note("%s drops %s: its connection has closed", s.id, id)
		return
	case <-time.After(s.workTime):
	}
	s.mu.Lock()
	if s.leaving {
		h.Set("Server-Leaving", "1")
	}
	s.mu.Unlock()
	h.Set("Response-Seal", "seal-of-"+id)
	fmt.Fprintf(w, "%s ran %s", s.service, id)
}

// runs returns the requests that the server began to run.
func (s *server) runs() []arrival {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]arrival(nil), s.arrivals...)
}
