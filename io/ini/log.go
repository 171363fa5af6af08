package ini

import "ibiswinch/core/settings"

// LogFormat is the format of log lines.
type LogFormat string

// Formats of log lines.
const (
	LogText LogFormat = "text"
	LogJSON LogFormat = "json"
)

// LogLevel is the lowest severity that is logged.
type LogLevel string

// Levels in rising severity.
const (
	LogDebug LogLevel = "debug"
	LogInfo  LogLevel = "info"
	LogWarn  LogLevel = "warn"
	LogError LogLevel = "error"
)

// Log holds the settings of the process log.
type Log struct {
	Level  LogLevel
	Format LogFormat
}

func (r *reader) log() Log {
	s := r.file.UnnamedSection("log")
	return Log{
		Level:  settings.Optional(s, "level", settings.OneOf(LogDebug, LogInfo, LogWarn, LogError), string(LogInfo)),
		Format: settings.Optional(s, "format", settings.OneOf(LogText, LogJSON), string(LogText)),
	}
}
