// Package catalog holds the operator's configuration for routing by host and path: routes, services, teams and limits.
// A Catalog is immutable.
package catalog

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"ibiswinch/core/call"
)

// Destination is a service and its weight among the destinations of a route.
type Destination struct {
	Service string
	Weight  float64
}

// Route says which services get the calls of a host and path prefix, and how the calls are handled.
type Route struct {
	Name string
	Host string
	// Prefix begins and ends with a slash.
	Prefix       string
	Kind         call.Kind
	Destinations []Destination
	// MaxRuns is the largest number of times that backend servers may run one call, at least 1.
	MaxRuns int
	// Timeout bounds the time that a caller waits.
	Timeout time.Duration
	// TargetLatency is the time within which a caller should get its answer.
	TargetLatency time.Duration
	// Priority is the priority of the route, 0 is the highest.
	Priority int
	// Public routes need no API key.
	Public bool
	// Resumable routes have streams that another backend server can continue.
	Resumable bool
	// Regions are those whose backend servers may take the calls; all if there are none.
	Regions []string
	// Sticky routes send calls with the same leading prompt parts to the same backend server, which may have them cached.
	Sticky bool
}

// Repeatable reports whether a call of the route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == call.Idempotent || r.Kind == call.Stream && r.Resumable
}

// Service is a group of backend servers that do the same work.
type Service struct {
	Name string
	// MaxConnections bounds the connections to one server from all callers.
	MaxConnections int
	// HealthPath is the path that answers 200 while a server takes work.
	HealthPath string
	// Slots is the number of requests that a model engine runs at once, and KVCacheTokens the size of its KV cache in
	// tokens. Both are 0 for other services.
	Slots         int
	KVCacheTokens int64
	// EventTokens is the number of tokens in one event of a stream.
	EventTokens int64
	// ColdTime is how long a server is cold after its start. Until then it takes ColdPerSecond requests a second from all entry VMs
	// together; 0 if it takes any number.
	ColdTime      time.Duration
	ColdPerSecond float64
}

// Team is an organisation with API keys and a budget.
type Team struct {
	Name    string
	APIKeys []string
	// PrepaidTokens is the number of tokens that the team may use if Limited is set; otherwise there is no limit.
	PrepaidTokens int64
	Limited       bool
	// Priority replaces the priority of the route if HasPriority is set.
	Priority    int
	HasPriority bool
	// Regions are those whose backend servers may take the team's calls; all if there are none.
	Regions []string
}

// Rollout is the operator's order to move the traffic of a service to servers of another version.
type Rollout struct {
	Service string
	// Target is the version that all servers are to have after Duration.
	Target   string
	Duration time.Duration
}

// Evacuation is the operator's order to send nothing more to the servers of a failure domain.
type Evacuation struct {
	Domain string
}

// Limits bound what callers may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Catalog is one version of the configuration.
type Catalog struct {
	Version int64
	Limits  Limits

	services map[string]*Service
	teams    map[string]*Team
	byKey    map[string]*Team
	byHost   map[string][]*Route
	hasTeams bool
}

// Config is what a Catalog is built from.
type Config struct {
	Version  int64
	Routes   []Route
	Services []Service
	Teams    []Team
	Limits   Limits
	// HasTeams is set if calls need an API key; otherwise all routes are public.
	HasTeams bool
}

// ErrInvalid is returned for an invalid configuration.
var ErrInvalid = eris.New("invalid configuration")

// New validates a configuration and builds the catalog.
func New(cfg Config) (*Catalog, error) {
	if cfg.Version <= 0 {
		return nil, eris.Wrapf(ErrInvalid, "version %d is not positive", cfg.Version)
	}
	c := &Catalog{
		Version: cfg.Version, Limits: cfg.Limits, hasTeams: cfg.HasTeams,
		services: map[string]*Service{}, teams: map[string]*Team{}, byKey: map[string]*Team{}, byHost: map[string][]*Route{},
	}
	for _, s := range cfg.Services {
		c.services[s.Name] = &s
	}
	for _, t := range cfg.Teams {
		c.teams[t.Name] = &t
		for _, k := range t.APIKeys {
			c.byKey[k] = &t
		}
	}
	for _, r := range cfg.Routes {
		if err := c.addRoute(r); err != nil {
			return nil, err
		}
	}
	for _, routes := range c.byHost {
		slices.SortStableFunc(routes, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	return c, nil
}

func (c *Catalog) addRoute(r Route) error {
	if len(r.Destinations) == 0 {
		return eris.Wrapf(ErrInvalid, "route %q has no destination", r.Name)
	}
	r.Host = strings.ToLower(r.Host)
	r.MaxRuns = max(r.MaxRuns, 1)
	c.byHost[r.Host] = append(c.byHost[r.Host], &r)
	return nil
}

// Match returns the route of the host with the longest prefix that matches the path, nil if there is none.
func (c *Catalog) Match(host, path string) *Route {
	for _, r := range c.byHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// NeedsAPIKey reports whether calls on the route need the API key of a team.
func (c *Catalog) NeedsAPIKey(r *Route) bool { return c.hasTeams && !r.Public }

// TeamByAPIKey returns the team that an API key belongs to, nil if there is none.
func (c *Catalog) TeamByAPIKey(key string) *Team { return c.byKey[key] }

// Team returns a team by its name, nil if it is unknown.
func (c *Catalog) Team(name string) *Team { return c.teams[name] }

// Teams returns the names of all teams, sorted.
func (c *Catalog) Teams() []string {
	names := make([]string, 0, len(c.teams))
	for name := range c.teams {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// TeamCount returns the number of teams.
func (c *Catalog) TeamCount() int { return len(c.teams) }

// Service returns a service by its name. For an unknown name it returns a Service without limits.
func (c *Catalog) Service(name string) Service {
	if s := c.services[name]; s != nil {
		return *s
	}
	return Service{Name: name}
}

// Services returns all services, in no particular order.
func (c *Catalog) Services() []Service {
	list := make([]Service, 0, len(c.services))
	for _, s := range c.services {
		list = append(list, *s)
	}
	return list
}

// ChooseService chooses a service of the route in proportion to the weights. u is a random number in [0, 1).
func (r *Route) ChooseService(u float64) string {
	total := 0.0
	for _, d := range r.Destinations {
		total += max(d.Weight, 0)
	}
	left := u * total
	for _, d := range r.Destinations {
		left -= max(d.Weight, 0)
		if left < 0 {
			return d.Service
		}
	}
	return r.Destinations[0].Service
}
