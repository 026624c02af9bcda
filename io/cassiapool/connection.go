package cassiapool

import (
	"bufio"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"
)

const (
	// readBufferBytes holds the head of a usual answer.
	readBufferBytes = 2 << 10
	// maxIdleTime is how long a connection is kept without a request when the target does not tell its own bound.
	maxIdleTime = 20 * time.Second
	// keepAliveMargin is how much sooner than the target a kept connection is closed.
	keepAliveMargin = 1500 * time.Millisecond
)

// connection is one connection to a target; it carries one request at a time.
type connection struct {
	net.Conn
	reader *bufio.Reader
	// instance is the target's process that the connection was opened to.
	instance string
	expires  time.Time
}

func newConnection(c net.Conn, instance string, expires time.Time) *connection {
	return &connection{Conn: c, reader: bufio.NewReaderSize(c, readBufferBytes), instance: instance,
		expires: expires}
}

// stillIdle is true when nothing has arrived on an idle connection: neither its end nor bytes that nobody asked for.
func (c *connection) stillIdle() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	source, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := source.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, peekErr := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = peekErr == syscall.EAGAIN || peekErr == syscall.EWOULDBLOCK
		return true
	})
	return err == nil && quiet
}

// updateExpiry notes until when the connection may be used again after a reply; false means that it may not.
func (c *connection) updateExpiry(reply *http.Response, now time.Time) bool {
	if reply.Close || c.reader.Buffered() > 0 {
		return false
	}
	idle := maxIdleTime
	for value := range strings.SplitSeq(reply.Header.Get("Keep-Alive"), ",") {
		name, seconds, _ := strings.Cut(strings.TrimSpace(value), "=")
		if n, err := strconv.Atoi(seconds); err == nil && strings.EqualFold(name, "timeout") {
			idle = min(idle, time.Duration(n)*time.Second-keepAliveMargin)
		}
	}
	c.expires = now.Add(idle)
	return idle > 0
}
