package platform_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"ibiswinch/io/platform"
)

// startScriptedPlatform starts a platform that answers each request with *answer.
func startScriptedPlatform(c *qt.C, answer *string) *platform.Client {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, *answer) }))
	c.Cleanup(server.Close)
	return platform.NewClient(platform.Config{Address: server.Listener.Addr().(*net.TCPAddr).AddrPort()})
}

// TestMalformedEntryHidesList guards against a list that is never read again because of one malformed entry.
func TestMalformedEntryHidesList(t *testing.T) {
	c := qt.New(t)
	var answer string
	client, ctx := startScriptedPlatform(c, &answer), context.Background()
	vm := platform.VM{Name: "a1", Address: netip.MustParseAddrPort("10.0.0.1:7200"), Domain: "a", State: platform.StateLive}
	const soundVM = `{"name":"a1","address":"10.0.0.1:7200","domain":"a","state":"live"}`
	for _, malformed := range []string{
		`null`, `7`, `[]`, `"x"`, `{}`, strings.Repeat("[", 9000) + strings.Repeat("]", 9000), strings.Replace(soundVM, "7200", "70000", 1),
		strings.Replace(soundVM, "7200", "99999999999", 1), strings.Replace(soundVM, "7200", "0", 1), strings.Replace(soundVM, "10.0.0.1", "host", 1),
		strings.Replace(soundVM, `"a1"`, `7`, 1), strings.Replace(soundVM, `"a1"`, `1e400`, 1), strings.Replace(soundVM, `"live"`, `"asleep"`, 1),
		strings.Replace(soundVM, `"a"`, `""`, 1),
	} {
		answer = `{"revision":1,"vms":[` + malformed + `,` + soundVM + `,` + malformed + `]}`
		vms, err := client.VMs(ctx)
		c.Assert(err, qt.IsNil, qt.Commentf("%.80s", malformed))
		c.Assert(vms.VMs, qt.HasLen, 1, qt.Commentf("%.80s", malformed))
		c.Check(vms.VMs[0], qt.Equals, vm, qt.Commentf("%.80s", malformed))
	}
	for _, malformed := range []string{`null`, `{}`, `7`, `{"name":7,"state":"live"}`, `{"name":"e1","state":"asleep"}`, `{"name":"","state":"live"}`} {
		answer = `{"revision":1,"servers":[` + malformed + `,{"name":"e1","state":"leaving"},` + malformed + `]}`
		servers, err := client.Servers(ctx)
		c.Assert(err, qt.IsNil, qt.Commentf("%s", malformed))
		c.Check(servers.Servers, qt.DeepEquals, []platform.Server{{Name: "e1", State: platform.StateLeaving}}, qt.Commentf("%s", malformed))
	}
}

// TestAnswerWithoutList guards against an answer of another shape that is taken for an empty list.
func TestAnswerWithoutList(t *testing.T) {
	c := qt.New(t)
	var answer string
	client, ctx := startScriptedPlatform(c, &answer), context.Background()
	for _, answer = range []string{
		"", "null", "{}", "[]", "7", `{"revision":1}`, `{"vms":{},"servers":{}}`, `{"revision":-1,"vms":[],"servers":[]}`,
		`{"revision":1e400,"vms":[],"servers":[]}`, strings.Repeat("[", 1_000_000),
	} {
		_, err := client.VMs(ctx)
		c.Check(err, qt.IsNotNil, qt.Commentf("%.80s", answer))
		_, err = client.Servers(ctx)
		c.Check(err, qt.IsNotNil, qt.Commentf("%.80s", answer))
	}
}
