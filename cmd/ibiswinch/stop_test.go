package main

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"ibiswinch/io/peer"
	"ibiswinch/io/tcp"
	"ibiswinch/standin/keyedlog"
)

const (
	// hangupCount is the number of SIGHUPs that are sent before a SIGTERM, hangupInterval the time between two.
	hangupCount    = 50
	hangupInterval = time.Millisecond
	// longSettings is the size of a settings file that takes longer than hangupInterval to read.
	longSettings = 8 << 20
)

// TestProcessOutlivesGracePeriod guards against a stopping process that waits for something longer than its grace period
// and is killed.
func TestProcessOutlivesGracePeriod(t *testing.T) {
	binary := filepath.Join(buildBinaries(qt.New(t)), "ibiswinch")
	for _, test := range []struct {
		name          string
		storeFault    keyedlog.Fault
		outputBlocked bool
		// drawn is set if another entry VM draws tokens all the time, which renews the reservation.
		drawn   bool
		hangups int
		paused  time.Duration
	}{
		{name: "silent store", storeFault: keyedlog.NoAnswer, drawn: true},
		{name: "slow store", storeFault: keyedlog.Silent, drawn: true},
		{name: "output blocked", outputBlocked: true},
		{name: "output blocked and silent store", outputBlocked: true, storeFault: keyedlog.NoAnswer, drawn: true},
		{name: "SIGHUP in series", hangups: hangupCount},
		{name: "paused for a time with a silent store", storeFault: keyedlog.NoAnswer, paused: 3200 * time.Millisecond},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			f := newPlatformFixture(t)
			p := f.startProcess(binary, test.outputBlocked)
			f.openRequest()
			f.store.SetTimings(keyedlog.Timings{Silence: 800 * time.Millisecond})
			f.store.SetFault(func(string, string) keyedlog.Fault { return test.storeFault })
			if test.drawn {
				go f.drawTokens(p.exited)
			}
			if test.hangups > 0 {
				f.hangUp(p, test.hangups)
			}
			killed := time.NewTimer(testGracePeriod)
			f.c.Assert(p.cmd.Process.Signal(syscall.SIGTERM), qt.IsNil)
			p.pause(test.paused)
			select {
			case <-p.exited:
			case <-killed.C:
				f.c.Fatal("the process would be killed now")
			}
		})
	}
}

// stoppedProcess is an entry VM that runs as a process of its own.
type stoppedProcess struct {
	cmd    *exec.Cmd
	exited chan struct{}
}

// startProcess starts the entry VM and waits until it is ready. Nothing is read from a blocked output.
func (f *platformFixture) startProcess(binary string, outputBlocked bool) *stoppedProcess {
	return f.startProcessWith(binary, func(cmd *exec.Cmd) {
		if outputBlocked {
			output := f.fullPipe()
			cmd.Stdout, cmd.Stderr = output, output
		}
	})
}

// startProcessWith starts the entry VM as configure has set it up, and waits until it is ready.
func (f *platformFixture) startProcessWith(binary string, configure func(cmd *exec.Cmd)) *stoppedProcess {
	p := f.startCommand(binary, configure)
	f.awaitReady()
	return p
}

// startCommand starts the entry VM as configure has set it up.
func (f *platformFixture) startCommand(binary string, configure func(cmd *exec.Cmd)) *stoppedProcess {
	p := &stoppedProcess{cmd: exec.Command(binary, "platform", "--settings", f.settingsPath), exited: make(chan struct{})}
	configure(p.cmd)
	f.c.Assert(p.cmd.Start(), qt.IsNil)
	go func() {
		_ = p.cmd.Wait()
		close(p.exited)
	}()
	f.c.Cleanup(func() {
		_ = p.cmd.Process.Kill()
		<-p.exited
	})
	return p
}

// awaitReady waits until the entry VM is ready.
func (f *platformFixture) awaitReady() {
	for deadline := time.Now().Add(20 * time.Second); !f.ready(); time.Sleep(20 * time.Millisecond) {
		f.c.Assert(time.Now().Before(deadline), qt.IsTrue, qt.Commentf("not ready in 20 s"))
	}
}

// openRequest sends requests until one has reached the backend server, which doesn't answer it.
func (f *platformFixture) openRequest() {
	for i := range 100 {
		go func() { _, _ = f.send(fmt.Sprintf("order-%d", i)) }()
		select {
		case <-f.began:
			return
		case <-time.After(200 * time.Millisecond):
		}
	}
	f.c.Fatal("no request reached the backend server")
}

// hangUp has the process read its settings n times, which takes longer than the time between the signals.
func (f *platformFixture) hangUp(p *stoppedProcess, n int) {
	settings, err := os.ReadFile(f.settingsPath)
	f.c.Assert(err, qt.IsNil)
	comments := bytes.Repeat([]byte("# comment\n"), longSettings/10)
	f.c.Assert(os.WriteFile(f.settingsPath, append(settings, comments...), 0o600), qt.IsNil)
	for range n {
		f.c.Assert(p.cmd.Process.Signal(syscall.SIGHUP), qt.IsNil)
		time.Sleep(hangupInterval)
	}
}

// fullPipe returns the end of a pipe on which each write blocks.
func (f *platformFixture) fullPipe() *os.File {
	r, w, err := os.Pipe()
	f.c.Assert(err, qt.IsNil)
	f.c.Cleanup(func() {
		_ = w.Close()
		_ = r.Close()
	})
	f.c.Assert(w.SetWriteDeadline(time.Now().Add(100*time.Millisecond)), qt.IsNil)
	for err == nil {
		_, err = w.Write(make([]byte, 4096))
	}
	f.c.Assert(err, qt.ErrorIs, os.ErrDeadlineExceeded)
	return w
}

// ready queries the readiness endpoint of the process.
func (f *platformFixture) ready() bool {
	client := http.Client{Timeout: 500 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + f.readiness + "/v1/readiness")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// pause suspends the process for a time.
func (p *stoppedProcess) pause(span time.Duration) {
	if span == 0 {
		return
	}
	// The process sees the signal first.
	time.Sleep(100 * time.Millisecond)
	_ = p.cmd.Process.Signal(syscall.SIGSTOP)
	time.Sleep(span)
	_ = p.cmd.Process.Signal(syscall.SIGCONT)
}

// drawTokens draws more tokens from the entry VM than it has, until done is closed.
func (f *platformFixture) drawTokens(done <-chan struct{}) {
	client := peer.NewPoolClient(&tcp.Dialer{})
	for {
		_, _ = client.Draw(context.Background(), netip.MustParseAddrPort(f.peer), "team-1", 1_000_000, 1_000_000)
		select {
		case <-done:
			return
		case <-time.After(20 * time.Millisecond):
		}
	}
}

// orderTime is how long the server of startWorking works on a request.
const orderTime = 400 * time.Millisecond

// TestLateRequestsOfStopAreCut guards against a stopping process that takes requests and passes them on shortly before it gives up
// what is open. Their callers keep connections open until the process is gone.
func TestLateRequestsOfStopAreCut(t *testing.T) {
	binary := filepath.Join(buildBinaries(qt.New(t)), "ibiswinch")
	for _, gracePeriod := range []time.Duration{2 * time.Second, 3 * time.Second, 5 * time.Second, 8 * time.Second} {
		t.Run(gracePeriod.String(), func(t *testing.T) {
			t.Parallel()
			f := newPlatformFixture(t)
			f.changeSettings(fmt.Sprintf("grace_period_s = %g\n", testGracePeriod.Seconds()), fmt.Sprintf("grace_period_s = %g\n", gracePeriod.Seconds()))
			var runs sync.Map
			f.publishRoutes(f.startWorking(&runs), f.startWorking(&runs))
			p := f.startProcess(binary, false)
			f.awaitSound()
			runs.Clear()
			var answers sync.Map
			var wg sync.WaitGroup
			for i := range 8 {
				wg.Go(func() { f.sendUntilGone(fmt.Sprintf("caller-%d", i), &answers) })
			}
			time.Sleep(500 * time.Millisecond)
			f.c.Assert(p.cmd.Process.Signal(syscall.SIGTERM), qt.IsNil)
			wg.Wait()
			<-p.exited
			runs.Range(func(id, _ any) bool {
				line, _ := answers.Load(id)
				f.c.Check(line, qt.Equals, "HTTP/1.1 200 OK", qt.Commentf("%s, which was passed on", id))
				return true
			})
		})
	}
}

// startWorking starts a server that works for orderTime on each request, and stores the ids of the requests.
func (f *platformFixture) startWorking(runs *sync.Map) string {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		runs.Store(r.Header.Get("Request-Id"), true)
		time.Sleep(orderTime)
		w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
		w.Header().Set("Response-Seal", "seal")
		_, _ = w.Write([]byte("done"))
	}))
	f.c.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

// sendUntilGone sends requests one after the other, on the same connection as long as it is open, until none is accepted. It
// stores the status lines by the ids of the requests.
func (f *platformFixture) sendUntilGone(name string, answers *sync.Map) {
	for i := 0; ; {
		conn, err := net.Dial("tcp4", f.front)
		if err != nil {
			return
		}
		_ = conn.SetDeadline(time.Now().Add(30 * time.Second))
		reader := bufio.NewReader(conn)
		for err == nil {
			i++
			err = sendKept(conn, reader, fmt.Sprintf("%s-%d", name, i), answers)
		}
		_ = conn.Close()
		time.Sleep(20 * time.Millisecond)
	}
}

// sendKept sends one request on a connection that stays open. It fails if the connection ends or is to be closed.
func sendKept(conn net.Conn, reader *bufio.Reader, id string, answers *sync.Map) error {
	_, err := fmt.Fprintf(conn, "POST /sound/1 HTTP/1.1\r\nHost: a.example\r\nRequest-Id: %s\r\nAuthorization: Bearer key-1\r\nToken-Counts: 10,10\r\nContent-Length: 2\r\n\r\nok", id)
	if err != nil {
		return err
	}
	resp, err := http.ReadResponse(reader, nil)
	if err != nil {
		return err
	}
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return err
	}
	answers.Store(id, resp.Proto+" "+resp.Status)
	if resp.Close {
		return io.EOF
	}
	return nil
}
