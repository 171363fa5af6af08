package main

import (
	"context"
	"fmt"
	"net/netip"
	"os"
	"time"

	"github.com/rotisserie/eris"

	"ibiswinch/core/config"
	"ibiswinch/core/record"
	"ibiswinch/entry/stream"
	"ibiswinch/io/apexlog"
	"ibiswinch/io/platform"
)

func init() {
	register("publish", "Publish an inventory and rules; the version that they replace must be in force.", &publishCommand{})
}

type publishCommand struct {
	Inventory string        `required:"" type:"existingfile" help:"Inventory file."`
	Rules     string        `required:"" type:"existingfile" help:"Rules file."`
	Replaces  uint64        `required:"" help:"Version that was in force when the files were written; 0 for the first one."`
	Operator  string        `required:"" help:"Name of the operator, as told to others."`
	Platform  string        `default:"127.0.0.1:9000" help:"Address of the platform, ip:port."`
	Timeout   time.Duration `default:"30s" help:"How long to wait for the verdict."`
}

// Run appends the publication to the log and prints whether it was accepted. If another one replaced the version first,
// the error names the version in force and its operator.
func (c *publishCommand) Run() error {
	texts, err := readFiles(c.Inventory, c.Rules)
	if err != nil {
		return err
	}
	body, err := config.NewPublish(c.Replaces, c.Operator, texts[0], texts[1])
	if err != nil {
		return err
	}
	addr, err := netip.ParseAddrPort(c.Platform)
	if err != nil {
		return eris.Wrap(err, "--platform")
	}
	ctx, cancel := context.WithTimeout(context.Background(), c.Timeout)
	defer cancel()
	result, err := publish(ctx, platform.NewClient(platform.Config{Address: addr}), c.Operator, body)
	if err != nil {
		return err
	}
	return printResult(c.Replaces, result)
}

// publish appends a publication to the config stream and reads the stream until it has the result.
func publish(ctx context.Context, log stream.Log, operator string, body config.Publish) (config.PublishResult, error) {
	history := config.NewHistory()
	incarnation, err := newIncarnation()
	if err != nil {
		return config.PublishResult{}, err
	}
	author := record.Author{VM: "operator-" + operator, Incarnation: incarnation}
	events, err := apexlog.New(apexlog.Config{Output: os.Stderr, Format: "text", Level: "warn", VM: author.VM})
	if err != nil {
		return config.PublishResult{}, err
	}
	w := stream.New(stream.Config{
		Name: "config", Log: log, Fold: history, Author: author, Now: time.Now, Events: events,
	})
	runCtx, stop := context.WithCancel(ctx)
	defer stop()
	go func() { _ = w.Run(runCtx) }()
	sequence, err := w.Enqueue(record.KindPublish, body, true)
	if err != nil {
		return config.PublishResult{}, err
	}
	var result config.PublishResult
	err = w.Await(ctx, func() bool {
		var ok bool
		result, ok = history.PublishResult(author, sequence)
		return ok
	})
	if err != nil {
		return result, eris.Wrap(err, "no result within the timeout; the publication may still take effect, see ibiswinch report")
	}
	return result, nil
}

func printResult(replaces uint64, result config.PublishResult) error {
	switch result.Outcome {
	case config.Accepted:
		fmt.Printf("accepted as version %d\n", result.Version)
		return nil
	case config.Conflict:
		return eris.Errorf("not accepted: version %d by %s is in force, not %d", result.Version, result.Operator, replaces)
	}
	return eris.Errorf("not accepted: %s", result.Reason)
}
