package platform

import (
	"net/netip"
	"time"
)

// State says whether a VM or a server is to receive new requests.
type State string

const (
	StateLive    State = "live"
	StateLeaving State = "leaving"
)

// VM is one entry of the VM list.
type VM struct {
	Name    string         `json:"name"`
	Address netip.AddrPort `json:"address"`
	Domain  string         `json:"domain"`
	State   State          `json:"state"`
}

// BackendServer is one entry of the server list.
type BackendServer struct {
	Name  string `json:"name"`
	State State  `json:"state"`
}

type vmList struct {
	Revision uint64 `json:"revision"`
	VMs      []VM   `json:"vms"`
}

type serverList struct {
	Revision uint64          `json:"revision"`
	Servers  []BackendServer `json:"servers"`
}

// listHistory keeps the versions of a list, so that readers can be given an outdated one.
type listHistory[T any] struct {
	versions []listVersion[T]
}

type listVersion[T any] struct {
	at    time.Time
	value T
}

// add adds a version. All versions are kept, since Faults.ListLagMs may grow at any time.
func (h *listHistory[T]) add(now time.Time, value T) {
	h.versions = append(h.versions, listVersion[T]{at: now, value: value})
}

// versionAt returns the newest version that is not after the given time, or the first one.
func (h *listHistory[T]) versionAt(at time.Time) T {
	value := h.versions[0].value
	for _, s := range h.versions[1:] {
		if s.at.After(at) {
			break
		}
		value = s.value
	}
	return value
}

func (h *listHistory[T]) latest() T {
	return h.versions[len(h.versions)-1].value
}
