package gateway

import (
	"fmt"
	"runtime/debug"

	"github.com/rotisserie/eris"

	"ibiswinch/core/event"
	"ibiswinch/core/keyed"
	"ibiswinch/core/placement"
	"ibiswinch/io/apexlog"
)

// maxStackBytes bounds the stack that is logged for a panic.
const maxStackBytes = 4 << 10

// errPanicked is wrapped by the error of a step that panicked.
var errPanicked = eris.New("defect")

// protect runs a step of a loop and turns a panic into an error, so that a defect of one loop doesn't end the process with all the
// calls that it has accepted. loop names the loop in the log.
func (c Config) protect(loop string, step func() error) (err error) {
	defer func() {
		if v := recover(); v != nil {
			stack := debug.Stack()
			c.Events.Event(event.LoopPanicked, apexlog.Fields{"loop": loop, "error": fmt.Sprint(v), "stack": string(stack[:min(len(stack), maxStackBytes)])})
			err = eris.Wrapf(errPanicked, "%v", v)
		}
	}()
	return step()
}

// protectedDecoder skips records on which its decoder panics, as it does those that the decoder rejects.
type protectedDecoder struct {
	cfg     Config
	decoder Decoder
}

// DecodeOperation implements Decoder.
func (d protectedDecoder) DecodeOperation(key string, value []byte) (operation any, err error) {
	err = d.cfg.protect("decode "+string(keyed.Operations), func() error {
		operation, err = d.decoder.DecodeOperation(key, value)
		return err
	})
	return operation, err
}

// DecodeServer implements Decoder.
func (d protectedDecoder) DecodeServer(key string, value []byte) (server placement.Server, err error) {
	err = d.cfg.protect("decode "+string(keyed.Servers), func() error {
		server, err = d.decoder.DecodeServer(key, value)
		return err
	})
	return server, err
}
