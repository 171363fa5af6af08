package engine

import (
	"net/http"

	"ibiswinch/standin/internal/host"
)

// Response headers of completions.
const (
	headerVersion  = "Engine-Version"
	headerDraining = "Engine-Draining"
)

func (s *Server) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+RouteCompletions, s.handleCompletion)
	mux.HandleFunc("POST "+RouteChat, s.handleCompletion)
	mux.HandleFunc("POST /v1/cancel", s.handleCancel)
	mux.HandleFunc("GET /v1/events", s.handleEvents)
	mux.HandleFunc("GET /v1/load", s.handleLoad)
	mux.HandleFunc("POST /v1/orders", s.handleOrder)
	mux.HandleFunc("GET /v1/state", s.handleState)
	mux.HandleFunc("GET /v1/runs", s.handleRuns)
	mux.HandleFunc("POST /draining", s.handleDraining)
	mux.HandleFunc("POST /faults", s.handleFaults)
	return mux
}

func (s *Server) handleCompletion(w http.ResponseWriter, r *http.Request) {
	var req request
	if !host.DecodeBody(w, r, maxRequestBytes, &req) {
		s.countRefused()
		return
	}
	run, refused := s.newRun(req, r.URL.Path, http.NewResponseController(w))
	if refused == nil {
		refused = s.enqueue(run)
	}
	if s.isDraining() {
		w.Header().Set(headerDraining, "true")
	}
	if refused != nil {
		s.refuse(w, *refused)
		return
	}
	w.Header().Set(headerVersion, run.version)
	h := answerHeader{ID: req.RequestID, Created: s.cfg.Now().Unix(), Model: req.Model, Chat: run.route == RouteChat}
	var out answerWriter = &bufferedWriter{w: w, header: h}
	if req.Stream {
		out = newStreamWriter(w, run.controller, h, req.StreamOptions.IncludeUsage)
	}
	s.serveRun(w, r, run, out)
}

// newRun validates a request and returns its run, or the refusal.
func (s *Server) newRun(req request, route string, controller *http.ResponseController) (*run, *refusal) {
	prompt, err := req.prompt(route)
	if err != nil {
		return nil, &refusal{status: http.StatusBadRequest, code: "badRequest", message: err.Error()}
	}
	from, ok := prompt.resumePosition(req.Prefix)
	if !ok {
		return nil, &refusal{status: http.StatusBadRequest, code: "badPrefix", message: "prefix isn't the start of the answer"}
	}
	s.mu.Lock()
	version, ready := s.loadedModels.findVersion(req.Model, req.Version, s.cfg.Now())
	s.mu.Unlock()
	switch {
	case version == "":
		return nil, &refusal{status: http.StatusNotFound, code: "notLoaded", message: "version is not loaded"}
	case !ready:
		return nil, &refusal{status: http.StatusServiceUnavailable, code: "loading", message: "version is loading"}
	}
	return &run{
		id:         req.RequestID,
		prompt:     prompt,
		route:      route,
		version:    version,
		priority:   req.Priority,
		from:       from,
		to:         min(prompt.AnswerTokens(), from+req.maxTokens()),
		started:    make(chan struct{}),
		stop:       make(chan struct{}),
		controller: controller,
	}, nil
}

// serveRun waits until the run starts, and sends its answer.
func (s *Server) serveRun(w http.ResponseWriter, r *http.Request, run *run, out answerWriter) {
	o := outcomeCancelled
	select {
	case <-run.started:
		o = s.generate(r.Context(), run, out)
	case <-run.stop:
	case <-r.Context().Done():
	}
	// The run is finished before the end of its answer is sent, so that a caller that has the answer sees its counters.
	o = s.finishRun(run, o)
	switch {
	case o == outcomeFailed && run.faults.failStatus != 0:
		host.WriteError(w, run.faults.failStatus, "internal", "fault by request")
	case o == outcomeFailed || o == outcomeCrashed || r.Context().Err() != nil:
		host.AbortConnection()
	default:
		_ = out.finish(run.finishReason(o), run.usage(), s.isDraining())
	}
}

func (s *Server) isDraining() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.drainingSince.IsZero()
}

func (s *Server) countRefused() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.totals.Refused++
}

func (s *Server) refuse(w http.ResponseWriter, f refusal) {
	s.countRefused()
	if f.status == http.StatusServiceUnavailable {
		w.Header().Set("Retry-After", "1")
	}
	host.WriteError(w, f.status, f.code, f.message)
}

type cancelRequest struct {
	RequestID string `json:"request_id"`
}

type cancelReply struct {
	Cancelled int `json:"cancelled"`
}

func (s *Server) handleCancel(w http.ResponseWriter, r *http.Request) {
	var req cancelRequest
	if !host.DecodeBody(w, r, maxControlBytes, &req) {
		return
	}
	if req.RequestID == "" {
		host.WriteError(w, http.StatusBadRequest, "badRequest", "request_id is missing")
		return
	}
	host.WriteJSON(w, http.StatusOK, cancelReply{Cancelled: s.Cancel(req.RequestID)})
}

func (s *Server) handleRuns(w http.ResponseWriter, r *http.Request) {
	host.WriteJSON(w, http.StatusOK, s.Runs(r.URL.Query().Get("requestId")))
}

type drainingRequest struct {
	Draining bool `json:"draining"`
}

func (s *Server) handleDraining(w http.ResponseWriter, r *http.Request) {
	var req drainingRequest
	if host.DecodeBody(w, r, maxControlBytes, &req) {
		s.SetDraining(req.Draining)
	}
}

func (s *Server) handleFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if !host.DecodeBody(w, r, maxControlBytes, &f) {
		return
	}
	if err := f.Validate(); err != nil {
		host.WriteError(w, http.StatusBadRequest, "badRequest", err.Error())
		return
	}
	w.Header().Set("Content-Length", "0")
	w.WriteHeader(http.StatusOK)
	if f.Crash {
		_ = http.NewResponseController(w).Flush()
	}
	_ = s.SetFaults(f)
}
