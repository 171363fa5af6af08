package platform

import (
	"encoding/json"
	"net/netip"

	"github.com/rotisserie/eris"

	"ibiswinch/io/internal/roundtrip"
)

// State says whether a VM or a server may receive new work.
type State string

// States of VMs and servers.
const (
	StateLive    State = "live"
	StateLeaving State = "leaving"
)

func (s State) validate() error {
	if s != StateLive && s != StateLeaving {
		return eris.Errorf("unknown state %q", string(s))
	}
	return nil
}

// VM is one entry of the VM list.
type VM struct {
	Name    string         `json:"name"`
	Address netip.AddrPort `json:"address"`
	Domain  string         `json:"domain"`
	State   State          `json:"state"`
}

// Validate checks the entry.
func (vm VM) Validate() error {
	if vm.Name == "" || vm.Domain == "" || !vm.Address.IsValid() || vm.Address.Port() == 0 {
		return eris.Errorf("VM %q has no name, domain or address", vm.Name)
	}
	return vm.State.validate()
}

// VMList is the platform's list of VMs. It may be out of date. Invalid entries are left out.
type VMList struct {
	Revision uint64 `json:"revision"`
	VMs      []VM   `json:"vms"`
}

// UnmarshalJSON implements json.Unmarshaler.
func (l *VMList) UnmarshalJSON(data []byte) (err error) {
	var wire struct {
		Revision uint64          `json:"revision"`
		VMs      json.RawMessage `json:"vms"`
	}
	if err := json.Unmarshal(data, &wire); err != nil {
		return err
	}
	l.Revision = wire.Revision
	l.VMs, err = roundtrip.DecodeEntries[VM](wire.VMs)
	return err
}

// Validate implements the check of an answer. Entries were checked when they were decoded.
func (VMList) Validate() error { return nil }

// Server is one entry of the server list.
type Server struct {
	Name  string `json:"name"`
	State State  `json:"state"`
}

// Validate checks the entry.
func (s Server) Validate() error {
	if s.Name == "" {
		return eris.New("server without a name")
	}
	return s.State.validate()
}

// ServerList is the platform's list of backend servers. It may be out of date. Invalid entries are left out.
type ServerList struct {
	Revision uint64   `json:"revision"`
	Servers  []Server `json:"servers"`
}

// UnmarshalJSON implements json.Unmarshaler.
func (l *ServerList) UnmarshalJSON(data []byte) (err error) {
	var wire struct {
		Revision uint64          `json:"revision"`
		Servers  json.RawMessage `json:"servers"`
	}
	if err := json.Unmarshal(data, &wire); err != nil {
		return err
	}
	l.Revision = wire.Revision
	l.Servers, err = roundtrip.DecodeEntries[Server](wire.Servers)
	return err
}

// Validate implements the check of an answer. Entries were checked when they were decoded.
func (ServerList) Validate() error { return nil }
