package main

import (
	"context"
	"crypto/rand"
	"crypto/tls"
	"encoding/hex"
	"math"
	"net"
	"net/netip"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"ibiswinch/core/membership"
	"ibiswinch/core/record"
	"ibiswinch/core/sockets"
	"ibiswinch/entry"
	"ibiswinch/io/apexlog"
	"ibiswinch/io/ini"
	"ibiswinch/io/platform"
	"ibiswinch/io/tcp"
)

func init() {
	register("serve", "Run one entry VM.", &serveCommand{})
}

type serveCommand struct {
	Config string `required:"" type:"existingfile" help:"Settings file of this entry VM."`
}

// Run serves until SIGTERM or SIGINT, then drains.
func (c *serveCommand) Run() error {
	settings, err := ini.Load(c.Config)
	if err != nil {
		return err
	}
	debug.SetMemoryLimit(restingBytes + softHeldFactor*int64(settings.Memory.MaxHeldBytes))
	cfg, err := newConfig(settings)
	if err != nil {
		return err
	}
	vm, err := entry.New(cfg)
	if err != nil {
		return err
	}
	listeners, err := openListeners(settings, cfg.Buffers())
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	return vm.Run(ctx, listeners)
}

// The soft memory limit of the Go runtime is restingBytes, which a process without callers needs at most, and softHeldFactor times what
// may be held for requests. Beyond it garbage is collected at once, so that refused requests don't add up.
const (
	restingBytes   = 40 << 20
	softHeldFactor = 2
)

// incarnationBytes makes it negligible that two processes get the same incarnation.
const incarnationBytes = 8

func newIncarnation() (string, error) {
	random := make([]byte, incarnationBytes)
	if _, err := rand.Read(random); err != nil {
		return "", eris.Wrap(err, "generate incarnation")
	}
	return hex.EncodeToString(random), nil
}

func newConfig(s *ini.Settings) (entry.Config, error) {
	events, err := apexlog.New(apexlog.Config{
		Output: os.Stderr, Format: string(s.Log.Format), Level: string(s.Log.Level), VM: s.Identity.VM,
	})
	if err != nil {
		return entry.Config{}, err
	}
	incarnation, err := newIncarnation()
	if err != nil {
		return entry.Config{}, err
	}
	return entry.Config{
		Author:          record.Author{VM: s.Identity.VM, Incarnation: incarnation},
		Started:         time.Now(),
		Domain:          s.Identity.Domain,
		Slot:            s.Identity.Slot,
		PeerAddr:        s.Peers.Advertise,
		Seeds:           seedPeers(s.Identity.Domain, s.Peers.Addresses),
		PeerToken:       s.Peers.Token.Reveal(),
		PeerTLS:         peerClientTLS(s.Peers),
		OperatorToken:   s.Operator.Token.Reveal(),
		Platform:        platform.NewClient(platform.Config{Address: s.Platform.Address}),
		Now:             time.Now,
		Events:          events,
		MaxHeldBytes:    int64(s.Memory.MaxHeldBytes),
		MaxStreams:      min(int(s.Memory.MaxStreams), maxStreamsForOpenFiles()),
		MaxOrders:       int(s.Memory.MaxOrders),
		SnapshotEntries: s.Platform.SnapshotEntries,
		ListInterval:    s.Platform.ListInterval,
		DrainTimeout:    s.Timings.DrainTimeout,
	}, nil
}

// Open files of the process: a stream has a connection to its caller and one to an engine; the reserved ones are for
// peers, operators, the platform and idle connections.
const (
	openFilesPerStream = 2
	reservedOpenFiles  = 1024
)

// maxStreamsForOpenFiles returns the number of streams that the limit of open files allows. With more, the process
// could accept no connection at all, not even to refuse a request or to answer ibiswinch dump.
func maxStreamsForOpenFiles() int {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil || limit.Cur > math.MaxInt32 {
		return math.MaxInt32
	}
	return max(1, (int(limit.Cur)-reservedOpenFiles)/openFilesPerStream)
}

// seedPeers returns the peers of the settings. Only their addresses are known, which also serve as names.
func seedPeers(domain string, addresses []netip.AddrPort) []membership.ListedVM {
	var seeds []membership.ListedVM
	for _, a := range addresses {
		seeds = append(seeds, membership.ListedVM{VM: a.String(), Domain: domain, Addr: a})
	}
	return seeds
}

func openListeners(s *ini.Settings, b sockets.Buffers) (entry.Listeners, error) {
	var l entry.Listeners
	var err error
	if l.Callers, err = listen(s.Callers.Listen, s.Callers.Certificate, b); err != nil {
		return l, eris.Wrap(err, "listen for callers")
	}
	if l.Peers, err = listen(s.Peers.Listen, s.Peers.Certificate, b); err != nil {
		return l, eris.Wrap(err, "listen for peers")
	}
	if l.Operators, err = listen(s.Operator.Listen, s.Operator.Certificate, b); err != nil {
		return l, eris.Wrap(err, "listen for operators")
	}
	return l, nil
}

// listen opens a listener, with TLS if cert isn't nil.
func listen(addr netip.AddrPort, cert *tls.Certificate, b sockets.Buffers) (net.Listener, error) {
	cfg := net.ListenConfig{Control: tcp.Options{ReceiveBytes: b.ReceiveBytes}.Control}
	l, err := cfg.Listen(context.Background(), "tcp", addr.String())
	if err != nil || cert == nil {
		return l, err
	}
	return tls.NewListener(l, &tls.Config{Certificates: []tls.Certificate{*cert}, MinVersion: tls.VersionTLS12}), nil
}

// peerClientTLS returns the client configuration of calls to peers; nil for plain TCP.
func peerClientTLS(p ini.Peers) *tls.Config {
	if p.Authorities == nil {
		return nil
	}
	return &tls.Config{RootCAs: p.Authorities, MinVersion: tls.VersionTLS12}
}
