package soak

import (
	"encoding/json"
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
	// beatInterval is the pause between two entries of a backend server.
	beatInterval = 600 * time.Millisecond
)

// teams have a key each; prepaid is so small that it ends within a run.
var teams = []string{"team-0", "team-1", "team-2"}

func keyOf(team string) string { return "key-of-" + team }

// vm is an entry VM as a process.
type vm struct {
	name  string
	ip    string
	link  *proxy
	log   *os.File
	path  string
	mu    sync.Mutex
	cmd   *exec.Cmd
	ended chan struct{}
	// stopping is 1 while the process is stopped and started again.
	stopping atomic.Int64
}

// fleet is all that runs in one soak.
type fleet struct {
	net      int
	dir      string
	binary   string
	store    *keyedlog.Server
	storeSrv *http.Server
	vms      []*vm
	backends []*backend
	links    []*proxy
	runs     *ledgerOfRuns
	version  int64
	prepaid  map[string]int64
	started  time.Time
	done     chan struct{}
	wg       sync.WaitGroup
}

func (f *fleet) ip(kind, i int) string { return fmt.Sprintf("127.%d.%d.%d", f.net, kind, i+1) }

func startFleet(binary, dir string, network int) (*fleet, error) {
	f := &fleet{
		net: network, dir: dir, binary: binary, store: keyedlog.New(), runs: &ledgerOfRuns{runs: map[string]int{}},
		prepaid: map[string]int64{}, started: time.Now(), done: make(chan struct{}),
	}
	for _, t := range teams {
		f.prepaid[t] = 60_000
	}
	f.publish()
	l, err := net.Listen("tcp4", fmt.Sprintf("%s:%d", f.ip(1, 0), storePort))
	if err != nil {
		return nil, err
	}
	f.storeSrv = &http.Server{Handler: f.store}
	go func() { _ = f.storeSrv.Serve(l) }()
	for i := range backendCount {
		if err := f.addBackend(i); err != nil {
			return nil, err
		}
	}
	f.wg.Go(f.runBeats)
	for i := range vmCount {
		if err := f.addVM(i, l.Addr().String()); err != nil {
			return nil, err
		}
	}
	return f, nil
}

func (f *fleet) addBackend(i int) error {
	b, err := startBackend(fmt.Sprintf("i-%d", i), fmt.Sprintf("%s:%d", f.ip(2, i), serverPort), f.runs)
	if err != nil {
		return err
	}
	link, err := newProxy(fmt.Sprintf("%s:%d", f.ip(4, i), serverPort), fmt.Sprintf("%s:%d", f.ip(2, i), serverPort))
	f.backends, f.links = append(f.backends, b), append(f.links, link)
	return err
}

func (f *fleet) addVM(i int, store string) error {
	v := &vm{name: fmt.Sprintf("front-%d", i), ip: f.ip(5, i), path: filepath.Join(f.dir, fmt.Sprintf("vm-%d.toml", i))}
	var err error
	if v.link, err = newProxy(fmt.Sprintf("%s:%d", f.ip(3, i), storePort), store); err != nil {
		return err
	}
	if v.log, err = os.Create(filepath.Join(f.dir, fmt.Sprintf("vm-%d.log", i))); err != nil {
		return err
	}
	f.vms = append(f.vms, v)
	if err := os.WriteFile(v.path, []byte(f.settings(v, i)), 0o600); err != nil {
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
`, v.name, i%2, v.ip, v.ip, frontPort, v.ip, readyPort, v.link.addr())
}

func (v *vm) start(binary string) error {
	v.mu.Lock()
	defer v.mu.Unlock()
	cmd := exec.Command(binary, "platform", "--settings", v.path)
	cmd.Stdout, cmd.Stderr = v.log, v.log
	if err := cmd.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	v.cmd, v.ended = cmd, ended
	go func() { _ = cmd.Wait(); close(ended) }()
	return nil
}

func (v *vm) signal(s syscall.Signal) {
	v.mu.Lock()
	defer v.mu.Unlock()
	_ = v.cmd.Process.Signal(s)
}

// await waits for the end of the process, and kills it after limit.
func (v *vm) await(limit time.Duration) (killed bool) {
	v.mu.Lock()
	ended := v.ended
	v.mu.Unlock()
	select {
	case <-ended:
		return false
	case <-time.After(limit):
		v.signal(syscall.SIGKILL)
		<-ended
		return true
	}
}

// ready asks as the balancer does.
func (v *vm) ready() bool {
	client := http.Client{Timeout: 500 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get(fmt.Sprintf("http://%s:%d/v1/readiness", v.ip, readyPort))
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// publish writes the next configuration.
func (f *fleet) publish() {
	f.version += 3
	routes := []map[string]any{}
	for _, r := range []struct {
		prefix, kind string
		attempts     int
		resume       bool
	}{{"/read/", "safe", 2, false}, {"/order/", "unsafe", 1, false}, {"/chat/", "streaming", 2, true}, {"/draft/", "streaming", 1, false}} {
		routes = append(routes, map[string]any{
			"name": "r" + r.prefix, "host": "soak.example", "path_prefix": r.prefix, "kind": r.kind, "timeout_ms": 4000,
			"target_latency_ms": 500, "priority": 1, "service": "s", "attempts": r.attempts, "stream_resumption": r.resume,
		})
	}
	list := []map[string]any{}
	for _, t := range teams {
		list = append(list, map[string]any{"name": t, "api_keys": []string{keyOf(t)}, "prepaid": f.prepaid[t]})
	}
	value, _ := json.Marshal(map[string]any{
		"version": f.version, "routes": routes, "tenants": list,
		"services": []map[string]any{{"name": "s", "health_path": "/health", "connection_limit": 500,
			"engine": map[string]any{"slots": 64, "kv_cache_tokens": 100000, "stride": eventTokens}}},
		"limits": map[string]any{"header_bytes": 16384, "body_bytes": 1 << 20, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	f.store.Put("keyed.op", "config", value)
}

// runBeats writes the entries of the backend servers.
func (f *fleet) runBeats() {
	ticker := time.NewTicker(beatInterval)
	defer ticker.Stop()
	for n := 1; ; n++ {
		for i, b := range f.backends {
			value, _ := json.Marshal(map[string]any{
				"service": "s", "address": f.links[i].addr(), "zone": fmt.Sprintf("zone-%d", i%2), "version": "v1", "slots": 64,
				"state": "ready", "sequence": n, "born": f.started.UnixMilli(),
			})
			f.store.Put("keyed.servers", b.id, value)
		}
		select {
		case <-f.done:
			return
		case <-ticker.C:
		}
	}
}

// stop ends everything that the soak started.
func (f *fleet) stop() {
	close(f.done)
	for _, v := range f.vms {
		v.signal(syscall.SIGCONT)
		v.signal(syscall.SIGKILL)
		v.await(time.Second)
		v.link.close()
		_ = v.log.Close()
	}
	for i, b := range f.backends {
		f.links[i].close()
		_ = b.server.Close()
	}
	_ = f.storeSrv.Close()
	f.wg.Wait()
}
