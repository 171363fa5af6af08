package rollout

import (
	"github.com/rotisserie/eris"

	"ibiswinch/core/record"
)

// Action is something that the controller asks its caller to do: an Append, Broadcast or Report.
type Action interface{ action() }

// Append asks the caller to append a record to the changes stream. The outbox repeats it until it is in the log.
type Append struct {
	Kind record.Kind
	Body record.Validator
}

// Broadcast asks the caller to send a stop to all peers at once.
type Broadcast struct{ Stop Stop }

// Report reports that a change is done or taken back, once per change and state. DecidedHere is true at the author of
// the record that decided the state, which is one VM of the fleet; that VM notifies the operator.
type Report struct {
	Change      Change
	DecidedHere bool
}

func (Append) action()    {}
func (Broadcast) action() {}
func (Report) action()    {}

// Stop is sent to peers when an entry VM finds a fault in the new version.
type Stop struct {
	Change string        `json:"change"`
	Reason Reason        `json:"reason"`
	Route  string        `json:"route,omitempty"`
	Author record.Author `json:"author"`
}

// Validate checks a stop from a peer.
func (s Stop) Validate() error {
	if !s.Reason.isFault() {
		return eris.Errorf("stop with reason %q, which is not a fault", s.Reason)
	}
	if len(s.Route) > maxNameBytes || s.Author.VM == "" {
		return eris.New("stop with a route that is too long, or without author")
	}
	return validateID(s.Change)
}

// Choice is the version for one request.
type Choice struct {
	Change  string
	Version string
	// Other is the other version of the change, for a request that finds no server with Version.
	Other string
	// New is true for the new version of the change.
	New bool
}
