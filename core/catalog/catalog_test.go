package catalog_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"ibiswinch/core/call"
	"ibiswinch/core/catalog"
)

func newCatalog(c *qt.C) *catalog.Catalog {
	to := func(service string) []catalog.Destination {
		return []catalog.Destination{{Service: service, Weight: 1}}
	}
	built, err := catalog.New(catalog.Config{
		Version: 3, HasTeams: true,
		Routes: []catalog.Route{
			{Name: "short", Host: "a.example", Prefix: "/x/", Destinations: to("s1"), Kind: call.Idempotent},
			{Name: "long", Host: "a.example", Prefix: "/x/y/", Destinations: to("s2"), Kind: call.Stream, Resumable: true},
			{Name: "open", Host: "b.example", Prefix: "/", Destinations: to("s1"), Kind: call.Stream, Public: true},
		},
		Teams: []catalog.Team{{Name: "t", APIKeys: []string{"k1", "k2"}}},
	})
	c.Assert(err, qt.IsNil)
	return built
}

// TestMatch guards against choosing a route of another host, or one with a shorter prefix than another that matches.
func TestMatch(t *testing.T) {
	c := qt.New(t)
	built := newCatalog(c)
	c.Assert(built.Match("a.example", "/x/z").Name, qt.Equals, "short")
	c.Assert(built.Match("A.example", "/x/y/z").Name, qt.Equals, "long")
	c.Assert(built.Match("a.example", "/x"), qt.IsNil)
	c.Assert(built.Match("c.example", "/x/"), qt.IsNil)
	c.Assert(built.Match("b.example", "/any").Name, qt.Equals, "open")
}

// TestAPIKeys guards against calls without a key on a route that needs one, and against accepting a key of no team.
func TestAPIKeys(t *testing.T) {
	c := qt.New(t)
	built := newCatalog(c)
	c.Assert(built.NeedsAPIKey(built.Match("a.example", "/x/")), qt.IsTrue)
	c.Assert(built.NeedsAPIKey(built.Match("b.example", "/")), qt.IsFalse)
	c.Assert(built.TeamByAPIKey("k2").Name, qt.Equals, "t")
	c.Assert(built.TeamByAPIKey("k3"), qt.IsNil)
}

// TestRepeatable guards against repeating a call that must run at most once, such as a stream that can't be resumed.
func TestRepeatable(t *testing.T) {
	c := qt.New(t)
	for _, test := range []struct {
		route catalog.Route
		want  bool
	}{
		{catalog.Route{Kind: call.Idempotent}, true},
		{catalog.Route{Kind: call.AtMostOnce}, false},
		{catalog.Route{Kind: call.Stream}, false},
		{catalog.Route{Kind: call.Stream, Resumable: true}, true},
		{catalog.Route{Kind: call.AtMostOnce, Resumable: true}, false},
	} {
		c.Assert(test.route.Repeatable(), qt.Equals, test.want)
	}
}

// TestChooseService guards against weights that are ignored.
func TestChooseService(t *testing.T) {
	c := qt.New(t)
	r := catalog.Route{Destinations: []catalog.Destination{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}}}
	c.Assert(r.ChooseService(0.5), qt.Equals, "a")
	c.Assert(r.ChooseService(0.95), qt.Equals, "b")
}
