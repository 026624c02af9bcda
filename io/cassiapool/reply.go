package cassiapool

import (
	"bytes"
	"errors"
	"io"
)

const (
	// maxHeadBytes limits the status line and the headers of a reply, with the informational replies before it.
	maxHeadBytes = 64 << 10
	// maxReplyBytes limits the body of a reply.
	maxReplyBytes = 8 << 20
	// maxBodyWireBytes limits what is received for a body, which may be longer than the body because of chunks and trailers.
	maxBodyWireBytes = 2 * maxReplyBytes
	// smallBodyBytes is the size up to which a body may always be received. Longer ones share maxBufferedBytes, so that targets
	// that send without end do not use up this VM's memory together.
	smallBodyBytes   = 64 << 10
	maxBufferedBytes = 32 << 20
)

// errReplyTooLong means that a reply exceeds a limit.
var errReplyTooLong = errors.New("the reply is too long")

// boundedReader reads from a connection and fails with errReplyTooLong after a number of bytes.
type boundedReader struct {
	source io.Reader
	left   int
}

func (r *boundedReader) Read(p []byte) (int, error) {
	if r.left <= 0 {
		return 0, errReplyTooLong
	}
	n, err := r.source.Read(p[:min(len(p), r.left)])
	r.left -= n
	return n, err
}

// readBody reads a body of a length, or of unknown length if that is negative, up to maxReplyBytes. A long one also has to fit into
// what other exchanges leave of maxBufferedBytes.
func (p *Pool) readBody(body io.Reader, length int64) ([]byte, error) {
	if length >= 0 && length <= smallBodyBytes {
		content := make([]byte, length)
		_, err := io.ReadFull(body, content)
		return content, err
	}
	var buffer bytes.Buffer
	reserved := int64(0)
	defer func() { p.buffered.Add(-reserved) }()
	for limit := int64(smallBodyBytes); ; limit *= 2 {
		_, err := io.CopyN(&buffer, body, limit-int64(buffer.Len()))
		if errors.Is(err, io.EOF) {
			return buffer.Bytes(), nil
		}
		if err != nil {
			return nil, err
		}
		if limit >= maxReplyBytes || !p.reserve(limit) {
			return nil, errReplyTooLong
		}
		reserved += limit
	}
}

// reserve takes a number of bytes of maxBufferedBytes unless other exchanges hold too many.
func (p *Pool) reserve(bytes int64) bool {
	for {
		held := p.buffered.Load()
		if held+bytes > maxBufferedBytes {
			return false
		}
		if p.buffered.CompareAndSwap(held, held+bytes) {
			return true
		}
	}
}
