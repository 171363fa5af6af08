package ini

import (
	"time"

	"ibiswinch/core/settings"
)

// Timings holds intervals and time limits of the process.
type Timings struct {
	// DrainTimeout is how long a planned stop waits for open requests.
	DrainTimeout time.Duration
}

func (r *reader) timings() Timings {
	s := r.file.UnnamedSection("timings")
	return Timings{
		DrainTimeout: settings.Optional(s, "drainTimeout", settings.Duration(time.Second, 24*time.Hour), "15m"),
	}
}
