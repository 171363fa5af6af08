package record

import (
	"encoding/json"
	"time"

	"github.com/rotisserie/eris"
)

// maxBatchRecords bounds the records of a batch, so that one append stays far below MaxBatchBytes.
const maxBatchRecords = 512

// Outbox queues the records of one author for one stream and returns them in batches. One batch is in flight at a time.
// The same bytes are returned until the batch is confirmed, since an append without an answer may or may not have been
// stored; readers drop the duplicates. An Outbox is not safe for concurrent use.
type Outbox struct {
	author Author
	// sequence is that of the last added record.
	sequence uint64
	// pending are the records that are not in a batch yet; inFlight is the batch in flight.
	pending  []Record
	inFlight []byte
	// inFlightLast is the highest sequence in inFlight; 0 when nothing is in flight.
	inFlightLast uint64
	// confirmed is the highest confirmed sequence.
	confirmed uint64
}

// NewOutbox returns an empty outbox of author.
func NewOutbox(author Author) *Outbox {
	return &Outbox{author: author}
}

// Add queues a record and returns its sequence.
func (o *Outbox) Add(now time.Time, kind Kind, body any) (uint64, error) {
	data, err := json.Marshal(body)
	if err != nil {
		return 0, eris.Wrapf(err, "encode %s", kind)
	}
	o.sequence++
	o.pending = append(o.pending, Record{
		Version:  FoldVersion,
		Kind:     kind,
		Author:   o.author,
		Sequence: o.sequence,
		Time:     now.UTC(),
		Body:     data,
	})
	return o.sequence, nil
}

// NextBatch returns the batch to append next, or nil if there is nothing to send. It returns the same bytes until
// Confirm covers the batch.
func (o *Outbox) NextBatch() ([]byte, error) {
	if o.inFlight != nil || len(o.pending) == 0 {
		return o.inFlight, nil
	}
	n := o.nextBatchLength()
	data, err := EncodeBatch(o.pending[:n])
	if err != nil {
		return nil, err
	}
	o.inFlight = data
	o.inFlightLast = o.pending[n-1].Sequence
	o.pending = append([]Record(nil), o.pending[n:]...)
	return data, nil
}

// nextBatchLength returns the number of pending records that fit into one batch. The envelope of a record counts as
// 4*maxNameBytes.
func (o *Outbox) nextBatchLength() int {
	bytes := 0
	for i, r := range o.pending {
		bytes += len(r.Body) + 4*maxNameBytes
		if i > 0 && (bytes > MaxBatchBytes/2 || i >= maxBatchRecords) {
			return i
		}
	}
	return len(o.pending)
}

// Confirm records that the log holds all records up to sequence. It is called when an append was answered, and when a
// record of this author was read from the log.
func (o *Outbox) Confirm(sequence uint64) {
	o.confirmed = max(o.confirmed, sequence)
	if o.inFlight != nil && sequence >= o.inFlightLast {
		o.inFlight = nil
		o.inFlightLast = 0
	}
}

// InFlightLast returns the highest sequence of the batch in flight, 0 if none is.
func (o *Outbox) InFlightLast() uint64 { return o.inFlightLast }

// Confirmed returns the highest confirmed sequence.
func (o *Outbox) Confirmed() uint64 { return o.confirmed }

// Len returns the number of records that are not confirmed.
func (o *Outbox) Len() int { return int(o.sequence - o.confirmed) }
