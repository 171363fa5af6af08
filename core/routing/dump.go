package routing

import "time"

// ServerDump is the state of one server, for operators.
type ServerDump struct {
	Server string `json:"server"`
	Domain string `json:"domain"`
	Target string `json:"target"`
	// HeldTokens, LimitTokens and FixedTokens are those of this entry VM; CapacityTokens is that of the whole server.
	HeldTokens     int64 `json:"heldTokens"`
	LimitTokens    int64 `json:"limitTokens"`
	FixedTokens    int64 `json:"fixedTokens"`
	CapacityTokens int64 `json:"capacityTokens"`
	// EstimatedTokens is the last load report plus what was sent since.
	EstimatedTokens int64 `json:"estimatedTokens"`
	DemandTokens    int64 `json:"demandTokens"`
	InFlight        int   `json:"inFlight"`
	Leaving         bool  `json:"leaving"`
	// ProbeAt is when a failed server is tried again; zero for a healthy one.
	ProbeAt time.Time `json:"probeAt"`
	// SecondsPerToken is the wait for the first token per token of work; 0 if unknown.
	SecondsPerToken float64 `json:"secondsPerToken"`
	// LastReason is the result of the last evaluation of the server, at LastAt.
	LastReason Reason    `json:"lastReason"`
	LastAt     time.Time `json:"lastAt"`
}

// Dump returns the state of all servers, sorted by name.
func (t *Table) Dump(now time.Time) []ServerDump {
	dump := make([]ServerDump, 0, len(t.names))
	for _, name := range t.names {
		s := t.servers[name]
		dump = append(dump, ServerDump{
			Server:          s.Name,
			Domain:          s.Domain,
			Target:          s.Target,
			HeldTokens:      s.held,
			LimitTokens:     s.limit,
			FixedTokens:     s.fixed,
			CapacityTokens:  s.Capacity,
			EstimatedTokens: s.loadAt(now),
			DemandTokens:    s.recentDemand(),
			InFlight:        s.inFlight,
			Leaving:         s.isLeaving(),
			ProbeAt:         s.probeAt,
			SecondsPerToken: s.secondsPerToken,
			LastReason:      s.lastReason,
			LastAt:          s.lastAt,
		})
	}
	return dump
}
