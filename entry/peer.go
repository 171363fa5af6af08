package entry

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"ibiswinch/core/event"
	"ibiswinch/core/membership"
	"ibiswinch/core/record"
	"ibiswinch/io/apexlog"
	"ibiswinch/io/peer"
)

// exchangeTimeout bounds one exchange. It is below two rounds, so that few calls are open to a peer that doesn't
// answer.
const exchangeTimeout = 900 * time.Millisecond

// maxBillReplicaPeers bounds the peers that are asked to store copies of bill lines before the log is waited for.
const maxBillReplicaPeers = 3

// digestHandler is a controller that takes part in the exchange: it adds its state to the own digest and merges the
// digest of a peer.
type digestHandler interface {
	// fillDigest adds to the digest for the entry VM with name to, which is empty if the name of the receiver isn't known.
	fillDigest(now time.Time, to string, d *peer.Digest)
	mergeDigest(now time.Time, d *peer.Digest)
}

// peerController keeps the membership view of the entry VMs and exchanges digests with them.
type peerController struct {
	cfg           Config
	events        *apexlog.Logger
	clientFactory *peer.ClientFactory
	// digestHandlers are set before the loop starts.
	digestHandlers []digestHandler

	mu      sync.Mutex
	view    *membership.View
	clients map[netip.AddrPort]peer.Peer
	// inFlight are the peers with an open exchange of a round.
	inFlight map[netip.AddrPort]bool
	// avoidedUntil are the members that recently didn't answer a call, with the time until which they are avoided.
	avoidedUntil map[record.Author]time.Time
	wg           sync.WaitGroup
}

func newPeerController(cfg Config, events *apexlog.Logger) *peerController {
	p := &peerController{
		cfg:           cfg,
		events:        events,
		clientFactory: peer.NewClientFactory(peer.ClientFactoryConfig{Token: cfg.PeerToken, TLS: cfg.PeerTLS, Dial: cfg.DialPeer}),
		view: membership.NewView(membership.Config{Self: membership.Member{
			Author: cfg.Author, Domain: cfg.Domain, Addr: cfg.PeerAddr, Heartbeat: uint64(cfg.Now().UnixMilli()),
		}}),
		clients:      map[netip.AddrPort]peer.Peer{},
		inFlight:     map[netip.AddrPort]bool{},
		avoidedUntil: map[record.Author]time.Time{},
	}
	p.view.SetListedVMs(cfg.Seeds)
	return p
}

// loop starts an exchange round every membership.RoundInterval until ctx ends.
func (p *peerController) loop(ctx context.Context) error {
	ticker := time.NewTicker(membership.RoundInterval)
	defer ticker.Stop()
	for {
		p.runRound(ctx)
		select {
		case <-ctx.Done():
			p.wg.Wait()
			return ctx.Err()
		case <-ticker.C:
		}
	}
}

func (p *peerController) runRound(ctx context.Context) {
	now := p.cfg.Now()
	p.mu.Lock()
	p.view.StartRound(now)
	partners := p.view.Partners(now)
	p.mu.Unlock()
	for _, partner := range partners {
		p.startExchange(ctx, partner.VM, partner.Addr)
	}
}

// contactPartners exchanges once with each partner that the view chooses from the seeds and the platform's list, and
// waits for the answers.
func (p *peerController) contactPartners(ctx context.Context) {
	now := p.cfg.Now()
	p.mu.Lock()
	partners := p.view.Partners(now)
	p.mu.Unlock()
	var wg sync.WaitGroup
	for _, partner := range partners {
		wg.Go(func() { p.exchange(ctx, partner.VM, partner.Addr) })
	}
	wg.Wait()
}

// broadcast exchanges with all live members at once, outside the rounds, and waits for the answers.
func (p *peerController) broadcast(ctx context.Context) {
	now := p.cfg.Now()
	p.mu.Lock()
	var members []membership.Member
	for _, s := range p.view.Dump(now) {
		if s.Author != p.cfg.Author && s.State == membership.Live {
			members = append(members, s.Member)
		}
	}
	p.mu.Unlock()
	var wg sync.WaitGroup
	for _, m := range members {
		wg.Go(func() { p.exchange(ctx, m.Author.VM, m.Addr) })
	}
	wg.Wait()
}

func (p *peerController) startExchange(ctx context.Context, vm string, addr netip.AddrPort) {
	p.mu.Lock()
	busy := p.inFlight[addr]
	p.inFlight[addr] = true
	p.mu.Unlock()
	if busy {
		return
	}
	p.wg.Go(func() {
		p.exchange(ctx, vm, addr)
		p.mu.Lock()
		delete(p.inFlight, addr)
		p.mu.Unlock()
	})
}

func (p *peerController) exchange(ctx context.Context, vm string, addr netip.AddrPort) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	reply, err := p.clientForAddr(addr).Exchange(ctx, p.digest(p.cfg.Now(), vm))
	if err != nil {
		p.events.Event(event.PeerUnreachable, apexlog.Fields{"peer": addr.String(), "call": "Exchange", "error": err.Error()})
		return
	}
	p.merge(p.cfg.Now(), reply)
}

// digest returns the digest of this entry VM for the peer with name to.
func (p *peerController) digest(now time.Time, to string) *peer.Digest {
	d := &peer.Digest{Author: peer.EncodeAuthor(p.cfg.Author)}
	p.mu.Lock()
	for _, m := range p.view.Digest(now, membership.MaxDigestMembers) {
		d.Members = append(d.Members, &peer.Member{
			Author: peer.EncodeAuthor(m.Author), Domain: m.Domain, Address: m.Addr.String(), Heartbeat: m.Heartbeat, Leaving: m.Leaving,
		})
	}
	p.mu.Unlock()
	for _, h := range p.digestHandlers {
		h.fillDigest(now, to, d)
	}
	return d
}

// merge merges the digest of a peer into the view and the controllers.
func (p *peerController) merge(now time.Time, d *peer.Digest) {
	members := make([]membership.Member, 0, len(d.GetMembers()))
	for _, m := range d.GetMembers() {
		// A member with an address that can't be parsed keeps the zero address and is skipped by the view.
		addr, _ := netip.ParseAddrPort(m.GetAddress())
		members = append(members, membership.Member{
			Author: peer.DecodeAuthor(m.GetAuthor()), Domain: m.GetDomain(), Addr: addr, Heartbeat: m.GetHeartbeat(), Leaving: m.GetLeaving(),
		})
	}
	p.mu.Lock()
	skipped := p.view.Merge(now, members)
	p.mu.Unlock()
	if skipped > 0 {
		p.events.Event(event.PeerRejected, apexlog.Fields{"peer": d.GetAuthor().GetVm(), "members": skipped})
	}
	for _, h := range p.digestHandlers {
		h.mergeDigest(now, d)
	}
}

func (p *peerController) clientForAddr(addr netip.AddrPort) peer.Peer {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := p.clients[addr]
	if c == nil {
		c = p.clientFactory.Client(addr)
		p.clients[addr] = c
	}
	return c
}

func (p *peerController) clientForMember(m membership.Member) peer.Peer {
	return p.clientForAddr(m.Addr)
}

// clientForAuthor returns a client for a process, if the view has it as the newest process of its VM.
func (p *peerController) clientForAuthor(author record.Author) (peer.Peer, bool) {
	p.mu.Lock()
	m, ok := p.view.Lookup(author.VM)
	p.mu.Unlock()
	if !ok || m.Author != author {
		return nil, false
	}
	return p.clientForAddr(m.Addr), true
}

func (p *peerController) isLive(now time.Time, author record.Author) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.view.IsLive(now, author)
}

// rank returns live members of the own domain by their rendezvous weight for key.
func (p *peerController) rank(now time.Time, key string, n int) []membership.Member {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.view.Rank(now, p.cfg.Domain, key, n)
}

// holderOf returns the member that holds the domain's grant of a team. A member that didn't answer a call is skipped
// for avoidDuration; in that time the next one opens a grant of its own.
func (p *peerController) holderOf(now time.Time, team string) membership.Member {
	ranked := p.rank(now, "team/"+team, maxRanked)
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, m := range ranked {
		if now.After(p.avoidedUntil[m.Author]) {
			return m
		}
	}
	return p.view.Self()
}

// avoidDuration is how long a member that didn't answer a call is avoided. It is longer than the time until membership
// suspects a silent member.
const avoidDuration = 5 * time.Second

// avoid excludes a member as a holder and as a witness for avoidDuration.
func (p *peerController) avoid(now time.Time, author record.Author) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for a, until := range p.avoidedUntil {
		if now.After(until) {
			delete(p.avoidedUntil, a)
		}
	}
	p.avoidedUntil[author] = now.Add(avoidDuration)
}

// domainPeers returns the other live members of the own domain among the first maxRanked.
func (p *peerController) domainPeers(now time.Time) []membership.Member {
	var others []membership.Member
	for _, m := range p.rank(now, "vm/"+p.cfg.Author.VM, maxRanked) {
		if m.Author != p.cfg.Author {
			others = append(others, m)
		}
	}
	return others
}

// maxRanked bounds the candidates for holders, witnesses and copies of bill lines.
const maxRanked = 4

func (p *peerController) witnessCandidates(now time.Time) []record.Author {
	others := p.domainPeers(now)
	p.mu.Lock()
	defer p.mu.Unlock()
	var authors []record.Author
	for _, m := range others {
		if now.After(p.avoidedUntil[m.Author]) {
			authors = append(authors, m.Author)
		}
	}
	return authors
}

// billReplicaPeers returns the peers to ask to store copies of bill lines: those of the own domain, then of others.
func (p *peerController) billReplicaPeers(now time.Time) []membership.Member {
	members := p.domainPeers(now)
	p.mu.Lock()
	for _, s := range p.view.Dump(now) {
		if len(members) >= maxBillReplicaPeers {
			break
		}
		if s.State == membership.Live && !s.Leaving && s.Domain != p.cfg.Domain {
			members = append(members, s.Member)
		}
	}
	p.mu.Unlock()
	return members[:min(len(members), maxBillReplicaPeers)]
}

func (p *peerController) announceLeaving(ctx context.Context) {
	p.mu.Lock()
	p.view.SetLeaving()
	p.mu.Unlock()
	p.broadcast(ctx)
}

func (p *peerController) isReplaced() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.view.Replaced()
}

// setListedVMs passes the platform's list to the view. A seed has no name, so it is kept only until a member with its
// address is known.
func (p *peerController) setListedVMs(now time.Time, listed []membership.ListedVM) {
	p.mu.Lock()
	defer p.mu.Unlock()
	known := map[netip.AddrPort]bool{}
	for _, s := range p.view.Dump(now) {
		known[s.Addr] = true
	}
	for _, l := range listed {
		known[l.Addr] = true
	}
	for _, seed := range p.cfg.Seeds {
		if !known[seed.Addr] {
			listed = append(listed, seed)
		}
	}
	p.view.SetListedVMs(listed)
}

func (p *peerController) dump(now time.Time) []membership.Status {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.view.Dump(now)
}

func (p *peerController) liveCount(now time.Time) int64 {
	var n int64
	for _, s := range p.dump(now) {
		if s.State == membership.Live {
			n++
		}
	}
	return n
}
