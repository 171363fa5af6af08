package main

import (
	"crypto/tls"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// hostileBinaries is the directory of the binaries that all these tests share.
var hostileBinaries = sync.OnceValues(func() (string, error) {
	dir, err := os.MkdirTemp("", "hostile")
	if err != nil {
		return "", err
	}
	out, err := exec.Command("go", "build", "-o", dir+string(filepath.Separator), "ibiswinch/cmd/ibiswinch", "ibiswinch/cmd/standin").CombinedOutput()
	if err != nil {
		return dir, fmt.Errorf("%w: %s", err, out)
	}
	return dir, nil
})

// TestMain removes the shared binaries.
func TestMain(m *testing.M) {
	code := m.Run()
	if hostileBuilt {
		if dir, err := hostileBinaries(); err == nil {
			_ = os.RemoveAll(dir)
		}
	}
	os.Exit(code)
}

// hostileBuilt is set once the shared binaries have been built.
var hostileBuilt bool

// hostileBinary returns the path of a shared binary.
func hostileBinary(c *qt.C, name string) string {
	hostileBuilt = true
	dir, err := hostileBinaries()
	c.Assert(err, qt.IsNil)
	return filepath.Join(dir, name)
}

const (
	// hostileSendTimeout bounds how long a member of a crowd goes on sending when the process doesn't read. It then stays connected.
	hostileSendTimeout = 3 * time.Second
	// hostileHoldTime is how long the crowd stays after its last member has sent all that it sends.
	hostileHoldTime = 500 * time.Millisecond
	// hostileSampleInterval is the time between two looks at the process.
	hostileSampleInterval = 10 * time.Millisecond
	// hostileAnswerTimeout only ends a test whose ordinary request is never answered.
	hostileAnswerTimeout = 60 * time.Second
	// hostileWindow is shorter than the time-out of a write to a caller, so that a crowd that stops reading isn't gone by then.
	hostileWindow  = 4 * time.Second
	hostileWindows = 3
	// hostileReturnPause is the time after which a member whose connection was closed comes again.
	hostileReturnPause = time.Second
	// hostileSlowPause is the time between two bytes, or pieces, of a slow member.
	hostileSlowPause = 200 * time.Millisecond
	// hostileBody is the largest legal size of a body, hostileHead a size of a head below the limit of the configuration.
	hostileBody = 4 << 20
	hostileHead = 15 << 10
)

// hostileDoor is a way to reach a process: an address with the start of a request for it.
type hostileDoor struct {
	name, address string
	// target is the path, host the value of the header.
	target, host string
	// headers are whole lines.
	headers string
	// isSecure is set if the door speaks TLS.
	isSecure bool
	// maxHead is a size of a head that the door must survive.
	maxHead int
}

// start returns the start of a request, up to the lines that differ.
func (d hostileDoor) start(method string) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: hostile\r\n%s", method, d.target, d.host, d.headers)
}

// hostileTLS takes any certificate.
var hostileTLS = &tls.Config{InsecureSkipVerify: true}

// secure returns the connection as the door's play uses it. A handshake begins with its first write.
func (d hostileDoor) secure(conn net.Conn) net.Conn {
	if d.isSecure {
		return tls.Client(conn, hostileTLS)
	}
	return conn
}

// hostilePlay is what one member of a crowd does on its connection. It returns when all is sent, or the connection has ended.
type hostilePlay func(conn net.Conn, d hostileDoor)

// hostileCrowd is a number of connections, in turn at each door, that stay open until the process closes them or the test ends.
type hostileCrowd struct {
	size  int
	doors []hostileDoor
	play  hostilePlay
}

// run starts the crowd and returns once all that it sends is sent. closeAll ends the connections.
func (crowd hostileCrowd) run() (closeAll func()) {
	var wg sync.WaitGroup
	conns := make([]net.Conn, crowd.size)
	for i := range crowd.size {
		wg.Go(func() {
			d := crowd.doors[i%len(crowd.doors)]
			conn, err := net.DialTimeout("tcp4", d.address, hostileSendTimeout)
			if err != nil {
				return
			}
			conns[i] = conn
			_ = conn.SetDeadline(time.Now().Add(hostileSendTimeout))
			crowd.play(d.secure(conn), d)
		})
	}
	wg.Wait()
	return func() {
		for _, c := range conns {
			if c != nil {
				_ = c.Close()
			}
		}
	}
}

// hostileLasting is a crowd whose members come again when their connections are closed.
type hostileLasting struct {
	hostileCrowd
	stop chan struct{}
	wg   sync.WaitGroup
}

// startLasting starts a crowd that lasts until close.
func (crowd hostileCrowd) startLasting() *hostileLasting {
	l := &hostileLasting{hostileCrowd: crowd, stop: make(chan struct{})}
	for i := range crowd.size {
		l.wg.Go(func() { l.runMember(crowd.doors[i%len(crowd.doors)]) })
	}
	return l
}

func (l *hostileLasting) runMember(d hostileDoor) {
	for {
		if conn, err := net.DialTimeout("tcp4", d.address, hostileSendTimeout); err == nil {
			// The play ends with the crowd too.
			played := make(chan struct{})
			go func() {
				defer close(played)
				l.play(d.secure(conn), d)
			}()
			select {
			case <-played:
			case <-l.stop:
			}
			_ = conn.Close()
			<-played
		}
		select {
		case <-l.stop:
			return
		case <-time.After(hostileReturnPause):
		}
	}
}

func (l *hostileLasting) close() {
	close(l.stop)
	l.wg.Wait()
}

// hostileTarget is a process under a crowd, with the bounds that it must stay within.
type hostileTarget struct {
	c   *qt.C
	pid int
	// maxBytes bounds the resident memory with what the kernel has received and the process hasn't read, maxSockets the open sockets.
	maxBytes, maxSockets int
	// ask sends one ordinary request and returns the status line of its answer.
	ask func() (string, error)
}

// withstand runs the crowds at the same time and checks that the process lives within its bounds and answers an ordinary request, while
// the crowds are still connected.
func (target hostileTarget) withstand(t *testing.T, crowds ...hostileCrowd) {
	stop, sampled := make(chan struct{}), make(chan hostileUsage)
	go func() { sampled <- sampleUsage(target.pid, stop) }()
	var wg sync.WaitGroup
	for _, crowd := range crowds {
		wg.Go(func() { target.c.Cleanup(crowd.run()) })
	}
	wg.Wait()
	time.Sleep(hostileHoldTime)
	var line string
	var err error
	for deadline := time.Now().Add(hostileAnswerTimeout); time.Now().Before(deadline); time.Sleep(100 * time.Millisecond) {
		if line, err = target.ask(); err == nil && strings.Contains(line, " 200 ") {
			break
		}
		if _, gone := os.Stat(fmt.Sprintf("/proc/%d/status", target.pid)); gone != nil {
			break
		}
	}
	close(stop)
	target.checkBounds(t, <-sampled)
	t.Logf("ordinary request: %q, %v", line, err)
	target.c.Check(strings.Contains(line, " 200 "), qt.IsTrue, qt.Commentf("ordinary request: %q, %v", line, err))
}

// servesBeside runs lasting crowds and checks that the process lives within its bounds and serves an ordinary request on a new
// connection in each window of the time for which they are connected.
func (target hostileTarget) servesBeside(t *testing.T, crowds ...hostileCrowd) {
	stop, sampled := make(chan struct{}), make(chan hostileUsage)
	go func() { sampled <- sampleUsage(target.pid, stop) }()
	for _, crowd := range crowds {
		target.c.Cleanup(crowd.startLasting().close)
	}
	time.Sleep(hostileHoldTime)
	for i := range hostileWindows {
		asked, served := 0, 0
		failures := map[string]int{}
		for end := time.Now().Add(hostileWindow); time.Now().Before(end); time.Sleep(hostileSampleInterval) {
			line, err := target.ask()
			asked++
			if err == nil && strings.Contains(line, " 200 ") {
				served++
			} else {
				failures[fmt.Sprint(line, " ", err)]++
			}
		}
		t.Logf("window %d: %d of %d ordinary requests served, others: %v", i, served, asked, failures)
		target.c.Check(served > 0, qt.IsTrue, qt.Commentf("window %d: none of %d ordinary requests was served", i, asked))
	}
	close(stop)
	target.checkBounds(t, <-sampled)
}

// checkBounds checks that the process lives and has stayed within its bounds.
func (target hostileTarget) checkBounds(t *testing.T, u hostileUsage) {
	peak := peakBytes(target.pid)
	t.Logf("%d MB resident at the peak, %d MB unread, together %d MB of %d MB; %d sockets of %d",
		peak>>20, u.unread>>20, u.bytes>>20, target.maxBytes>>20, u.sockets, target.maxSockets)
	target.c.Check(peak > 0, qt.IsTrue, qt.Commentf("the process has ended"))
	target.c.Check(max(peak, u.bytes) <= target.maxBytes, qt.IsTrue, qt.Commentf("%d MB resident, %d MB with what is unread, %d MB allowed", peak>>20, u.bytes>>20, target.maxBytes>>20))
	target.c.Check(u.sockets <= target.maxSockets, qt.IsTrue, qt.Commentf("%d sockets, %d allowed", u.sockets, target.maxSockets))
}

// peakBytes returns the largest resident memory of a process so far, 0 if it has ended.
func peakBytes(pid int) int {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	found := peakMemory.FindStringSubmatch(string(status))
	if err != nil || found == nil {
		return 0
	}
	kilobytes, _ := strconv.Atoi(found[1])
	return kilobytes << 10
}
