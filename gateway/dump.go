package gateway

import (
	"ibiswinch/core/crash"
	"ibiswinch/core/placement"
)

// Dump is the state of a gateway for operators.
type Dump struct {
	Name          string                 `json:"name"`
	Ready         bool                   `json:"ready"`
	OpenCalls     int64                  `json:"serving"`
	ConfigVersion int64                  `json:"configVersion"`
	Members       int                    `json:"members"`
	Servers       []placement.ServerDump `json:"servers"`
	// Evacuations are the evacuated failure domains.
	Evacuations []placement.EvacuationDump `json:"evacuations"`
	Budgets     []BudgetDump               `json:"budgets"`
	Quarantines []crash.Quarantine         `json:"quarantines"`
	Load        LoadDump                   `json:"load"`
}

// LoadDump is how far the resources of this entry VM are used, 1 for full, and by whom.
type LoadDump struct {
	Incoming  float64 `json:"incoming"`
	Outgoing  float64 `json:"outgoing"`
	Processor float64 `json:"processor"`
	// Overloaded is set while an overload lasts, ByTeam if Team alone has caused it, OutOfRotation if this entry VM isn't ready
	// because of it.
	Overloaded    bool `json:"overloaded"`
	ByTeam        bool `json:"byTeam"`
	OutOfRotation bool `json:"outOfRotation"`
	// Team brings the largest part of the load, TeamShare.
	Team      string  `json:"team"`
	TeamShare float64 `json:"teamShare"`
	// Limited are the teams of which calls are refused.
	Limited []LimitedTeamDump `json:"limited,omitempty"`
}

// LimitedTeamDump is a team of which calls are refused: its part of the load, and the part of its own calls that is served.
type LimitedTeamDump struct {
	Team     string  `json:"team"`
	Share    float64 `json:"share"`
	Admitted float64 `json:"admitted"`
}

// BudgetDump is the state of one team's budget at this entry VM.
type BudgetDump struct {
	Team     string `json:"team"`
	Limit    int64  `json:"limit"`
	Free     int64  `json:"free"`
	Reserved int64  `json:"reserved"`
	Used     int64  `json:"used"`
	Held     int64  `json:"held"`
}

// Dump returns the state of the gateway.
func (g *Gateway) Dump() Dump {
	d := Dump{Name: g.cfg.Name, Ready: g.Ready(), OpenCalls: g.OpenCalls(), Members: g.fleet.count(), Budgets: g.budgets.dump(), Quarantines: g.suspects.quarantines(), Load: g.load.dump()}
	if c := g.catalogs.now(); c != nil {
		d.ConfigVersion = c.Version
	}
	g.servers.mu.Lock()
	defer g.servers.mu.Unlock()
	d.Servers, d.Evacuations = g.servers.table.Dump(g.cfg.Now()), g.servers.table.Evacuations()
	return d
}

func (b *budgetController) dump() []BudgetDump {
	var list []BudgetDump
	for _, lp := range b.openedPartitions() {
		lp.mu.Lock()
		for team, a := range lp.accounts {
			limit := lp.limit(team)
			list = append(list, BudgetDump{
				Team: team, Limit: limit, Free: lp.recordsOf(team).Free(limit), Reserved: a.Reserved(), Used: a.Used(), Held: a.Held(),
			})
		}
		lp.mu.Unlock()
	}
	return list
}
