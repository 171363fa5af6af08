// Package event is the catalogue of the numbered log events. The number of a removed event is not reused;
// docs/events.md explains each event to operators.
package event

// Level is the severity of an event.
type Level int

// Levels in rising severity.
const (
	Debug Level = iota
	Info
	Warn
	Error
)

// Event is one kind of log line.
type Event struct {
	// Number identifies the event in logs and docs. Each area has a range of numbers.
	Number int
	Level  Level
	// Message is the constant text of the line; variable values are in its fields.
	Message string
}

// Process start, drain and stop: 100 to 199.
var (
	ProcessStarted  = Event{100, Info, "process started"}
	ProcessReady    = Event{101, Info, "process ready"}
	ProcessDraining = Event{102, Info, "process draining"}
	ProcessStopped  = Event{103, Info, "process stopped"}
	DrainTimedOut   = Event{104, Warn, "drain timeout expired with open requests"}
	HandlerPanicked = Event{106, Error, "handler of a request panicked"}

	SettingsReloaded = Event{107, Info, "settings reloaded"}
	SettingsRejected = Event{108, Warn, "settings rejected, the previous settings stay in use"}
	LibraryMessage   = Event{109, Warn, "message of a library"}
	AcceptFailed     = Event{110, Warn, "connections could not be accepted, trying again"}
	LoopPanicked     = Event{111, Error, "loop panicked, going on with its next step"}
)

// Log and lists of the platform: 200 to 299.
var (
	LogUnavailable          = Event{200, Warn, "platform log unavailable"}
	LogAvailable            = Event{201, Info, "platform log available again"}
	RecordSkipped           = Event{202, Warn, "record skipped"}
	StreamHalted            = Event{203, Error, "record written by a newer program version, no further records of the stream are applied"}
	SnapshotWritten         = Event{204, Info, "snapshot written"}
	SnapshotNeeded          = Event{205, Warn, "log trimmed, waiting for a snapshot"}
	AppendRejected          = Event{206, Error, "append rejected by the log"}
	PlatformListUnavailable = Event{207, Debug, "reading a list of the platform failed"}
	SkippedToNewest         = Event{208, Info, "too far behind in the log, skipping to the newest records"}
	LogRestored             = Event{209, Warn, "platform log restored from a copy, loading its newest records"}
)

// Configuration: 300 to 399.
var (
	ConfigActivated = Event{300, Info, "new configuration active"}
	ConfigFromPeer  = Event{301, Info, "configuration taken from a peer"}
	ConfigRejected  = Event{303, Warn, "configuration rejected"}
)

// Budgets and billing: 400 to 499.
var (
	HolderClosed          = Event{400, Warn, "holder closed by its witnesses"}
	HolderSealed          = Event{401, Warn, "holder of an unresponsive entry VM sealed"}
	BillLineNotReplicated = Event{402, Warn, "bill line not replicated to another entry VM"}
	BillLinesRecovered    = Event{403, Info, "bill lines of an unresponsive entry VM appended to the log"}
	PendingBillsFull      = Event{404, Warn, "too many bill lines not yet in the log, refusing requests"}
	BudgetExhausted       = Event{405, Info, "budget of a team exhausted"}
	DuplicateBill         = Event{406, Info, "bill line was a duplicate, tokens refunded"}
)

// Orders: 500 to 599.
var (
	OrderOutcomeUnknown = Event{500, Warn, "outcome of an order is unknown"}
	OrderWithdrawn      = Event{501, Info, "claim of an order withdrawn"}
)

// Version changes: 600 to 699.
var (
	ChangeStopped   = Event{600, Warn, "version change stopped by local evidence"}
	ChangeTakenBack = Event{601, Warn, "version change taken back"}
	ChangeDone      = Event{603, Info, "version change done"}
	RolloutOrdered  = Event{604, Info, "version change ordered"}

	RolloutNotWritten = Event{605, Warn, "step or status of a version change not written, trying again"}
	// ChangeReported means that the operator was told the end of a version change, on which the platform stops servers.
	ChangeReported = Event{606, Info, "end of a version change reported to the operator"}
)

// Backend servers and requests: 700 to 719.
var (
	ServerCrashed      = Event{700, Warn, "backend server crashed with requests in flight"}
	StreamResumed      = Event{702, Info, "stream resumed on another backend server"}
	StreamSuspended    = Event{703, Info, "stream of a caller that reads too slowly cancelled at the engine"}
	RequestFailed      = Event{704, Warn, "request failed after dispatch"}
	RequestQuarantined = Event{705, Warn, "request fingerprint quarantined"}
	MemoryFull         = Event{706, Warn, "memory held for requests near the limit, refusing requests"}
	QuarantineEnded    = Event{707, Info, "quarantine ended by an answer"}

	CrashesNotPublished = Event{708, Warn, "crashes could not be told to other entry VMs, trying again"}
)

// Servers and requests of the gateway: 720 to 779.
var (
	ServerUpdated    = Event{720, Info, "backend server added or changed"}
	ServerRemoved    = Event{721, Info, "backend server removed"}
	ServerPaused     = Event{722, Info, "backend server paused"}
	ServerLimited    = Event{723, Info, "backend server limits its requests"}
	OldServerIgnored = Event{724, Info, "outdated record of a backend server ignored"}
	ServerLeaving    = Event{725, Info, "backend server says that it leaves"}
	ServerWait       = Event{726, Info, "backend server asks for a wait"}
	ServerKept       = Event{727, Info, "removal of a backend server put off"}
	RequestEnded     = Event{730, Info, "request ended"}
	RequestRefused   = Event{731, Info, "request refused"}
	AttemptFailed    = Event{732, Info, "attempt failed"}
	ServerSilent     = Event{733, Info, "server silent"}
	RequestDropped   = Event{734, Info, "connection of a caller ended while a request arrived"}
	LogLinesDropped  = Event{740, Warn, "log lines dropped"}
	DomainEvacuated  = Event{760, Info, "failure domain of backend servers evacuated"}
	EvacuationEnded  = Event{761, Info, "evacuation of a failure domain ended"}
	EvacuationEmpty  = Event{762, Info, "no request runs in an evacuated failure domain any more"}
	ServerCold       = Event{763, Info, "backend server is cold"}
)

// Token reservations: 420 to 439, within the range of budgets.
var (
	ReservationChanged    = Event{420, Info, "reservation changed"}
	ReservationRecovered  = Event{421, Info, "unused reservation of the previous process recovered"}
	ReservationFailed     = Event{422, Warn, "write of a reservation not confirmed by the log"}
	ReservationTooSmall   = Event{423, Info, "reservation too small for a request"}
	TokensDrawn           = Event{424, Info, "tokens drawn from other entry VMs"}
	TokensHandedOver      = Event{425, Info, "unused tokens handed to another entry VM"}
	ReservationsRewritten = Event{426, Info, "reservations written again into a restored log"}
	ReservingAgain        = Event{427, Info, "all entry VMs have rewritten their reservations, tokens are reserved again"}
	ReservationsLost      = Event{428, Warn, "reservations may be lost with all processes that knew them, tokens withheld"}
)

// Load of the entry VM: 780 to 799.
var (
	OverloadChanged  = Event{780, Info, "overload state changed"}
	UsageUnavailable = Event{781, Warn, "resource usage could not be measured"}
	TeamsLimited     = Event{782, Info, "calls of teams refused for overload"}
	RotationChanged  = Event{783, Info, "rotation left or entered for overload"}
)

// Peers: 800 to 899.
var (
	PeerUnreachable = Event{800, Debug, "call to a peer failed"}
	PeerRejected    = Event{802, Warn, "peer call rejected"}
	PeerTimedOut    = Event{803, Info, "entry VM timed out and removed from the members"}
)

// All returns the catalogue in ascending order of numbers.
func All() []Event {
	return []Event{
		ProcessStarted, ProcessReady, ProcessDraining, ProcessStopped, DrainTimedOut, HandlerPanicked,
		SettingsReloaded, SettingsRejected, LibraryMessage, AcceptFailed, LoopPanicked,
		LogUnavailable, LogAvailable, RecordSkipped, StreamHalted, SnapshotWritten, SnapshotNeeded, AppendRejected,
		PlatformListUnavailable, SkippedToNewest, LogRestored,
		ConfigActivated, ConfigFromPeer, ConfigRejected,
		HolderClosed, HolderSealed, BillLineNotReplicated, BillLinesRecovered, PendingBillsFull, BudgetExhausted, DuplicateBill,
		ReservationChanged, ReservationRecovered, ReservationFailed, ReservationTooSmall,
		TokensDrawn, TokensHandedOver, ReservationsRewritten, ReservingAgain, ReservationsLost,
		OrderOutcomeUnknown, OrderWithdrawn, ChangeStopped, ChangeTakenBack, ChangeDone, RolloutOrdered, RolloutNotWritten, ChangeReported,
		ServerCrashed, StreamResumed, StreamSuspended, RequestFailed, RequestQuarantined, MemoryFull, QuarantineEnded, CrashesNotPublished,
		ServerUpdated, ServerRemoved, ServerPaused, ServerLimited, OldServerIgnored, ServerLeaving, ServerWait, ServerKept,
		RequestEnded, RequestRefused, AttemptFailed, ServerSilent, RequestDropped, LogLinesDropped,
		DomainEvacuated, EvacuationEnded, EvacuationEmpty, ServerCold,
		OverloadChanged, UsageUnavailable, TeamsLimited, RotationChanged,
		PeerUnreachable, PeerRejected, PeerTimedOut,
	}
}
