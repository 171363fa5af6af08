//go:build review

package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"ibiswinch/standin/keyedlog"
)

const (
	// heartbeat is the time between two entries that a server writes.
	heartbeat = time.Second
	// restartTime is how long a server that has crashed is down.
	restartTime = 2 * time.Second
	// eventTokens is the number of tokens of an event, eventGap the pause between two events.
	eventTokens = 4
	eventGap    = 10 * time.Millisecond
)

// server is a backend server that registers in the store. A start of it is a new incarnation under the same id.
type server struct {
	id, service, zone, version string
	listen                     string
	store                      *keyedlog.Server
	// serve runs the requests that are meant for this server.
	serve func(s *server, w http.ResponseWriter, r *http.Request)
	// serveConn, if it is set, speaks on the connections in place of serve.
	serveConn func(c net.Conn)

	mu       sync.Mutex
	http     *http.Server
	conns    map[net.Conn]bool
	born     int64
	sequence int
	isUp     bool
	stopped  bool
}

// addServer starts a server of a service.
func (f *fleet) addServer(service, version string, serve func(*server, http.ResponseWriter, *http.Request)) (*server, error) {
	return f.add(&server{service: service, version: version, serve: serve})
}

// add starts a server with a service and what serves its requests.
func (f *fleet) add(s *server) (*server, error) {
	i := len(f.servers)
	ip := f.ip(kindServer, i)
	ports, err := freePorts(ip, 1)
	if err != nil {
		return nil, err
	}
	s.id, s.zone, s.listen, s.store = fmt.Sprintf("i-%04d", i), zones[i%len(zones)], fmt.Sprintf("%s:%d", ip, ports[0]), f.store
	if err := s.start(); err != nil {
		return nil, err
	}
	f.servers = append(f.servers, s)
	f.wg.Go(func() { s.runHeartbeats(f.done) })
	return s, nil
}

// start starts a new incarnation and registers it.
func (s *server) start() error {
	l, err := net.Listen("tcp4", s.listen)
	for deadline := time.Now().Add(time.Second); errors.Is(err, syscall.EADDRINUSE) && time.Now().Before(deadline); {
		time.Sleep(10 * time.Millisecond)
		l, err = net.Listen("tcp4", s.listen)
	}
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopped {
		return l.Close()
	}
	s.conns = map[net.Conn]bool{}
	conns := s.conns
	s.http = &http.Server{Handler: s, ConnState: func(c net.Conn, state http.ConnState) {
		s.mu.Lock()
		defer s.mu.Unlock()
		switch state {
		case http.StateNew:
			conns[c] = true
		case http.StateClosed:
			delete(conns, c)
		}
	}}
	s.born, s.sequence, s.isUp = time.Now().UnixMilli(), 0, true
	server := s.http
	if s.serveConn != nil {
		l = &rawListener{Listener: l, serve: s.serveConn}
	}
	go func() { _ = server.Serve(l) }()
	s.writeEntry()
	return nil
}

// writeEntry registers the server. The caller holds mu.
func (s *server) writeEntry() {
	s.sequence++
	// Maps of strings and numbers always encode.
	value, _ := json.Marshal(map[string]any{
		"service": s.service, "address": s.listen, "zone": s.zone, "version": s.version, "slots": 128, "state": "ready",
		"cold_remaining_ms": 0, "sequence": s.sequence, "born": s.born,
	})
	s.store.Append("keyed.servers", s.id, value)
}

func (s *server) runHeartbeats(done <-chan struct{}) {
	ticker := time.NewTicker(heartbeat)
	defer ticker.Stop()
	for {
		select {
		case <-done:
			return
		case <-ticker.C:
		}
		s.mu.Lock()
		if s.isUp {
			s.writeEntry()
		}
		s.mu.Unlock()
	}
}

// crash ends the process of the server: its connections are reset and its port refuses others until it is back. It reports false if the
// server was down already.
func (s *server) crash() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.isUp {
		return false
	}
	s.isUp = false
	for c := range s.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
	server := s.http
	go func() {
		_ = server.Close()
		time.Sleep(restartTime)
		_ = s.start()
	}()
	return true
}

func (s *server) stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopped, s.isUp = true, false
	_ = s.http.Close()
}

// ServeHTTP implements http.Handler.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
	if expected := r.Header.Get("Expected-Instance"); expected != "" && expected != s.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if r.Header.Get("Request-Id") == "" {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.serve(s, w, r)
}

// seal is the signature of a server's answers.
func (s *server) seal(r *http.Request) string {
	return "seal." + s.id + "." + r.Header.Get("Request-Id")
}

// beginStream writes the head of a stream.
func (s *server) beginStream(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Response-Seal", s.seal(r))
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
}

// writeEvents writes the events from number first to last.
func (s *server) writeEvents(w http.ResponseWriter, r *http.Request, first, last int) {
	for i := first; i <= last; i++ {
		fmt.Fprintf(w, "id: %d\ndata: %s-%d\n\n", i, r.Header.Get("Request-Id"), i)
		if http.NewResponseController(w).Flush() != nil {
			return
		}
		time.Sleep(eventGap)
	}
}

// outputEvents is the number of events of the output that a request asks for.
func outputEvents(r *http.Request) int {
	_, output, _ := strings.Cut(r.Header.Get("Token-Counts"), ",")
	tokens, _ := strconv.Atoi(output)
	return tokens / eventTokens
}

// rawListener hands its connections to serve; the HTTP server that accepts from it gets none.
type rawListener struct {
	net.Listener
	serve func(c net.Conn)
}

// Accept implements net.Listener.
func (l *rawListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		go l.serve(c)
	}
}
