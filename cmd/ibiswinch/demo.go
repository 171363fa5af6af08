package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/signal"
	"time"

	"github.com/rotisserie/eris"

	"ibiswinch/demo"
)

func init() {
	register("demo", "Run a small fleet with stand-ins through faults under load, and check the invariants.", &demoCommand{})
}

type demoCommand struct {
	JSON bool          `name:"json" help:"Print the result as one JSON object on the last line."`
	Seed uint64        `default:"1" help:"Seed of the choices of the load."`
	For  time.Duration `default:"10s" help:"Length of the load; the run takes some seconds more."`
	Calm bool          `help:"Leave out the cut, the crash and the planned stop."`
	Log  string        `type:"path" help:"File for the event logs of the entry VMs."`
}

// Run prints progress and a summary. It fails if an invariant did not hold.
func (c *demoCommand) Run() error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	var eventLog io.Writer
	if c.Log != "" {
		file, err := os.Create(c.Log)
		if err != nil {
			return eris.Wrap(err, "create --log")
		}
		defer file.Close()
		eventLog = file
	}
	result, err := demo.Run(ctx, demo.Config{Seed: c.Seed, LoadDuration: c.For, SkipFaults: c.Calm, Progress: os.Stdout, Log: eventLog})
	if err != nil {
		return err
	}
	if err := result.WriteSummary(os.Stdout); err != nil {
		return err
	}
	if c.JSON {
		data, err := json.Marshal(result)
		if err != nil {
			return eris.Wrap(err, "encode result")
		}
		fmt.Println(string(data))
	}
	if !result.InvariantsHeld() {
		return eris.Errorf("%d invariants did not hold", len(result.Violations))
	}
	return nil
}
