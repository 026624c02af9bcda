package cassialiveness

import (
	"errors"
	"net"
	"syscall"
	"time"
)

const (
	// dialTimeout limits each connect. A process that does not answer it is not known to have ended.
	dialTimeout = 100 * time.Millisecond
	// recheckDelay gives a process that is ending the time to close its listener after its connections.
	recheckDelay = 10 * time.Millisecond
)

// HasEnded reports whether the process that listened at a TCP address has ended: the address refuses connections, at once or
// after recheckDelay. Otherwise it returns the connection that it opened, which the caller has to close, or nil if the
// process could not be reached in time.
func HasEnded(address string) (ended bool, open net.Conn) {
	c, refused := dial(address)
	if c == nil {
		return refused, nil
	}
	time.Sleep(recheckDelay)
	if IsQuiet(c) {
		return false, c
	}
	// The process has closed the connection, either because it ends or because it takes no more connections.
	c.Close() //nolint:errcheck // it is closed already
	c, refused = dial(address)
	return refused, c
}

func dial(address string) (c net.Conn, refused bool) {
	c, err := net.DialTimeout("tcp", address, dialTimeout)
	if err != nil {
		// A reset comes from a process that has accepted the connection.
		return nil, errors.Is(err, syscall.ECONNREFUSED)
	}
	return c, false
}

// IsQuiet reports whether nothing has arrived on a connection: neither bytes nor its end.
func IsQuiet(c net.Conn) bool {
	source, ok := c.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := source.SyscallConn()
	if err != nil {
		return false
	}
	empty := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, peekErr := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		empty = peekErr == syscall.EAGAIN || peekErr == syscall.EWOULDBLOCK
		return true
	})
	return err == nil && empty
}
