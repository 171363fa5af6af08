package entry

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"ibiswinch/io/operator"
	"ibiswinch/io/peer"
)

// Timeouts and bounds of the HTTP servers.
const (
	readHeaderTimeout = 5 * time.Second
	idleTimeout       = 2 * time.Minute
	// maxHeaderBytes is above the limit of io/openai, which answers with an error body of the API.
	maxHeaderBytes = 64 << 10
	// callerSendBuffer bounds what the kernel buffers for a caller that doesn't read. Without a bound, the buffer grows to
	// several MB per connection and takes the whole answer.
	callerSendBuffer = 64 << 10
	shutdownTimeout  = 2 * time.Second
)

// httpServer is one listener with its handler.
type httpServer struct {
	server   *http.Server
	listener net.Listener
	// forCallers marks the server for callers, which is shut down first in a planned stop.
	forCallers bool
}

func (vm *VM) httpServers(l Listeners) []*httpServer {
	return []*httpServer{
		newHTTPServer(l.Callers, vm.callerServer, true),
		newHTTPServer(l.Peers, peer.NewHandler(peerServer{vm: vm}, vm.cfg.PeerToken), false),
		newHTTPServer(l.Operators, operator.NewHandler(operator.Config{
			Token: vm.cfg.OperatorToken, Dump: func() any { return vm.Dump() }, Report: func() any { return vm.Report() },
			Metrics: vm.metrics.Handler(),
		}), false),
	}
}

func newHTTPServer(l net.Listener, h http.Handler, forCallers bool) *httpServer {
	s := &httpServer{listener: l, forCallers: forCallers, server: &http.Server{
		Handler: h, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		ReadTimeout: 0, WriteTimeout: 0,
	}}
	if forCallers {
		s.server.ConnContext = limitSendBuffer
	}
	return s
}

// limitSendBuffer sets the size of the send buffer of a new connection.
func limitSendBuffer(ctx context.Context, c net.Conn) context.Context {
	if t, ok := c.(*tls.Conn); ok {
		c = t.NetConn()
	}
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetWriteBuffer(callerSendBuffer)
	}
	return ctx
}

// run serves until shutdown.
func (s *httpServer) run() error {
	if err := s.server.Serve(s.listener); !errors.Is(err, http.ErrServerClosed) {
		return eris.Wrapf(err, "serve %s", s.listener.Addr())
	}
	return nil
}

func (s *httpServer) shutdown(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, shutdownTimeout)
	defer cancel()
	if s.server.Shutdown(ctx) != nil {
		_ = s.server.Close()
	}
}

// closeAll closes all listeners and connections, including those with open requests.
func closeAll(servers []*httpServer) {
	for _, s := range servers {
		_ = s.server.Close()
	}
}
