// Package order makes a non-idempotent order run at most once across all entry VMs. An entry VM claims an order in the
// log's orders stream before it sends it to a backend server. Registry is the state of all orders, built from that
// stream; Attempt is the state machine of one request in one entry VM.
package order

import (
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"

	"github.com/rotisserie/eris"

	"ibiswinch/core/record"
)

// Bounds of requests and results.
const (
	// MaxKeyBytes bounds an idempotency key.
	MaxKeyBytes = 255
	// MaxBodyBytes bounds the recorded body. A result with a longer one is recorded without its body.
	MaxBodyBytes = 16 << 10
	// maxContentTypeBytes bounds the recorded content type.
	maxContentTypeBytes = 256
)

// ErrInvalidKey is returned for a key that can't identify an order. It is compared with eris.Is.
var ErrInvalidKey = eris.New("invalid idempotency key")

// hash is a SHA-256 digest cut to 128 bits.
type hash [16]byte

// MarshalText implements encoding.TextMarshaler.
func (h hash) MarshalText() ([]byte, error) {
	return base64.RawStdEncoding.AppendEncode(nil, h[:]), nil
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (h *hash) UnmarshalText(text []byte) error {
	data, err := base64.RawStdEncoding.Strict().DecodeString(string(text))
	if err != nil || len(data) != len(h) {
		return eris.New("hash is not 128 bits in unpadded base64")
	}
	copy(h[:], data)
	return nil
}

// digest hashes each part with its length, so that different lists of parts never give the same hash input.
func digest(parts ...[]byte) hash {
	sum := sha256.New()
	for _, p := range parts {
		sum.Write(binary.BigEndian.AppendUint64(nil, uint64(len(p))))
		sum.Write(p)
	}
	return hash(sum.Sum(nil)[:len(hash{})])
}

// ID identifies an order: the hash of its team and idempotency key. The keys themselves are not written to the log.
type ID struct{ hash }

// NewID returns the ID of an order.
func NewID(team, key string) (ID, error) {
	if key == "" || len(key) > MaxKeyBytes {
		return ID{}, eris.Wrapf(ErrInvalidKey, "%d bytes, 1 to %d are allowed", len(key), MaxKeyBytes)
	}
	for i := range len(key) {
		if key[i] < ' ' || key[i] > '~' {
			return ID{}, eris.Wrap(ErrInvalidKey, "only printable ASCII is allowed")
		}
	}
	return ID{digest([]byte(team), []byte(key))}, nil
}

// Fingerprint identifies the content of an order. It tells a repeat of an order from another order with the same key.
type Fingerprint struct{ hash }

// NewFingerprint returns the fingerprint of a call.
func NewFingerprint(service, method, target string, body []byte) Fingerprint {
	return Fingerprint{digest([]byte(service), []byte(method), []byte(target), body)}
}

// Claim is the payload of a claim record.
type Claim struct {
	Order       ID          `json:"order"`
	Fingerprint Fingerprint `json:"fingerprint"`
	// ArrivalOffset is the offset of the next log entry that the claimer had to apply when the request arrived. The claim
	// has no effect if the order was withdrawn at or after this offset.
	ArrivalOffset uint64 `json:"seen"`
}

// Validate checks the payload.
func (c Claim) Validate() error { return validID(c.Order) }

// Withdrawal is the payload of a withdraw record. The author gives up its claim, if it has one, and is about to tell
// its caller that the order did not run. A record with Answered set ends the withdrawal: the caller has been answered.
type Withdrawal struct {
	Order ID `json:"order"`
	// Claim is the sequence of the author's claim record, 0 without one.
	Claim uint64 `json:"claim,omitempty"`
	// Answered is the sequence of the author's withdraw record that this record ends, 0 in that record itself.
	Answered uint64 `json:"answered,omitempty"`
}

// Validate checks the payload.
func (w Withdrawal) Validate() error {
	if w.Claim != 0 && w.Answered != 0 {
		return eris.New("withdraw has both a claim and an answered sequence")
	}
	return validID(w.Order)
}

// Result is what the server answered.
type Result struct {
	// Status is the HTTP status code.
	Status      int    `json:"status"`
	ContentType string `json:"contentType,omitempty"`
	Body        []byte `json:"body,omitempty"`
	// Omitted is true if the body was too long to be recorded or has been dropped since.
	Omitted bool `json:"omitted,omitempty"`
}

// recorded returns the part of the result that is written to the log.
func (r Result) recorded() Result {
	if len(r.Body) > MaxBodyBytes {
		r.Body, r.Omitted = nil, true
	}
	if len(r.ContentType) > maxContentTypeBytes {
		r.ContentType = ""
	}
	return r
}

// Completion is the payload of a result record.
type Completion struct {
	Order ID `json:"order"`
	// Claim is the sequence of the author's claim record.
	Claim  uint64 `json:"claim"`
	Result Result `json:"result"`
}

// Validate checks the payload.
func (c Completion) Validate() error {
	switch {
	case c.Claim == 0:
		return eris.New("result has no claim sequence")
	case c.Result.Status < 100 || c.Result.Status > 599:
		return eris.Errorf("result status %d is not between 100 and 599", c.Result.Status)
	case len(c.Result.Body) > MaxBodyBytes:
		return eris.New("result body is too large")
	case len(c.Result.ContentType) > maxContentTypeBytes:
		return eris.New("content type of the result is too long")
	case c.Result.Omitted && len(c.Result.Body) > 0:
		return eris.New("result has a body although it is marked as omitted")
	}
	return validID(c.Order)
}

func validID(id ID) error {
	if id == (ID{}) {
		return eris.New("order ID is missing")
	}
	return nil
}

// Ref identifies a record by its author and sequence.
type Ref struct {
	record.Author
	Sequence uint64 `json:"sequence"`
}
