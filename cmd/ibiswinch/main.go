// Command ibiswinch runs and operates entry VMs.
package main

import (
	"fmt"
	"os"

	"github.com/alecthomas/kong"
)

// commands holds the commands. The file of each command registers it.
var commands []kong.Option

func register(name, help string, command any) {
	commands = append(commands, kong.DynamicCommand(name, help, "", command))
}

func main() {
	var cli struct{}
	options := append([]kong.Option{
		kong.Name("ibiswinch"),
		kong.Description("Router fleet for prepaid token budgets."),
		kong.UsageOnError(),
		kong.ConfigureHelp(kong.HelpOptions{Compact: true}),
	}, commands...)
	parser, err := kong.New(&cli, options...)
	if err != nil {
		fmt.Fprintln(os.Stderr, "ibiswinch:", err)
		os.Exit(1)
	}
	ctx, err := parser.Parse(os.Args[1:])
	parser.FatalIfErrorf(err)
	if err := ctx.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "ibiswinch:", err)
		os.Exit(1)
	}
}
