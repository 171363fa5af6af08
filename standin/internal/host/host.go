// Package host runs an HTTP handler on a listener that can be closed and reopened at the same address, to simulate a
// process that crashes and restarts. It also holds helpers for the handlers of the stand-ins.
package host

import (
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

const (
	// While the host is down, another socket may take its port as an ephemeral port, so Up retries for 1 s.
	listenAttempts   = 50
	listenRetryDelay = 20 * time.Millisecond

	readHeaderTimeout = 10 * time.Second
)

// ErrClosed is returned by Up after Close or before Start.
var ErrClosed = eris.New("host is closed or was never started")

// Host serves a handler. It is safe for concurrent use.
type Host struct {
	handler http.Handler

	mu sync.Mutex
	// address is the address of the first listener, which Up listens on again.
	address net.Addr
	// server and listener are nil while the host is down.
	server   *http.Server
	listener net.Listener
	// serveDone is closed when server.Serve has returned.
	serveDone chan struct{}
	// restartTimer calls Up; nil if no restart is scheduled.
	restartTimer *time.Timer
	closed       bool
	// done is closed by Close.
	done chan struct{}
}

// New returns a host that does not serve yet.
func New(handler http.Handler) *Host {
	return &Host{handler: handler, done: make(chan struct{})}
}

// Start serves on l in the background.
func (h *Host) Start(l net.Listener) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.address = l.Addr()
	h.serve(l)
}

// Serve serves on l until Close.
func (h *Host) Serve(l net.Listener) {
	h.Start(l)
	<-h.done
}

// serve starts a server on l. The caller holds mu.
func (h *Host) serve(l net.Listener) {
	server := &http.Server{Handler: h.handler, ReadHeaderTimeout: readHeaderTimeout}
	serveDone := make(chan struct{})
	h.server, h.listener, h.serveDone = server, l, serveDone
	go func() {
		defer close(serveDone)
		_ = server.Serve(l)
	}()
}

// Down closes the listener and all connections. New connections are refused until Up.
func (h *Host) Down() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.down()
}

// DownUntil calls Down, and Up at the given time.
func (h *Host) DownUntil(until time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.down()
	if h.closed {
		return
	}
	h.restartTimer = time.AfterFunc(time.Until(until), func() { _ = h.Up() })
}

// down closes the listener and the server, and cancels a scheduled restart. The caller holds mu.
func (h *Host) down() {
	if h.restartTimer != nil {
		h.restartTimer.Stop()
		h.restartTimer = nil
	}
	if h.server == nil {
		return
	}
	// Serve may not have started yet, or may be accepting a connection. Only after it has returned does server.Close
	// know all connections.
	_ = h.listener.Close()
	<-h.serveDone
	_ = h.server.Close()
	h.server, h.listener = nil, nil
}

// Up listens at the first address again. It does nothing if the host is up.
func (h *Host) Up() error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.closed || h.address == nil {
		return ErrClosed
	}
	if h.server != nil {
		return nil
	}
	var l net.Listener
	var err error
	for range listenAttempts {
		l, err = net.Listen(h.address.Network(), h.address.String())
		if err == nil {
			h.serve(l)
			return nil
		}
		time.Sleep(listenRetryDelay)
	}
	return eris.Wrap(err, "reopen listener")
}

// IsUp reports whether connections are accepted.
func (h *Host) IsUp() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.server != nil
}

// Close takes the host down; it can't be brought up again.
func (h *Host) Close() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.closed {
		return
	}
	h.down()
	h.closed = true
	close(h.done)
}
