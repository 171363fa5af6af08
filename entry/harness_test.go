package entry_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"ibiswinch/core/config"
	"ibiswinch/core/record"
	"ibiswinch/entry"
	"ibiswinch/io/apexlog"
	"ibiswinch/io/platform"
	"ibiswinch/standin/engine"
	standin "ibiswinch/standin/platform"
	"ibiswinch/standin/service"
)

const (
	teamKey = "nada-demo-key"
	rules   = `[model "small"]
maxOutputTokens = 1000000
[team "nada"]
keySha256 = ba2e4fdb5f9389f331a390087aa398e0cd491105e59dfbe9b7b01eaa0791e472
topUpTokens = first:1000000000000
models = small
`
)

// awaitTimeout only ends a test that hangs; no test passes or fails because of its length.
const awaitTimeout = 60 * time.Second

// testVM is an entry VM with engines, servers of a service and a platform, all of them stand-ins in this process.
type testVM struct {
	tb     testing.TB
	vm     *entry.VM
	engine *engine.Server
	// engines are all engines, the one in engine included, and services the servers of the service "shop".
	engines  []*engine.Server
	services []*service.Server
	// platform is the stand-in of the platform.
	platform *standin.Server
	// callers, peers and operators are the addresses of the entry VM, engineAddr is that of its first engine.
	callers, peers, operators, engineAddr string
	client                                *http.Client
	// stop begins a planned stop of the entry VM; ended is closed at its end.
	stop  func()
	ended chan struct{}
}

type testVMConfig struct {
	limits     string
	maxHeld    int64
	tokenDelay time.Duration
	// crashMarker is a text in a prompt that crashes the engine, which restarts after restartAfter.
	crashMarker  string
	restartAfter time.Duration
	// engines is the number of engines; 0 means 1. services is the number of servers of the service "shop".
	engines, services int
	// engineTokens is the capacity of each engine; 0 means no limit in practice.
	engineTokens uint64
	// queueTimeout is how long requests wait for capacity; 0 means the default.
	queueTimeout time.Duration
	// maxOrders bounds the orders that are remembered; 0 means 1,000,000.
	maxOrders int
	// drainTimeout is how long a planned stop waits for open requests; 0 means 5 s.
	drainTimeout time.Duration
	// rules are appended to the rules.
	rules string
}

func listen(tb testing.TB) net.Listener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(tb, err, qt.IsNil)
	return l
}

// dial sets a small receive buffer, so that the sender blocks soon when the reader stops.
func dial(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
	if err == nil {
		_ = conn.(*net.TCPConn).SetReadBuffer(32 << 10)
	}
	return conn, err
}

func startVM(tb testing.TB, cfg testVMConfig) *testVM {
	n := &testVM{tb: tb, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1000, DialContext: dial}}}
	log := standin.New(standin.Config{})
	logListener := listen(tb)
	log.Start(logListener)
	tb.Cleanup(log.Close)
	n.platform = log
	inventory := "[domain \"east-1\"]\nregion = east\nslots = 1\n"
	for range max(cfg.engines, 1) {
		inventory += n.startEngine(cfg)
	}
	for range cfg.services {
		inventory += n.startService()
	}
	n.publish(inventory, rules+cfg.limits+cfg.rules)
	n.run(cfg, logListener.Addr().String())
	return n
}

// startEngine starts an engine and returns its section of the inventory.
func (n *testVM) startEngine(cfg testVMConfig) string {
	e := engine.New(engine.Config{
		Versions: []engine.ModelVersion{{Model: "small", Version: "v1"}}, TokenDelay: cfg.tokenDelay,
		CrashMarker: cfg.crashMarker, RestartAfter: cfg.restartAfter,
	})
	l := listen(n.tb)
	e.Start(l)
	n.tb.Cleanup(e.Close)
	n.engines = append(n.engines, e)
	if len(n.engines) == 1 {
		n.engine, n.engineAddr = e, l.Addr().String()
	}
	if cfg.engineTokens == 0 {
		cfg.engineTokens = 1_000_000_000_000
	}
	return fmt.Sprintf("[engine \"engine-%d\"]\naddress = %s\ndomain = east-1\nmodel = small\nversions = v1\ncapacityTokens = %d\n",
		len(n.engines), l.Addr(), cfg.engineTokens)
}

// startService starts a server of the service "shop" and returns its section of the inventory.
func (n *testVM) startService() string {
	s := service.New(service.Config{Name: fmt.Sprintf("shop-%d", len(n.services)+1)})
	l := listen(n.tb)
	s.Start(l)
	n.tb.Cleanup(s.Close)
	n.services = append(n.services, s)
	return fmt.Sprintf("[server \"shop-%d\"]\naddress = %s\ndomain = east-1\nservice = shop\nversion = r1\n", len(n.services), l.Addr())
}

// publish appends the first configuration.
func (n *testVM) publish(inventory, rules string) {
	body, err := config.NewPublish(0, "op", inventory, rules)
	qt.Assert(n.tb, err, qt.IsNil)
	data, err := json.Marshal(body)
	qt.Assert(n.tb, err, qt.IsNil)
	batch, err := record.EncodeBatch([]record.Record{{
		Version: 1, Kind: record.KindPublish, Author: record.Author{VM: "operator", Incarnation: "1"}, Sequence: 1,
		Time: time.Now(), Body: data,
	}})
	qt.Assert(n.tb, err, qt.IsNil)
	n.platform.Append("config", batch)
}

func (n *testVM) run(cfg testVMConfig, logAddr string) {
	events, err := apexlog.New(apexlog.Config{Output: io.Discard, Format: "text", Level: "error", VM: "a1"})
	qt.Assert(n.tb, err, qt.IsNil)
	l := entry.Listeners{Callers: listen(n.tb), Peers: listen(n.tb), Operators: listen(n.tb)}
	n.callers, n.peers, n.operators = l.Callers.Addr().String(), l.Peers.Addr().String(), l.Operators.Addr().String()
	if cfg.maxHeld == 0 {
		cfg.maxHeld = 1 << 30
	}
	if cfg.maxOrders == 0 {
		cfg.maxOrders = 1_000_000
	}
	if cfg.drainTimeout == 0 {
		cfg.drainTimeout = 5 * time.Second
	}
	n.vm, err = entry.New(entry.Config{
		Author: record.Author{VM: "a1", Incarnation: "1"}, Started: time.Now(), Domain: "east-1",
		PeerAddr: netip.MustParseAddrPort(l.Peers.Addr().String()), PeerToken: "peer-token-000001", OperatorToken: "operator-token-01",
		Platform: platform.NewClient(platform.Config{Address: netip.MustParseAddrPort(logAddr)}),
		Now:      time.Now, Events: events, MaxHeldBytes: cfg.maxHeld, MaxStreams: 100_000, MaxOrders: cfg.maxOrders, SnapshotEntries: 5000,
		ListInterval: time.Second, DrainTimeout: cfg.drainTimeout,
	})
	qt.Assert(n.tb, err, qt.IsNil)
	if cfg.queueTimeout > 0 {
		n.vm.SetQueueTimeout(cfg.queueTimeout)
	}
	ctx, stop := context.WithCancel(context.Background())
	n.stop, n.ended = stop, make(chan struct{})
	go func() {
		defer close(n.ended)
		_ = n.vm.Run(ctx, l)
	}()
	n.tb.Cleanup(func() {
		stop()
		<-n.ended
	})
	n.await("ready", func() bool { return n.vm.CheckReady() == nil })
	// An entry VM is ready before the first top-up is read back, but refuses requests until then.
	n.await("top-up", func() bool {
		budgets := n.vm.Dump().Budgets
		return len(budgets) > 0 && budgets[0].ToppedUp > 0
	})
	// The first request waits for the first grant. Its bill must not count among those of the test.
	resp := n.post(n.callers, "", request("warm up", 1))
	_, whole := readText(resp.Body)
	resp.Body.Close()
	qt.Assert(n.tb, whole, qt.IsTrue, qt.Commentf("%s", resp.Status))
	cost := uint64(engine.CompletionPrompt("warm up tokens=1").Tokens() + 1)
	n.await("bill of the first request", func() bool { return n.vm.Dump().Budgets[0].Billed >= cost })
}

func (n *testVM) await(what string, done func() bool) {
	n.tb.Helper()
	deadline := time.Now().Add(awaitTimeout)
	for !done() {
		if time.Now().After(deadline) {
			n.tb.Fatalf("%s: not within %s", what, awaitTimeout)
		}
		time.Sleep(time.Millisecond)
	}
}

func request(prompt string, tokens int) string {
	return fmt.Sprintf(`{"model":"small","prompt":"%s tokens=%d","max_tokens":%d,"stream":true,"stream_options":{"include_usage":true}}`,
		prompt, tokens, tokens)
}

func answer(prompt string, tokens int) string {
	return engine.CompletionPrompt(fmt.Sprintf("%s tokens=%d", prompt, tokens)).Answer(0, tokens)
}

func (n *testVM) post(addr, key, body string) *http.Response {
	req, err := http.NewRequest(http.MethodPost, "http://"+addr+"/v1/completions", strings.NewReader(body))
	qt.Assert(n.tb, err, qt.IsNil)
	req.Header.Set("Authorization", "Bearer "+teamKey)
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
	}
	resp, err := n.client.Do(req)
	qt.Assert(n.tb, err, qt.IsNil)
	return resp
}

// readStream sends a request and returns the text of its answer; complete is false if the answer ends early.
func (n *testVM) readStream(body string) (text string, complete bool) {
	resp := n.post(n.callers, "", body)
	defer resp.Body.Close()
	return readText(resp.Body)
}

// readText reads the text of a stream; complete is false if it ends before the final event.
func readText(body io.Reader) (text string, complete bool) {
	lines := bufio.NewReader(body)
	var b strings.Builder
	for {
		line, err := lines.ReadString('\n')
		if err != nil {
			return b.String(), false
		}
		data, ok := strings.CutPrefix(strings.TrimSpace(line), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			return b.String(), true
		}
		var event struct{ Choices []struct{ Text string } }
		if json.Unmarshal([]byte(data), &event) == nil && len(event.Choices) > 0 {
			b.WriteString(event.Choices[0].Text)
		}
	}
}
