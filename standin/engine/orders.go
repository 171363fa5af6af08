package engine

import (
	"fmt"
	"net/http"
	"sort"
	"time"

	"ibiswinch/standin/internal/host"
)

// ModelVersion is a loaded version of a model, or a loaded adapter of a version.
type ModelVersion struct {
	Model   string `json:"model"`
	Version string `json:"version"`
	Adapter string `json:"adapter,omitempty"`
}

// OrderAction is what an order does.
type OrderAction string

const (
	OrderLoadVersion   OrderAction = "loadVersion"
	OrderUnloadVersion OrderAction = "unloadVersion"
	OrderLoadAdapter   OrderAction = "loadAdapter"
	OrderUnloadAdapter OrderAction = "unloadAdapter"
	OrderSetRole       OrderAction = "setRole"
)

// Order is the body of POST /v1/orders.
type Order struct {
	// Fence is the fencing number. An engine that checks it rejects a number below the highest one it has seen.
	Fence  uint64      `json:"fence"`
	Action OrderAction `json:"action"`
	ModelVersion
	Role string `json:"role,omitempty"`
}

// LoadState says whether a version can be used.
type LoadState string

const (
	LoadStateLoading LoadState = "loading"
	LoadStateLoaded  LoadState = "loaded"
)

// VersionState is one version or adapter in State.
type VersionState struct {
	ModelVersion
	State LoadState `json:"state"`
}

// State is the answer of GET /v1/state.
type State struct {
	// Fence is the highest fencing number seen since the engine started.
	Fence       uint64         `json:"fence"`
	Role        string         `json:"role"`
	Draining    bool           `json:"draining"`
	Incarnation int            `json:"incarnation"`
	Versions    []VersionState `json:"versions"`
	Adapters    []VersionState `json:"adapters"`
}

// loadedModels holds the loaded versions and adapters, the role, and the fencing number. Server.mu guards it.
type loadedModels struct {
	fence uint64
	role  string
	// readyAt holds the time from which each version or adapter can be used.
	readyAt map[ModelVersion]time.Time
}

func newLoadedModels(cfg Config) loadedModels {
	l := loadedModels{role: cfg.Role, readyAt: map[ModelVersion]time.Time{}}
	for _, v := range cfg.Versions {
		l.readyAt[v] = time.Time{}
	}
	return l
}

// validate returns what is wrong with the order, or an empty text.
func (o Order) validate() string {
	adapter := o.Action == OrderLoadAdapter || o.Action == OrderUnloadAdapter
	switch o.Action {
	case OrderSetRole:
		if o.Role == "" {
			return "role is missing"
		}
		return ""
	case OrderLoadVersion, OrderUnloadVersion, OrderLoadAdapter, OrderUnloadAdapter:
	default:
		return fmt.Sprintf("unknown action %q", string(o.Action))
	}
	if o.Model == "" || o.Version == "" || adapter != (o.Adapter != "") {
		return "model, version or adapter is missing or out of place"
	}
	return ""
}

func (s *Server) handleOrder(w http.ResponseWriter, r *http.Request) {
	var order Order
	if !host.DecodeBody(w, r, maxControlBytes, &order) {
		return
	}
	if message := order.validate(); message != "" {
		host.WriteError(w, http.StatusBadRequest, "badRequest", message)
		return
	}
	if !s.applyOrder(order) {
		host.WriteError(w, http.StatusConflict, "staleFence", "a higher fencing number was seen")
		return
	}
	host.WriteJSON(w, http.StatusOK, s.State())
}

// applyOrder carries out an order, or returns false if its fencing number is stale.
func (s *Server) applyOrder(o Order) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.cfg.IgnoreFence && o.Fence < s.loadedModels.fence {
		s.totals.StaleOrders++
		return false
	}
	s.loadedModels.fence = max(s.loadedModels.fence, o.Fence)
	s.totals.Orders++
	switch o.Action {
	case OrderLoadVersion, OrderLoadAdapter:
		if _, ok := s.loadedModels.readyAt[o.ModelVersion]; !ok {
			s.loadedModels.readyAt[o.ModelVersion] = s.cfg.Now().Add(s.cfg.LoadDelay)
		}
	case OrderUnloadVersion, OrderUnloadAdapter:
		delete(s.loadedModels.readyAt, o.ModelVersion)
	case OrderSetRole:
		s.loadedModels.role = o.Role
	}
	return true
}

// State returns what GET /v1/state returns.
func (s *Server) State() State {
	s.mu.Lock()
	defer s.mu.Unlock()
	state := State{
		Fence:       s.loadedModels.fence,
		Role:        s.loadedModels.role,
		Draining:    !s.drainingSince.IsZero(),
		Incarnation: s.incarnation,
		Versions:    []VersionState{},
		Adapters:    []VersionState{},
	}
	now := s.cfg.Now()
	for v, ready := range s.loadedModels.readyAt {
		vs := VersionState{ModelVersion: v, State: LoadStateLoaded}
		if now.Before(ready) {
			vs.State = LoadStateLoading
		}
		if v.Adapter != "" {
			state.Adapters = append(state.Adapters, vs)
		} else {
			state.Versions = append(state.Versions, vs)
		}
	}
	sortVersions(state.Versions)
	sortVersions(state.Adapters)
	return state
}

func sortVersions(v []VersionState) {
	sort.Slice(v, func(i, j int) bool {
		a, b := v[i].ModelVersion, v[j].ModelVersion
		if a.Model != b.Model {
			return a.Model < b.Model
		}
		if a.Version != b.Version {
			return a.Version < b.Version
		}
		return a.Adapter < b.Adapter
	})
}

// findVersion returns the version to run: the named one, or else the lowest loaded one of the model. ready is false
// while that version is loading. found is empty if there is none. The caller holds mu.
func (l *loadedModels) findVersion(model, version string, now time.Time) (found string, ready bool) {
	for v, at := range l.readyAt {
		if v.Model != model || v.Adapter != "" || version != "" && v.Version != version {
			continue
		}
		isReady := !now.Before(at)
		better := found == "" || isReady && !ready || isReady == ready && v.Version < found
		if better {
			found, ready = v.Version, isReady
		}
	}
	return found, ready
}

func (s *Server) handleState(w http.ResponseWriter, _ *http.Request) {
	host.WriteJSON(w, http.StatusOK, s.State())
}
