// Command capacity rewrites the generated tables of docs/CAPACITY.md from the output of the benchmarks of
// ibiswinch/capacity.
package main

import (
	"fmt"
	"io"
	"os"

	"github.com/alecthomas/kong"
	"github.com/rotisserie/eris"

	"ibiswinch/capacity"
)

type command struct {
	Bench string `default:"docs/capacity/bench.txt" help:"Output of go test -bench; - reads standard input."`
	Page  string `default:"docs/CAPACITY.md" help:"The page."`
	Check bool   `help:"Change nothing, and fail if the page isn't what the output gives."`
}

// Run rewrites the page, or with Check only compares it with what the benchmark output gives.
func (c *command) Run() error {
	bench, err := openBench(c.Bench)
	if err != nil {
		return err
	}
	defer bench.Close()
	old, err := os.ReadFile(c.Page)
	if err != nil {
		return eris.Wrap(err, "read page")
	}
	page, err := capacity.GeneratePage(string(old), bench)
	switch {
	case err != nil:
		return err
	case page == string(old):
		return nil
	case c.Check:
		return eris.Errorf("%s doesn't match the benchmark output in %s; run go run ./cmd/capacity", c.Page, c.Bench)
	}
	return eris.Wrap(os.WriteFile(c.Page, []byte(page), 0o644), "write page")
}

func openBench(name string) (io.ReadCloser, error) {
	if name == "-" {
		return os.Stdin, nil
	}
	f, err := os.Open(name)
	return f, eris.Wrap(err, "open benchmark output")
}

func main() {
	var c command
	ctx := kong.Parse(&c, kong.Name("capacity"), kong.Description("Rewrites the tables of docs/CAPACITY.md."), kong.UsageOnError())
	if err := ctx.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "capacity:", err)
		os.Exit(1)
	}
}
