package soak

import (
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// link is what a proxy does with its connections.
type link int32

const (
	open link = iota
	// slow delays each piece of data, reset ends connections, silent drops what the caller sends, and oneWay what the
	// callee answers; both leave connections open.
	slow
	reset
	silent
	oneWay
)

var linkNames = []string{"open", "slow", "reset", "silent", "one way"}

// slowBy is the delay of each piece of data on a slow link.
const slowBy = 120 * time.Millisecond

// proxy forwards connections to an address.
type proxy struct {
	listener net.Listener
	target   string
	state    atomic.Int32

	mu    sync.Mutex
	conns map[net.Conn]bool
}

func newProxy(listen, target string) (*proxy, error) {
	l, err := net.Listen("tcp4", listen)
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: l, target: target, conns: map[net.Conn]bool{}}
	go p.runAccept()
	return p, nil
}

func (p *proxy) addr() string { return p.listener.Addr().String() }

func (p *proxy) set(l link) {
	p.state.Store(int32(l))
	if l == reset {
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
		if link(p.state.Load()) == reset {
			_ = c.Close()
			continue
		}
		go p.runConn(c)
	}
}

func (p *proxy) runConn(c net.Conn) {
	s, err := net.DialTimeout("tcp4", p.target, time.Second)
	if err != nil {
		_ = c.Close()
		return
	}
	p.mu.Lock()
	p.conns[c], p.conns[s] = true, true
	p.mu.Unlock()
	var wg sync.WaitGroup
	wg.Go(func() { p.copy(s, c, silent) })
	wg.Go(func() { p.copy(c, s, oneWay) })
	wg.Wait()
	p.mu.Lock()
	delete(p.conns, c)
	delete(p.conns, s)
	p.mu.Unlock()
}

// copy forwards one direction. Once data was dropped, nothing more of the connection is forwarded.
func (p *proxy) copy(to, from net.Conn, dropped link) {
	defer to.Close()
	b := make([]byte, 32<<10)
	lost := false
	for {
		n, err := from.Read(b)
		l := link(p.state.Load())
		if l == slow {
			time.Sleep(slowBy/2 + rand.N(slowBy))
		}
		lost = lost || l == dropped
		if n > 0 && !lost {
			if _, err := to.Write(b[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}
