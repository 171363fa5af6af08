package main

import (
	"context"
	"encoding/json"
	"errors"
	"math"
	"net"
	"net/http"
	"net/netip"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"ibiswinch/core/catalog"
	"ibiswinch/core/event"
	"ibiswinch/core/memory"
	"ibiswinch/core/sockets"
	"ibiswinch/io/apexlog"
	"ibiswinch/io/inbound"
	"ibiswinch/io/peer"
	"ibiswinch/io/tcp"
	"ibiswinch/platform"
)

const (
	// maxCallerHeaderBytes bounds the headers of a caller beyond the limits of the configuration.
	maxCallerHeaderBytes = 64 << 10
	// headerTimeout applies unless the configuration sets a longer one, up to maxHeaderTimeout. A shorter one would end requests that
	// an overloaded entry VM reads late.
	headerTimeout    = 5 * time.Second
	maxHeaderTimeout = 60 * time.Second
	// callerIdleTimeout is longer than the time for which callers reuse an idle connection. It applies unless the configuration sets
	// another one, up to maxCallerIdleTimeout.
	callerIdleTimeout    = 90 * time.Second
	maxCallerIdleTimeout = 15 * time.Minute
	// inspectionHeadBytes bounds the head of a request for readiness, metrics or state, and of calls of other entry VMs.
	inspectionHeadBytes = 4 << 10
	// inspectionTimeout bounds the time for the whole request, and for its answer.
	inspectionTimeout = 5 * time.Second
	// inspectionIdleTimeout is longer than the time between two checks or reads of the metrics. peerIdleTimeout is longer than the time
	// for which entry VMs keep idle connections.
	inspectionIdleTimeout = 30 * time.Second
	peerIdleTimeout       = 100 * time.Second
)

// newSocketLimits divides the sockets of a process. Without a number in the settings that of the operating system holds.
func newSocketLimits(s platform.Settings) sockets.Limits {
	files := s.FileDescriptors
	var limit syscall.Rlimit
	if files == 0 && syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit) == nil {
		files = int(min(limit.Cur, math.MaxInt32))
	}
	return sockets.Divide(files, memory.Divide(s.MemoryBytes))
}

// server serves one listener.
type server interface {
	Serve(l net.Listener) error
}

// startServers opens the listeners and serves them. It returns the server of the callers.
func (p *platformProcess) startServers() (*http.Server, error) {
	callerServer := p.newCallerServer()
	listenConfig := net.ListenConfig{Control: tcp.Options{ReceiveBytes: p.sockets.ReceiveBytes}.Control}
	servers := []struct {
		address  netip.AddrPort
		server   server
		listener net.Listener
	}{
		{address: p.settings.CallerAddress, server: callerServer},
		{address: p.settings.PeerAddress, server: p.newPeerServer()},
		{address: p.settings.ReadinessAddress, server: p.newInspectionServer(http.HandlerFunc(p.serveReadiness))},
		{address: netip.AddrPortFrom(p.settings.Address, metricsPort), server: p.newInspectionServer(p.inspectionMux())},
	}
	// Nothing is served before all listeners are open: without one of them the process ends.
	for i, s := range servers {
		listener, err := listenConfig.Listen(context.Background(), "tcp4", s.address.String())
		if err != nil {
			for _, opened := range servers[:i] {
				_ = opened.listener.Close()
			}
			return nil, eris.Wrapf(err, "listen at %s", s.address)
		}
		if s.server == callerServer {
			listener = p.callers.WrapListener(p.traffic.WrapListener(listener))
			p.callerListener = listener
		}
		servers[i].listener = listener
	}
	for _, s := range servers {
		go p.runServer(s.server, s.listener)
	}
	return callerServer, nil
}

func (p *platformProcess) newCallerServer() *http.Server {
	p.callers.Dropped, p.callers.HeaderTimeout, p.callers.IdleTimeout = p.logDropped, p.headerTimeout, p.idleTimeout
	p.callers.WideBuffers = p.wideBuffers
	p.callers.Limits = inbound.NewLimits(p.sockets.Callers, p.memory)
	return &http.Server{
		Handler:           &platform.CallerHandler{Gateway: p.gateway, Now: time.Now, ShouldCloseConnection: p.gateway.ShouldCloseConnection, Incoming: p.incoming},
		ConnContext:       platform.ConnContext,
		ReadHeaderTimeout: maxHeaderTimeout, IdleTimeout: maxCallerIdleTimeout, MaxHeaderBytes: maxCallerHeaderBytes,
		ConnState: p.callers.SetState,
		// net/http would answer OPTIONS * itself, without a signature.
		DisableGeneralOptionsHandler: true,
	}
}

func (p *platformProcess) newPeerServer() *inbound.Server {
	return inbound.NewServer(inbound.ServerConfig{
		Handler: peer.NewPoolHandler(p.gateway, p.memory), Memory: p.memory, MaxConnections: p.sockets.Peers, WideBuffers: p.wideBuffers, MaxHeadBytes: inspectionHeadBytes,
		HeaderTimeout: headerTimeout, RequestTimeout: inspectionTimeout, IdleTimeout: peerIdleTimeout,
	})
}

// newInspectionServer returns a server of one of the listeners for readiness, metrics and state.
func (p *platformProcess) newInspectionServer(h http.Handler) *inbound.Server {
	return inbound.NewServer(inbound.ServerConfig{
		Handler: h, Memory: p.memory, MaxConnections: p.sockets.Inspection, MaxHeadBytes: inspectionHeadBytes,
		HeaderTimeout: headerTimeout, RequestTimeout: inspectionTimeout, WriteTimeout: inspectionTimeout, IdleTimeout: inspectionIdleTimeout,
	})
}

func (p *platformProcess) serveReadiness(w http.ResponseWriter, _ *http.Request) {
	if !p.gateway.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// inspectionMux serves metrics and state.
func (p *platformProcess) inspectionMux() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(metricsPath, p.metrics.Handler())
	mux.HandleFunc("/state", func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(p.gateway.Dump())
	})
	return mux
}

// headerTimeout is how long the head of a caller's request may take.
func (p *platformProcess) headerTimeout() time.Duration {
	return min(max(p.callerLimits().HeaderTimeout, headerTimeout), maxHeaderTimeout)
}

// idleTimeout is how long a caller's connection may be idle.
func (p *platformProcess) idleTimeout() time.Duration {
	if configured := p.callerLimits().IdleTimeout; configured > 0 {
		return configured
	}
	return callerIdleTimeout
}

// callerLimits are the limits of the configuration, zero without one.
func (p *platformProcess) callerLimits() catalog.Limits {
	if current := p.gateway.Catalog(); current != nil {
		return current.Limits
	}
	return catalog.Limits{}
}

func (p *platformProcess) logDropped(r platform.DroppedRequest) {
	fields := apexlog.Fields{"bytes": r.Bytes, "elapsedMs": time.Since(r.FirstByte).Milliseconds()}
	if r.Err != nil {
		fields["error"] = r.Err.Error()
	}
	p.events.Event(event.RequestDropped, fields)
}

func (p *platformProcess) runServer(s server, l net.Listener) {
	err := s.Serve(&retryingListener{Listener: l, events: p.events})
	if err != nil && !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
		p.events.Event(event.HandlerPanicked, apexlog.Fields{"error": err.Error()})
	}
}
