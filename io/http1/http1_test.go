package http1

import (
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// readAnswer reads an answer that ends with its connection.
func readAnswer(w *Writes) error {
	resp := &http.Response{ContentLength: -1, Body: io.NopCloser(strings.NewReader("part"))}
	checkEnd(resp, w)
	_, err := io.ReadAll(resp.Body)
	return err
}

// TestFailedWriteLeavesAnswerComplete guards against an answer that is taken for complete although a write got the reset of its
// connection.
func TestFailedWriteLeavesAnswerComplete(t *testing.T) {
	c := qt.New(t)
	w := &Writes{}
	_, _ = w.Do(func() (int, error) { return 1, nil })
	c.Check(readAnswer(w), qt.IsNil)
	_, _ = w.Do(func() (int, error) { return 0, errors.New("reset") })
	c.Check(readAnswer(w), qt.ErrorIs, ErrReset)
}

// TestSlowWriterBreaksAnswer guards against a complete answer that counts as broken because its request's last write returns late,
// and against a broken one that counts as complete because the failed write does.
func TestSlowWriterBreaksAnswer(t *testing.T) {
	c := qt.New(t)
	for _, result := range []error{nil, errors.New("reset")} {
		w := &Writes{}
		begun, returns := make(chan struct{}), make(chan struct{})
		go func() {
			_, _ = w.Do(func() (int, error) {
				close(begun)
				<-returns
				return 0, result
			})
		}()
		<-begun
		read := make(chan error)
		go func() { read <- readAnswer(w) }()
		close(returns)
		c.Check(<-read == nil, qt.Equals, result == nil)
	}
}

// TestStatusOfNoFinalAnswer guards against a status such as 000 that callers get as an answer.
func TestStatusOfNoFinalAnswer(t *testing.T) {
	c := qt.New(t)
	for _, status := range []int{0, 1, 99, 100, 101, 199, 600, 999} {
		c.Check(CheckStatus(status), qt.ErrorIs, ErrInvalidStatus, qt.Commentf("%d", status))
	}
	for _, status := range []int{200, 204, 304, 404, 503, 599} {
		c.Check(CheckStatus(status), qt.IsNil, qt.Commentf("%d", status))
	}
}
