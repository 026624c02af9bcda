package cassiapool

import (
	"io"

	"cassiasaddle/io/cassiabody"
)

const (
	// maxHeadBytes limits the status line and the headers of a reply, with the informational replies before it.
	maxHeadBytes = 64 << 10
	// maxBodyWireBytes limits what is received for a body, which may be longer than the body because of chunks and trailers.
	maxBodyWireBytes = 2 * cassiabody.MaxBytes
)

// boundedReader reads from a connection and fails with cassiabody.ErrTooLong after a number of bytes.
type boundedReader struct {
	source io.Reader
	left   int
}

func (r *boundedReader) Read(p []byte) (int, error) {
	if r.left <= 0 {
		return 0, cassiabody.ErrTooLong
	}
	n, err := r.source.Read(p[:min(len(p), r.left)])
	r.left -= n
	return n, err
}
