// Package http1 tells complete HTTP/1.1 answers from broken ones where net/http does not.
package http1

import (
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

var (
	// ErrReset is the error of an answer without a length whose connection may have been reset.
	ErrReset = eris.New("the connection may have been reset before the end of the answer")
	// ErrInvalidStatus is wrapped by the errors of answers whose status is none of a final answer.
	ErrInvalidStatus = eris.New("invalid status")
)

// Statuses of final answers.
const (
	minFinalStatus = 200
	maxFinalStatus = 599
)

// CheckStatus returns an error that wraps ErrInvalidStatus unless the status is one of a final answer. net/http accepts any three
// digits.
func CheckStatus(status int) error {
	if status < minFinalStatus || status > maxFinalStatus {
		return eris.Wrapf(ErrInvalidStatus, "answer with status %03d", status)
	}
	return nil
}

// writeEndTimeout bounds how long a write may take to return once its connection has ended. The transport closes the connection
// then.
const writeEndTimeout = time.Second

// Writes tracks the writes to a connection, one at a time. If a peer resets a connection, the kernel reports that once, to a read or
// to a write. If a write gets it, reads find an ordinary end.
type Writes struct {
	mu sync.Mutex
	// open is closed when the write that has not returned does, nil if there is none. failed is set once a write has failed.
	open   chan struct{}
	failed bool
}

// Do calls write, which writes to the connection, and returns its result.
func (w *Writes) Do(write func() (int, error)) (int, error) {
	returned := make(chan struct{})
	defer close(returned)
	w.mu.Lock()
	w.open = returned
	w.mu.Unlock()
	n, err := write()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.open = nil
	w.failed = w.failed || err != nil
	return n, err
}

// haveFailed reports whether a write has failed, or doesn't return although the connection has ended.
func (w *Writes) haveFailed() bool {
	w.mu.Lock()
	open := w.open
	w.mu.Unlock()
	if open != nil {
		timer := time.NewTimer(writeEndTimeout)
		defer timer.Stop()
		select {
		case <-open:
		case <-timer.C:
			return true
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.failed
}

// checkEnd has the body of an answer that ends with its connection fail with ErrReset if the connection may have been reset. w
// tracks the writes to that connection.
func checkEnd(resp *http.Response, w *Writes) {
	if resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
		resp.Body = &connectionBody{ReadCloser: resp.Body, writes: w}
	}
}

// connectionBody is the body of an answer that ends with its connection.
type connectionBody struct {
	io.ReadCloser
	writes *Writes
}

// Read implements io.Reader.
func (b *connectionBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF && b.writes.haveFailed() {
		return n, ErrReset
	}
	return n, err
}
