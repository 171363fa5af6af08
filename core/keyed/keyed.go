// Package keyed describes a log whose streams keep the newest record of each key forever and the history of all records
// for a limited time.
package keyed

import (
	"fmt"

	"github.com/rotisserie/eris"
)

// Stream is the name of a stream.
type Stream string

// Streams that the entry VMs use. Entry VMs don't write to Operations and Servers.
const (
	// Operations holds the operator's configuration and orders.
	Operations Stream = "operations"
	// Servers holds the descriptions that backend servers publish of themselves, by id.
	Servers Stream = "servers"
	// Status holds the states of version changes, for operators.
	Status Stream = "status"
	// Ledger holds the reservations of token budgets.
	Ledger Stream = "ledger"
	// Layout holds the number of partitions of Ledger.
	Layout Stream = "layout"
	// Fleet holds the status records that entry VMs publish for each other.
	Fleet Stream = "fleet"
	// Rollouts holds the steps of version changes.
	Rollouts Stream = "rollouts"
	// Crashes holds what entry VMs know of crashes of backend servers.
	Crashes Stream = "crashes"
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

// Batch is the result of one read.
type Batch struct {
	// Records are in the order of the partition.
	Records []Record
	// Next is the offset to read from next. End is the end offset of the partition at the time of the read.
	Next uint64
	End  uint64
	// Era is the era in which the offsets hold.
	Era Era
}

// Era counts how often the log was restored from a copy. A restored log has lost its newest records and gives their
// offsets out again, so offsets of different eras can't be compared.
type Era uint64

// Appended is the result of an append.
type Appended struct {
	// End is the end offset of the partition after the append.
	End uint64
	// Era is the era in which the records were appended.
	Era Era
}

// ErrTrimmed is returned by a read of records that the log no longer keeps, and by one beyond the end of a log that was
// restored from a copy. The newest record of each key is still there.
var ErrTrimmed = eris.New("the log has no records at the requested offset")

// ErrUnavailable is wrapped by errors of a log that can't be reached or rejected the call.
var ErrUnavailable = eris.New("log unavailable")

// ConflictError is returned by a conditional append that was not applied, since the partition ends at another offset.
type ConflictError struct {
	// End is the end offset of the partition.
	End uint64
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("append condition failed: partition ends at offset %d", e.End)
}
