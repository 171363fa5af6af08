package platform

import (
	"time"

	"github.com/rotisserie/eris"
)

// LogMode says how the log answers reads and appends.
type LogMode string

const (
	// LogUp answers normally.
	LogUp LogMode = ""
	// LogUnavailable answers 503; the request has no effect.
	LogUnavailable LogMode = "unavailable"
	// LogHang sends no answer, and the request has no effect. The connection is closed when the fault ends.
	LogHang LogMode = "hang"
	// LogCut closes the connection, and the request has no effect. A caller can't tell this from a lost answer.
	LogCut LogMode = "cut"
	// LogRefused closes the listener of the whole platform. POST /faults takes it only with Until, since no further
	// request could end it.
	LogRefused LogMode = "refused"
)

// LoseMode says what happens to the connection when the answer to an append is lost.
type LoseMode string

const (
	// LoseCut closes the connection at once. It is the default.
	LoseCut LoseMode = "cut"
	// LoseHang leaves the connection open until the caller closes it.
	LoseHang LoseMode = "hang"
)

// Faults are the active faults. POST /faults replaces all of them; the zero value has none.
type Faults struct {
	Log LogMode `json:"log,omitempty"`
	// Until is the time at which Log ends; zero means that it stays until the faults are replaced.
	Until time.Time `json:"until,omitzero"`
	// SlowMs is the delay of every answer of the log, in ms.
	SlowMs int `json:"slowMs,omitempty"`
	// LoseAnswers is the number of further appends that are stored but not answered.
	LoseAnswers int      `json:"loseAnswers,omitempty"`
	LoseMode    LoseMode `json:"loseMode,omitempty"`
	// Duplicates is the number of further appends that are stored a second time, after DuplicateAfter other appends.
	Duplicates     int `json:"duplicates,omitempty"`
	DuplicateAfter int `json:"duplicateAfter,omitempty"`
	// ListLagMs is the age of the VM list and the server list that readers get, in ms.
	ListLagMs int `json:"listLagMs,omitempty"`
	// Trim deletes entries when the faults are set; it isn't kept.
	Trim []Trim `json:"trim,omitempty"`
}

// Trim deletes the entries of a stream before an offset.
type Trim struct {
	Stream string `json:"stream"`
	Before uint64 `json:"before"`
}

// Validate returns an error if a mode is unknown or a number is negative.
func (f Faults) Validate() error {
	switch f.Log {
	case LogUp, LogUnavailable, LogHang, LogCut, LogRefused:
	default:
		return eris.Errorf("unknown log mode %q", f.Log)
	}
	switch f.LoseMode {
	case "", LoseCut, LoseHang:
	default:
		return eris.Errorf("unknown lose mode %q", f.LoseMode)
	}
	if min(f.SlowMs, f.LoseAnswers, f.Duplicates, f.DuplicateAfter, f.ListLagMs) < 0 {
		return eris.New("a number is negative")
	}
	return nil
}
