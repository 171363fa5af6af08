package settings_test

import (
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"ibiswinch/core/settings"
)

const faulty = `[disk]
size = 1
[server]
[server "a"]
adress = 10.0.0.1:80
timeout = 5
share = 120%
held = 64KB
when = tomorrow
color = gren
hash = 00
names = ok, not ok
on = maybe
[log "x"]
[log]
level = info
level = warn
[log]
`

// TestProblemsAreListedAtOnce guards against a parser that stops at the first error, so that an operator must fix
// errors one by one, and against unknown keys that are silently ignored.
func TestProblemsAreListedAtOnce(t *testing.T) {
	c := qt.New(t)
	f := settings.Parse("x.ini", faulty)
	for _, s := range f.NamedSections("server") {
		settings.Required(s, "address", settings.Address)
		settings.Optional(s, "timeout", settings.Duration(time.Second, time.Minute), "5s")
		settings.Optional(s, "share", settings.Percent(0, 100), "10%")
		settings.Optional(s, "held", settings.Bytes(1, settings.GiB), "1KiB")
		settings.Optional(s, "when", settings.Time, "")
		settings.Optional(s, "color", settings.OneOf("red", "green"), "red")
		settings.Optional(s, "hash", settings.SHA256, "")
		settings.List(s, "names", settings.Name, "")
		settings.Optional(s, "on", settings.Bool, "yes")
	}
	settings.Required(f.UnnamedSection("log"), "level", settings.Text)
	c.Assert(strings.Split(settings.Join(f.Finish()).Error(), "\n"), qt.DeepEquals, []string{
		`x.ini: [log]: the section appears twice`,
		`x.ini: [server "a"] address: the key is required`,
		`x.ini: [server "a"] timeout: "5" is not a duration with a unit, such as 500ms or 2m`,
		`x.ini: [server "a"] share: 120% is not within 0% and 100%`,
		`x.ini: [server "a"] held: "64KB" is not a size with a unit, such as 64KiB or 256MiB`,
		`x.ini: [server "a"] when: "tomorrow" is not an RFC 3339 time such as 2026-06-01T12:00:00Z`,
		`x.ini: [server "a"] color: unknown value "gren"; the nearest known name is "green"`,
		`x.ini: [server "a"] hash: the value is not a SHA-256 digest of 64 hexadecimal digits`,
		`x.ini: [server "a"] names: "not ok" is not a name (1 to 63 letters, digits, '.', '_' or '-')`,
		`x.ini: [server "a"] on: "maybe" is neither yes nor no`,
		`x.ini: [log] level: the key appears twice`,
		`x.ini: [disk]: unknown section; the nearest known name is "log"`,
		`x.ini: [server]: the section needs a name: [server "NAME"]`,
		`x.ini: [server "a"] adress: unknown key; the nearest known name is "address"`,
		`x.ini: [log "x"]: the section takes no name: [log]`,
	})
}
