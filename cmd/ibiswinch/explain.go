package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

func init() {
	register("explain", "Print the story of one request from the logs of several entry VMs.", &explainCommand{})
}

type explainCommand struct {
	Request string   `arg:"" help:"Id of the request."`
	Files   []string `arg:"" type:"existingfile" help:"Log files, as JSON lines."`
	// Before is how far back what the processes believed is shown.
	Before time.Duration `default:"10s" help:"How long before the request to show what its entry VM and servers did."`
}

// logLine is one line of a log.
type logLine struct {
	Time    time.Time      `json:"timestamp"`
	Message string         `json:"message"`
	Fields  map[string]any `json:"fields"`
}

const maxLineBytes = 1 << 20

// Run prints the lines.
func (c *explainCommand) Run() error {
	var all []logLine
	for _, name := range c.Files {
		f, err := os.Open(name)
		if err != nil {
			return eris.Wrap(err, "open log")
		}
		lines, err := readLines(f)
		_ = f.Close()
		if err != nil {
			return eris.Wrapf(err, "read %s", name)
		}
		all = append(all, lines...)
	}
	story := explain(all, c.Request, c.Before)
	if len(story) == 0 {
		return eris.Errorf("no line names request %s", c.Request)
	}
	for _, l := range story {
		fmt.Println(l)
	}
	return nil
}

// readLines reads the JSON lines of a log; what stands before a line's object is skipped.
func readLines(r io.Reader) ([]logLine, error) {
	var lines []logLine
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		start := bytes.IndexByte(scanner.Bytes(), '{')
		var l logLine
		if start < 0 || json.Unmarshal(scanner.Bytes()[start:], &l) != nil {
			continue
		}
		lines = append(lines, l)
	}
	return lines, scanner.Err()
}

// explain picks the lines of a request, and what its entry VM and its servers did until its end.
func explain(all []logLine, request string, before time.Duration) []string {
	slices.SortStableFunc(all, func(a, b logLine) int { return a.Time.Compare(b.Time) })
	var own []logLine
	servers, vms, teams := map[any]bool{}, map[any]bool{}, map[any]bool{}
	for _, l := range all {
		if l.Fields["request"] == request {
			own = append(own, l)
			servers[l.Fields["server"]], vms[l.Fields["vm"]], teams[l.Fields["team"]] = true, true, true
		}
	}
	if len(own) == 0 {
		return nil
	}
	delete(servers, nil)
	delete(teams, nil)
	from, to := own[0].Time.Add(-before), own[len(own)-1].Time
	var story []string
	for _, l := range all {
		_, ofRequest := l.Fields["request"]
		belief := !ofRequest && vms[l.Fields["vm"]] && !l.Time.Before(from) && !l.Time.After(to) &&
			(l.Fields["server"] == nil || servers[l.Fields["server"]]) && (l.Fields["team"] == nil || teams[l.Fields["team"]])
		if l.Fields["request"] == request || belief {
			story = append(story, l.String())
		}
	}
	return story
}

// String formats a line with its fields in a fixed order.
func (l logLine) String() string {
	var names []string
	for name := range l.Fields {
		if name != "vm" && name != "event" {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	var b strings.Builder
	fmt.Fprintf(&b, "%s %v %v %s", l.Time.Format("15:04:05.000"), l.Fields["vm"], l.Fields["event"], l.Message)
	for _, name := range names {
		fmt.Fprintf(&b, " %s=%v", name, l.Fields[name])
	}
	return b.String()
}
