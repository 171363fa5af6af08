package main

import (
	"bytes"
	"context"
	"net"
	"os"
	"os/signal"
	"reflect"
	"runtime/debug"
	"sync"
	"syscall"
	"time"

	"ibiswinch/core/connections"
	"ibiswinch/core/event"
	"ibiswinch/core/memory"
	"ibiswinch/core/overload"
	"ibiswinch/core/retry"
	"ibiswinch/core/sockets"
	"ibiswinch/gateway"
	"ibiswinch/io/apexlog"
	"ibiswinch/io/peer"
	"ibiswinch/io/prometheus"
	"ibiswinch/io/tcp"
	"ibiswinch/io/usage"
	"ibiswinch/platform"
)

func init() {
	register("platform", "Run one entry VM on the users' platform.", &platformCommand{})
}

type platformCommand struct {
	Settings string `type:"existingfile" help:"Settings file; by default the one that the platform names in the environment."`
	LogLevel string `default:"info" enum:"debug,info,warn,error" help:"Lowest level that is logged."`
}

const (
	// logLinesPerSecond and logBytesPerSecond bound the log of a process; further lines are dropped.
	logLinesPerSecond = 400
	logBytesPerSecond = 200 << 10
	// maxPendingLogLines is the capacity of the queue of lines that wait for standard output.
	maxPendingLogLines = 4096
	// metricsPort is the port of the metrics and of the state dump, metricsPath the path of the metrics.
	metricsPort = 9464
	metricsPath = "/metrics"
	// readsPerSecondPerPartition is the number of reads a second that the store allows for each partition of the
	// ledger. A store that allows more serves a larger fleet, whose entry VMs would append to the same partition at
	// once.
	readsPerSecondPerPartition = 1000
	// gcPercent is the growth of the heap between two garbage collections, in percent.
	gcPercent = 200
	// watchInterval is the time between two checks of the settings file and the dropped log lines.
	watchInterval = time.Second
)

// Run serves until SIGTERM, then drains.
func (c *platformCommand) Run() error {
	// Without this a write to an output whose reader has gone ends the process.
	signal.Ignore(syscall.SIGPIPE)
	// Until this SIGHUP ends the process.
	reloads := make(chan os.Signal, 1)
	signal.Notify(reloads, syscall.SIGHUP)
	settings, err := c.loadSettings()
	if err != nil {
		return err
	}
	debug.SetMemoryLimit(memory.Divide(settings.MemoryBytes).Runtime)
	debug.SetGCPercent(gcPercent)
	p, err := c.newProcess(settings)
	if err != nil {
		return err
	}
	apexlog.CaptureLibraryMessages(p.events)
	return p.run(reloads)
}

func (c *platformCommand) loadSettings() (platform.Settings, error) {
	if c.Settings == "" {
		c.Settings = os.Getenv(platform.SettingsVariable)
	}
	return platform.LoadSettings(c.Settings)
}

// platformProcess is the process of one entry VM on the users' platform.
type platformProcess struct {
	settingsPath string
	mu           sync.Mutex
	// settings are the last ones that were valid.
	settings  platform.Settings
	gateway   *gateway.Gateway
	events    *apexlog.Logger
	logOutput *apexlog.RateLimitedWriter
	metrics   *prometheus.Metrics
	// callers are the connections that callerListener has accepted.
	callers        platform.CallerConns
	callerListener net.Listener
	// traffic counts the bytes sent to and received from callers and servers.
	traffic usage.Traffic
	// memory counts the bytes that are held for requests and answers.
	memory *memory.Limiter
	// incoming bounds what is held for requests of callers that are being received.
	incoming *memory.Incoming
	// sockets divides the sockets of the process and the memory of what they have received.
	sockets     sockets.Limits
	wideBuffers *tcp.WideBuffers
}

func (c *platformCommand) newProcess(s platform.Settings) (*platformProcess, error) {
	p := &platformProcess{
		settingsPath: c.Settings, settings: s, memory: memory.NewLimiter(memory.Divide(s.MemoryBytes).Held), sockets: newSocketLimits(s),
	}
	p.wideBuffers = tcp.NewWideBuffers(p.sockets.Buffers)
	p.incoming = memory.NewIncoming(p.memory)
	p.logOutput = apexlog.NewRateLimitedWriter(apexlog.RateLimitedWriterConfig{
		Output: os.Stdout, LinesPerSecond: logLinesPerSecond, BytesPerSecond: logBytesPerSecond, QueueCapacity: maxPendingLogLines, Now: time.Now,
	})
	events, err := apexlog.New(apexlog.Config{Output: p.logOutput, Format: "json", Level: c.LogLevel, VM: s.Name})
	if err != nil {
		return nil, err
	}
	p.events = events
	incarnation, err := newIncarnation()
	if err != nil {
		return nil, err
	}
	p.metrics, err = prometheus.New(prometheus.Gauges{
		HeldBytes: p.memory.Held, OpenRequests: func() int64 { return p.gateway.OpenCalls() }, LivePeers: func() int64 { return int64(p.gateway.Members()) },
		FreeTokens: func() int64 { return p.gateway.FreeTokens() }, DroppedLines: p.logOutput.Dropped,
		CallerConnections: func() connections.Counts { return p.callers.Limits.Counts() }, WideBufferBytes: p.wideBuffers.Bytes,
		EvacuatedDomains: func() int64 { domains, _ := p.gateway.Evacuated(); return domains },
		EvacuatedCalls:   func() int64 { _, calls := p.gateway.Evacuated(); return calls },
	})
	if err != nil {
		return nil, err
	}
	p.gateway = gateway.New(gateway.Config{
		Name: s.Name, Incarnation: incarnation, Zone: s.Zone, Decoder: platform.Decoder{}, Encoder: platform.Encoder{},
		Log: platform.NewStore(platform.StoreConfig{Address: s.StoreAddress, ReceiveBytes: p.sockets.StoreReceiveBytes}),
		Backend: platform.NewServerClient(platform.ServerClientConfig{
			Now: time.Now, Traffic: &p.traffic, Memory: p.memory, Sockets: p.sockets, WideBuffers: p.wideBuffers,
		}),
		Peers: peer.NewPoolClient(platform.PeerDialer(p.sockets)), Address: s.PeerAddress, Now: time.Now, Events: p.events, Metrics: p.metrics,
		Retries: retry.WindowBudgetConfig{Ratio: s.RetryRatio, Extra: s.RetryExtra, Window: s.RetryWindow}, ServerHeartbeat: s.ServerHeartbeat,
		ColdOvershoot: s.ColdOvershoot, ColdSlack: s.ColdSlack, Regions: s.Regions,
		LedgerPartitions: max(min(int(s.StoreReadsPerSecond/readsPerSecondPerPartition), s.MaxPartitions), 1), Seed: uint64(time.Now().UnixNano()),
		LogNearLimit: p.logOutput.NearLimit, MaxOpenCalls: p.sockets.Callers, CloseStalled: p.callers.CloseStalled, Limits: overload.Limits{LinkBytesPerSecond: s.LinkBytesPerSecond, Cores: s.Cores}, Usage: p.sampleUsage, BytesSent: p.traffic.SentBytes,
	})
	p.events.Event(event.ProcessStarted, apexlog.Fields{"incarnation": incarnation, "zone": s.Zone})
	return p, nil
}

func (p *platformProcess) run(reloads <-chan os.Signal) error {
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	var wg sync.WaitGroup
	wg.Go(func() {
		if err := p.gateway.Run(ctx); err != nil {
			p.events.Event(event.HandlerPanicked, apexlog.Fields{"error": err.Error()})
		}
	})
	// A signal that comes once calls are accepted must not end the process at once. Each kind has a channel of its own: a full
	// one loses signals.
	stops := make(chan os.Signal, 1)
	signal.Notify(stops, syscall.SIGTERM, os.Interrupt)
	wg.Go(func() { p.watch(ctx, reloads) })
	if _, err := p.startServers(); err != nil {
		return err
	}
	<-stops
	times := newDrainTimes(time.Now(), p.gracePeriod())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		p.drain(times)
		stop()
		wg.Wait()
	}()
	awaitUntil(times.exitAt, ended)
	p.events.Event(event.ProcessStopped, apexlog.Fields{"open": p.callers.Open()})
	// If the output is blocked, an error could not be reported either.
	_ = p.logOutput.Close(times.exitAt)
	return nil
}

// awaitUntil waits for done to be closed, until the given time at most.
func awaitUntil(until time.Time, done <-chan struct{}) {
	timer := time.NewTimer(time.Until(until))
	defer timer.Stop()
	select {
	case <-done:
	case <-timer.C:
	}
}

// gracePeriod is the grace period of the last valid settings.
func (p *platformProcess) gracePeriod() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.settings.GracePeriod
}

// sampleUsage returns the CPU time and the bytes that the process has used so far.
func (p *platformProcess) sampleUsage() (overload.Sample, error) {
	cpu, err := usage.CPUTime()
	return overload.Sample{At: time.Now(), ReceivedBytes: p.traffic.ReceivedBytes(), SentBytes: p.traffic.SentBytes(), CPUTime: cpu}, err
}

// watch reloads the settings at each signal, and every watchInterval if the file has changed. It logs the number of dropped log
// lines.
func (p *platformProcess) watch(ctx context.Context, reloads <-chan os.Signal) {
	ticker := time.NewTicker(watchInterval)
	defer ticker.Stop()
	last, _ := os.ReadFile(p.settingsPath)
	reported := int64(0)
	for {
		select {
		case <-ctx.Done():
			return
		case <-reloads:
			p.reload()
			continue
		case <-ticker.C:
		}
		if current, err := os.ReadFile(p.settingsPath); err == nil && !bytes.Equal(current, last) {
			last = current
			p.reload()
		}
		if n := p.logOutput.Dropped(); n > reported {
			p.events.Event(event.LogLinesDropped, apexlog.Fields{"lines": n - reported})
			reported = n
		}
	}
}

// reload reads the settings again. Of these a running process uses only the grace period; the others take effect at its
// next start.
func (p *platformProcess) reload() {
	next, err := platform.LoadSettings(p.settingsPath)
	if err != nil {
		p.events.Event(event.SettingsRejected, apexlog.Fields{"error": err.Error()})
		return
	}
	p.mu.Lock()
	changed := !reflect.DeepEqual(next, p.settings)
	p.settings = next
	p.mu.Unlock()
	p.events.Event(event.SettingsReloaded, apexlog.Fields{"changed": changed})
}
