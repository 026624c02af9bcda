package cassiacaller

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/uber-go/tally/v4"

	"cassiasaddle/core/cassiaclock"
	"cassiasaddle/core/cassiaintake"
	"cassiasaddle/io/cassiabody"
)

// discardTimeout bounds how long the rest of a body that no one reads is awaited. net/http reads up to 256 KiB of it, so that the connection
// can be used again, and would wait for them without end.
const discardTimeout = time.Second

// Reasons for which a connection is closed.
const (
	reasonConnections = "tooManyConnections"
	reasonHeaders     = "headerMemory"
)

// RetryAfter is when a request that was refused because memory is short may be sent again; bodies that are behind are aborted in that time.
const RetryAfter = cassiaintake.Patience

// Intake bounds the connections of callers, and their headers and bodies. It is safe for concurrent use.
type Intake struct {
	bodies *cassiabody.Budget
	limits Limits
	logger log.Logger
	scope  tally.Scope

	mutex       sync.Mutex
	connections *cassiaintake.Connections
	open        map[cassiaintake.ConnectionID]*connection
}

// NewIntake returns an intake with limits.
func NewIntake(limits Limits, logger log.Logger, scope tally.Scope) *Intake {
	clock := cassiaclock.System{}
	level.Info(logger).Log("event", "callerLimits", "connections", limits.Connections, "headerBytes", limits.HeaderBytes, "bodyBytes", limits.BodyBytes)
	return &Intake{bodies: cassiabody.NewBudget(clock, limits.BodyBytes), limits: limits, logger: logger, scope: scope,
		connections: cassiaintake.NewConnections(clock, limits.Connections, limits.HeaderBytes),
		open:        make(map[cassiaintake.ConnectionID]*connection)}
}

// Attach has a server's connections tracked; they have to come from a listener that Listen returned.
func (i *Intake) Attach(server *http.Server) {
	server.Handler = i.guard(server.Handler)
	server.ConnState = func(raw net.Conn, state http.ConnState) {
		c, ok := raw.(*connection)
		switch {
		case !ok:
		case state == http.StateActive:
			c.enter(cassiaintake.PhaseRunning, false)
		case state == http.StateIdle:
			c.enter(cassiaintake.PhaseHeader, true)
		}
	}
	server.ConnContext = func(ctx context.Context, raw net.Conn) context.Context {
		return context.WithValue(ctx, connectionKey{}, raw)
	}
}

// connectionKey is the key of a request's connection in its context.
type connectionKey struct{}

// connectionOf returns the connection of a request, or nil if it is not tracked.
func connectionOf(r *http.Request) *connection {
	c, _ := r.Context().Value(connectionKey{}).(*connection)
	return c
}

// guard serves no request on a connection that is being closed, and bounds the time for the rest of bodies that were not read.
func (i *Intake) guard(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := connectionOf(r)
		if c == nil {
			next.ServeHTTP(w, r)
			return
		}
		if c.closing() {
			// It was chosen while the end of the header arrived. The request has not run.
			panic(http.ErrAbortHandler)
		}
		c.read = r.Body == nil || r.Body == http.NoBody
		defer func() {
			if !c.read {
				c.enter(cassiaintake.PhaseBody, false)
				c.SetReadDeadline(time.Now().Add(discardTimeout)) //nolint:errcheck // a closed connection needs none
			}
		}()
		next.ServeHTTP(w, r)
	})
}

// Receive reads the body of a request up to a limit in bytes, or up to half of the budget if that is 0. The caller has to release the body
// once the request has ended. After an error the connection is closed with the answer, which can tell that the request was not run.
func (i *Intake) Receive(w http.ResponseWriter, r *http.Request, limit int64) (cassiabody.Held, error) {
	if r.Body == nil || r.Body == http.NoBody {
		return cassiabody.Held{}, nil
	}
	if limit <= 0 {
		limit = i.limits.BodyBytes / 2
	}
	c := connectionOf(r)
	c.enter(cassiaintake.PhaseBody, false)
	held, err := i.bodies.Receive(r.Body, r.ContentLength, limit, c.abort)
	i.scope.Gauge("caller_body_bytes").Update(float64(i.bodies.Used()))
	if err != nil {
		w.Header().Set("Connection", "close")
		var aborted *cassiabody.AbortedError
		if errors.As(err, &aborted) {
			i.scope.Tagged(map[string]string{"reason": string(aborted.Reason)}).Counter("caller_bodies_aborted").Inc(1)
		}
		return cassiabody.Held{}, err
	}
	c.received()
	return held, nil
}

// Listen returns a listener whose connections are tracked.
func (i *Intake) Listen(listener net.Listener) net.Listener {
	return &trackingListener{Listener: listener, intake: i}
}

type trackingListener struct {
	net.Listener
	intake *Intake
}

// Accept accepts a connection, and closes one if there are too many.
func (l *trackingListener) Accept() (net.Conn, error) {
	raw, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &connection{Conn: raw, intake: l.intake}
	l.intake.close(l.intake.add(c), reasonConnections)
	return c, nil
}

// add tracks a connection and returns the one to close, or nil.
func (i *Intake) add(c *connection) *connection {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	id, victim := i.connections.Open()
	c.id = id
	i.open[id] = c
	return i.open[victim]
}

// close closes a connection unless it is nil.
func (i *Intake) close(c *connection, reason string) {
	if c == nil {
		return
	}
	i.scope.Tagged(map[string]string{"reason": reason}).Counter("caller_connections_closed").Inc(1)
	level.Warn(i.logger).Log("event", "callerConnectionClosed", "reason", reason, "caller", c.RemoteAddr().String())
	c.Close() //nolint:errcheck // nothing was sent that could be lost
}

// connection is a tracked connection.
type connection struct {
	net.Conn
	intake *Intake
	id     cassiaintake.ConnectionID
	// read is true once the body of the current request has been read; only the goroutine of the request uses it.
	read bool

	mutex   sync.Mutex
	aborted bool
}

// Read implements net.Conn.
func (c *connection) Read(part []byte) (int, error) {
	n, err := c.Conn.Read(part)
	if n > 0 {
		c.intake.mutex.Lock()
		victim := c.intake.open[c.intake.connections.Received(c.id, n)]
		c.intake.mutex.Unlock()
		c.intake.close(victim, reasonHeaders)
	}
	return n, err
}

// SetReadDeadline implements net.Conn. The deadline of an aborted connection stays in the past.
func (c *connection) SetReadDeadline(t time.Time) error {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.aborted {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// CloseWrite closes the sending side. net/http uses it so that callers which still send get their answer.
func (c *connection) CloseWrite() error {
	if closer, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return closer.CloseWrite()
	}
	return nil
}

// Close implements net.Conn.
func (c *connection) Close() error {
	c.intake.mutex.Lock()
	c.intake.connections.Close(c.id)
	delete(c.intake.open, c.id)
	c.intake.mutex.Unlock()
	return c.Conn.Close()
}

// abort ends a pending read, and all later ones, while an answer can still be sent.
func (c *connection) abort() {
	if c == nil {
		return
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.aborted = true
	c.Conn.SetReadDeadline(time.Unix(1, 0)) //nolint:errcheck // a closed connection needs none
}

// received records that the body of the current request has arrived.
func (c *connection) received() {
	if c != nil {
		c.read = true
		c.enter(cassiaintake.PhaseRunning, false)
	}
}

func (c *connection) enter(phase cassiaintake.Phase, answered bool) {
	if c == nil {
		return
	}
	c.intake.mutex.Lock()
	defer c.intake.mutex.Unlock()
	c.intake.connections.Enter(c.id, phase, answered)
}

func (c *connection) closing() bool {
	c.intake.mutex.Lock()
	defer c.intake.mutex.Unlock()
	return c.intake.connections.Closing(c.id)
}
