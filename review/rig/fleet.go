//go:build review

package main

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
	"syscall"
	"time"

	"ibiswinch/standin/keyedlog"
)

const (
	// settingsVariable names the environment variable with the path of the settings file.
	settingsVariable = "IBISWINCH_NODE_FILE"
	// metricsPort is a port that each entry VM opens at its address, whatever its settings say.
	metricsPort = 9464
	// startTimeout bounds the time until all entry VMs are ready, readyInterval the time between two checks.
	startTimeout  = 20 * time.Second
	readyInterval = 100 * time.Millisecond
	// firstNetwork and networks are the loopback networks 127.N that are tried.
	firstNetwork = 60
	networks     = 150
	// stability is the bound stability_window_ms of the settings.
	stability = 3 * time.Second
)

// zones are the failure domains. Entry VMs and servers are spread over them in turn.
var zones = []string{"kochi-a", "kochi-b", "kochi-c"}

// vm is an entry VM, run as a process.
type vm struct {
	name, front, ready string
	settingsPath       string
	cmd                *exec.Cmd
	exited             chan struct{}
	log                *os.File
}

// fleet is the platform's store, the servers and the entry VMs of one run.
type fleet struct {
	dir     string
	network int
	store   *keyedlog.Server
	server  *http.Server
	address string
	// claim keeps other runs out of the network.
	claim   net.Listener
	vms     []*vm
	servers []*server
	version int64
	done    chan struct{}
	wg      sync.WaitGroup
}

// ip returns the loopback address of endpoint i of a kind.
func (f *fleet) ip(kind, i int) string { return fmt.Sprintf("127.%d.%d.%d", f.network, kind, i+1) }

// Kinds of endpoints.
const (
	kindStore = iota + 1
	kindServer
	kindVM
	kindClaim
)

// newFleet starts a store in a free loopback network.
func newFleet() (*fleet, error) {
	dir, err := os.MkdirTemp("", "rig-")
	if err != nil {
		return nil, err
	}
	f := &fleet{dir: dir, store: keyedlog.New(), done: make(chan struct{})}
	first := os.Getpid() % networks
	for i := 0; i < networks && f.claim == nil; i++ {
		f.network = firstNetwork + (first+i)%networks
		f.claimNetwork()
	}
	if f.claim == nil {
		return nil, errors.New("no loopback network is free")
	}
	listener, err := net.Listen("tcp4", f.ip(kindStore, 0)+":0")
	if err != nil {
		return nil, err
	}
	f.address = listener.Addr().String()
	f.server = &http.Server{Handler: f.store}
	go func() { _ = f.server.Serve(listener) }()
	return f, nil
}

// claimNetwork claims the network unless another run has it, or an entry VM runs there.
func (f *fleet) claimNetwork() {
	claim, err := net.Listen("tcp4", fmt.Sprintf("%s:%d", f.ip(kindClaim, 0), metricsPort))
	if err != nil {
		return
	}
	l, err := net.Listen("tcp4", fmt.Sprintf("%s:%d", f.ip(kindVM, 0), metricsPort))
	if err != nil {
		_ = claim.Close()
		return
	}
	_ = l.Close()
	f.claim = claim
}

// publish writes a configuration as its next version.
func (f *fleet) publish(routes, services, tenants []map[string]any) error {
	f.version += 3
	value, err := json.Marshal(map[string]any{
		"version": f.version, "routes": routes, "services": services, "tenants": tenants,
		"limits": map[string]any{"header_bytes": 16384, "body_bytes": 4 << 20, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	if err != nil {
		return err
	}
	f.store.Append("keyed.op", "config", value)
	return nil
}

// freePorts returns different ports that are free at an address.
func freePorts(ip string, n int) ([]int, error) {
	ports := make([]int, n)
	for i := range ports {
		l, err := net.Listen("tcp4", ip+":0")
		if err != nil {
			return nil, err
		}
		defer l.Close()
		ports[i] = l.Addr().(*net.TCPAddr).Port
	}
	return ports, nil
}

// startVMs starts n entry VMs and waits until all are ready.
func (f *fleet) startVMs(n int) error {
	for i := range n {
		if err := f.startVM(i); err != nil {
			return err
		}
	}
	for deadline := time.Now().Add(startTimeout); ; time.Sleep(readyInterval) {
		ready := 0
		for _, v := range f.vms {
			if v.isReady() {
				ready++
			}
		}
		if ready == n {
			return nil
		}
		if time.Now().After(deadline) {
			return errors.New("the entry VMs did not become ready")
		}
	}
}

func (f *fleet) startVM(i int) error {
	ip := f.ip(kindVM, i)
	ports, err := freePorts(ip, 3)
	if err != nil {
		return err
	}
	v := &vm{
		name: fmt.Sprintf("front-%s-%d", zones[i%len(zones)], i+1), front: fmt.Sprintf("%s:%d", ip, ports[0]),
		ready: fmt.Sprintf("%s:%d", ip, ports[1]), settingsPath: filepath.Join(f.dir, fmt.Sprintf("vm-%d.toml", i)),
	}
	settings := fmt.Sprintf(settingsFormat, v.name, ip, zones[i%len(zones)], ports[2], ports[2], v.front, v.ready, f.address)
	if err := os.WriteFile(v.settingsPath, []byte(settings), 0o600); err != nil {
		return err
	}
	if v.log, err = os.Create(filepath.Join(f.dir, fmt.Sprintf("vm-%d.log", i))); err != nil {
		return err
	}
	f.vms = append(f.vms, v)
	return v.start()
}

// settingsFormat is the settings file of an entry VM of a small deployment.
const settingsFormat = `node = %q
role = "gateway"
machine_class = "front"
serves = ["front"]
ip_address = %q
zone = %q
region = "kochi"
internal_ports = [%d, %d]
bootstrap = true
loss_counts = false
discovery = "platform"
entry = "virtual_ip"
heartbeat_interval_ms = 1200
[zones]
kochi-a = "kochi"
kochi-b = "kochi"
kochi-c = "kochi"
[listen_addresses]
front = %q
ready = %q
[limits]
cpu_share = 0.4
cores = 1
memory_mb = 284
file_descriptors = 4100
link_mbps = 1000.0
[fault_tolerance]
machines = 1
zones = 1
regions = 0
[bounds]
stability_window_ms = 3000
drain_ms = 2000
grace_period_s = 8
configuration_apply_ms = 2000
retry_budget_ratio = 0.2
budget_window_s = 10
budget_extra_retries = 56
exposure_share = 0.1
exposure_slack = 50
rollback_ms = 5000
[platform]
address = %q
form = "log"
writes_per_s = 800
reads_per_s = 2000
parts = 12
record_bytes = 262144
request_bytes = 2097152
keep_s = 300
partition_mb = 200
ttl_min_ms = 1000
`

// start starts the process with the command of the deploy file.
func (v *vm) start() error {
	v.cmd = exec.Command("target/ibiswinch", "platform")
	v.cmd.Env = append(os.Environ(), settingsVariable+"="+v.settingsPath)
	v.cmd.Stdout, v.cmd.Stderr = v.log, v.log
	// The process ends with this one, however that ends.
	v.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := v.cmd.Start(); err != nil {
		return err
	}
	v.exited = make(chan struct{})
	go func(cmd *exec.Cmd, exited chan struct{}) {
		_ = cmd.Wait()
		close(exited)
	}(v.cmd, v.exited)
	return nil
}

// hasExited reports whether the process has ended by itself.
func (v *vm) hasExited() bool {
	select {
	case <-v.exited:
		return true
	default:
		return false
	}
}

// isReady asks the entry VM as the platform does.
func (v *vm) isReady() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + v.ready + "/v1/readiness")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// stop ends all that the fleet has started.
func (f *fleet) stop() {
	close(f.done)
	for _, v := range f.vms {
		if v.cmd.Process != nil {
			_ = v.cmd.Process.Kill()
			<-v.exited
		}
		_ = v.log.Close()
	}
	for _, s := range f.servers {
		s.stop()
	}
	_ = f.server.Close()
	_ = f.claim.Close()
	f.wg.Wait()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.dir)
	}
}
