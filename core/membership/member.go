// Package membership keeps the view that one entry VM has of the others. It has gossip of heartbeats in digests, the
// choice of gossip partners, and rendezvous hashing over the live members of a failure domain. A wrong view costs
// messages, never correctness: no other package may rely on the views of two VMs being equal.
package membership

import (
	"cmp"
	"net/netip"
	"time"

	"github.com/rotisserie/eris"

	"ibiswinch/core/record"
)

// maxNameBytes bounds the names in a member.
const maxNameBytes = 128

// ErrInvalid is returned for a member that fails Validate.
var ErrInvalid = eris.New("invalid member")

// Member describes an entry VM process, as the process itself announces it.
type Member struct {
	Author record.Author `json:"author"`
	// Domain is the failure domain.
	Domain string `json:"domain"`
	// Addr is the address on which the process listens for peers.
	Addr netip.AddrPort `json:"addr"`
	// Heartbeat starts at the Unix time of the process start in milliseconds and grows by one per round. As rounds
	// are far longer than a millisecond, a new incarnation of a VM starts above all heartbeats of the old one.
	Heartbeat uint64 `json:"heartbeat"`
	// Leaving is set by the member itself before a planned stop.
	Leaving bool `json:"leaving"`
}

// Validate checks a member that came from a peer.
func (m Member) Validate() error {
	switch {
	case m.Author.VM == "" || len(m.Author.VM) > maxNameBytes:
		return eris.Wrap(ErrInvalid, "VM missing or too long")
	case m.Author.Incarnation == "" || len(m.Author.Incarnation) > maxNameBytes:
		return eris.Wrap(ErrInvalid, "incarnation missing or too long")
	case m.Domain == "" || len(m.Domain) > maxNameBytes:
		return eris.Wrap(ErrInvalid, "domain missing or too long")
	case !m.Addr.IsValid():
		return eris.Wrap(ErrInvalid, "address missing")
	}
	return nil
}

// compare is a total order of the members of one VM. Merging keeps the greatest one, which is idempotent, commutative
// and associative whatever the members contain.
func (m Member) compare(n Member) int {
	return cmp.Or(
		cmp.Compare(m.Heartbeat, n.Heartbeat),
		cmp.Compare(m.Author.Incarnation, n.Author.Incarnation),
		cmp.Compare(m.Domain, n.Domain),
		m.Addr.Compare(n.Addr),
		compareBool(m.Leaving, n.Leaving),
	)
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}

// State is the state of a member in the view of this VM.
type State string

// States of a member.
const (
	Live State = "live"
	// Suspected members had no advance of their heartbeat for too long. They get no new work.
	Suspected State = "suspected"
)

// Status is a member in the operator's dump.
type Status struct {
	Member
	State State `json:"state"`
	// SuspectAt is when the member becomes suspected unless its heartbeat advances.
	SuspectAt time.Time `json:"suspectAt"`
	// PlatformLeaving is set when the platform's list says that the VM is leaving.
	PlatformLeaving bool `json:"platformLeaving"`
}

// ListedVM is an entry of the platform's VM list. The list lags, so an entry only adds an address to contact and marks
// leaving VMs; it doesn't show that the VM is alive.
type ListedVM struct {
	VM      string         `json:"vm"`
	Domain  string         `json:"domain"`
	Addr    netip.AddrPort `json:"addr"`
	Leaving bool           `json:"leaving"`
}

// Hash returns the weight of a name for a key in rendezvous hashing. It is FNV-1a with a final mix, since FNV-1a alone
// orders names that differ only in the last byte in the same way for many keys.
func Hash(key, name string) uint64 {
	h := fnv1a(fnv1a(fnvOffset, key)*fnvPrime, name)
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	h *= 0xc4ceb9fe1a85ec53
	return h ^ h>>33
}

const (
	fnvOffset uint64 = 14695981039346656037
	fnvPrime  uint64 = 1099511628211
)

func fnv1a(h uint64, s string) uint64 {
	for i := range len(s) {
		h = (h ^ uint64(s[i])) * fnvPrime
	}
	return h
}
