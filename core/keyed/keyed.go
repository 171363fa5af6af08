// Package keyed describes a log whose streams keep the newest record of each key for good and the history of all
// records for a limited time.
package keyed

import (
	"fmt"

	"github.com/rotisserie/eris"
)

// Stream names one of the streams that the fleet uses.
type Stream string

// Streams. The first two are written by others.
const (
	// Operations holds the operator's configuration and orders.
	Operations Stream = "operations"
	// Servers holds what the backend servers say of themselves, by id.
	Servers Stream = "servers"
	// Status holds the states of version changes that operators read.
	Status Stream = "status"
	// Ledger holds the reservations of budgets.
	Ledger Stream = "ledger"
	// Fleet holds what the entry VMs tell each other.
	Fleet Stream = "fleet"
)

// Partition is one ordered part of a stream.
type Partition struct {
	Stream Stream
	Number int
}

// Record is one record of a stream. A record without a value removes its key.
type Record struct {
	Key    string
	Value  []byte
	Offset uint64
}

// Batch is what one read returned: records in order, and the offset of the next read.
type Batch struct {
	Records []Record
	// Next is the offset from which on to read, End that of the partition when it was read.
	Next uint64
	End  uint64
}

// ErrTrimmed is returned by a read of records that the log has dropped; the newest record of each key is still there.
var ErrTrimmed = eris.New("history was dropped")

// ErrUnavailable is wrapped by errors of a log that can't be reached or turned the call away.
var ErrUnavailable = eris.New("log unavailable")

// ConflictError says that a conditional append was not carried out, since the partition ends elsewhere.
type ConflictError struct {
	End uint64
}

// Error implements error.
func (e *ConflictError) Error() string { return fmt.Sprintf("partition ends at %d", e.End) }
