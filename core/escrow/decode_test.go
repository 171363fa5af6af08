package escrow_test

import (
	"encoding/json"
	"fmt"
	"math"
	"testing"

	qt "github.com/frankban/quicktest"

	"ibiswinch/core/escrow"
)

// TestMalformedRecordsOverflowSums guards against one malformed record that makes the sums of a whole team wrong, so that its budget is
// overspent or locked.
func TestMalformedRecordsOverflowSums(t *testing.T) {
	c := qt.New(t)
	var r escrow.Record
	for _, field := range []string{"reserved", "base", "used", "credit", "burst", "slow", "rate", "want", "at"} {
		for _, n := range []any{int64(math.MaxInt64), int64(math.MinInt64), int64(1) << 60, "1e30", "1e400", "0.5", `"6"`} {
			value := fmt.Sprintf(`{"reserved":1,"base":1,"used":1,"at":1,"%s":%v}`, field, n)
			c.Check(json.Unmarshal([]byte(value), &r), qt.IsNotNil, qt.Commentf("%s", value))
		}
	}
	for _, value := range []string{"null", "{}", "[]", "7", `"x"`, "", `{"reserved":7}`, `{"at":-1}`} {
		c.Check(json.Unmarshal([]byte(value), &r), qt.IsNotNil, qt.Commentf("%s", value))
	}
	c.Assert(r, qt.Equals, escrow.Record{})
}

// FuzzRecord guards against records that can't be encoded to what they were decoded from, and against sums that overflow.
func FuzzRecord(f *testing.F) {
	f.Add([]byte(`{"reserved":9000,"base":-7,"used":2000,"credit":7,"at":1700000000123,"burst":1,"slow":2,"rate":3,"want":4}`))
	f.Add([]byte(`{"reserved":9223372036854775807,"at":1}`))
	f.Add([]byte(`{"reserved":1e30,"at":1,"at":0.5}`))
	f.Add([]byte(`null`))
	f.Fuzz(func(t *testing.T, data []byte) {
		var r, again escrow.Record
		if json.Unmarshal(data, &r) != nil {
			return
		}
		encoded, err := json.Marshal(r)
		if err != nil {
			t.Fatal(err)
		}
		if err := json.Unmarshal(encoded, &again); err != nil || again != r {
			t.Fatalf("%v decoded as %v: %v", r, again, err)
		}
		const holders = 1000
		var all escrow.Reservations
		for i := range holders {
			all.Set(fmt.Sprint(i), r)
		}
		if all.Used() != holders*r.Used || all.Free(0) != -holders*r.Reserved || all.Used()/holders != r.Used || all.Free(0)/holders != -r.Reserved {
			t.Fatalf("sums of %v overflow", r)
		}
	})
}
