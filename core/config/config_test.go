package config_test

import (
	"flag"
	"fmt"
	"os"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"ibiswinch/core/config"
	"ibiswinch/core/record"
	"ibiswinch/core/settings"
)

// TestMain fixes the seed of rapid, so that every run gives the same result. Flags given on the command line take
// precedence.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{
		"rapid.seed": "1", "rapid.checks": "300", "rapid.steps": "80", "rapid.nofailfile": "true",
	} {
		if f := flag.Lookup(name); f.Value.String() == f.DefValue {
			_ = flag.Set(name, value)
		}
	}
	os.Exit(m.Run())
}

func readFile(t testing.TB, name string) string {
	t.Helper()
	data, err := os.ReadFile("../../" + name)
	if err != nil {
		t.Fatal(err)
	}
	return string(data)
}

// TestExamplesAreValid guards against example files that the program refuses.
func TestExamplesAreValid(t *testing.T) {
	c := qt.New(t)
	cfg, err := config.Parse(readFile(t, "examples/inventory.ini"), readFile(t, "examples/rules.ini"))
	c.Assert(err, qt.IsNil)
	team, found := cfg.TeamOfKey("nada-demo-key")
	c.Assert(found, qt.IsTrue)
	c.Assert(team.Name, qt.Equals, "nada")
	c.Assert(team.PrepaidTokens(), qt.Equals, uint64(7_500_000))
	c.Assert(cfg.Rules.Changes[0].Stages, qt.DeepEquals, []float64{0.005, 0.05, 0.25, 0.5, 1})
	c.Assert(cfg.Inventory.Engines, qt.HasLen, 4)
}

// TestDocsListEveryKey guards against a key, a default or a type that docs/settings.md doesn't show.
func TestDocsListEveryKey(t *testing.T) {
	docs := readFile(t, "docs/settings.md")
	inventory, rules := config.Fields()
	for _, f := range append(inventory, rules...) {
		if row := f.DocsRow(); !strings.Contains(docs, row) {
			t.Errorf("docs/settings.md lacks for [%s]: %s", f.SectionKind, row)
		}
	}
}

// TestCrossChecks guards against publishing an inventory and rules that contradict each other.
func TestCrossChecks(t *testing.T) {
	c := qt.New(t)
	_, err := config.Parse(`
[domain "east"]
region = r
[engine "e"]
address = 10.0.0.1:80
domain = eats
model = smal
versions = v1, v1
capacityTokens = 1000
[server "e"]
address = 10.0.0.1:80
domain = east
service = shop
version = r1
`, `
[model "small"]
maxOutputTokens = 100
[team "a"]
keySha256 = `+strings.Repeat("ab", 32)+`
topUpTokens = x:1, x:2
models = large
[team "b"]
keySha256 = `+strings.Repeat("ab", 32)+`
[service "shop"]
idempotent = POST /a/../b
[change "c"]
model = small
from = v1
to = v1
deadline = 2026-01-01T00:00:00Z
stages = 50%, 5%
`)
	c.Assert(strings.Split(err.Error(), "\n"), qt.DeepEquals, []string{
		`inventory.ini: [engine "e"] versions: v1 appears twice`,
		`inventory.ini: [engine "e"] domain: unknown failure domain "eats"; the nearest known name is "east"`,
		`inventory.ini: [engine "e"] model: unknown model "smal"; the nearest known name is "small"`,
		`inventory.ini: [server "e"]: another backend server has the same name`,
		`inventory.ini: [server "e"] address: 10.0.0.1:80 is also the address of "e"`,
		`rules.ini: [model "small"] defaultOutputTokens: 512 is above maxOutputTokens 100`,
		`rules.ini: [team "a"] models: unknown model "large"; the nearest known name is "small"`,
		`rules.ini: [team "a"] topUpTokens: x appears twice`,
		`rules.ini: [team "b"] keySha256: the key already belongs to team "a"`,
		`rules.ini: [service "shop"] idempotent: path "/a/../b" must be clean, and '*' may only be its last part`,
		`rules.ini: [change "c"] to: "v1" is also the old version`,
		`rules.ini: [change "c"] stages: 5% doesn't grow`,
		`rules.ini: [change "c"] stages: the last stage is not 100%`,
	})
}

// TestIdempotentCalls guards against treating a call that must not run twice as idempotent.
func TestIdempotentCalls(t *testing.T) {
	c := qt.New(t)
	cfg, err := config.Parse("", `
[service "shop"]
idempotent = POST /search, GET /*, * /carts/*
notIdempotent = POST /carts/buy, GET /next
`)
	c.Assert(err, qt.IsNil)
	shop, _ := cfg.Service("shop")
	for call, want := range map[string]bool{
		"GET /items":              true,
		"GET /next":               false,
		"GET /search/../next":     false,
		"POST /search":            true,
		"POST /search/../orders":  false,
		"POST /orders":            false,
		"POST /carts/1":           true,
		"POST /carts/buy":         false,
		"POST /carts/x/..//buy":   false,
		"OPTIONS /orders":         true,
		"DELETE /orders/1":        false,
		"POST /carts/../carts/id": true,
	} {
		method, path, _ := strings.Cut(call, " ")
		c.Assert(shop.IsIdempotent(method, path), qt.Equals, want, qt.Commentf(call))
	}
}

// FuzzPublish guards against a payload that crashes a reader or is accepted without being valid.
func FuzzPublish(f *testing.F) {
	good, err := config.NewPublish(0, "ada", readFile(f, "examples/inventory.ini"), readFile(f, "examples/rules.ini"))
	if err != nil {
		f.Fatal(err)
	}
	f.Add([]byte(`{"replaces":0,"operator":"ada"}`), "", "")
	f.Add([]byte(`null`), string(good.InventoryGzip), string(good.RulesGzip))
	f.Fuzz(func(t *testing.T, body []byte, inventory, rules string) {
		h := config.NewHistory()
		_ = h.Apply(record.Position{}, record.Record{Kind: record.KindPublish, Body: body})
		if _, err := config.Parse(inventory, rules); err != nil {
			if _, err := config.NewPublish(0, "ada", inventory, rules); err == nil {
				t.Fatal("an invalid text was accepted")
			}
		}
		version, cfg := h.Current()
		if (version > 0) != (cfg != nil) {
			t.Fatalf("version %d has configuration %v", version, cfg)
		}
	})
}

// generate returns the texts of an inventory and rules of the given size.
func generate(servers, teams int) (inventory, rules string) {
	var inv, rul strings.Builder
	for d := range 15 {
		fmt.Fprintf(&inv, "[domain \"domain-%d\"]\nregion = region-%d\n\n", d, d%7)
	}
	for m := range 6 {
		fmt.Fprintf(&rul, "[model \"model-%d\"]\nmaxOutputTokens = 4096\n\n", m)
	}
	for i := range servers {
		fmt.Fprintf(&inv, "[engine \"engine-%d\"]\naddress = 10.%d.%d.%d:8000\ndomain = domain-%d\nmodel = model-%d\n"+
			"versions = v1\ncapacityTokens = 120000\nchecksFencing = yes\n\n", i, i>>16, i>>8&255, i&255, i%15, i%6)
	}
	for i := range teams {
		key := settings.Digest{byte(i), byte(i >> 8), 7}
		for j := 3; j < len(key); j++ {
			key[j] = key[j-1]*5 + key[j-2]*3 + key[j-3] + byte(j)
		}
		fmt.Fprintf(&rul, "[team \"team-%d\"]\nkeySha256 = %x\ntopUpTokens = 2026-01:%d\nmodels = model-1, model-2\n\n",
			i, key[:], 1_000_000+i*7919)
	}
	return inv.String(), rul.String()
}

var sizes = []struct{ servers, teams int }{{10, 10}, {1000, 1000}, {7100, 1100}}

// BenchmarkParse measures the parsing of a publication. At the largest size it must take at most 137 ms, so that 6,300
// publications a day take at most 1% of a core.
func BenchmarkParse(b *testing.B) {
	for _, size := range sizes {
		inventory, rules := generate(size.servers, size.teams)
		b.Run(fmt.Sprintf("servers=%d,teams=%d", size.servers, size.teams), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if _, err := config.Parse(inventory, rules); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(inventory)+len(rules)), "textbytes")
		})
	}
}

func BenchmarkHistoryApply(b *testing.B) {
	for _, size := range sizes {
		inventory, rules := generate(size.servers, size.teams)
		b.Run(fmt.Sprintf("servers=%d,teams=%d", size.servers, size.teams), func(b *testing.B) {
			p, err := config.NewPublish(0, "ada", inventory, rules)
			if err != nil {
				b.Fatal(err)
			}
			outbox := record.NewOutbox(record.Author{VM: "a", Incarnation: "1"})
			if _, err := outbox.Add(epoch, record.KindPublish, p); err != nil {
				b.Fatal(err)
			}
			data, err := outbox.NextBatch()
			if err != nil {
				b.Fatal(err)
			}
			b.ReportAllocs()
			for b.Loop() {
				h := config.NewHistory()
				record.NewStream(h).Apply(0, data)
				if version, _ := h.Current(); version != 1 {
					b.Fatal("not accepted")
				}
			}
			b.ReportMetric(float64(len(data)), "recordbytes")
		})
	}
}
