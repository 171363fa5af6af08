package demo

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"ibiswinch/entry"
	"ibiswinch/io/platform"
)

// dialTimeout bounds a dial between entry VMs, as in a real network that drops packets.
const dialTimeout = time.Second

var errPartitioned = eris.New("network partition")

// simulatedNetwork connects the entry VMs with each other and with the platform. A partition drops all traffic across
// it, like lost packets: calls get no answer until their deadline.
type simulatedNetwork struct {
	mu sync.Mutex
	// domains maps the addresses of peer listeners to failure domains.
	domains map[string]string
	// isolated is the failure domain that is partitioned from the rest; empty for none.
	isolated string
	// stateChanged is closed and replaced when isolated changes or a link is killed.
	stateChanged chan struct{}
	conns        map[*conn]struct{}
}

func newNetwork() *simulatedNetwork {
	return &simulatedNetwork{domains: map[string]string{}, stateChanged: make(chan struct{}), conns: map[*conn]struct{}{}}
}

func (n *simulatedNetwork) setDomain(address, domain string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.domains[address] = domain
}

// isolate partitions a failure domain from the platform and from the other domains. An empty name ends the partition.
func (n *simulatedNetwork) isolate(domain string) {
	n.mu.Lock()
	n.isolated = domain
	n.applyStateLocked()
	n.mu.Unlock()
}

// applyStateLocked wakes the waiting calls and closes the connections that are blocked now. The caller holds mu.
func (n *simulatedNetwork) applyStateLocked() {
	close(n.stateChanged)
	n.stateChanged = make(chan struct{})
	for c := range n.conns {
		if n.blockedLocked(c.link, c.toDomain) {
			_ = c.Conn.Close()
			delete(n.conns, c)
		}
	}
}

// blockedLocked reports whether packets of l to a failure domain, or to platformDomain, are dropped. The caller holds
// mu.
func (n *simulatedNetwork) blockedLocked(l *link, domain string) bool {
	if l.killed {
		return true
	}
	return l.domain != domain && (n.isolated == l.domain || n.isolated == domain && domain != "")
}

func (n *simulatedNetwork) state(l *link, domain string) (blocked bool, changed <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.blockedLocked(l, domain), n.stateChanged
}

// link is the network access of one process.
type link struct {
	network *simulatedNetwork
	domain  string
	// killed is set when the process was killed. The network's mu guards it.
	killed bool
}

func (n *simulatedNetwork) link(domain string) *link { return &link{network: n, domain: domain} }

func (l *link) kill() {
	l.network.mu.Lock()
	defer l.network.mu.Unlock()
	l.killed = true
	l.network.applyStateLocked()
}

// awaitUnblocked returns when packets to a domain are not dropped, or with an error when ctx ends.
func (l *link) awaitUnblocked(ctx context.Context, domain string) error {
	for {
		blocked, changed := l.network.state(l, domain)
		if !blocked {
			return nil
		}
		select {
		case <-ctx.Done():
			return eris.Wrap(errPartitioned, ctx.Err().Error())
		case <-changed:
		}
	}
}

// conn is a connection that a partition closes.
type conn struct {
	net.Conn
	link     *link
	toDomain string
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.link.network.mu.Lock()
	delete(c.link.network.conns, c)
	c.link.network.mu.Unlock()
	return c.Conn.Close()
}

// dial is used as entry.Config.DialPeer.
func (l *link) dial(ctx context.Context, protocol, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	l.network.mu.Lock()
	domain := l.network.domains[address]
	l.network.mu.Unlock()
	if err := l.awaitUnblocked(ctx, domain); err != nil {
		return nil, err
	}
	raw, err := new(net.Dialer).DialContext(ctx, protocol, address)
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: raw, link: l, toDomain: domain}
	l.network.mu.Lock()
	defer l.network.mu.Unlock()
	if l.network.blockedLocked(l, domain) {
		_ = raw.Close()
		return nil, errPartitioned
	}
	l.network.conns[c] = struct{}{}
	return c, nil
}

// platformLink is the client with which one process calls the platform; its calls go through the simulated network.
type platformLink struct {
	link   *link
	client *platform.Client
}

var _ entry.Platform = (*platformLink)(nil)

// platformDomain stands for the platform, which is in no failure domain.
const platformDomain = ""

// callPlatform calls the platform. A call in flight when a partition begins loses its answer; it may have taken effect.
func callPlatform[T any](ctx context.Context, l *link, call func(context.Context) (T, error)) (T, error) {
	var zero T
	if l.awaitUnblocked(ctx, platformDomain) != nil {
		return zero, eris.Wrap(platform.ErrOutcomeUnknown, errPartitioned.Error())
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go l.cancelOnPartition(ctx, cancel)
	return call(ctx)
}

// cancelOnPartition calls cancel when a partition or a kill cuts the link from the platform. It returns when ctx ends.
func (l *link) cancelOnPartition(ctx context.Context, cancel context.CancelFunc) {
	for ctx.Err() == nil {
		blocked, changed := l.network.state(l, platformDomain)
		if blocked {
			cancel()
			return
		}
		select {
		case <-ctx.Done():
		case <-changed:
		}
	}
}

// Append implements entry.Platform.
func (p *platformLink) Append(ctx context.Context, stream string, batch []byte) (uint64, error) {
	return callPlatform(ctx, p.link, func(ctx context.Context) (uint64, error) { return p.client.Append(ctx, stream, batch) })
}

// Read implements entry.Platform.
func (p *platformLink) Read(ctx context.Context, stream string, from uint64, limit int, wait time.Duration) (platform.Page, error) {
	return callPlatform(ctx, p.link, func(ctx context.Context) (platform.Page, error) {
		return p.client.Read(ctx, stream, from, limit, wait)
	})
}

// VMs implements entry.Platform.
func (p *platformLink) VMs(ctx context.Context) (platform.VMList, error) {
	return callPlatform(ctx, p.link, p.client.VMs)
}

// Servers implements entry.Platform.
func (p *platformLink) Servers(ctx context.Context) (platform.ServerList, error) {
	return callPlatform(ctx, p.link, p.client.Servers)
}
