// Package record defines the records of the platform's log. Record is the envelope of all records. Stream reads one
// stream of the log, drops duplicates and applies the records in log order to a Fold, the state that is built from the
// stream. Outbox repeats an append until it is confirmed.
package record

import (
	"encoding/json"
	"time"

	"github.com/rotisserie/eris"
)

// FoldVersion is the version of the rules by which this program applies records to its folds. A record of a higher
// version stops the stream, so that processes of different releases never build different states from the same records.
const FoldVersion = 1

// MaxBatchBytes bounds one entry of the log. Larger entries are skipped by every reader.
const MaxBatchBytes = 1 << 20

// maxNameBytes bounds each name in an envelope.
const maxNameBytes = 128

// Errors of decoding. They are compared with eris.Is.
var (
	ErrInvalid          = eris.New("invalid record")
	ErrNewerFoldVersion = eris.New("record of a newer fold version")
	ErrOversized        = eris.New("log entry over the size limit")
	ErrUnknownKind      = eris.New("unknown record kind")
)

// Kind names the payload of a record.
type Kind string

// Kinds of all streams.
const (
	// Ledger streams, see package budget.
	KindTopUp   Kind = "topUp"
	KindGrant   Kind = "grant"
	KindReturn  Kind = "return"
	KindBill    Kind = "bill"
	KindWitness Kind = "witness"
	KindSeal    Kind = "seal"
	// Orders stream, see package order.
	KindClaim    Kind = "claim"
	KindWithdraw Kind = "withdraw"
	KindResult   Kind = "result"
	// Configuration stream, see package config.
	KindPublish Kind = "publish"
	// Stream of version changes, see package rollout.
	KindAdvance    Kind = "advance"
	KindTakeBack   Kind = "takeBack"
	KindDone       Kind = "done"
	KindOpenChange Kind = "openChange"
	// All streams, see SnapshotPart.
	KindSnapshot Kind = "snapshot"
)

// Author identifies one process that writes records.
type Author struct {
	// VM is the name of the entry VM, or of the operator.
	VM string `json:"vm"`
	// Incarnation is chosen at random at each process start.
	Incarnation string `json:"incarnation"`
}

// Record is the envelope of one payload. An entry of the log is a batch of records.
type Record struct {
	// Version is the fold version that the author implements.
	Version int    `json:"version"`
	Kind    Kind   `json:"kind"`
	Author  Author `json:"author"`
	// Sequence grows by one for each record of an author in a stream and starts at 1.
	Sequence uint64    `json:"sequence"`
	Time     time.Time `json:"time"`
	// Body is the payload that belongs to Kind.
	Body json.RawMessage `json:"body"`
}

// Validate checks the envelope, not the payload.
func (r Record) Validate() error {
	switch {
	case r.Version < 1:
		return eris.Wrap(ErrInvalid, "version below 1")
	case r.Kind == "" || len(r.Kind) > maxNameBytes:
		return eris.Wrap(ErrInvalid, "kind missing or too long")
	case r.Author.VM == "" || len(r.Author.VM) > maxNameBytes:
		return eris.Wrap(ErrInvalid, "author VM missing or too long")
	case r.Author.Incarnation == "" || len(r.Author.Incarnation) > maxNameBytes:
		return eris.Wrap(ErrInvalid, "author incarnation missing or too long")
	case r.Sequence == 0:
		return eris.Wrap(ErrInvalid, "sequence is zero")
	}
	return nil
}

// Validator is a payload that can check its values after decoding.
type Validator interface {
	Validate() error
}

// Body decodes and checks the payload of r.
func Body[T Validator](r Record) (T, error) {
	var body T
	if err := json.Unmarshal(r.Body, &body); err != nil {
		return body, eris.Wrapf(ErrInvalid, "%s body: %v", r.Kind, err)
	}
	if err := body.Validate(); err != nil {
		return body, eris.Wrapf(ErrInvalid, "%s body: %v", r.Kind, err)
	}
	return body, nil
}

// EncodeBatch encodes records as one entry of the log.
func EncodeBatch(records []Record) ([]byte, error) {
	data, err := json.Marshal(records)
	if err != nil {
		return nil, eris.Wrap(err, "encode batch")
	}
	return data, nil
}

// DecodeBatch decodes one entry of the log. It returns an error if the entry is not a batch. It doesn't validate the
// records; the caller does and skips invalid ones.
func DecodeBatch(data []byte) ([]Record, error) {
	if len(data) > MaxBatchBytes {
		return nil, eris.Wrapf(ErrOversized, "%d bytes", len(data))
	}
	var records []Record
	if err := json.Unmarshal(data, &records); err != nil {
		return nil, eris.Wrapf(ErrInvalid, "batch: %v", err)
	}
	return records, nil
}
