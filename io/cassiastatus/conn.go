package cassiastatus

import (
	"net"
	"sync"
)

// Conn is a connection of a Transport, which carries one request at a time. Its Read fails at a malformed status line.
type Conn struct {
	net.Conn
	onMalformed func(*Error)

	mutex sync.Mutex
	head  head
}

// Read reads from the connection. It returns what comes before the byte that shows that a status line is malformed, and an *Error from then
// on. net/http sends a request once more on another connection if a read for its reply fails before the first byte, so the bytes before are
// not kept back.
func (c *Conn) Read(p []byte) (int, error) {
	if malformed := c.malformed(); malformed != nil {
		return 0, malformed
	}
	n, err := c.Conn.Read(p)
	valid, malformed := c.check(p[:n])
	if malformed == nil {
		return n, err
	}
	if c.onMalformed != nil {
		c.onMalformed(malformed)
	}
	if valid > 0 {
		return valid, nil
	}
	return 0, malformed
}

// malformed returns the error of the reply that is being read, or nil if nothing is malformed so far.
func (c *Conn) malformed() *Error {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.head.err
}

// check takes the next bytes. It returns how many of them come before a malformed status, and the error that describes it.
func (c *Conn) check(p []byte) (valid int, err *Error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	valid = c.head.add(p)
	return valid, c.head.err
}

// expectReply prepares the connection for the reply to its next request.
func (c *Conn) expectReply() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.head.final {
		c.head = head{}
	}
}
