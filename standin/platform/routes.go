package platform

import (
	"context"
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"ibiswinch/standin/internal/host"
)

func (s *Server) routes() {
	s.mux.HandleFunc("POST /v1/streams/{stream}/records", s.handleAppend)
	s.mux.HandleFunc("GET /v1/streams/{stream}/records", s.handleRead)
	s.mux.HandleFunc("GET /v1/vms", s.handleVMs)
	s.mux.HandleFunc("PUT /v1/vms", s.handleSetVMs)
	s.mux.HandleFunc("GET /v1/servers", s.handleServers)
	s.mux.HandleFunc("PUT /v1/servers", s.handleSetServers)
	s.mux.HandleFunc("POST /v1/weights/{model}/{version}", s.handleWeights)
	s.mux.HandleFunc("POST /faults", s.handleSetFaults)
	s.mux.HandleFunc("GET /faults", s.handleFaults)
	s.mux.HandleFunc("GET /stats", s.handleStats)
}

type appendReply struct {
	Offset uint64 `json:"offset"`
}

func (s *Server) handleAppend(w http.ResponseWriter, r *http.Request) {
	faults := s.beginRequest(&s.stats.AppendRequests)
	data, ok := host.ReadBody(w, r, s.cfg.MaxBatchBytes)
	if !ok || !applyLogFaults(w, r, faults) {
		return
	}
	if !json.Valid(data) {
		host.WriteError(w, http.StatusBadRequest, "badRequest", "body is not JSON")
		return
	}
	offset, loseMode := s.appendWithFaults(r.PathValue("stream"), data)
	switch loseMode {
	case LoseCut:
		host.AbortConnection()
	case LoseHang:
		<-r.Context().Done()
		host.AbortConnection()
	default:
		host.WriteJSON(w, http.StatusOK, appendReply{Offset: offset})
	}
}

// appendWithFaults appends data and returns how its answer is lost; empty means that the answer is sent.
func (s *Server) appendWithFaults(name string, data json.RawMessage) (offset uint64, loseMode LoseMode) {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.stream(name)
	offset = st.append(s.cfg.Now(), data)
	s.stats.Appends++
	s.stats.AppendBytes += uint64(len(data))
	if s.faults.Duplicates > 0 {
		s.faults.Duplicates--
		s.stats.Duplicates++
		s.duplicate(st, data)
	}
	if s.faults.LoseAnswers == 0 {
		return offset, ""
	}
	s.faults.LoseAnswers--
	s.stats.LostAnswers++
	if s.faults.LoseMode == LoseHang {
		return offset, LoseHang
	}
	return offset, LoseCut
}

// duplicate stores data again, at once or after DuplicateAfter other appends. The caller holds mu.
func (s *Server) duplicate(st *stream, data json.RawMessage) {
	if s.faults.DuplicateAfter == 0 {
		st.append(s.cfg.Now(), data)
		return
	}
	st.pendingDuplicates = append(st.pendingDuplicates, delayedDuplicate{data: data, remaining: s.faults.DuplicateAfter - 1})
}

// activeFaults are the faults that apply to a request.
type activeFaults struct {
	Faults
	// changed is closed when the faults of the stand-in are replaced.
	changed <-chan struct{}
}

// beginRequest increments counter and returns the faults that apply to the request. Both happen in one step: a test
// that has seen the counter may end the faults.
func (s *Server) beginRequest(counter *uint64) activeFaults {
	s.mu.Lock()
	defer s.mu.Unlock()
	*counter++
	return s.activeFaults()
}

// activeFaults returns the faults that are active now. The caller holds mu.
func (s *Server) activeFaults() activeFaults {
	return activeFaults{Faults: s.faults, changed: s.faultsChanged}
}

// applyLogFaults applies the faults of the log to a request and reports whether the request is to proceed.
func applyLogFaults(w http.ResponseWriter, r *http.Request, f activeFaults) bool {
	if !f.Until.IsZero() && !time.Now().Before(f.Until) {
		f.Log = LogUp
	}
	switch f.Log {
	case LogUnavailable:
		host.WriteError(w, http.StatusServiceUnavailable, "unavailable", "log is unavailable")
		return false
	case LogHang:
		// The request is dropped even if the fault ends first, since its caller may have left unnoticed.
		waitForFaultChange(r.Context(), f.Until, f.changed)
		host.AbortConnection()
	case LogCut, LogRefused:
		host.AbortConnection()
	}
	return sleep(r.Context(), time.Duration(f.SlowMs)*time.Millisecond)
}

// waitForFaultChange returns when changed is closed, at until if that isn't zero, or when ctx is done.
func waitForFaultChange(ctx context.Context, until time.Time, changed <-chan struct{}) {
	var timeout <-chan time.Time
	if !until.IsZero() {
		timeout = time.After(time.Until(until))
	}
	select {
	case <-changed:
	case <-timeout:
	case <-ctx.Done():
	}
}

// sleep waits for d and reports false if ctx is done first.
func sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return true
	}
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}

type page struct {
	Oldest  uint64  `json:"oldest"`
	Next    uint64  `json:"next"`
	Entries []Entry `json:"entries"`
}

type pageQuery struct {
	from  uint64
	limit int
	wait  time.Duration
}

func parsePageQuery(r *http.Request) (pageQuery, error) {
	q := pageQuery{limit: maxPageEntries}
	values := r.URL.Query()
	var err error
	if v := values.Get("from"); v != "" {
		if q.from, err = strconv.ParseUint(v, 10, 64); err != nil {
			return q, eris.Wrap(err, "from")
		}
	}
	if v := values.Get("limit"); v != "" {
		if q.limit, err = strconv.Atoi(v); err != nil || q.limit < 1 {
			return q, eris.New("limit is not a positive number")
		}
	}
	if v := values.Get("waitMs"); v != "" {
		ms, err := strconv.Atoi(v)
		if err != nil || ms < 0 {
			return q, eris.New("waitMs is not a number")
		}
		q.wait = min(time.Duration(ms)*time.Millisecond, maxWait)
	}
	q.limit = min(q.limit, maxPageEntries)
	return q, nil
}

func (s *Server) handleRead(w http.ResponseWriter, r *http.Request) {
	q, err := parsePageQuery(r)
	if err != nil {
		host.WriteError(w, http.StatusBadRequest, "badRequest", err.Error())
		return
	}
	if !applyLogFaults(w, r, s.beginRequest(&s.stats.Reads)) {
		return
	}
	deadline := time.After(q.wait)
	for {
		p, appended, faults := s.readPage(r.PathValue("stream"), q)
		if len(p.Entries) > 0 || q.wait == 0 {
			host.WriteJSON(w, http.StatusOK, p)
			return
		}
		select {
		case <-appended:
		case <-faults:
		case <-deadline:
			q.wait = 0
		case <-r.Context().Done():
			return
		}
		// An outage that begins during a long poll ends it.
		s.mu.Lock()
		current := s.activeFaults()
		s.mu.Unlock()
		if !applyLogFaults(w, r, current) {
			return
		}
	}
}

// readPage returns a page of entries, and channels that are closed at the next append and when the faults change.
func (s *Server) readPage(name string, q pageQuery) (p page, appended, faults <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.stream(name)
	entries := st.read(q.from, q.limit, maxPageBytes)
	if entries == nil {
		entries = []Entry{}
	}
	return page{Oldest: st.oldest, Next: st.next(), Entries: entries}, st.appended, s.faultsChanged
}

// listTime returns the time whose lists readers get. The caller holds mu.
func (s *Server) listTime() time.Time {
	return s.cfg.Now().Add(-time.Duration(s.faults.ListLagMs) * time.Millisecond)
}

func (s *Server) handleVMs(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	s.stats.VMReads++
	list := s.vms.versionAt(s.listTime())
	s.mu.Unlock()
	host.WriteJSON(w, http.StatusOK, list)
}

func (s *Server) handleServers(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	s.stats.ServerReads++
	list := s.servers.versionAt(s.listTime())
	s.mu.Unlock()
	host.WriteJSON(w, http.StatusOK, list)
}

func (s *Server) handleSetVMs(w http.ResponseWriter, r *http.Request) {
	var list vmList
	if host.DecodeBody(w, r, maxListBytes, &list) {
		s.SetVMs(list.VMs)
	}
}

func (s *Server) handleSetServers(w http.ResponseWriter, r *http.Request) {
	var list serverList
	if host.DecodeBody(w, r, maxListBytes, &list) {
		s.SetServers(list.Servers)
	}
}

func (s *Server) handleWeights(w http.ResponseWriter, _ *http.Request) {
	retryAfter := s.takeWeightToken()
	if retryAfter == 0 {
		return
	}
	w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(retryAfter.Seconds()))))
	host.WriteError(w, http.StatusTooManyRequests, "rateLimited", "weight store is over its rate limit")
}

// takeWeightToken takes one token from the weight store's bucket and returns 0, or returns the time until one is
// available.
func (s *Server) takeWeightToken() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cfg.WeightReadsPerSecond == 0 {
		s.stats.WeightReads++
		return 0
	}
	now := s.cfg.Now()
	s.weightTokens += now.Sub(s.weightTokensAt).Seconds() * s.cfg.WeightReadsPerSecond
	s.weightTokens = min(s.weightTokens, float64(s.cfg.WeightReadBurst))
	s.weightTokensAt = now
	if s.weightTokens < 1 {
		s.stats.WeightRefusals++
		wait := (1 - s.weightTokens) / s.cfg.WeightReadsPerSecond
		return max(1, time.Duration(wait*float64(time.Second)))
	}
	s.weightTokens--
	s.stats.WeightReads++
	return 0
}

func (s *Server) handleSetFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if !host.DecodeBody(w, r, maxFaultBytes, &f) {
		return
	}
	if f.Log == LogRefused && f.Until.IsZero() {
		host.WriteError(w, http.StatusBadRequest, "badRequest", "refused needs until, since no request can end it")
		return
	}
	if err := f.Validate(); err != nil {
		host.WriteError(w, http.StatusBadRequest, "badRequest", err.Error())
		return
	}
	// The answer is sent before the listener closes.
	w.Header().Set("Content-Length", "0")
	w.WriteHeader(http.StatusOK)
	if f.Log == LogRefused {
		_ = http.NewResponseController(w).Flush()
	}
	if err := s.SetFaults(f); err != nil {
		host.AbortConnection()
	}
}

func (s *Server) handleFaults(w http.ResponseWriter, _ *http.Request) {
	host.WriteJSON(w, http.StatusOK, s.Faults())
}

func (s *Server) handleStats(w http.ResponseWriter, _ *http.Request) {
	host.WriteJSON(w, http.StatusOK, s.Stats())
}
