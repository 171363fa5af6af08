// Package apexlog writes the numbered events of core/event through apex/log.
package apexlog

import (
	"io"

	"github.com/apex/log"
	"github.com/apex/log/handlers/json"
	"github.com/apex/log/handlers/logfmt"
	"github.com/rotisserie/eris"

	"ibiswinch/core/event"
)

// Fields are the variable parts of a log line. Their names are in camelCase.
type Fields = log.Fields

// Config holds the settings of a logger.
type Config struct {
	Output io.Writer
	// Format is "text" or "json".
	Format string
	// Level is one of debug, info, warn and error.
	Level string
	// VM is written with every line.
	VM string
}

// Logger writes events.
type Logger struct {
	entry log.Interface
}

// New returns a logger, or an error if the level or the format is unknown.
func New(cfg Config) (*Logger, error) {
	level, err := log.ParseLevel(cfg.Level)
	if err != nil {
		return nil, eris.Wrapf(err, "log level %q", cfg.Level)
	}
	var handler log.Handler
	switch cfg.Format {
	case "text":
		handler = logfmt.New(cfg.Output)
	case "json":
		handler = json.New(cfg.Output)
	default:
		return nil, eris.Errorf("log format %q is neither text nor json", cfg.Format)
	}
	base := &log.Logger{Handler: handler, Level: level}
	return &Logger{entry: base.WithField("vm", cfg.VM)}, nil
}

// Discard returns a logger that writes nothing.
func Discard() *Logger {
	return &Logger{entry: &log.Logger{Handler: log.HandlerFunc(func(*log.Entry) error { return nil }), Level: log.FatalLevel}}
}

// Event writes one line for e.
func (l *Logger) Event(e event.Event, fields Fields) {
	entry := l.entry.WithField("event", e.Number).WithFields(fields)
	switch e.Level {
	case event.Debug:
		entry.Debug(e.Message)
	case event.Info:
		entry.Info(e.Message)
	case event.Warn:
		entry.Warn(e.Message)
	default:
		entry.Error(e.Message)
	}
}
