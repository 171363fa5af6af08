// Package config holds the inventory and the rules: the format of their INI texts, their validation, and History, which
// tells from the publications in the log which one is in force.
package config

import (
	"crypto/sha256"
	"net/netip"
	"time"

	"ibiswinch/core/settings"
)

// State says whether a backend server takes new work.
type State string

// States of a backend server.
const (
	Active State = "active"
	// Leaving servers finish their work and get no new one.
	Leaving State = "leaving"
)

// Domain is a failure domain.
type Domain struct {
	Name   string
	Region string
	// Slots is the largest number of entry VMs that run in the domain at once. Each has a slot number below Slots in its
	// settings; the capacity of the backend servers is divided among the slots.
	Slots int
}

// Engine is a model engine.
type Engine struct {
	Name    string
	Address netip.AddrPort
	Domain  string
	Model   string
	// Versions are the model versions that the engine serves. The first one is its default.
	Versions []string
	// CapacityTokens is how many tokens may be in flight or queued.
	CapacityTokens uint64
	// ChecksFencing is true if the engine refuses orders with a stale fencing number. It isn't used yet: orders to engines
	// are not implemented.
	ChecksFencing bool
	State         State
}

// Server is a backend server of a plain service.
type Server struct {
	Name    string
	Address netip.AddrPort
	Domain  string
	Service string
	Version string
	State   State
}

// Inventory lists the failure domains and backend servers that exist. Each list is in the order of the text.
type Inventory struct {
	Domains []Domain
	Engines []Engine
	Servers []Server
}

// TopUp adds tokens to the prepaid budget of a team. A top-up is applied once per ID.
type TopUp struct {
	ID     string
	Tokens uint64
}

// Team is an organisation with a prepaid budget.
type Team struct {
	Name string
	// KeyHashes are the SHA-256 digests of the team's API keys.
	KeyHashes []settings.Digest
	// Priority is from 0 (lowest) to 9 and is passed on to the engines.
	Priority int
	TopUps   []TopUp
	// Models are the models that the team may use.
	Models []string
}

// PrepaidTokens sums the top-ups.
func (t Team) PrepaidTokens() uint64 {
	var sum uint64
	for _, u := range t.TopUps {
		sum += u.Tokens
	}
	return sum
}

// AllowsModel reports whether the team may use a model.
func (t Team) AllowsModel(name string) bool {
	for _, m := range t.Models {
		if m == name {
			return true
		}
	}
	return false
}

// Model is a model that callers can name.
type Model struct {
	Name string
	// DefaultOutputTokens is the limit for a request that sets none.
	DefaultOutputTokens uint64
	MaxOutputTokens     uint64
	Routes              []Route
}

// Route is a caller-facing path that serves models.
type Route string

// Routes of models.
const (
	RouteChat       Route = "/v1/chat/completions"
	RouteCompletion Route = "/v1/completions"
)

// Change is a request to replace a model version by another one.
type Change struct {
	Name     string
	Model    string
	From     string
	To       string
	Deadline time.Time
	// Stages are the shares of traffic that the new version gets one after the other, growing to 1.
	Stages []float64
}

// Rules are the teams, models, services, version changes and limits.
type Rules struct {
	Teams    []Team
	Models   []Model
	Services []Service
	Changes  []Change
	Limits   Limits
}

// Limits hold for all entry VMs.
type Limits struct {
	// StreamBufferBytes is the size of the buffer between an engine and a caller. When it has been full for
	// SlowReaderDeadline, the attempt at the engine is ended.
	StreamBufferBytes  uint64
	SlowReaderDeadline time.Duration
	RequestTimeout     time.Duration
	MaxRequestBytes    uint64
	// MinGrantTokens is the least that a holder wants to hold of a team. OutageHorizon is how long a grant lasts at the
	// recent rate while the log is unavailable.
	MinGrantTokens uint64
	OutageHorizon  time.Duration
	// SliceHorizon is how long the slices of a team at an entry VM last at the recent rate.
	SliceHorizon time.Duration
	// MaxPendingBills is the number of bill lines of an entry VM waiting for the log at which it refuses new requests.
	MaxPendingBills uint64
	// QuarantineTime is how long a request that crashes backend servers is refused.
	QuarantineTime time.Duration
}

// Config is a valid pair of inventory and rules. It is immutable.
type Config struct {
	Inventory Inventory
	Rules     Rules

	teams    map[string]int
	teamKeys map[settings.Digest]int
	models   map[string]int
	services map[string]int
	domains  map[string]int
}

func (c *Config) index() {
	c.teams = indexBy(c.Rules.Teams, func(t Team) string { return t.Name })
	c.models = indexBy(c.Rules.Models, func(m Model) string { return m.Name })
	c.services = indexBy(c.Rules.Services, func(s Service) string { return s.Name })
	c.domains = indexBy(c.Inventory.Domains, func(d Domain) string { return d.Name })
	c.teamKeys = map[settings.Digest]int{}
	for i, t := range c.Rules.Teams {
		for _, h := range t.KeyHashes {
			c.teamKeys[h] = i
		}
	}
}

func indexBy[T any](list []T, name func(T) string) map[string]int {
	m := make(map[string]int, len(list))
	for i, one := range list {
		m[name(one)] = i
	}
	return m
}

func lookUp[T any, K comparable](list []T, index map[K]int, key K) (T, bool) {
	i, found := index[key]
	if !found {
		var zero T
		return zero, false
	}
	return list[i], true
}

// Team returns a team by name.
func (c *Config) Team(name string) (Team, bool) { return lookUp(c.Rules.Teams, c.teams, name) }

// TeamOfKey returns the team that an API key belongs to.
func (c *Config) TeamOfKey(key string) (Team, bool) {
	return lookUp(c.Rules.Teams, c.teamKeys, settings.Digest(sha256.Sum256([]byte(key))))
}

// Model returns a model by name.
func (c *Config) Model(name string) (Model, bool) { return lookUp(c.Rules.Models, c.models, name) }

// Service returns a plain service by name.
func (c *Config) Service(name string) (Service, bool) {
	return lookUp(c.Rules.Services, c.services, name)
}

// Domain returns a failure domain by name.
func (c *Config) Domain(name string) (Domain, bool) {
	return lookUp(c.Inventory.Domains, c.domains, name)
}
