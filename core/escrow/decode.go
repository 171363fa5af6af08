package escrow

import (
	"encoding/json"

	"github.com/rotisserie/eris"

	"ibiswinch/core/keyed"
)

const (
	// maxTokens bounds the amounts of a record, so that the sums over all holders of a team and their percentages don't
	// overflow.
	maxTokens = 1 << 50
	// maxSequence bounds the number of a write. It holds the time of the start of a process up to the year 9999.
	maxSequence = 1 << 62
)

// ErrInvalidRecord is wrapped by the errors of decoding a record that no entry VM has written.
var ErrInvalidRecord = eris.New("invalid reservation")

// UnmarshalJSON implements json.Unmarshaler. It rejects records without a time and those with amounts out of range.
func (r *Record) UnmarshalJSON(data []byte) error {
	type plain Record
	var p plain
	if err := json.Unmarshal(data, &p); err != nil {
		return err
	}
	for _, n := range []int64{p.Reserved, p.Base, p.Used, p.Credit, p.Burst, p.SlowRate, p.Rate, p.Want} {
		if n < -maxTokens || n > maxTokens {
			return eris.Wrapf(ErrInvalidRecord, "amount %d", n)
		}
	}
	if p.Sequence > maxSequence {
		return eris.Wrapf(ErrInvalidRecord, "sequence %d", p.Sequence)
	}
	if p.At <= 0 || p.At > keyed.MaxUnixMilli {
		return eris.Wrapf(ErrInvalidRecord, "time %d", p.At)
	}
	*r = Record(p)
	return nil
}
