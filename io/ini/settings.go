// Package ini reads the settings of one entry VM process from an INI file. Each section has its own file in this
// package.
package ini

import (
	"os"

	"github.com/rotisserie/eris"

	"ibiswinch/core/settings"
)

// Settings are the valid settings of one process.
type Settings struct {
	Identity Identity
	Callers  Callers
	Peers    Peers
	Operator Operator
	Platform Platform
	Memory   Memory
	Log      Log
	Timings  Timings
}

// reader reads the sections of one file.
type reader struct {
	file *settings.File
	// readFile reads token, certificate and key files.
	readFile func(path string) ([]byte, error)
}

// Load reads the file at path.
func Load(path string) (*Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, eris.Wrap(err, "read settings")
	}
	return Parse(path, string(text), os.ReadFile)
}

// Parse reads and validates text. The error is settings.Problems with all errors.
func Parse(name, text string, readFile func(path string) ([]byte, error)) (*Settings, error) {
	r := &reader{file: settings.Parse(name, text), readFile: readFile}
	s := r.read()
	if err := settings.Join(r.file.Finish()); err != nil {
		return nil, err
	}
	return s, nil
}

// Fields lists all keys, for the documentation.
func Fields() []settings.Field {
	r := &reader{file: settings.Parse("", ""), readFile: os.ReadFile}
	r.read()
	return r.file.Fields()
}

func (r *reader) read() *Settings {
	s := &Settings{
		Identity: r.identity(),
		Callers:  r.callers(),
		Peers:    r.peers(),
		Operator: r.operator(),
		Platform: r.platform(),
		Memory:   r.memory(),
		Log:      r.log(),
		Timings:  r.timings(),
	}
	r.checkListeners(s)
	return s
}

// checkListeners reports listeners whose addresses conflict.
func (r *reader) checkListeners(s *Settings) {
	if listenersConflict(s.Peers.Listen, s.Callers.Listen) {
		r.file.UnnamedSection("peers").Problemf("listen", "%v is taken by [callers] listen", s.Peers.Listen)
	}
	if listenersConflict(s.Operator.Listen, s.Callers.Listen) {
		r.file.UnnamedSection("operator").Problemf("listen", "%v is taken by [callers] listen", s.Operator.Listen)
	}
	if listenersConflict(s.Operator.Listen, s.Peers.Listen) {
		r.file.UnnamedSection("operator").Problemf("listen", "%v is taken by [peers] listen", s.Operator.Listen)
	}
}
