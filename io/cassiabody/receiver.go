package cassiabody

import (
	"errors"
	"io"
	"slices"
	"sync/atomic"
)

const (
	// MaxBytes limits a body.
	MaxBytes = 8 << 20
	// MaxReservedBytes limits the memory that a Receiver reserves for long bodies together.
	MaxReservedBytes = 32 << 20
	// smallBytes is the size up to which a body may always be received, without a reservation.
	smallBytes = 64 << 10
	// firstPartBytes is the memory for the start of a body whose length is unknown; each further part doubles it.
	firstPartBytes = 4 << 10
)

// ErrTooLong means that a body exceeds a limit.
var ErrTooLong = errors.New("the body is over the limit")

// Receiver limits the memory for long bodies that are received at the same time. Its zero value is ready for use, and its methods may
// be called concurrently.
type Receiver struct {
	// reserved is the memory for long bodies that are being received, in bytes.
	reserved atomic.Int64
}

// Receive reads a body of a length, or of unknown length if that is negative, up to MaxBytes. A long one also has to fit into
// what others leave of the receiver's memory; ErrTooLong is returned otherwise.
func (r *Receiver) Receive(body io.Reader, length int64) ([]byte, error) {
	if length > MaxBytes {
		return nil, ErrTooLong
	}
	if length >= 0 && length <= smallBytes {
		content := make([]byte, length)
		_, err := io.ReadFull(body, content)
		return content, err
	}
	// The parts are not copied into a growing buffer, so that a body without end takes no more than what is reserved for it.
	var parts [][]byte
	total, reserved := 0, 0
	defer func() { r.reserved.Add(-int64(reserved)) }()
	for {
		part := make([]byte, max(firstPartBytes, total))
		n, err := fill(body, part)
		parts = append(parts, part[:n])
		total += n
		if errors.Is(err, io.EOF) {
			return slices.Concat(parts...), nil
		}
		if err != nil {
			return nil, err
		}
		if total < smallBytes {
			continue
		}
		if total >= MaxBytes || !r.reserve(total) {
			return nil, ErrTooLong
		}
		reserved += total
	}
}

// fill reads until part is full. Unlike io.ReadFull it returns the reader's own error, which tells whether the body has ended.
func fill(body io.Reader, part []byte) (int, error) {
	for n := 0; ; {
		m, err := body.Read(part[n:])
		if n += m; err != nil || n == len(part) {
			return n, err
		}
	}
}

// Reserved returns the memory that is reserved now, in bytes.
func (r *Receiver) Reserved() int64 { return r.reserved.Load() }

// reserve takes a number of bytes of MaxReservedBytes unless other bodies hold too many.
func (r *Receiver) reserve(bytes int) bool {
	for {
		held := r.reserved.Load()
		if held+int64(bytes) > MaxReservedBytes {
			return false
		}
		if r.reserved.CompareAndSwap(held, held+int64(bytes)) {
			return true
		}
	}
}
