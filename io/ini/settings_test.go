package ini_test

import (
	"fmt"
	"os"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"ibiswinch/core/settings"
	"ibiswinch/io/ini"
)

const minimal = `
[identity]
vm = a1
domain = east-1
slot = 0
[peers]
advertise = 10.0.0.1:8081
tokenFile = peer.token
[operator]
token = operator-secret-01
[platform]
address = 10.0.0.100:9000
`

func readTestFile(path string) ([]byte, error) {
	if path == "peer.token" {
		return []byte("peer-secret-000001\n"), nil
	}
	return nil, &os.PathError{Op: "open", Path: path, Err: os.ErrNotExist}
}

// TestMinimalSettings guards against a required key beyond those of minimal, wrong defaults, and tokens that are
// printed in plain text.
func TestMinimalSettings(t *testing.T) {
	c := qt.New(t)
	s, err := ini.Parse("vm.ini", minimal, readTestFile)
	c.Assert(err, qt.IsNil)
	c.Assert(s.Peers.Token.Reveal(), qt.Equals, "peer-secret-000001")
	c.Assert(s.Memory.MaxHeldBytes, qt.Equals, uint64(128*settings.MiB))
	c.Assert(s.Callers.Listen.String(), qt.Equals, "0.0.0.0:8080")
	c.Assert(fmt.Sprintf("%+v %#v %s", *s, *s, s.Peers.Token), qt.Not(qt.Contains), "secret")
}

// TestAllProblems guards against a parser that stops at the first error, so that a process reports one error per start.
func TestAllProblems(t *testing.T) {
	c := qt.New(t)
	_, err := ini.Parse("vm.ini", `
[identity]
vm = a 1
[callers]
listen = 0.0.0.0:8082
tlsCertFile = cert.pem
tlsKeyFile = key.pem
[peers]
token = short
tlsCAFile = ca.pem
[operator]
token = a-long-enough-token
tokenFile = x
tlsCertFile = cert.pem
[log]
format = jsn
[memory]
maxheld = 1GiB
[timing]
`, readTestFile)
	c.Assert(strings.Split(err.Error(), "\n"), qt.DeepEquals, []string{
		`vm.ini: [identity] vm: "a 1" is not a name (1 to 63 letters, digits, '.', '_' or '-')`,
		`vm.ini: [identity] domain: the key is required`,
		`vm.ini: [identity] slot: the key is required`,
		`vm.ini: [callers] tlsCertFile: open cert.pem: file does not exist`,
		`vm.ini: [callers] tlsKeyFile: open key.pem: file does not exist`,
		`vm.ini: [peers] token: a token has at least 16 printable ASCII characters without spaces`,
		`vm.ini: [peers] tlsCertFile: the key is required together with tlsCAFile`,
		`vm.ini: [peers] advertise: 0.0.0.0:8081 can't be reached by peers; an IP address with a port is required`,
		`vm.ini: [operator] tokenFile: token and tokenFile exclude each other`,
		`vm.ini: [operator] tlsKeyFile: the key is required together with tlsCertFile`,
		`vm.ini: [platform] address: the key is required`,
		`vm.ini: [log] format: unknown value "jsn"; the nearest known name is "json"`,
		`vm.ini: [operator] listen: 127.0.0.1:8082 is taken by [callers] listen`,
		`vm.ini: [memory] maxheld: unknown key; the nearest known name is "maxHeld"`,
		`vm.ini: [timing]: unknown section; the nearest known name is "timings"`,
	})
}

// TestExampleAndDocs guards against an example file that is rejected, and against a key that is missing from
// docs/settings.md.
func TestExampleAndDocs(t *testing.T) {
	c := qt.New(t)
	example, err := os.ReadFile("../../examples/entry-vm.ini")
	c.Assert(err, qt.IsNil)
	_, err = ini.Parse("entry-vm.ini", string(example), readTestFile)
	c.Assert(err, qt.IsNil)
	docs, err := os.ReadFile("../../docs/settings.md")
	c.Assert(err, qt.IsNil)
	for _, f := range ini.Fields() {
		c.Check(string(docs), qt.Contains, f.DocsRow())
	}
}
