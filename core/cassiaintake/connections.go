package cassiaintake

import (
	"time"

	"cassiasaddle/core/cassiaclock"
)

// ConnectionID identifies a connection of a caller.
type ConnectionID uint64

// servedCredit is how much longer a connection on which a request was answered may be without progress than one without, since its caller
// is likely to use it again.
const servedCredit = 10 * time.Second

// Phase is what a connection is doing.
type Phase int

// Values of Phase.
const (
	// PhaseHeader is that of a connection on which the header of the next request has not arrived, also if nothing of it has.
	PhaseHeader Phase = iota
	// PhaseBody is that of a connection on which a body is being received, or what follows a refused one.
	PhaseBody
	// PhaseRunning is that of a connection whose request has arrived; it is not closed.
	PhaseRunning
)

// connection is a caller's connection.
type connection struct {
	id       ConnectionID
	phase    Phase
	served   bool
	closing  bool
	progress progress
	// header is the size of the header that has arrived, in bytes.
	header int64
}

// rank returns the time up to which the connection has kept up with MinRate, with the credit for those that are served.
func (c *connection) rank() progress {
	if c.served {
		return progress(time.Time(c.progress).Add(servedCredit))
	}
	return c.progress
}

// Connections decides which connection is closed when there are too many, or when their headers need too much memory: the one that has
// been behind MinRate for the longest time, but none with a request that has arrived. Its methods return the connection to close, or 0.
// It is not safe for concurrent use.
type Connections struct {
	clock cassiaclock.Clock
	// limit is the number of connections, headerBudget the memory for all headers in bytes.
	limit        int
	headerBudget int64
	open         int
	headers      int64
	lastID       ConnectionID
	connections  map[ConnectionID]*connection
}

// NewConnections returns a decider with a number of connections and a budget for their headers in bytes.
func NewConnections(clock cassiaclock.Clock, limit int, headerBudget int64) *Connections {
	return &Connections{clock: clock, limit: limit, headerBudget: headerBudget, connections: make(map[ConnectionID]*connection)}
}

// Open adds a connection, which is the one to close if no other one may be.
func (c *Connections) Open() (id, victim ConnectionID) {
	c.lastID++
	c.connections[c.lastID] = &connection{id: c.lastID, progress: progress(c.clock.Now())}
	c.open++
	if c.open <= c.limit {
		return c.lastID, 0
	}
	return c.lastID, c.close(c.victim(func(x *connection) bool { return x.id != c.lastID }, c.connections[c.lastID]))
}

// Received records that a number of bytes has arrived on a connection.
func (c *Connections) Received(id ConnectionID, bytes int) (victim ConnectionID) {
	x := c.connections[id]
	if x == nil || x.closing {
		return 0
	}
	now := c.clock.Now()
	if x.phase == PhaseHeader && x.header == 0 {
		// Its caller had nothing to send before.
		x.progress = progress(now)
	}
	x.progress = x.progress.received(now, bytes)
	if x.phase != PhaseHeader {
		return 0
	}
	x.header += int64(bytes)
	if c.headers += int64(bytes); c.headers <= c.headerBudget {
		return 0
	}
	return c.close(c.victim(func(x *connection) bool { return x.phase == PhaseHeader && x.header > 0 }, nil))
}

// Enter records the phase of a connection, and whether a request was answered on it.
func (c *Connections) Enter(id ConnectionID, phase Phase, answered bool) {
	x := c.connections[id]
	if x == nil || x.closing {
		return
	}
	x.served = x.served || answered
	if phase == PhaseHeader {
		c.headers -= x.header
		x.header = 0
	}
	if phase != x.phase {
		x.progress = progress(c.clock.Now())
	}
	x.phase = phase
}

// Closing reports whether a connection is being closed.
func (c *Connections) Closing(id ConnectionID) bool {
	x := c.connections[id]
	return x == nil || x.closing
}

// Close removes a connection.
func (c *Connections) Close(id ConnectionID) {
	x := c.connections[id]
	if x == nil {
		return
	}
	if !x.closing {
		c.open--
	}
	c.headers -= x.header
	delete(c.connections, id)
}

// close records that a connection is being closed.
func (c *Connections) close(x *connection) ConnectionID {
	if x == nil {
		return 0
	}
	x.closing = true
	c.headers -= x.header
	x.header = 0
	c.open--
	return x.id
}

// victim returns the connection with the least progress of those that are allowed, or another one if there is none.
func (c *Connections) victim(allowed func(*connection) bool, otherwise *connection) *connection {
	var slowest *connection
	for _, x := range c.connections {
		if x.closing || x.phase == PhaseRunning || !allowed(x) {
			continue
		}
		if slowest == nil || x.rank().before(slowest.rank()) {
			slowest = x
		}
	}
	if slowest == nil {
		return otherwise
	}
	return slowest
}
