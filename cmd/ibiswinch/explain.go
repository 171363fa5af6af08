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
	// Before is the time before the request from which related log lines are shown.
	Before time.Duration `default:"10s" help:"How long before the request to show what its entry VM and servers did."`
}

// logLine is one line of the event log of an entry VM.
type logLine struct {
	Time    time.Time      `json:"timestamp"`
	Message string         `json:"message"`
	Fields  map[string]any `json:"fields"`
}

// maxLineBytes limits the length of a log line; a longer one ends the command with an error.
const maxLineBytes = 1 << 20

// Run prints the log lines of the request and the related ones.
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
	selected := selectLines(all, c.Request, c.Before)
	if len(selected) == 0 {
		return eris.Errorf("no log line has request %s", c.Request)
	}
	for _, l := range selected {
		fmt.Println(l)
	}
	return nil
}

// readLines reads the JSON lines of a log. It skips text before the JSON object of a line and lines without one.
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

// selectLines returns the lines of a request in the order of time, with related lines: those of its entry VMs from
// before the first to its last line that belong to no request and name no other server or team.
func selectLines(all []logLine, request string, before time.Duration) []string {
	slices.SortStableFunc(all, func(a, b logLine) int { return a.Time.Compare(b.Time) })
	var ofRequest []logLine
	servers, vms, teams := map[any]bool{}, map[any]bool{}, map[any]bool{}
	for _, l := range all {
		if l.Fields["request"] == request {
			ofRequest = append(ofRequest, l)
			servers[l.Fields["server"]], vms[l.Fields["vm"]], teams[l.Fields["team"]] = true, true, true
		}
	}
	if len(ofRequest) == 0 {
		return nil
	}
	delete(servers, nil)
	delete(teams, nil)
	start, end := ofRequest[0].Time.Add(-before), ofRequest[len(ofRequest)-1].Time
	var selected []string
	for _, l := range all {
		_, hasRequest := l.Fields["request"]
		related := !hasRequest && vms[l.Fields["vm"]] && !l.Time.Before(start) && !l.Time.After(end) &&
			(l.Fields["server"] == nil || servers[l.Fields["server"]]) && (l.Fields["team"] == nil || teams[l.Fields["team"]])
		if l.Fields["request"] == request || related {
			selected = append(selected, l.String())
		}
	}
	return selected
}

// String formats a line with its fields sorted by name.
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
