package gateway

import (
	"ibiswinch/core/event"
	"ibiswinch/core/keyed"
	"ibiswinch/io/apexlog"
)

// maxSkipErrorBytes bounds the error that is logged for a record, as it may hold values of the record.
const maxSkipErrorBytes = 512

// logSkipped logs that a record, or a part of it, was skipped.
func (c Config) logSkipped(r keyed.Record, err error) {
	message := err.Error()
	message = message[:min(len(message), maxSkipErrorBytes)]
	c.Events.Event(event.RecordSkipped, apexlog.Fields{"key": r.Key, "offset": r.Offset, "error": message})
}
