//go:build review

package main

import (
	"io"
	"net"
	"sync"
)

// proxy forwards connections to an address. Open connections can be silenced: they stay open and carry nothing more, while
// new ones work.
type proxy struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	links map[*link]bool
}

// link is one forwarded connection.
type link struct {
	near, far net.Conn
	mu        sync.Mutex
	silent    bool
}

func newProxy(listen, target string) (*proxy, error) {
	l, err := net.Listen("tcp4", listen)
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: l, target: target, links: map[*link]bool{}}
	go p.run()
	return p, nil
}

func (p *proxy) address() string { return p.listener.Addr().String() }

func (p *proxy) run() {
	for {
		near, err := p.listener.Accept()
		if err != nil {
			return
		}
		far, err := net.Dial("tcp4", p.target)
		if err != nil {
			_ = near.Close()
			continue
		}
		l := &link{near: near, far: far}
		p.mu.Lock()
		p.links[l] = true
		p.mu.Unlock()
		go p.runCopy(l, near, far)
		go p.runCopy(l, far, near)
	}
}

// runCopy forwards one direction of a link. The bytes of a silent link are dropped.
func (p *proxy) runCopy(l *link, to io.Writer, from io.Reader) {
	buffer := make([]byte, 64<<10)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			break
		}
		if l.isSilent() {
			continue
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			break
		}
	}
	if l.isSilent() {
		return
	}
	l.close()
	p.mu.Lock()
	delete(p.links, l)
	p.mu.Unlock()
}

func (l *link) isSilent() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.silent
}

func (l *link) close() {
	_ = l.near.Close()
	_ = l.far.Close()
}

// silence makes all open connections silent for good and returns their number.
func (p *proxy) silence() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	for l := range p.links {
		l.mu.Lock()
		l.silent = true
		l.mu.Unlock()
	}
	return len(p.links)
}

func (p *proxy) close() {
	_ = p.listener.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	for l := range p.links {
		l.close()
	}
}
