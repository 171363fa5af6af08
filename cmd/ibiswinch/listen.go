package main

import (
	"errors"
	"net"
	"time"

	"ibiswinch/core/event"
	"ibiswinch/io/apexlog"
)

const (
	// acceptRetryPause is the pause after an accept that failed. net/http waits for up to a second.
	acceptRetryPause = 20 * time.Millisecond
	// acceptLogInterval is the least time between two log lines about failed accepts.
	acceptLogInterval = time.Second
)

// retryingListener accepts until it is closed. http.Server ends with the first error that isn't temporary by its own list, as a
// lack of memory in the kernel, and its process would refuse all connections for good.
type retryingListener struct {
	net.Listener
	events *apexlog.Logger
	// failed is the number of errors since the last log line, loggedAt its time. Only one goroutine accepts.
	failed   int
	loggedAt time.Time
}

// Accept implements net.Listener.
func (l *retryingListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err == nil || errors.Is(err, net.ErrClosed) {
			return conn, err
		}
		l.failed++
		if now := time.Now(); now.Sub(l.loggedAt) >= acceptLogInterval {
			l.events.Event(event.AcceptFailed, apexlog.Fields{"address": l.Addr().String(), "error": err.Error(), "failed": l.failed})
			l.failed, l.loggedAt = 0, now
		}
		time.Sleep(acceptRetryPause)
	}
}
