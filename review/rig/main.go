//go:build review

// Command rig plays the cases of the second review: entry VMs as processes against stand-ins of the store, of servers and of clients.
package main

import (
	"errors"
	"fmt"
	"os"
	"sync"
	"time"
)

// Exit codes of a run.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// errBroken is returned by a play in which the rule was broken.
var errBroken = errors.New("the rule was broken")

// play is a case. trouble is false for the run without the disruption.
type play func(f *fleet, r *recorder, trouble bool) error

// plays are the cases by name.
var plays = map[string]play{
	"slash": playSlash, "leak": playLeak, "exposure": playExposure, "first-event": playFirstEvent, "long-id": playLongID, "lapse": playLapse, "options": playOptions,
}

// recorder writes what was sent, answered and run. It is safe for concurrent use.
type recorder struct {
	mu    sync.Mutex
	file  *os.File
	begun time.Time
}

func (r *recorder) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f "+format+"\n", append([]any{time.Since(r.begun).Seconds()}, args...)...)
}

func main() {
	os.Exit(run())
}

func run() int {
	if len(os.Args) != 3 || plays[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig CASE RECORD")
		return exitNotRun
	}
	file, err := os.Create(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer file.Close()
	r := &recorder{file: file, begun: time.Now()}
	f, err := newFleet()
	if err != nil {
		r.add("not run: %v", err)
		return exitNotRun
	}
	defer f.stop()
	trouble := os.Getenv("TROUBLE") != "0"
	r.add("trouble %t", trouble)
	err = plays[os.Args[1]](f, r, trouble)
	for _, v := range f.vms {
		if v.hasExited() {
			r.add("%s has ended by itself", v.name)
		}
	}
	switch {
	case err == nil:
		r.add("the rule held")
		return exitHeld
	case errors.Is(err, errBroken):
		r.add("%v", err)
		return exitBroken
	}
	r.add("not run: %v", err)
	return exitNotRun
}
