package entry_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// BenchmarkFirstToken measures the time to the first token through the entry VM, and for the same request sent directly
// to the engine. The requests alternate, so that the load of the machine is the same for both. Target: under 1 ms
// added.
func BenchmarkFirstToken(b *testing.B) {
	n := startVM(b, testVMConfig{})
	times := map[string][]time.Duration{}
	for i := range b.N {
		body := request(fmt.Sprintf("first %d", i), 2)
		for _, addr := range []string{n.engineAddr, n.callers} {
			sent := time.Now()
			resp := n.post(addr, "", body)
			_, err := io.ReadFull(resp.Body, make([]byte, 16))
			times[addr] = append(times[addr], time.Since(sent))
			qt.Assert(b, err, qt.IsNil)
			_, _ = io.Copy(io.Discard, resp.Body)
			resp.Body.Close()
		}
	}
	direct, through := median(times[n.engineAddr]), median(times[n.callers])
	b.ReportMetric(direct, "direct-µs")
	b.ReportMetric(through, "through-µs")
	b.ReportMetric(through-direct, "added-µs")
}

func median(d []time.Duration) float64 {
	slices.Sort(d)
	return float64(d[len(d)/2].Nanoseconds()) / 1000
}

// BenchmarkRelayedToken measures the CPU time and the allocations per token. The tokens of a stream are 1 ms apart, so
// that each is relayed separately. The engine and the reader run in the same process; "direct" has only them, and the
// difference is the cost of the entry VM.
func BenchmarkRelayedToken(b *testing.B) {
	const streams = 100
	n := startVM(b, testVMConfig{tokenDelay: time.Millisecond})
	for name, addr := range map[string]string{"direct": n.engineAddr, "through": n.callers} {
		b.Run(name, func(b *testing.B) {
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			cpu := cpuTime()
			var wg sync.WaitGroup
			for range streams {
				wg.Go(func() {
					resp := n.post(addr, "", request("tokens", max(b.N/streams, 2)))
					_, _ = io.Copy(io.Discard, resp.Body)
					resp.Body.Close()
				})
			}
			wg.Wait()
			used := cpuTime() - cpu
			runtime.ReadMemStats(&after)
			b.ReportMetric(float64(used.Nanoseconds())/float64(b.N), "cpu-ns/token")
			b.ReportMetric(float64(after.Mallocs-before.Mallocs)/float64(b.N), "allocs/token")
			b.ReportMetric(float64(after.TotalAlloc-before.TotalAlloc)/float64(b.N), "B/token")
		})
	}
}

func cpuTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// inUse returns the bytes of heap and stacks in use.
func inUse() int64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc + m.StackInuse)
}

// BenchmarkIdleConnection measures the memory of a connection that is kept open after a request.
func BenchmarkIdleConnection(b *testing.B) {
	const connections = 1000
	n := startVM(b, testVMConfig{})
	for b.Loop() {
		before := inUse()
		conns := make([]net.Conn, connections)
		for i := range conns {
			conn, err := net.Dial("tcp", n.callers)
			qt.Assert(b, err, qt.IsNil)
			_, err = io.WriteString(conn, "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n")
			qt.Assert(b, err, qt.IsNil)
			_, err = conn.Read(make([]byte, 1024))
			qt.Assert(b, err, qt.IsNil)
			conns[i] = conn
		}
		b.ReportMetric(float64(inUse()-before)/connections, "B/connection")
		for _, conn := range conns {
			conn.Close()
		}
	}
}

// BenchmarkActiveStream measures the memory of an open stream that has sent its first token. "direct" has only the
// engine and the reader; the difference is the cost of the entry VM. held-B/stream is what the entry VM itself counts.
func BenchmarkActiveStream(b *testing.B) {
	for _, name := range []string{"direct", "through"} {
		b.Run(name, func(b *testing.B) {
			const streams = 1000
			n := startVM(b, testVMConfig{tokenDelay: time.Hour})
			addr := n.engineAddr
			if name == "through" {
				addr = n.callers
			}
			for b.Loop() {
				before, heldBefore := inUse(), n.vm.Dump().HeldBytes
				open := make([]*http.Response, streams)
				var wg sync.WaitGroup
				for i := range open {
					wg.Go(func() {
						open[i] = n.post(addr, "", request(fmt.Sprintf("stream %d", i), 1000))
						_, _ = io.ReadFull(open[i].Body, make([]byte, 16))
					})
				}
				wg.Wait()
				b.ReportMetric(float64(inUse()-before)/streams, "B/stream")
				b.ReportMetric(float64(n.vm.Dump().HeldBytes-heldBefore)/streams, "held-B/stream")
				for _, resp := range open {
					resp.Body.Close()
				}
			}
		})
	}
}
