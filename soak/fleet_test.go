package soak

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"ibiswinch/standin/keyedlog"
)

const (
	vmCount      = 4
	backendCount = 3
	gracePeriod  = 8 * time.Second
	frontPort    = 8740
	readyPort    = 8749
	storePort    = 8742
	serverPort   = 8300
	// entryInterval is the interval at which each backend server writes its entry in the server list.
	entryInterval = 600 * time.Millisecond
	// storeSilence is how late a silent store answers.
	storeSilence = time.Second
	// initialPrepaid is the number of tokens of each team at first, topUp what a new configuration adds for one team.
	initialPrepaid = 40_000
	topUp          = 5_000
)

// teams are the tenants, each with its own API key. Their prepaid tokens are so few that they run out during a run.
var teams = []string{"team-0", "team-1", "team-2"}

func apiKey(team string) string { return "key-of-" + team }

// vm is an entry VM, run as a process.
type vm struct {
	name         string
	ip           string
	storeProxy   *proxy
	log          *os.File
	settingsPath string
	mu           sync.Mutex
	cmd          *exec.Cmd
	exited       chan struct{}
	// restarting is 1 while the process is being stopped and started again.
	restarting atomic.Int64
	// starts counts the starts of the process.
	starts atomic.Int64
	// disturbances are the kills and pauses of the process.
	disturbances disturbances
}

// fleet is all that runs for one seed: the platform's store, the backend servers and the entry VMs.
type fleet struct {
	network       int
	dir           string
	binary        string
	store         *keyedlog.Server
	storeFaults   storeFaults
	storeTimings  storeTimings
	storeServer   *http.Server
	vms           []*vm
	backends      []*backend
	serverProxies []*proxy
	arrivals      *arrivalLog
	// configurations is the number of configurations published. Each adds a route.
	configurations atomic.Int64
	prepaid        map[string]int64
	topUps         []prepaidChange
	// storeReady is when the first configuration and the first server entries were written. Copies of the store are not
	// older.
	storeReady time.Time
	done       chan struct{}
	wg         sync.WaitGroup
}

// prepaidChange is a new prepaid total of a team.
type prepaidChange struct {
	at    time.Time
	team  string
	total int64
}

// ip returns the loopback address of endpoint i of a kind: 1 store, 2 backend server, 3 proxy from an entry VM to the
// store, 4 proxy to a backend server, 5 entry VM.
func (f *fleet) ip(kind, i int) string { return fmt.Sprintf("127.%d.%d.%d", f.network, kind, i+1) }

// Loopback networks of the soak are 127.firstNetwork to 127.(firstNetwork + networks - 1).
const (
	firstNetwork = 40
	networks     = 180
)

// listenStore listens at the store's address in the first free network, counted from preferred. Other networks are
// used by soaks that run at the same time.
func listenStore(preferred int) (l net.Listener, network int, err error) {
	for i := range networks {
		network = firstNetwork + (preferred+i)%networks
		l, err = net.Listen("tcp4", fmt.Sprintf("127.%d.1.1:%d", network, storePort))
		if !errors.Is(err, syscall.EADDRINUSE) {
			return l, network, err
		}
	}
	return nil, 0, err
}

// startFleet starts a fleet in the first free network, counted from preferred.
func startFleet(binary, dir string, preferred int) (*fleet, error) {
	listener, network, err := listenStore(preferred)
	if err != nil {
		return nil, err
	}
	f := &fleet{
		network: network, dir: dir, binary: binary, store: keyedlog.New(), arrivals: &arrivalLog{}, prepaid: map[string]int64{},
		done: make(chan struct{}),
	}
	f.store.SetFault(f.storeFaults.choose)
	f.setTimings(func(t *keyedlog.Timings) { t.Silence = storeSilence })
	for _, t := range teams {
		f.addPrepaid(t, initialPrepaid)
	}
	f.publish()
	f.storeServer = &http.Server{Handler: f.store}
	go func() { _ = f.storeServer.Serve(listener) }()
	for i := range backendCount {
		if err := f.addBackend(i); err != nil {
			return nil, err
		}
	}
	f.storeReady = time.Now()
	f.wg.Go(f.writeServerEntries)
	for i := range vmCount {
		if err := f.addVM(i, listener.Addr().String()); err != nil {
			return nil, err
		}
	}
	return f, nil
}

func (f *fleet) addBackend(i int) error {
	b := &backend{
		id: fmt.Sprintf("i-%d", i), listen: fmt.Sprintf("%s:%d", f.ip(2, i), serverPort), zone: fmt.Sprintf("zone-%d", i%2),
		entryAddress: fmt.Sprintf("%s:%d", f.ip(4, i), serverPort), arrivals: f.arrivals,
	}
	if err := b.start(); err != nil {
		return err
	}
	p, err := newProxy(b.entryAddress, b.listen)
	if err != nil {
		return err
	}
	f.backends, f.serverProxies = append(f.backends, b), append(f.serverProxies, p)
	b.writeEntry(f.store)
	return nil
}

func (f *fleet) addVM(i int, store string) error {
	v := &vm{name: fmt.Sprintf("front-%d", i), ip: f.ip(5, i), settingsPath: filepath.Join(f.dir, fmt.Sprintf("vm-%d.toml", i))}
	var err error
	if v.storeProxy, err = newProxy(fmt.Sprintf("%s:%d", f.ip(3, i), storePort), store); err != nil {
		return err
	}
	if v.log, err = os.Create(filepath.Join(f.dir, fmt.Sprintf("vm-%d.log", i))); err != nil {
		return err
	}
	f.vms = append(f.vms, v)
	if err := os.WriteFile(v.settingsPath, []byte(f.settings(v, i)), 0o600); err != nil {
		return err
	}
	return v.start(f.binary)
}

func (f *fleet) settings(v *vm, i int) string {
	return fmt.Sprintf(`node = %q
zone = "zone-%d"
ip_address = %q
internal_ports = [7200, 7215]
[listen_addresses]
front = "%s:%d"
ready = "%s:%d"
[limits]
memory_mb = 284
cpu_share = 1.0
link_mbps = 1000
[bounds]
grace_period_s = 8
retry_budget_ratio = 0.2
budget_extra_retries = 50
budget_window_s = 10
[platform]
address = %q
reads_per_s = 2000
parts = 12
`, v.name, i%2, v.ip, v.ip, frontPort, v.ip, readyPort, v.storeProxy.addr())
}

func (v *vm) start(binary string) error {
	v.mu.Lock()
	defer v.mu.Unlock()
	cmd := exec.Command(binary, "platform", "--settings", v.settingsPath)
	cmd.Stdout, cmd.Stderr = v.log, v.log
	if err := cmd.Start(); err != nil {
		return err
	}
	v.starts.Add(1)
	exited := make(chan struct{})
	v.cmd, v.exited = cmd, exited
	go func() { _ = cmd.Wait(); close(exited) }()
	return nil
}

func (v *vm) signal(s syscall.Signal) {
	v.mu.Lock()
	defer v.mu.Unlock()
	_ = v.cmd.Process.Signal(s)
}

// waitExit waits for the process to exit and kills it after limit.
func (v *vm) waitExit(limit time.Duration) (killed bool) {
	v.mu.Lock()
	exited := v.exited
	v.mu.Unlock()
	select {
	case <-exited:
		return false
	case <-time.After(limit):
		v.signal(syscall.SIGKILL)
		<-exited
		return true
	}
}

// ready queries the readiness endpoint, as a load balancer does.
func (v *vm) ready() bool {
	client := http.Client{Timeout: 500 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get(fmt.Sprintf("http://%s:%d/v1/readiness", v.ip, readyPort))
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// addPrepaid raises the prepaid tokens of a team in the next configuration.
func (f *fleet) addPrepaid(team string, tokens int64) {
	f.prepaid[team] += tokens
	f.topUps = append(f.topUps, prepaidChange{at: time.Now(), team: team, total: f.prepaid[team]})
}

// probePrefix is the path prefix of the route that a configuration adds.
func probePrefix(configuration int64) string { return fmt.Sprintf("/v%d/", configuration) }

// versionStep is the difference between the versions of two configurations.
const versionStep = 3

// publish writes the next configuration.
func (f *fleet) publish() {
	number := f.configurations.Load() + 1
	list := []map[string]any{}
	for _, t := range teams {
		list = append(list, map[string]any{"name": t, "api_keys": []string{apiKey(t)}, "prepaid": f.prepaid[t]})
	}
	value, _ := json.Marshal(map[string]any{
		"version": number * versionStep, "routes": routes(number), "tenants": list,
		"services": []map[string]any{{"name": "s", "health_path": "/health", "connection_limit": 500,
			"engine": map[string]any{"slots": 64, "kv_cache_tokens": 100000, "stride": eventTokens}}},
		"limits": map[string]any{"header_bytes": 16384, "body_bytes": 1 << 20, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	f.store.Append("keyed.op", "config", value)
	f.configurations.Store(number)
}

// routes returns the routes of a configuration: four that stay and one for each configuration so far.
func routes(configuration int64) []map[string]any {
	list := []map[string]any{
		route("/read/", "safe", 2, false), route("/order/", "unsafe", 1, false),
		route("/chat/", "streaming", 2, true), route("/draft/", "streaming", 1, false),
	}
	for i := range configuration {
		list = append(list, route(probePrefix(i+1), "safe", 2, false))
	}
	return list
}

func route(prefix, kind string, attempts int, resumable bool) map[string]any {
	return map[string]any{
		"name": "r" + prefix, "host": "soak.example", "path_prefix": prefix, "kind": kind, "timeout_ms": 4000,
		"target_latency_ms": 500, "priority": 1, "service": "s", "attempts": attempts, "stream_resumption": resumable,
	}
}

// writeServerEntries writes the entries of the backend servers periodically.
func (f *fleet) writeServerEntries() {
	ticker := time.NewTicker(entryInterval)
	defer ticker.Stop()
	for {
		for _, b := range f.backends {
			b.writeEntry(f.store)
		}
		select {
		case <-f.done:
			return
		case <-ticker.C:
		}
	}
}

// stop ends everything that startFleet started.
func (f *fleet) stop() {
	close(f.done)
	for _, v := range f.vms {
		v.signal(syscall.SIGCONT)
		v.signal(syscall.SIGKILL)
		v.waitExit(time.Second)
		v.storeProxy.close()
		_ = v.log.Close()
	}
	for i, b := range f.backends {
		f.serverProxies[i].close()
		b.close()
	}
	_ = f.storeServer.Close()
	f.wg.Wait()
}
