package entry

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"ibiswinch/io/inbound"
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
	// innerHeaderBytes bounds the heads of calls of peers and operators.
	innerHeaderBytes = 8 << 10
	// idleCallerConnections are the connections of callers beyond one for each stream; peerConnections and operatorConnections are the
	// limits of the other listeners. Together they are below the open files that the process reserves besides those of streams.
	idleCallerConnections = 512
	peerConnections       = 320
	operatorConnections   = 32
	// operatorWriteTimeout bounds the time for an answer to an operator.
	operatorWriteTimeout = 30 * time.Second
)

// httpServer is one listener with its handler.
type httpServer struct {
	server   *inbound.Server
	listener net.Listener
	// forCallers marks the server for callers, which is shut down first in a planned stop.
	forCallers bool
}

func (vm *VM) httpServers(l Listeners) []*httpServer {
	callers := inbound.NewServer(inbound.ServerConfig{
		Handler: vm.callerServer, Memory: vm.memory, MaxConnections: vm.cfg.MaxStreams + idleCallerConnections, MaxHeadBytes: maxHeaderBytes,
		HeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout, ConnContext: limitSendBuffer, WideBuffers: vm.wideBuffers,
	})
	vm.callerHTTP.Store(callers)
	return []*httpServer{
		{listener: l.Callers, forCallers: true, server: callers},
		{listener: l.Peers, server: inbound.NewServer(inbound.ServerConfig{
			Handler: peer.NewHandler(peerServer{vm: vm}, vm.cfg.PeerToken), Memory: vm.memory, MaxConnections: peerConnections, MaxHeadBytes: innerHeaderBytes,
			HeaderTimeout: readHeaderTimeout, RequestTimeout: bodyTimeout, IdleTimeout: idleTimeout, WideBuffers: vm.wideBuffers,
		})},
		{listener: l.Operators, server: inbound.NewServer(inbound.ServerConfig{
			Handler: operator.NewHandler(operator.Config{
				Token: vm.cfg.OperatorToken, Dump: func() any { return vm.Dump() }, Report: func() any { return vm.Report() },
				Metrics: vm.metrics.Handler(),
			}),
			Memory: vm.memory, MaxConnections: operatorConnections, MaxHeadBytes: innerHeaderBytes,
			HeaderTimeout: readHeaderTimeout, RequestTimeout: bodyTimeout, WriteTimeout: operatorWriteTimeout, IdleTimeout: idleTimeout,
		})},
	}
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

// closeAll closes all listeners and connections, including those with open requests.
func closeAll(servers []*httpServer) {
	for _, s := range servers {
		_ = s.server.Close()
	}
}
