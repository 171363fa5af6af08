package ini

import (
	"net/netip"
	"time"

	"ibiswinch/core/settings"
)

// Platform holds the settings of the connection to the platform's log, lists and weight store.
type Platform struct {
	Address netip.AddrPort
	// ListInterval is the time between two reads of the lists of VMs and servers.
	ListInterval time.Duration
	// SnapshotEntries is the number of log entries after a snapshot until the next one is written.
	SnapshotEntries uint64
}

func (r *reader) platform() Platform {
	s := r.file.UnnamedSection("platform")
	return Platform{
		Address:         settings.Required(s, "address", settings.Address),
		ListInterval:    settings.Optional(s, "listInterval", settings.Duration(100*time.Millisecond, time.Minute), "1s"),
		SnapshotEntries: settings.Optional(s, "snapshotEntries", settings.Count(10, 1_000_000), "5000"),
	}
}
