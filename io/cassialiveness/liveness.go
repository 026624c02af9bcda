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
	// recheckDelay and maxChecks give a process that is ending the time to close its listener after its connections.
	recheckDelay = 10 * time.Millisecond
	maxChecks    = 4
)

// HasEnded reports whether the process that listened at a TCP address has ended: the address refuses connections, if not at once
// then while it closes or resets those it accepts. Otherwise it returns the connection that it opened, which the caller has to
// close, or nil if no connection stays open.
func HasEnded(address string) (ended bool, open net.Conn) {
	for range maxChecks {
		c, err := dial(address)
		switch {
		case errors.Is(err, syscall.ECONNREFUSED):
			return true, nil
		case err != nil && !errors.Is(err, syscall.ECONNRESET):
			return false, nil
		}
		time.Sleep(recheckDelay)
		if c == nil {
			continue
		}
		if IsQuiet(c) {
			return false, c
		}
		// The process has closed the connection, either because it ends or because it takes no more connections.
		c.Close() //nolint:errcheck // it is closed already
	}
	return false, nil
}

func dial(address string) (net.Conn, error) { return net.DialTimeout("tcp", address, dialTimeout) }

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
