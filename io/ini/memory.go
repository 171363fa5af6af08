package ini

import "ibiswinch/core/settings"

// Memory holds the limits of the memory and streams for callers' requests.
type Memory struct {
	// MaxHeldBytes limits the bytes held in memory for all requests and streams.
	MaxHeldBytes uint64
	// MaxStreams limits the number of open requests and streams.
	MaxStreams uint64
	// MaxOrders limits the number of orders that are remembered.
	MaxOrders uint64
}

func (r *reader) memory() Memory {
	s := r.file.UnnamedSection("memory")
	return Memory{
		MaxHeldBytes: settings.Optional(s, "maxHeld", settings.Bytes(settings.MiB, 64*settings.GiB), "128MiB"),
		MaxStreams:   settings.Optional(s, "maxStreams", settings.Count(1, 1_000_000), "20000"),
		MaxOrders:    settings.Optional(s, "maxOrders", settings.Count(1, 100_000_000), "2000000"),
	}
}
