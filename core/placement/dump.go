package placement

import (
	"cmp"
	"slices"
	"time"
)

// ServerDump is the state of a server in the table.
type ServerDump struct {
	ID       string `json:"id"`
	Service  string `json:"service"`
	Zone     string `json:"zone"`
	Version  string `json:"version"`
	Draining bool   `json:"draining"`
	// Leaving is set once the server said that it leaves.
	Leaving bool `json:"leaving"`
	// WaitUntil is when a server that asked for a wait takes calls again.
	WaitUntil     time.Time `json:"waitUntil"`
	Running       int       `json:"running"`
	WaitingTokens int64     `json:"waitingTokens"`
	// OthersRunning and OthersWaitingTokens are what the other entry VMs reported at ReportedAt.
	OthersRunning       int64     `json:"othersRunning"`
	OthersWaitingTokens int64     `json:"othersWaitingTokens"`
	ReportedAt          time.Time `json:"reportedAt"`
	// Speed is how many times as long as usual the server takes, by what all entry VMs have seen.
	Speed       float64   `json:"speed"`
	FailureRate float64   `json:"failures"`
	PausedUntil time.Time `json:"pausedUntil"`
	// Limit is the number of requests a second that the server takes from all entry VMs, if Limited is set, and Share the
	// part of this one.
	Limit   float64 `json:"limit"`
	Share   float64 `json:"share"`
	Limited bool    `json:"limited"`
	// ColdUntil is when a cold server is warm, ColdUser whether this entry VM may use it until then.
	ColdUntil time.Time `json:"coldUntil"`
	ColdUser  bool      `json:"coldUser"`
	// Window is the number of calls that the server may run for this entry VM while there are limits; 0 for no bound.
	Window float64 `json:"window"`
}

// Dump lists the servers by id.
func (t *Table) Dump(now time.Time) []ServerDump {
	list := make([]ServerDump, 0, len(t.servers))
	for _, s := range t.servers {
		d := ServerDump{
			ID: s.ID, Service: s.Service, Zone: s.Zone, Version: s.Version, Draining: s.Draining, Running: s.runningCalls,
			WaitingTokens: s.waitingTokens, FailureRate: s.failureRate, PausedUntil: s.pausedUntil, Window: s.window.size,
			OthersRunning: s.reported.Running, OthersWaitingTokens: s.reported.Waiting, ReportedAt: s.reported.at, Speed: s.factor(now),
		}
		if s.announced != nil {
			d.Leaving, d.WaitUntil = s.announced.leaving, s.announced.waitUntil
		}
		if s.limit != nil {
			d.Limited, d.Limit, d.Share = true, s.limit.perSecond, s.limit.share.perSecond
		}
		if s.warmup != nil {
			d.ColdUntil, d.ColdUser = s.warmup.coldUntil, s.warmup.isUser
		}
		list = append(list, d)
	}
	slices.SortFunc(list, func(a, b ServerDump) int { return cmp.Compare(a.ID, b.ID) })
	return list
}
