package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

const (
	// measureTime is the length of one measurement of the fast readers.
	measureTime = 3 * time.Second
	fastReaders = 8
	// stoppedTokens is the length of a stopped stream, more than all buffers on its way hold.
	stoppedTokens = 100_000
)

// BenchmarkStoppedReaders measures one entry VM with callers that have stopped reading their streams: the memory that
// it holds, and the tokens per second of fast readers before, during and after. Target: during it at least 95% of
// before.
func BenchmarkStoppedReaders(b *testing.B) {
	for _, streams := range []int{100, 1000, 10_000} {
		b.Run(fmt.Sprint(streams), func(b *testing.B) {
			c := qt.New(b)
			f := &fleet{c: c, dir: buildBinaries(c), platformAddress: freeAddress(c), serviceAddress: freeAddress(c)}
			f.start("standin", "platform", "--listen", f.platformAddress)
			f.engineAddresses = []string{freeAddress(c)}
			f.start("standin", "engine", "--listen", f.engineAddresses[0], "--load", "small:v1")
			f.memorySection = "[memory]\nmaxHeld = 4GiB\n"
			f.limitsSection = "[limits]\nstreamBuffer = 4KiB\nslowReaderDeadline = 1s\n"
			f.topUpTokens, f.maxOutputTokens, f.capacityTokens = 1_000_000_000_000, 1_000_000, 1_000_000_000_000
			f.addVM("vm0", "east-1", 0)
			out, err := f.publish(0)
			c.Assert(err, qt.IsNil, qt.Commentf("%s", out))
			f.awaitReady(f.vms[0])
			f.await("answers", func() bool { return f.readAnswer("warm up") > 0 })
			for b.Loop() {
				f.measureStoppedReaders(b, streams)
			}
		})
	}
}

func (f *fleet) measureStoppedReaders(b *testing.B, streams int) {
	// The first measurement is dropped: a process is faster in its first seconds than later.
	f.measureFastReaders()
	before := f.measureFastReaders()
	client := &http.Client{Transport: &http.Transport{DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
		conn, err := (&net.Dialer{}).DialContext(ctx, network, addr)
		if err == nil {
			_ = conn.(*net.TCPConn).SetReadBuffer(4 << 10)
		}
		return conn, err
	}}}
	var opened atomic.Int64
	var wg sync.WaitGroup
	bodies := make(chan io.Closer, streams)
	slots := make(chan struct{}, 64)
	for i := range streams {
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			resp, err := client.Do(f.completionRequest(fmt.Sprintf("stopped %d tokens=%d", i, stoppedTokens), stoppedTokens))
			if err != nil {
				return
			}
			if resp.StatusCode == http.StatusOK {
				opened.Add(1)
			}
			bodies <- resp.Body
		})
	}
	wg.Wait()
	f.awaitIdleEngine()
	during := f.measureFastReaders()
	d, err := f.runDump(f.vms[0])
	f.c.Assert(err, qt.IsNil)
	b.ReportMetric(float64(opened.Load()), "open")
	b.ReportMetric(float64(d.OpenRequests), "open-at-VM")
	b.ReportMetric(float64(d.HeldBytes)/(1<<20), "held-MiB")
	b.ReportMetric(float64(residentMemory(f.vms[0].cmd.Process.Pid))/(1<<20), "RSS-MiB")
	close(bodies)
	for body := range bodies {
		body.Close()
	}
	f.await("stopped readers are gone", func() bool {
		d, err := f.runDump(f.vms[0])
		return err == nil && d.OpenRequests == 0
	})
	after := f.measureFastReaders()
	b.ReportMetric(before, "before-tokens/s")
	b.ReportMetric(during, "beside-tokens/s")
	b.ReportMetric(after, "after-tokens/s")
}

func (f *fleet) awaitIdleEngine() {
	var load struct{ Running int }
	f.await("all stopped streams are suspended", func() bool {
		return f.getJSON("http://"+f.engineAddresses[0]+"/v1/load", "", &load) == nil && load.Running == 0
	})
}

func (f *fleet) completionRequest(prompt string, maxTokens int) *http.Request {
	body := fmt.Sprintf(`{"model":"small","prompt":%q,"max_tokens":%d,"stream":true}`, prompt, maxTokens)
	req, err := http.NewRequest(http.MethodPost, "http://"+f.vms[0].callerAddress+"/v1/completions", strings.NewReader(body))
	f.c.Assert(err, qt.IsNil)
	req.Header.Set("Authorization", "Bearer "+teamKey)
	return req
}

// readAnswer requests one completion and returns the tokens of its answer, 0 if that isn't correct.
func (f *fleet) readAnswer(prompt string) int {
	resp, err := http.DefaultClient.Do(f.completionRequest(prompt+" tokens=100", answerTokens))
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	if text, complete := readStream(resp.Body, nil); complete && text == expectedAnswer(prompt+" tokens=100") {
		return answerTokens
	}
	return 0
}

// measureFastReaders returns the tokens per second of the fast readers. Each sends its next request as soon as it has
// the answer to the last one.
func (f *fleet) measureFastReaders() float64 {
	var total, wrong atomic.Int64
	started := time.Now()
	until := started.Add(measureTime)
	var wg sync.WaitGroup
	for reader := range fastReaders {
		wg.Go(func() {
			for i := 0; time.Now().Before(until); i++ {
				n := f.readAnswer(fmt.Sprintf("fast %d %d", reader, i))
				total.Add(int64(n))
				if n == 0 {
					wrong.Add(1)
				}
			}
		})
	}
	wg.Wait()
	f.c.Assert(wrong.Load(), qt.Equals, int64(0))
	return float64(total.Load()) / time.Since(started).Seconds()
}

// residentMemory returns the resident memory of a process in bytes.
func residentMemory(pid int) int64 {
	data, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	for _, line := range bytes.Split(data, []byte("\n")) {
		if rest, ok := bytes.CutPrefix(line, []byte("VmRSS:")); ok {
			kb, _ := strconv.ParseInt(strings.Fields(string(rest))[0], 10, 64)
			return kb << 10
		}
	}
	return 0
}
