package membership

import (
	"cmp"
	"maps"
	"net/netip"
	"slices"
	"time"
)

// Bounds of the exchange, a gossip protocol. A VM starts LocalPartners+RemotePartners exchanges per round and answers
// as many on average; each is a request and a reply. With 2 rounds/s that is 2 x 2 x 2 x 4 = 32 messages/s, sent and
// received together. At 500 bytes of content and 300 bytes of HTTP and TCP headers they take 25.6 KB/s of the 26 KB/s
// that the control traffic of one VM may use.
const (
	// DefaultLocalPartners and DefaultRemotePartners are the partners of a round in this VM's domain and in other domains.
	DefaultLocalPartners  = 3
	DefaultRemotePartners = 1
	// MaxMessageBytes bounds the content of one exchange message of the periodic rounds.
	MaxMessageBytes = 500
	// HeaderBytes is the assumed size of HTTP and TCP headers of a message on an open connection.
	HeaderBytes = 300
	// MaxDigestMembers bounds the members in one message. Five take 285 bytes in protobuf with names of 6 and
	// incarnations of 16 characters, which leaves over 200 for the rest of the message.
	MaxDigestMembers = 5
)

// remoteIntervalPerMember is, per known member, the time without an advance of the heartbeat after which a member of
// another domain is suspected. About 16 received messages a second carry 2 such members each, which is one member every
// 31 ms; the factor of 3 allows for repetitions and losses.
const remoteIntervalPerMember = 100 * time.Millisecond

// Partner is a peer to exchange with.
type Partner struct {
	// VM is the name under which the address is known.
	VM     string
	Domain string
	Addr   netip.AddrPort
}

// Partners returns the peers for the next round: up to LocalPartners of this VM's domain in rotation, and one of each
// of up to RemotePartners other domains in rotation. Suspected members take part, since only an exchange can show that
// they are back; so do VMs that are known only from the platform's list.
func (v *View) Partners(now time.Time) []Partner {
	byDomain := v.candidates()
	local := byDomain[v.self.Domain]
	delete(byDomain, v.self.Domain)
	partners := rotate(local, v.rounds, v.cfg.LocalPartners)
	domains := slices.Sorted(maps.Keys(byDomain))
	turn := v.rounds
	if len(domains) > 0 {
		turn = v.rounds * uint64(min(v.cfg.RemotePartners, len(domains))) / uint64(len(domains))
	}
	for _, d := range rotate(domains, v.rounds, v.cfg.RemotePartners) {
		partners = append(partners, rotate(byDomain[d], turn+Hash(d, v.self.Author.VM), 1)...)
	}
	v.rounds++
	return partners
}

// candidates returns the possible partners per domain, ordered by a hash with this VM's name, so that VMs that start
// together don't all contact the same peer.
func (v *View) candidates() map[string][]Partner {
	byDomain := map[string][]Partner{}
	for i := range v.members {
		m := &v.members[i].Member
		byDomain[m.Domain] = append(byDomain[m.Domain], Partner{VM: m.Author.VM, Domain: m.Domain, Addr: m.Addr})
	}
	for _, vm := range slices.Sorted(maps.Keys(v.listedVMs)) {
		if _, known := v.find(vm); !known {
			listed := v.listedVMs[vm]
			byDomain[listed.Domain] = append(byDomain[listed.Domain], Partner{VM: vm, Domain: listed.Domain, Addr: listed.Addr})
		}
	}
	self := v.self.Author.VM
	for _, list := range byDomain {
		slices.SortFunc(list, func(a, b Partner) int {
			return cmp.Or(cmp.Compare(Hash(self, a.VM), Hash(self, b.VM)), cmp.Compare(a.VM, b.VM))
		})
	}
	return byDomain
}

// rotate returns up to n items of the list, starting at turn*n, so that consecutive turns cover the whole list.
func rotate[T any](list []T, turn uint64, n int) []T {
	n = min(n, len(list))
	out := make([]T, 0, n)
	for i := range n {
		out = append(out, list[(turn*uint64(n)+uint64(i))%uint64(len(list))])
	}
	return out
}

// Digest returns up to limit members for a message to a peer: this VM first, then others in rotation, half of them from
// this VM's domain. Suspected members are left out, so that a dead one is removed from all views in the end.
func (v *View) Digest(now time.Time, limit int) []Member {
	out := make([]Member, 0, limit)
	out = append(out, v.self)
	n := len(v.members)
	if n == 0 || limit <= 1 {
		return out
	}
	// The stride is coprime to n, so that the start of the digests passes through all members.
	start := int(v.digests * digestStride % uint64(n))
	v.digests++
	wantLocal := (limit - 1 + 1) / 2
	out = v.appendMembers(now, out, start, wantLocal, true)
	out = v.appendMembers(now, out, start, limit-len(out), false)
	if len(out) < limit {
		out = v.appendMembers(now, out, start+wantLocal, limit-len(out), true)
	}
	return out
}

// digestStride is the distance between the starts of consecutive digests. It is a prime, and so coprime to every member
// count below it.
const digestStride = 1000003

// appendMembers appends up to n unsuspected members from index start on: of this VM's domain if local is set, else of
// the other domains.
func (v *View) appendMembers(now time.Time, out []Member, start, n int, local bool) []Member {
	for i := range v.members {
		if n <= 0 {
			break
		}
		e := &v.members[(start+i)%len(v.members)]
		if (e.Domain == v.self.Domain) != local || v.isSuspected(now, e) || contains(out, e.Author.VM) {
			continue
		}
		out = append(out, e.Member)
		n--
	}
	return out
}

func contains(members []Member, vm string) bool {
	return slices.ContainsFunc(members, func(m Member) bool { return m.Author.VM == vm })
}
