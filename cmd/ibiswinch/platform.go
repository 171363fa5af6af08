package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/signal"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"ibiswinch/core/event"
	"ibiswinch/core/overload"
	"ibiswinch/core/retry"
	"ibiswinch/gateway"
	"ibiswinch/io/apexlog"
	"ibiswinch/io/peer"
	"ibiswinch/io/prometheus"
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
	// logLines and logBytes bound the log of a process, each second.
	logLines   = 400
	logBytes   = 200 << 10
	logPending = 4096
	// metricsPort serves the metrics and the state dump, metricsPath is that of the metrics.
	metricsPort = 9464
	metricsPath = "/metrics"
	// readsPerPartition is the number of reads a second that the store allows for each partition of the ledger. A store
	// that allows more serves a larger fleet, whose entry VMs would append to the same partition at once.
	readsPerPartition = 1000
	// memoryShare is the part of the memory limit from which the garbage collector works harder, in hundredths.
	memoryShare = 60
	// garbageShare is the growth of the heap between two collections, in hundredths.
	garbageShare = 200
	// noticeTime is how long a stopping process serves new calls, until the balancer has seen that it isn't ready. Calls
	// that come later might outlast the grace period.
	noticeTime = 2600 * time.Millisecond
	// idleTime is when a stopping process closes connections that are idle.
	idleTime = 3500 * time.Millisecond
	// stopReserve is left of the grace period to return budgets and end.
	stopReserve = 700 * time.Millisecond
	stopPoll    = 20 * time.Millisecond
	// watchInterval separates looks at the settings file.
	watchInterval = time.Second
	// callerHeaderBytes bounds the headers of a caller beyond the limits of the configuration.
	callerHeaderBytes = 64 << 10
	headerTimeout     = 5 * time.Second
	// callerIdleTimeout is longer than callers reuse an idle connection.
	callerIdleTimeout = 90 * time.Second
)

// Run serves until SIGTERM, then drains.
func (c *platformCommand) Run() error {
	if c.Settings == "" {
		c.Settings = os.Getenv(platform.SettingsVariable)
	}
	settings, err := platform.LoadSettings(c.Settings)
	if err != nil {
		return err
	}
	debug.SetMemoryLimit(settings.MemoryBytes * memoryShare / 100)
	debug.SetGCPercent(garbageShare)
	p, err := c.newProcess(settings)
	if err != nil {
		return err
	}
	return p.run()
}

// platformProcess is one entry VM on the platform.
type platformProcess struct {
	path string
	mu   sync.Mutex
	// settings are the last good ones.
	settings platform.Settings
	gateway  *gateway.Gateway
	events   *apexlog.Logger
	output   *apexlog.Bounded
	metrics  *prometheus.Metrics
	open     atomic.Int64
	// traffic counts the bytes of callers and servers.
	traffic usage.Traffic
}

func (c *platformCommand) newProcess(s platform.Settings) (*platformProcess, error) {
	p := &platformProcess{path: c.Settings, settings: s}
	p.output = apexlog.NewBounded(apexlog.BoundedConfig{
		Output: os.Stdout, LinesPerSecond: logLines, BytesPerSecond: logBytes, Pending: logPending, Now: time.Now,
	})
	events, err := apexlog.New(apexlog.Config{Output: p.output, Format: "json", Level: c.LogLevel, VM: s.Name})
	if err != nil {
		return nil, err
	}
	p.events = events
	incarnation, err := newIncarnation()
	if err != nil {
		return nil, err
	}
	p.metrics, err = prometheus.New(prometheus.Gauges{
		OpenRequests: func() int64 { return p.gateway.Serving() }, LivePeers: func() int64 { return int64(p.gateway.Members()) },
		FreeTokens: func() int64 { return p.gateway.FreeTokens() }, DroppedLines: p.output.Dropped,
	})
	if err != nil {
		return nil, err
	}
	p.gateway = gateway.New(gateway.Config{
		Name: s.Name, Incarnation: incarnation, Zone: s.Zone, Log: platform.NewStore(s.Store), Decoder: platform.Decoder{},
		Backend: platform.NewServers(time.Now, &p.traffic), Peers: peer.NewPoolClient(platform.PeerDialer()), Address: s.Peers, Now: time.Now, Events: p.events, Metrics: p.metrics,
		Retries:          retry.WindowConfig{Ratio: s.RetryRatio, Extra: s.RetryExtra, Window: s.RetryWindow},
		LedgerPartitions: max(min(int(s.StoreReads/readsPerPartition), s.StoreParts), 1), Seed: uint64(time.Now().UnixNano()),
		Pressed: p.output.Pressed, Limits: overload.Limits{LinkBytes: s.LinkBytes, Cores: s.Cores}, Usage: p.usage, Sent: p.traffic.Out,
	})
	p.events.Event(event.ProcessStarted, apexlog.Fields{"incarnation": incarnation, "zone": s.Zone})
	return p, nil
}

func (p *platformProcess) run() error {
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	var wg sync.WaitGroup
	wg.Go(func() {
		if err := p.gateway.Run(ctx); err != nil {
			p.events.Event(event.HandlerPanicked, apexlog.Fields{"error": err.Error()})
		}
	})
	wg.Go(func() { p.runWatch(ctx) })
	callers, err := p.serve()
	if err != nil {
		return err
	}
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGHUP, os.Interrupt)
	for s := range signals {
		if s != syscall.SIGHUP {
			break
		}
		p.reload()
	}
	p.stop(callers)
	stop()
	wg.Wait()
	p.events.Event(event.ProcessStopped, apexlog.Fields{"open": p.open.Load()})
	return p.output.Close(time.Second)
}

// serve opens the listeners.
func (p *platformProcess) serve() (*http.Server, error) {
	callers := &http.Server{
		Handler:           &platform.Callers{Gateway: p.gateway, Now: time.Now, Closing: p.gateway.Closing},
		ReadHeaderTimeout: headerTimeout, IdleTimeout: callerIdleTimeout, MaxHeaderBytes: callerHeaderBytes,
		ConnState: func(_ net.Conn, s http.ConnState) {
			switch s {
			case http.StateNew:
				p.open.Add(1)
			case http.StateClosed, http.StateHijacked:
				p.open.Add(-1)
			}
		},
	}
	readiness := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if !p.gateway.Ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	inspection := http.NewServeMux()
	inspection.Handle(metricsPath, p.metrics.Handler())
	inspection.HandleFunc("/state", func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(p.gateway.Dump())
	})
	for _, l := range []struct {
		at     netip.AddrPort
		server *http.Server
	}{
		{p.settings.Callers, callers},
		{p.settings.Peers, &http.Server{Handler: peer.NewPoolHandler(p.gateway), ReadHeaderTimeout: headerTimeout}},
		{p.settings.Readiness, &http.Server{Handler: readiness, ReadHeaderTimeout: headerTimeout}},
		{netip.AddrPortFrom(p.settings.Address, metricsPort), &http.Server{Handler: inspection, ReadHeaderTimeout: headerTimeout}},
	} {
		listener, err := net.Listen("tcp4", l.at.String())
		if err != nil {
			return nil, eris.Wrapf(err, "listen at %s", l.at)
		}
		if l.server == callers {
			listener = p.traffic.Listener(listener)
		}
		go p.runServer(l.server, listener)
	}
	return callers, nil
}

// usage samples what the process has used.
func (p *platformProcess) usage() (overload.Sample, error) {
	cpu, err := usage.CPU()
	return overload.Sample{At: time.Now(), In: p.traffic.In(), Out: p.traffic.Out(), CPU: cpu}, err
}

func (p *platformProcess) runServer(s *http.Server, l net.Listener) {
	if err := s.Serve(l); err != nil && !errors.Is(err, http.ErrServerClosed) {
		p.events.Event(event.HandlerPanicked, apexlog.Fields{"error": err.Error()})
	}
}

// runWatch looks once a second for changed settings and dropped lines.
func (p *platformProcess) runWatch(ctx context.Context) {
	ticker := time.NewTicker(watchInterval)
	defer ticker.Stop()
	text, _ := os.ReadFile(p.path)
	dropped := int64(0)
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if now, err := os.ReadFile(p.path); err == nil && !bytes.Equal(now, text) {
			text = now
			p.reload()
		}
		if n := p.output.Dropped(); n > dropped {
			p.events.Event(event.LinesDropped, apexlog.Fields{"lines": n - dropped})
			dropped = n
		}
	}
}

// reload reads the settings again. What a running process can't change takes effect at its next start.
func (p *platformProcess) reload() {
	next, err := platform.LoadSettings(p.path)
	if err != nil {
		p.events.Event(event.SettingsRejected, apexlog.Fields{"error": err.Error()})
		return
	}
	p.mu.Lock()
	changed := next != p.settings
	p.settings = next
	p.mu.Unlock()
	p.events.Event(event.SettingsReloaded, apexlog.Fields{"changed": changed})
}

// stop serves on until the callers have gone elsewhere, and returns the unused budgets.
func (p *platformProcess) stop(callers *http.Server) {
	begun := time.Now()
	p.mu.Lock()
	ends := begun.Add(p.settings.GracePeriod - stopReserve)
	p.mu.Unlock()
	p.gateway.Drain()
	idle := false
	for now := begun; now.Before(ends); now = time.Now() {
		if now.After(begun.Add(noticeTime)) {
			p.gateway.Close()
			if p.open.Load() == 0 {
				break
			}
		}
		if !idle && now.After(begun.Add(idleTime)) {
			idle = true
			callers.SetKeepAlivesEnabled(false)
		}
		time.Sleep(stopPoll)
	}
	ctx, cancel := context.WithDeadline(context.Background(), ends.Add(stopReserve/2))
	defer cancel()
	if n := p.gateway.Serving(); n > 0 {
		p.events.Event(event.DrainExpired, apexlog.Fields{"open": n})
	}
	if err := p.gateway.Settle(ctx); err != nil {
		p.events.Event(event.ReservationFailed, apexlog.Fields{"error": err.Error()})
	}
}
