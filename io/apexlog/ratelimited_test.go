package apexlog_test

import (
	"bytes"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"ibiswinch/io/apexlog"
)

// blockedWriter is an output whose writes block until release is closed.
type blockedWriter struct{ release chan struct{} }

func (s blockedWriter) Write(p []byte) (int, error) {
	<-s.release
	return len(p), nil
}

// TestBlockedOutputDoesNotBlock guards against requests that wait while the log output is blocked.
func TestBlockedOutputDoesNotBlock(t *testing.T) {
	c := qt.New(t)
	out := blockedWriter{release: make(chan struct{})}
	b := apexlog.NewRateLimitedWriter(apexlog.RateLimitedWriterConfig{Output: out, LinesPerSecond: 1000, BytesPerSecond: 1 << 20, QueueCapacity: 10, Now: time.Now})
	done := make(chan struct{})
	go func() {
		defer close(done)
		for range 500 {
			_, _ = b.Write([]byte("line\n"))
		}
	}()
	select {
	case <-done:
	case <-time.After(5 * time.Second):
		c.Fatal("the log blocks")
	}
	c.Assert(b.Dropped() >= 489, qt.IsTrue)
	c.Assert(b.NearLimit(), qt.IsTrue)
	close(out.release)
	c.Assert(b.Close(time.Now().Add(time.Second)), qt.IsNil)
}

// TestVolumeIsBounded guards against a burst of lines that exceeds the rate limit.
func TestVolumeIsBounded(t *testing.T) {
	c := qt.New(t)
	var mu sync.Mutex
	now := time.Unix(0, 0)
	clock := func() time.Time {
		mu.Lock()
		defer mu.Unlock()
		return now
	}
	var out bytes.Buffer
	b := apexlog.NewRateLimitedWriter(apexlog.RateLimitedWriterConfig{Output: &out, LinesPerSecond: 10, BytesPerSecond: 1000, QueueCapacity: 1000, Now: clock})
	for range 100 {
		_, _ = b.Write([]byte("line\n"))
	}
	mu.Lock()
	now = now.Add(time.Second)
	mu.Unlock()
	for range 100 {
		_, _ = b.Write([]byte("line\n"))
	}
	c.Assert(b.Close(time.Now().Add(time.Second)), qt.IsNil)
	c.Assert(bytes.Count(out.Bytes(), []byte("\n")), qt.Equals, 40)
	c.Assert(b.Dropped(), qt.Equals, int64(160))
}
