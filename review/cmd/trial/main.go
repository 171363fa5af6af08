//go:build review

// Command trial runs one trial of the review: it starts entry VMs as processes between stand-ins on loopback addresses,
// brings about one disruption and checks one rule by what clients, servers and the store have seen. It exits with 1 if
// the rule was broken, 0 if it held and 2 if the trial couldn't run.
package main

import (
	"errors"
	"fmt"
	"os"
	"slices"
)

// trials are the trials by name.
var trials = map[string]func(*trial) error{}

// errBroken is returned by a trial in which the rule was broken.
var errBroken = errors.New("the rule was broken")

func main() {
	if len(os.Args) != 4 || trials[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: trial NAME REPOSITORY RECORD")
		os.Exit(2)
	}
	os.Exit(run(os.Args[1], os.Args[2], os.Args[3]))
}

func run(name, repository, recordPath string) int {
	t, err := newTrial(name, repository, recordPath, !slices.Contains(os.Environ(), "TROUBLE=0"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer t.end()
	err = trials[name](t)
	switch {
	case errors.Is(err, errBroken):
		t.note("RULE BROKEN")
		return 1
	case err != nil:
		t.note("could not run: %v", err)
		return 2
	}
	t.note("rule held")
	return 0
}
