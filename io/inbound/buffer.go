package inbound

import (
	"errors"
	"io"
)

// minBufferBytes is the least capacity of a Buffer whose size isn't known.
const minBufferBytes = 512

// ErrTooLarge is the error of a body beyond its limit.
var ErrTooLarge = errors.New("body too large")

// Holding counts the bytes that are held.
type Holding interface {
	// Grow adds n bytes. It fails with memory.ErrFull if they may not be held.
	Grow(n int64) error
	// Shrink subtracts n bytes.
	Shrink(n int64)
}

// Buffer is a buffer whose capacity is counted in a holding.
type Buffer struct {
	Holding Holding
	Bytes   []byte
	// Expected is the number of bytes that the buffer will have, -1 if it isn't known. More may come.
	Expected int64
}

// reserve makes room for n more bytes. It fails with memory.ErrFull if they may not be held.
func (b *Buffer) reserve(n int) error {
	old := cap(b.Bytes)
	if old-len(b.Bytes) >= n {
		return nil
	}
	size := max(2*old, len(b.Bytes)+n, minBufferBytes)
	// One byte more than expected is needed to read the end.
	if exact := b.Expected + 1; b.Expected >= 0 && exact >= int64(len(b.Bytes)+n) {
		size = min(size, int(exact))
	}
	// Both are held while the content is copied.
	if err := b.Holding.Grow(int64(size)); err != nil {
		return err
	}
	next := make([]byte, len(b.Bytes), size)
	copy(next, b.Bytes)
	b.Bytes = next
	b.Holding.Shrink(int64(old))
	return nil
}

// Append appends p. It fails with memory.ErrFull.
func (b *Buffer) Append(p []byte) error {
	if err := b.reserve(len(p)); err != nil {
		return err
	}
	b.Bytes = append(b.Bytes, p...)
	return nil
}

// ReadAll appends all of r. It fails with ErrTooLarge beyond limit, with memory.ErrFull, or as r does.
func (b *Buffer) ReadAll(r io.Reader, limit int64) error {
	for {
		if err := b.reserve(1); err != nil {
			return err
		}
		n, err := r.Read(b.Bytes[len(b.Bytes):cap(b.Bytes)])
		b.Bytes = b.Bytes[:len(b.Bytes)+n]
		switch {
		case int64(len(b.Bytes)) > limit:
			return ErrTooLarge
		case err == io.EOF:
			return nil
		case err != nil:
			return err
		}
	}
}

// Progress records what has been received.
type Progress interface {
	// Received records that n bytes have arrived.
	Received(n int)
}

// meteredReader records the progress of a body.
type meteredReader struct {
	io.Reader
	progress Progress
}

// NewMeteredReader returns a reader of r that records its progress.
func NewMeteredReader(r io.Reader, p Progress) io.Reader {
	return &meteredReader{Reader: r, progress: p}
}

// Read implements io.Reader.
func (r *meteredReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	r.progress.Received(n)
	return n, err
}
