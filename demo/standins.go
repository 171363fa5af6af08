package demo

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net"
	"net/netip"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"ibiswinch/core/config"
	"ibiswinch/core/record"
	"ibiswinch/standin/engine"
	"ibiswinch/standin/platform"
	"ibiswinch/standin/service"
)

// Names of failure domains, models, versions and the service.
const (
	eastDomain = "east-1"
	westDomain = "west-1"
	// goodModel gets a new version without faults, badModel one that fails requests.
	goodModel   = "large"
	badModel    = "small"
	oldVersion  = "v1"
	newVersion  = "v2"
	serviceName = "shop"
)

var models = []string{goodModel, badModel}

// Properties of the stand-ins and of the models.
const (
	enginesPerModelAndDomain = 2
	capacityTokens           = 60_000
	firstTokenDelay          = 5 * time.Millisecond
	tokenDelay               = 2 * time.Millisecond
	badVersionFailShare      = 0.5
	maxOutputTokens          = 400
	serviceTimeout           = 2 * time.Second
	serviceDelay             = 20 * time.Millisecond
)

// team is a caller organisation.
type team struct {
	name string
	// firstTopUpTokens is the top-up that the first publication has.
	firstTopUpTokens uint64
	priority         int
	// smallBudget marks the team whose budget is small enough to be exhausted during the run.
	smallBudget bool
}

// secondTopUpTokens is the top-up that is published for the first team during the run.
const secondTopUpTokens = 1_000_000

var teams = []team{
	{name: "nada", firstTopUpTokens: 4_000_000, priority: 7},
	{name: "orla", firstTopUpTokens: 2_000_000, priority: 5},
	{name: "rune", firstTopUpTokens: 1_000_000, priority: 2},
	{name: "pico", firstTopUpTokens: 12_000, priority: 5, smallBudget: true},
}

func (t team) apiKey() string { return t.name + "-demo-key" }

// modelEngine is a stand-in of a model engine, with its failure domain and address.
type modelEngine struct {
	name, domain, model string
	address             netip.AddrPort
	server              *engine.Server
}

// httpService is a stand-in of an HTTP service, with its failure domain and address.
type httpService struct {
	name, domain string
	address      netip.AddrPort
	server       *service.Server
}

// standIns are the stand-ins of all systems that the entry VMs call.
type standIns struct {
	platform        *platform.Server
	platformAddress netip.AddrPort
	engines         []*modelEngine
	services        []*httpService
	// publications counts the publications, each of which has an author of its own.
	publications uint64
}

func startStandIns() (*standIns, error) {
	s := &standIns{platform: platform.New(platform.Config{})}
	l, address, err := listen("")
	if err != nil {
		return nil, err
	}
	s.platformAddress = address
	s.platform.Start(l)
	for _, domain := range []string{eastDomain, westDomain} {
		if err := s.startFailureDomain(domain); err != nil {
			s.close()
			return nil, err
		}
	}
	return s, nil
}

func (s *standIns) startFailureDomain(domain string) error {
	for _, model := range models {
		for i := range enginesPerModelAndDomain {
			l, address, err := listen("")
			if err != nil {
				return err
			}
			e := &modelEngine{name: fmt.Sprintf("%s-%s-%d", model, domain, i), domain: domain, model: model, address: address}
			e.server = engine.New(engine.Config{
				Versions:        []engine.ModelVersion{{Model: model, Version: oldVersion}, {Model: model, Version: newVersion}},
				FirstTokenDelay: firstTokenDelay, TokenDelay: tokenDelay, CapacityTokens: capacityTokens, CacheBlocks: 512,
			})
			e.server.Start(l)
			s.engines = append(s.engines, e)
			if model != badModel {
				continue
			}
			rule := engine.Rule{Action: engine.ActionFail, Version: newVersion, Share: badVersionFailShare}
			if err := e.server.SetFaults(engine.Faults{Rules: []engine.Rule{rule}}); err != nil {
				return eris.Wrap(err, "set the fault rule of the bad version")
			}
		}
	}
	l, address, err := listen("")
	if err != nil {
		return err
	}
	svc := &httpService{name: serviceName + "-" + domain, domain: domain, address: address}
	svc.server = service.New(service.Config{Name: svc.name})
	// Orders take some time, so that some repeats arrive while the first attempt is running.
	if err := svc.server.SetFaults(service.Faults{DelayMs: int(serviceDelay / time.Millisecond)}); err != nil {
		return eris.Wrap(err, "set the delay of the service")
	}
	svc.server.Start(l)
	s.services = append(s.services, svc)
	return nil
}

// listen listens at the given address if it is free, and otherwise, or if it is empty, at a free port.
func listen(address string) (net.Listener, netip.AddrPort, error) {
	if address != "" {
		if l, err := net.Listen("tcp", address); err == nil {
			return l, l.Addr().(*net.TCPAddr).AddrPort(), nil
		}
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, netip.AddrPort{}, eris.Wrap(err, "listen")
	}
	return l, l.Addr().(*net.TCPAddr).AddrPort(), nil
}

func (s *standIns) close() {
	for _, e := range s.engines {
		e.server.Close()
	}
	for _, svc := range s.services {
		svc.server.Close()
	}
	s.platform.Close()
}

// publication is one state of the inventory and the rules.
type publication struct {
	// leavingEngine is the name of a leaving engine; empty for none.
	leavingEngine string
	secondTopUp   bool
	// changes are the version changes.
	changes []modelChange
}

// modelChange is a change of a model from oldVersion to newVersion.
type modelChange struct {
	model    string
	deadline time.Time
	stages   string
}

func (s *standIns) inventory(p publication) string {
	var text strings.Builder
	for _, domain := range []string{eastDomain, westDomain} {
		fmt.Fprintf(&text, "[domain %q]\nregion = demo\nslots = %d\n", domain, vmsPerDomain)
	}
	for _, e := range s.engines {
		state := config.Active
		if e.name == p.leavingEngine {
			state = config.Leaving
		}
		fmt.Fprintf(&text, "[engine %q]\naddress = %s\ndomain = %s\nmodel = %s\nversions = %s, %s\ncapacityTokens = %d\nstate = %s\n",
			e.name, e.address, e.domain, e.model, oldVersion, newVersion, capacityTokens, state)
	}
	for _, svc := range s.services {
		fmt.Fprintf(&text, "[server %q]\naddress = %s\ndomain = %s\nservice = %s\nversion = r1\n", svc.name, svc.address, svc.domain, serviceName)
	}
	return text.String()
}

func rules(p publication) string {
	var text strings.Builder
	for _, m := range models {
		fmt.Fprintf(&text, "[model %q]\ndefaultOutputTokens = 200\nmaxOutputTokens = %d\n", m, maxOutputTokens)
	}
	for i, t := range teams {
		hash := sha256.Sum256([]byte(t.apiKey()))
		topUps := fmt.Sprintf("first:%d", t.firstTopUpTokens)
		if p.secondTopUp && i == 0 {
			topUps += fmt.Sprintf(", second:%d", secondTopUpTokens)
		}
		fmt.Fprintf(&text, "[team %q]\nkeySha256 = %s\npriority = %d\ntopUpTokens = %s\nmodels = %s\n",
			t.name, hex.EncodeToString(hash[:]), t.priority, topUps, strings.Join(models, ", "))
	}
	fmt.Fprintf(&text, "[service %q]\ntimeout = %s\nidempotent = GET /*\nnotIdempotent = POST /orders\n", serviceName, serviceTimeout)
	for _, c := range p.changes {
		fmt.Fprintf(&text, "[change %q]\nmodel = %s\nfrom = %s\nto = %s\ndeadline = %s\nstages = %s\n",
			c.model, c.model, oldVersion, newVersion, c.deadline.UTC().Format(time.RFC3339), c.stages)
	}
	return text.String()
}

// publish appends a publication to the log, as an operator does.
func (s *standIns) publish(operator string, replaces uint64, p publication) error {
	body, err := config.NewPublish(replaces, operator, s.inventory(p), rules(p))
	if err != nil {
		return eris.Wrap(err, "build publication")
	}
	data, err := json.Marshal(body)
	if err != nil {
		return eris.Wrap(err, "encode publication")
	}
	s.publications++
	batch, err := record.EncodeBatch([]record.Record{{
		Version: record.FoldVersion, Kind: record.KindPublish, Sequence: 1, Time: time.Now(), Body: data,
		Author: record.Author{VM: "operator-" + operator, Incarnation: fmt.Sprint("demo-", s.publications)},
	}})
	if err != nil {
		return err
	}
	s.platform.Append("config", batch)
	return nil
}
