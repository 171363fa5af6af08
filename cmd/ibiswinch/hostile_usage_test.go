package main

import (
	"bufio"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"
)

// hostileUsage is what a process takes at most at a time.
type hostileUsage struct {
	sockets int
	// unread is what the kernel holds that the process hasn't read, bytes that together with its resident memory.
	unread, bytes int
}

// sampleUsage returns what the process takes at most until stop is closed.
func sampleUsage(pid int, stop <-chan struct{}) hostileUsage {
	var most hostileUsage
	for {
		select {
		case <-stop:
			return most
		case <-time.After(hostileSampleInterval):
		}
		inodes := socketInodes(pid)
		unread := unreadBytes(inodes)
		most.sockets = max(most.sockets, len(inodes))
		most.unread = max(most.unread, unread)
		most.bytes = max(most.bytes, unread+residentBytes(pid))
	}
}

// socketInodes returns the inodes of the open sockets of a process.
func socketInodes(pid int) map[string]bool {
	inodes := map[string]bool{}
	descriptors, _ := filepath.Glob(fmt.Sprintf("/proc/%d/fd/*", pid))
	for _, d := range descriptors {
		link, _ := os.Readlink(d)
		if inode, ok := strings.CutPrefix(link, "socket:["); ok {
			inodes[strings.TrimSuffix(inode, "]")] = true
		}
	}
	return inodes
}

// hasEnded reports whether a process runs no more.
func hasEnded(pid int) bool {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	return err != nil || strings.Contains(string(status), "State:\tZ")
}

// residentBytes returns the resident memory of a process, 0 if it has ended.
func residentBytes(pid int) int {
	statm, _ := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	fields := strings.Fields(string(statm))
	if len(fields) < 2 {
		return 0
	}
	pages, _ := strconv.Atoi(fields[1])
	return pages * os.Getpagesize()
}

// listenState is the state of a listening socket in /proc/net/tcp, noInode the inode of a socket that no process has.
const (
	listenState = "0A"
	noInode     = "0"
)

// unreadBytes returns what the sockets with the inodes have received that wasn't read, with connections to them that weren't accepted
// yet. See proc_net_tcp of the Linux documentation for the columns.
func unreadBytes(inodes map[string]bool) int {
	file, err := os.Open("/proc/net/tcp")
	if err != nil {
		return 0
	}
	defer file.Close()
	total := 0
	listeners, unaccepted := map[string]bool{}, map[string]int{}
	for lines := bufio.NewScanner(file); lines.Scan(); {
		fields := strings.Fields(lines.Text())
		if len(fields) < 10 {
			continue
		}
		local, state, inode := fields[1], fields[3], fields[9]
		_, queue, _ := strings.Cut(fields[4], ":")
		n, _ := strconv.ParseInt(queue, 16, 64)
		switch {
		case state == listenState && inodes[inode]:
			listeners[local] = true
		case inodes[inode]:
			total += int(n)
		case inode == noInode:
			unaccepted[local] += int(n)
		}
	}
	for local := range listeners {
		total += unaccepted[local]
	}
	return total
}
