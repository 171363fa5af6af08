// Command standin runs a stand-in for an outside system as a process until SIGINT or SIGTERM: the platform, a model
// engine or a plain HTTP service. It also has a load generator.
package main

import (
	"net"
	"net/netip"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"
	"github.com/apex/log"
	"github.com/rotisserie/eris"
)

type commands struct {
	Platform platformCommand `cmd:"" help:"Run the platform: log, lists and weight store."`
	Engine   engineCommand   `cmd:"" help:"Run a model engine."`
	Service  serviceCommand  `cmd:"" help:"Run a plain service."`
	Load     loadCommand     `cmd:"" help:"Send requests at a fixed rate and check every answer."`
}

func main() {
	var c commands
	k := kong.Parse(&c, kong.Name("standin"), kong.Description("Stand-ins for outside systems."))
	k.FatalIfErrorf(k.Run())
}

// listenFlag is the address at which a stand-in listens.
type listenFlag struct {
	Listen netip.AddrPort `help:"IP address and port to listen on; port 0 picks one." default:"127.0.0.1:0"`
}

// server is a stand-in that serves connections of a listener.
type server interface {
	Start(l net.Listener)
	Close()
}

// run serves s until SIGINT or SIGTERM.
func (f listenFlag) run(name string, s server) error {
	l, err := net.Listen("tcp", f.Listen.String())
	if err != nil {
		return eris.Wrap(err, "listen")
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	s.Start(l)
	log.WithField("address", l.Addr().String()).Infof("%s is serving", name)
	<-signals
	s.Close()
	return nil
}
