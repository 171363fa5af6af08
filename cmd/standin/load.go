package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/netip"
	"os"
	"time"

	"github.com/rotisserie/eris"

	"ibiswinch/standin/load"
)

type loadCommand struct {
	Target      []netip.AddrPort `required:"" help:"Entry VMs, or engines, that get the requests in turn."`
	Key         []string         `default:"nada-demo-key" help:"API keys of the teams, used in turn."`
	Model       string           `default:"small" help:"Model of the completions."`
	Requests    float64          `default:"50" help:"Streamed completions per second."`
	Orders      float64          `help:"Orders per second."`
	Service     string           `default:"shop" help:"Plain service of the orders."`
	Streams     int              `help:"Streams that are open for the whole run and read slowly."`
	ReadEvery   time.Duration    `default:"1s" help:"Pause between two reads of 256 bytes of a slow stream."`
	MaxTokens   int              `default:"50" help:"Tokens of each answer."`
	PromptBytes int              `default:"200" help:"Size of each prompt."`
	Seed        uint64           `default:"1" help:"Seed of the prompts and keys."`
	Balance     bool             `help:"Send requests only to targets that report ready, as a load balancer does."`
	For         time.Duration    `default:"10s" help:"Length of the run."`
}

// Run sends the load and prints the result as JSON.
func (c loadCommand) Run() error {
	result := load.New(load.Config{
		Targets: c.Target, Keys: c.Key, Model: c.Model, RequestsPerSecond: c.Requests, OrdersPerSecond: c.Orders, Service: c.Service,
		SlowStreams: c.Streams, ReadInterval: c.ReadEvery, MaxTokens: c.MaxTokens, PromptBytes: c.PromptBytes, Seed: c.Seed,
		Deadline: time.Now().Add(c.For), ReadyTargetsOnly: c.Balance,
	}).Run(context.Background())
	data, err := json.MarshalIndent(result, "", "  ")
	if err != nil {
		return eris.Wrap(err, "encode result")
	}
	fmt.Fprintln(os.Stdout, string(data))
	if result.Wrong > 0 {
		return eris.Errorf("%d wrong answers", result.Wrong)
	}
	return nil
}
