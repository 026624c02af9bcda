package cassiasocket

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// Conn is a TCP connection whose Read fails if the connection was aborted, even if Write was told so first.
//
// The kernel reports a reset once, to whichever of read and write asks first; a read after that returns io.EOF, as if the peer had
// closed its side. A reply that ends with its connection would then look complete although the peer broke it off.
type Conn struct {
	net.Conn

	// writing is locked during each write.
	writing sync.Mutex
	// aborted is the first error of a write that shows that the connection was aborted.
	aborted error
}

// Write writes to the connection.
func (c *Conn) Write(p []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(p)
	if c.aborted == nil && showsAbort(err) {
		c.aborted = err
	}
	return n, err
}

// Read reads from the connection; it returns io.EOF only if the peer has closed its side. A write that is still blocked then ends, since
// its error tells the two apart.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err == io.EOF {
		if aborted := c.abortError(); aborted != nil {
			return n, aborted
		}
	}
	return n, err
}

// abortError waits for the end of a blocked write and returns the error that shows that the connection was aborted, if any.
func (c *Conn) abortError() error {
	if err := c.Conn.SetWriteDeadline(time.Now()); err != nil {
		return err
	}
	c.writing.Lock()
	defer c.writing.Unlock()
	return c.aborted
}

// SyscallConn gives access to the socket, as *net.TCPConn does.
func (c *Conn) SyscallConn() (syscall.RawConn, error) {
	if source, ok := c.Conn.(syscall.Conn); ok {
		return source.SyscallConn()
	}
	return nil, errors.ErrUnsupported
}

// showsAbort reports whether the error of a write shows that the connection was aborted before the peer closed its side. EPIPE does not:
// the kernel reports it for a reset after the end of the stream, and once a read has been told of a reset.
func showsAbort(err error) bool {
	return err != nil && !errors.Is(err, syscall.EPIPE) && !errors.Is(err, os.ErrDeadlineExceeded) && !errors.Is(err, net.ErrClosed)
}
