package cassiapool

import (
	"bufio"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"cassiasaddle/io/cassialiveness"
	"cassiasaddle/io/cassiasocket"
)

const (
	// readBufferBytes is enough for the status line and headers of a typical reply.
	readBufferBytes = 2 << 10
	// maxIdleTime is the longest time that an idle connection is kept; a target can shorten it with a Keep-Alive header.
	maxIdleTime = 20 * time.Second
	// keepAliveMargin is how long before the target's own idle timeout an idle connection is closed.
	keepAliveMargin = 1500 * time.Millisecond
)

// connection is one connection to a target; it carries one request at a time.
type connection struct {
	*cassiasocket.Conn
	// bounded limits what reader may read for the current reply.
	bounded *boundedReader
	reader  *bufio.Reader
	// instance identifies the target's process for which the connection was opened.
	instance string
	expires  time.Time
}

func newConnection(raw net.Conn, instance string, expires time.Time) *connection {
	c := &cassiasocket.Conn{Conn: raw}
	bounded := &boundedReader{source: c}
	return &connection{Conn: c, bounded: bounded, reader: bufio.NewReaderSize(bounded, readBufferBytes), instance: instance, expires: expires}
}

// stillIdle reports whether nothing has arrived on an idle connection: neither a close nor unsolicited bytes.
func (c *connection) stillIdle() bool {
	return c.reader.Buffered() == 0 && cassialiveness.IsQuiet(c.Conn)
}

// updateExpiry sets the time until which the connection may be reused after a reply; false means that it must be closed.
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
