package memory_test

import (
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"

	"ibiswinch/core/memory"
)

const limit = 1 << 20

// TestLargeHoldingsTakeAll guards against large answers that leave no memory for small ones, and many middle-sized ones that leave
// none for the smallest.
func TestLargeHoldingsTakeAll(t *testing.T) {
	for _, sizes := range [][2]int64{{100 << 10, 40 << 10}, {64 << 10, 10 << 10}} {
		c := qt.New(t)
		l := memory.NewLimiter(limit)
		var err error
		for err == nil {
			err = l.NewHolding().Grow(sizes[0])
		}
		c.Assert(err, qt.ErrorIs, memory.ErrFull)
		c.Assert(l.NewHolding().Grow(sizes[1]), qt.IsNil)
		c.Assert(l.Peak() <= limit, qt.IsTrue)
	}
}

// TestReleasedHoldingStaysCounted guards against memory that is never given back, or given back twice.
func TestReleasedHoldingStaysCounted(t *testing.T) {
	c := qt.New(t)
	l := memory.NewLimiter(limit)
	h := l.NewHolding()
	c.Assert(h.Grow(1000), qt.IsNil)
	h.Shrink(400)
	c.Assert(l.Held(), qt.Equals, int64(600))
	h.Release()
	h.Release()
	h.Shrink(100)
	c.Assert(l.Held(), qt.Equals, int64(0))
	c.Assert(h.Grow(1), qt.ErrorIs, memory.ErrFull)
}

// TestManyHoldingsExceedLimit guards against many small holdings whose sum exceeds the limit.
func TestManyHoldingsExceedLimit(t *testing.T) {
	c := qt.New(t)
	l := memory.NewLimiter(limit)
	var wg sync.WaitGroup
	for range 100 {
		wg.Go(func() {
			h := l.NewHolding()
			for h.Grow(4<<10) == nil {
			}
		})
	}
	wg.Wait()
	c.Assert(l.Peak() <= limit, qt.IsTrue, qt.Commentf("%d", l.Peak()))
	c.Assert(l.Held() > limit/2, qt.IsTrue)
}
