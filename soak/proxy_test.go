package soak

import (
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// linkState says how a proxy treats its connections.
type linkState int32

const (
	linkOpen linkState = iota
	// linkSlow delays each read, linkReset closes connections. linkDropsRequests drops the data from the client and
	// linkDropsResponses the data from the server; both leave connections open.
	linkSlow
	linkReset
	linkDropsRequests
	linkDropsResponses
)

var linkNames = []string{"open", "slow", "reset", "silent", "one way"}

// slowLinkDelay is the mean delay of each read on a slow link.
const slowLinkDelay = 120 * time.Millisecond

// proxy forwards connections to an address.
type proxy struct {
	listener net.Listener
	target   string
	state    atomic.Int32

	mu    sync.Mutex
	conns map[net.Conn]bool
}

func newProxy(listen, target string) (*proxy, error) {
	listener, err := net.Listen("tcp4", listen)
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: listener, target: target, conns: map[net.Conn]bool{}}
	go p.runAccept()
	return p, nil
}

func (p *proxy) addr() string { return p.listener.Addr().String() }

func (p *proxy) set(state linkState) {
	p.state.Store(int32(state))
	if state == linkReset {
		p.closeAll()
	}
}

func (p *proxy) closeAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		_ = c.Close()
	}
	clear(p.conns)
}

func (p *proxy) close() {
	_ = p.listener.Close()
	p.closeAll()
}

func (p *proxy) runAccept() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		if linkState(p.state.Load()) == linkReset {
			_ = c.Close()
			continue
		}
		go p.runConn(c)
	}
}

func (p *proxy) runConn(c net.Conn) {
	server, err := net.DialTimeout("tcp4", p.target, time.Second)
	if err != nil {
		_ = c.Close()
		return
	}
	p.mu.Lock()
	p.conns[c], p.conns[server] = true, true
	p.mu.Unlock()
	var wg sync.WaitGroup
	wg.Go(func() { p.copy(server, c, linkDropsRequests) })
	wg.Go(func() { p.copy(c, server, linkDropsResponses) })
	wg.Wait()
	p.mu.Lock()
	delete(p.conns, c)
	delete(p.conns, server)
	p.mu.Unlock()
}

// copy forwards one direction. Once it has dropped data, it forwards nothing more on the connection.
func (p *proxy) copy(to, from net.Conn, dropState linkState) {
	defer to.Close()
	b := make([]byte, 32<<10)
	dropping := false
	for {
		n, err := from.Read(b)
		state := linkState(p.state.Load())
		if state == linkSlow {
			time.Sleep(slowLinkDelay/2 + rand.N(slowLinkDelay))
		}
		dropping = dropping || state == dropState
		if n > 0 && !dropping {
			if _, err := to.Write(b[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}
