package engine

import (
	"net/http"
	"time"

	"ibiswinch/standin/internal/host"
)

// LoadReport is the answer of GET /v1/load. All but CapacityTokens, Draining and Incarnation is as old as
// Config.LoadLag.
type LoadReport struct {
	Time    time.Time `json:"time"`
	Running int       `json:"running"`
	Waiting int       `json:"waiting"`
	// HeldTokens counts the prompt, prefix and produced tokens of running requests.
	HeldTokens int64 `json:"heldTokens"`
	// WaitingTokens counts the prompt and prefix tokens of waiting requests.
	WaitingTokens int64 `json:"waitingTokens"`
	// CapacityTokens is the limit of HeldTokens; 0 means none.
	CapacityTokens int64 `json:"capacityTokens"`
	Draining       bool  `json:"draining"`
	Incarnation    int   `json:"incarnation"`
}

// loadHistory keeps the reports that GET /v1/load may still return with the lag. Server.mu guards it.
type loadHistory struct {
	reports []LoadReport
}

// add adds a report and drops those before the newest one that isn't after until, which no reader gets any more.
func (l *loadHistory) add(report LoadReport, until time.Time) {
	l.reports = append(l.reports, report)
	first := 0
	for first+1 < len(l.reports) && !l.reports[first+1].Time.After(until) {
		first++
	}
	l.reports = append(l.reports[:0], l.reports[first:]...)
}

// at returns the newest report that isn't after a time, or an empty one.
func (l *loadHistory) at(until time.Time) LoadReport {
	var report LoadReport
	for _, r := range l.reports {
		if r.Time.After(until) {
			break
		}
		report = r
	}
	return report
}

// currentLoad returns the load without lag. The caller holds mu.
func (s *Server) currentLoad() LoadReport {
	return LoadReport{
		Time:           s.cfg.Now(),
		Running:        int(s.running.Load()),
		Waiting:        len(s.waiting),
		HeldTokens:     s.heldTokens.Load(),
		WaitingTokens:  s.waitingTokens,
		CapacityTokens: s.cfg.CapacityTokens,
		Draining:       !s.drainingSince.IsZero(),
		Incarnation:    s.incarnation,
	}
}

// recordLoad adds the current load to the history if there is a lag. The caller holds mu.
func (s *Server) recordLoad() {
	if s.cfg.LoadLag > 0 {
		s.loadHistory.add(s.currentLoad(), s.cfg.Now().Add(-s.cfg.LoadLag))
	}
}

// LoadReport returns what GET /v1/load returns.
func (s *Server) LoadReport() LoadReport {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.currentLoad()
	if s.cfg.LoadLag == 0 {
		return now
	}
	s.recordLoad()
	report := s.loadHistory.at(now.Time.Add(-s.cfg.LoadLag))
	report.CapacityTokens, report.Draining, report.Incarnation = now.CapacityTokens, now.Draining, now.Incarnation
	return report
}

func (s *Server) handleLoad(w http.ResponseWriter, _ *http.Request) {
	host.WriteJSON(w, http.StatusOK, s.LoadReport())
}
