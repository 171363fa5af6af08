package demo

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"ibiswinch/core/record"
	"ibiswinch/entry"
	"ibiswinch/io/apexlog"
	clientplatform "ibiswinch/io/platform"
	"ibiswinch/standin/platform"
)

const (
	vmsPerDomain    = 2
	peerToken       = "demo-peer-token-0001"
	operatorToken   = "demo-operator-token-0001"
	maxHeldBytes    = 64 << 20
	maxStreams      = 5000
	maxOrders       = 100_000
	listInterval    = time.Second
	drainTimeout    = 10 * time.Second
	snapshotEntries = 200
	// probeInterval is the time between two readiness probes of the load balancer. It is well below the time for which
	// a stopping entry VM accepts requests after it reports that it isn't ready.
	probeInterval = 50 * time.Millisecond
	probeTimeout  = time.Second
	// dumpInterval is the time between two reads of the state dump of an entry VM.
	dumpInterval = 200 * time.Millisecond
	readyTimeout = 15 * time.Second
)

// vmProcess is one process of an entry VM. A replaced entry VM has a second one.
type vmProcess struct {
	name, domain string
	slot         int
	author       record.Author
	// callerURL and operatorURL are base URLs.
	callerURL, operatorURL string
	peerAddress            netip.AddrPort
	vm                     *entry.VM
	link                   *link
	client                 *clientplatform.Client
	stop                   context.CancelFunc
	ended                  chan struct{}
	err                    error

	// ready is the result of the load balancer's last readiness probe.
	ready   atomic.Bool
	killed  atomic.Bool
	stopped atomic.Bool
	// openStreams counts the streams that callers are reading.
	openStreams atomic.Int64
}

// fleet is the entry VMs and the simulated load balancer in front of them.
type fleet struct {
	network         *simulatedNetwork
	platform        *platform.Server
	platformAddress netip.AddrPort
	logOutput       io.Writer
	httpClient      *http.Client

	mu        sync.Mutex
	processes []*vmProcess
	dumpStats dumpStats
	wg        sync.WaitGroup
}

// dumpStats are figures of the state dumps of all processes.
type dumpStats struct {
	peakHeldBytes int64
	// reverts counts the dumps with a lower configuration version than an earlier dump of the same process.
	reverts int
	// highestVersion is the highest configuration version of each process.
	highestVersion map[*vmProcess]uint64
}

func newFleet(s *standIns, logOutput io.Writer) *fleet {
	return &fleet{
		network: newNetwork(), platform: s.platform, platformAddress: s.platformAddress, logOutput: logOutput,
		httpClient: &http.Client{Timeout: probeTimeout}, dumpStats: dumpStats{highestVersion: map[*vmProcess]uint64{}},
	}
}

// start starts a process. previous is the process that it replaces, whose addresses it takes over if they are free, or
// nil.
func (f *fleet) start(name, domain string, slot, incarnation int, previous *vmProcess) (*vmProcess, error) {
	v := &vmProcess{
		name: name, domain: domain, slot: slot, author: record.Author{VM: name, Incarnation: fmt.Sprintf("%s-life-%d", name, incarnation)},
		ended: make(chan struct{}), link: f.network.link(domain),
	}
	listeners, err := v.listen(previous)
	if err != nil {
		return nil, err
	}
	f.network.setDomain(v.peerAddress.String(), domain)
	v.client = clientplatform.NewClient(clientplatform.Config{Address: f.platformAddress})
	events, err := f.newEventLog(name)
	if err != nil {
		return nil, err
	}
	v.vm, err = entry.New(entry.Config{
		Author: v.author, Started: time.Now(), Domain: domain, Slot: slot, PeerAddr: v.peerAddress, PeerToken: peerToken, OperatorToken: operatorToken,
		DialPeer: v.link.dial, Platform: &platformLink{link: v.link, client: v.client}, Now: time.Now, Events: events,
		MaxHeldBytes: maxHeldBytes, MaxStreams: maxStreams, MaxOrders: maxOrders, SnapshotEntries: snapshotEntries, ListInterval: listInterval,
		DrainTimeout: drainTimeout,
	})
	if err != nil {
		return nil, eris.Wrap(err, name)
	}
	ctx, stop := context.WithCancel(context.Background())
	v.stop = stop
	f.wg.Go(func() {
		defer close(v.ended)
		v.err = v.vm.Run(ctx, listeners)
		v.client.Close()
	})
	f.mu.Lock()
	f.processes = append(f.processes, v)
	f.mu.Unlock()
	f.publishList()
	return v, nil
}

func (f *fleet) newEventLog(name string) (*apexlog.Logger, error) {
	if f.logOutput == nil {
		return apexlog.Discard(), nil
	}
	return apexlog.New(apexlog.Config{Output: f.logOutput, Format: "text", Level: "info", VM: name})
}

func (v *vmProcess) listen(previous *vmProcess) (entry.Listeners, error) {
	var l entry.Listeners
	var addresses [3]string
	if previous != nil {
		addresses = [3]string{previous.callerURL[len("http://"):], previous.peerAddress.String(), previous.operatorURL[len("http://"):]}
	}
	for i, target := range []*net.Listener{&l.Callers, &l.Peers, &l.Operators} {
		listener, actual, err := listen(addresses[i])
		if err != nil {
			return l, err
		}
		*target = listener
		switch i {
		case 0:
			v.callerURL = "http://" + actual.String()
		case 1:
			v.peerAddress = actual
		case 2:
			v.operatorURL = "http://" + actual.String()
		}
	}
	return l, nil
}

// kill ends a process as a crash does.
func (v *vmProcess) kill() {
	v.killed.Store(true)
	v.link.kill()
	v.vm.Abort()
	<-v.ended
}

// publishList sets the platform's list of VMs. It has each VM once. A killed one stays listed as live, since the real
// list is updated late.
func (f *fleet) publishList() {
	byName := map[string]platform.VM{}
	var names []string
	for _, v := range f.allProcesses() {
		if _, known := byName[v.name]; !known {
			names = append(names, v.name)
		}
		state := platform.StateLive
		if v.stopped.Load() {
			state = platform.StateLeaving
		}
		byName[v.name] = platform.VM{Name: v.name, Address: v.peerAddress, Domain: v.domain, State: state}
	}
	list := make([]platform.VM, 0, len(names))
	for _, name := range names {
		list = append(list, byName[name])
	}
	f.platform.SetVMs(list)
}

func (f *fleet) allProcesses() []*vmProcess {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]*vmProcess(nil), f.processes...)
}

// awaitReady waits until the load balancer finds v ready.
func (f *fleet) awaitReady(ctx context.Context, v *vmProcess) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for !v.ready.Load() {
		select {
		case <-ctx.Done():
			return eris.Errorf("%s is not ready within %s", v.name, readyTimeout)
		case <-v.ended:
			return eris.Wrapf(v.err, "%s ended before it was ready", v.name)
		case <-time.After(probeInterval):
		}
	}
	return nil
}

// monitor probes readiness and reads dumps until ctx ends.
func (f *fleet) monitor(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { repeatEvery(ctx, probeInterval, func() { f.forEachProcess(ctx, f.probeReady) }) })
	wg.Go(func() { repeatEvery(ctx, dumpInterval, func() { f.forEachProcess(ctx, f.readDump) }) })
	wg.Wait()
}

// forEachProcess calls do for all running processes concurrently.
func (f *fleet) forEachProcess(ctx context.Context, do func(context.Context, *vmProcess)) {
	var wg sync.WaitGroup
	for _, v := range f.allProcesses() {
		select {
		case <-v.ended:
			v.ready.Store(false)
		default:
			wg.Go(func() { do(ctx, v) })
		}
	}
	wg.Wait()
}

func (f *fleet) probeReady(ctx context.Context, v *vmProcess) {
	resp, err := f.get(ctx, v.callerURL+"/readyz", "")
	if err != nil {
		v.ready.Store(false)
		return
	}
	_ = resp.Body.Close()
	v.ready.Store(resp.StatusCode == http.StatusOK)
}

func (f *fleet) get(ctx context.Context, url, token string) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	if token != "" {
		req.Header.Set("Authorization", "Bearer "+token)
	}
	return f.httpClient.Do(req)
}

// dump is the part of the state dump of an entry VM that the result needs.
type dump struct {
	Author        record.Author `json:"author"`
	ConfigVersion uint64        `json:"configVersion"`
	PeakHeldBytes int64         `json:"peakHeldBytes"`
}

// readDump reads the state dump of a process. If the process is killed meanwhile, that of its replacement may come from the
// same address; it says nothing about v.
func (f *fleet) readDump(ctx context.Context, v *vmProcess) {
	var d dump
	if f.getJSON(ctx, v.operatorURL+"/dump", &d) != nil || d.Author != v.author {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.dumpStats.peakHeldBytes = max(f.dumpStats.peakHeldBytes, d.PeakHeldBytes)
	if d.ConfigVersion < f.dumpStats.highestVersion[v] {
		f.dumpStats.reverts++
	}
	f.dumpStats.highestVersion[v] = max(f.dumpStats.highestVersion[v], d.ConfigVersion)
}

// withoutConfigVersion returns the running processes whose highest configuration version isn't version.
func (f *fleet) withoutConfigVersion(version uint64) []*vmProcess {
	f.mu.Lock()
	defer f.mu.Unlock()
	var processes []*vmProcess
	for _, v := range f.processes {
		if !v.killed.Load() && !v.stopped.Load() && f.dumpStats.highestVersion[v] != version {
			processes = append(processes, v)
		}
	}
	return processes
}

func (f *fleet) getJSON(ctx context.Context, url string, value any) error {
	resp, err := f.get(ctx, url, operatorToken)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return eris.Errorf("unexpected status %d", resp.StatusCode)
	}
	return json.NewDecoder(resp.Body).Decode(value)
}

func repeatEvery(ctx context.Context, interval time.Duration, do func()) {
	for ctx.Err() == nil {
		do()
		sleep(ctx, interval)
	}
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
