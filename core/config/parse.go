package config

import (
	"fmt"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"ibiswinch/core/settings"
)

// Names of the inventory and the rules in error messages.
const (
	InventoryFile = "inventory.ini"
	RulesFile     = "rules.ini"
)

// maxTokens bounds each number of tokens in the inventory and the rules, so that sums of top-ups stay far from overflow.
const maxTokens = 1 << 50

// maxTopUps bounds the top-ups of a team, for the same reason.
const maxTopUps = 4096

// Parse parses both texts and validates them together. The error is settings.Problems with all errors.
func Parse(inventory, rules string) (*Config, error) {
	p := &parser{
		inventory: settings.Parse(InventoryFile, inventory),
		rules:     settings.Parse(RulesFile, rules),
	}
	p.readRules()
	p.readInventory()
	err := settings.Join(p.inventory.Finish(), p.rules.Finish())
	if err != nil {
		return nil, err
	}
	p.cfg.index()
	return &p.cfg, nil
}

// Fields returns all keys of the inventory and the rules, for the documentation.
func Fields() (inventory, rules []settings.Field) {
	p := &parser{
		inventory: settings.Parse(InventoryFile, "[domain \"d\"]\n[engine \"e\"]\n[server \"s\"]\n"),
		rules:     settings.Parse(RulesFile, "[team \"t\"]\n[model \"m\"]\n[service \"s\"]\n[change \"c\"]\n"),
	}
	p.readRules()
	p.readInventory()
	return p.inventory.Fields(), p.rules.Fields()
}

type parser struct {
	inventory *settings.File
	rules     *settings.File
	cfg       Config
}

func (p *parser) readInventory() {
	inv := &p.cfg.Inventory
	var domains []string
	for _, s := range p.inventory.NamedSections("domain") {
		inv.Domains = append(inv.Domains, Domain{
			Name:   s.Name,
			Region: settings.Required(s, "region", settings.Name),
			Slots:  int(settings.Optional(s, "slots", settings.Count(1, 1024), "4")),
		})
		domains = append(domains, s.Name)
	}
	models := names(p.cfg.Rules.Models, func(m Model) string { return m.Name })
	services := names(p.cfg.Rules.Services, func(v Service) string { return v.Name })
	seenServers := uniqueServers{names: map[string]bool{}, addresses: map[netip.AddrPort]string{}}
	for _, s := range p.inventory.NamedSections("engine") {
		e := readEngine(s)
		s.CheckReference("domain", "failure domain", e.Domain, domains)
		s.CheckReference("model", "model", e.Model, models)
		seenServers.check(s, e.Address)
		inv.Engines = append(inv.Engines, e)
	}
	for _, s := range p.inventory.NamedSections("server") {
		v := readServer(s)
		s.CheckReference("domain", "failure domain", v.Domain, domains)
		s.CheckReference("service", "service", v.Service, services)
		seenServers.check(s, v.Address)
		inv.Servers = append(inv.Servers, v)
	}
}

func names[T any](list []T, name func(T) string) []string {
	all := make([]string, len(list))
	for i, one := range list {
		all[i] = name(one)
	}
	return all
}

// uniqueServers finds backend servers with the same name or address.
type uniqueServers struct {
	names     map[string]bool
	addresses map[netip.AddrPort]string
}

func (u uniqueServers) check(s *settings.Section, address netip.AddrPort) {
	if u.names[s.Name] {
		s.Problemf("", "another backend server has the same name")
	}
	u.names[s.Name] = true
	if !address.IsValid() {
		return
	}
	if other, taken := u.addresses[address]; taken {
		s.Problemf("address", "%v is also the address of %q", address, other)
	}
	u.addresses[address] = s.Name
}

var stateType = settings.OneOf(Active, Leaving)

func readEngine(s *settings.Section) Engine {
	e := Engine{
		Name:           s.Name,
		Address:        settings.Required(s, "address", settings.Address),
		Domain:         settings.Required(s, "domain", settings.Name),
		Model:          settings.Required(s, "model", settings.Name),
		Versions:       settings.RequiredList(s, "versions", settings.Name),
		CapacityTokens: settings.Required(s, "capacityTokens", tokensType),
		ChecksFencing:  settings.Optional(s, "checksFencing", settings.Bool, "no"),
		State:          settings.Optional(s, "state", stateType, string(Active)),
	}
	checkUnique(s, "versions", e.Versions, func(v string) string { return v })
	return e
}

func readServer(s *settings.Section) Server {
	return Server{
		Name:    s.Name,
		Address: settings.Required(s, "address", settings.Address),
		Domain:  settings.Required(s, "domain", settings.Name),
		Service: settings.Required(s, "service", settings.Name),
		Version: settings.Required(s, "version", settings.Name),
		State:   settings.Optional(s, "state", stateType, string(Active)),
	}
}

func checkUnique[T any, K comparable](s *settings.Section, key string, list []T, keyOf func(T) K) {
	seen := map[K]bool{}
	for _, one := range list {
		if seen[keyOf(one)] {
			s.Problemf(key, "%v appears twice", keyOf(one))
		}
		seen[keyOf(one)] = true
	}
}

var tokensType = settings.ValueType[uint64]{Name: "tokens", Parse: settings.Count(1, maxTokens).Parse}

var topUpType = settings.ValueType[TopUp]{Name: "identity:tokens", Parse: func(text string) (TopUp, error) {
	id, tokens, found := strings.Cut(text, ":")
	if !found {
		return TopUp{}, fmt.Errorf("%q is not a top-up such as 2026-06:5000000", text)
	}
	if _, err := settings.Name.Parse(id); err != nil {
		return TopUp{}, fmt.Errorf("top-up identity: %w", err)
	}
	n, err := tokensType.Parse(tokens)
	if err != nil {
		return TopUp{}, fmt.Errorf("top-up %s: %w", id, err)
	}
	return TopUp{ID: id, Tokens: n}, nil
}}

func (p *parser) readRules() {
	r := &p.cfg.Rules
	r.Models = p.readModels()
	models := names(r.Models, func(m Model) string { return m.Name })
	r.Teams = p.readTeams(models)
	r.Services = p.readServices()
	r.Changes = p.readChanges(models)
	r.Limits = readLimits(p.rules.UnnamedSection("limits"))
}

func (p *parser) readModels() []Model {
	var list []Model
	routes := settings.OneOf(RouteChat, RouteCompletion)
	allRoutes := string(RouteChat + "," + RouteCompletion)
	for _, s := range p.rules.NamedSections("model") {
		m := Model{
			Name:                s.Name,
			DefaultOutputTokens: settings.Optional(s, "defaultOutputTokens", tokensType, "512"),
			MaxOutputTokens:     settings.Required(s, "maxOutputTokens", tokensType),
			Routes:              settings.List(s, "routes", routes, allRoutes),
		}
		if m.MaxOutputTokens > 0 && m.DefaultOutputTokens > m.MaxOutputTokens {
			s.Problemf("defaultOutputTokens", "%d is above maxOutputTokens %d", m.DefaultOutputTokens, m.MaxOutputTokens)
		}
		checkUnique(s, "routes", m.Routes, func(r Route) Route { return r })
		list = append(list, m)
	}
	return list
}

func (p *parser) readTeams(models []string) []Team {
	var list []Team
	owners := map[settings.Digest]string{}
	priority := settings.Count(0, 9)
	for _, s := range p.rules.NamedSections("team") {
		t := Team{
			Name:      s.Name,
			KeyHashes: settings.RequiredList(s, "keySha256", settings.SHA256),
			Priority:  int(settings.Optional(s, "priority", priority, "5")),
			TopUps:    settings.List(s, "topUpTokens", topUpType, ""),
			Models:    settings.List(s, "models", settings.Name, ""),
		}
		for _, h := range t.KeyHashes {
			if owner, taken := owners[h]; taken {
				s.Problemf("keySha256", "the key already belongs to team %q", owner)
			}
			owners[h] = s.Name
		}
		for _, m := range t.Models {
			s.CheckReference("models", "model", m, models)
		}
		if len(t.TopUps) > maxTopUps {
			s.Problemf("topUpTokens", "more than %d top-ups", maxTopUps)
		}
		checkUnique(s, "topUpTokens", t.TopUps, func(u TopUp) string { return u.ID })
		list = append(list, t)
	}
	return list
}

func (p *parser) readServices() []Service {
	var list []Service
	timeout := settings.Duration(time.Millisecond, time.Hour)
	for _, s := range p.rules.NamedSections("service") {
		v := Service{
			Name:          s.Name,
			Timeout:       settings.Optional(s, "timeout", timeout, "30s"),
			Idempotent:    settings.List(s, "idempotent", callPatternType, ""),
			NotIdempotent: settings.List(s, "notIdempotent", callPatternType, ""),
		}
		all := append(append([]CallPattern{}, v.Idempotent...), v.NotIdempotent...)
		checkUnique(s, "notIdempotent", all, func(c CallPattern) CallPattern { return c })
		list = append(list, v)
	}
	return list
}

func (p *parser) readChanges(models []string) []Change {
	var list []Change
	stage := settings.Percent(0.001, 100)
	for _, s := range p.rules.NamedSections("change") {
		c := Change{
			Name:     s.Name,
			Model:    settings.Required(s, "model", settings.Name),
			From:     settings.Required(s, "from", settings.Name),
			To:       settings.Required(s, "to", settings.Name),
			Deadline: settings.Required(s, "deadline", settings.Time),
			Stages:   settings.List(s, "stages", stage, "0.5%,5%,25%,50%,100%"),
		}
		s.CheckReference("model", "model", c.Model, models)
		if c.From == c.To && c.From != "" {
			s.Problemf("to", "%q is also the old version", c.To)
		}
		checkStages(s, c.Stages)
		list = append(list, c)
	}
	return list
}

func checkStages(s *settings.Section, stages []float64) {
	previous := 0.0
	for _, share := range stages {
		if share <= previous {
			s.Problemf("stages", "%s%% doesn't grow", strconv.FormatFloat(100*share, 'g', 6, 64))
		}
		previous = share
	}
	if len(stages) > 0 && previous != 1 {
		s.Problemf("stages", "the last stage is not 100%%")
	}
}

func readLimits(s *settings.Section) Limits {
	return Limits{
		StreamBufferBytes:  settings.Optional(s, "streamBuffer", settings.Bytes(4*settings.KiB, 4*settings.MiB), "64KiB"),
		SlowReaderDeadline: settings.Optional(s, "slowReaderDeadline", settings.Duration(100*time.Millisecond, time.Hour), "10s"),
		RequestTimeout:     settings.Optional(s, "requestTimeout", settings.Duration(time.Second, 24*time.Hour), "10m"),
		MaxRequestBytes:    settings.Optional(s, "maxRequest", settings.Bytes(settings.KiB, 64*settings.MiB), "1MiB"),
		MinGrantTokens:     settings.Optional(s, "minGrantTokens", tokensType, "4096"),
		OutageHorizon:      settings.Optional(s, "outageHorizon", settings.Duration(time.Second, 24*time.Hour), "15m"),
		SliceHorizon:       settings.Optional(s, "sliceHorizon", settings.Duration(100*time.Millisecond, time.Hour), "2s"),
		MaxPendingBills:    settings.Optional(s, "maxPendingBills", settings.Count(1, 1_000_000), "10000"),
		QuarantineTime:     settings.Optional(s, "quarantineTime", settings.Duration(time.Second, 24*time.Hour), "10m"),
	}
}
