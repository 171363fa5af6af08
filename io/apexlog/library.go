package apexlog

import (
	"log"
	"strings"

	"ibiswinch/core/event"
)

// maxLibraryMessageBytes bounds a message of a library in the log. It is enough for the frames of a panic that matter.
const maxLibraryMessageBytes = 4 << 10

// CaptureLibraryMessages makes package log write to l instead of standard error, for the whole process. Libraries use it: net/http
// writes while it holds locks that other requests need, so its output must never block.
func CaptureLibraryMessages(l *Logger) {
	log.SetFlags(0)
	log.SetOutput(libraryWriter{l})
}

// libraryWriter writes each message as an event.
type libraryWriter struct{ logger *Logger }

// Write implements io.Writer.
func (w libraryWriter) Write(p []byte) (int, error) {
	message := strings.TrimRight(string(p[:min(len(p), maxLibraryMessageBytes)]), "\n")
	w.logger.Event(event.LibraryMessage, Fields{"text": message})
	return len(p), nil
}
