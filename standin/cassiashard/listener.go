package cassiashard

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// cappedListener closes connections over the cap at once and makes each new one wait for its set-up.
type cappedListener struct {
	net.Listener
	target *Target
}

// Accept returns the next connection within the cap.
func (l *cappedListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.target.admit(conn); c != nil {
			return c, nil
		}
		_ = conn.Close()
	}
}

// admittedConn is a connection within the cap.
type admittedConn struct {
	net.Conn
	target   *Target
	accepted time.Time
	ready    time.Time
	setUp    sync.Once
	closed   sync.Once
	// begun tells that the first request has been taken.
	begun atomic.Bool
}

type connKey struct{}

// withConn lets a request find its connection.
func withConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// arrival returns when a request reached the target: the first one on a connection came while it was set up, unless
// the connection was idle since.
func arrival(ctx context.Context, now time.Time) time.Time {
	c, ok := ctx.Value(connKey{}).(*admittedConn)
	if !ok || c.begun.Swap(true) || !c.ready.After(c.accepted) {
		return now
	}
	if setUp := c.ready.Sub(c.accepted); now.Sub(c.ready) > setUp {
		return now
	}
	return c.accepted
}

// Read waits for the set-up of the connection before its first byte.
func (c *admittedConn) Read(buffer []byte) (int, error) {
	c.setUp.Do(func() { time.Sleep(time.Until(c.ready)) })
	return c.Conn.Read(buffer)
}

// Close ends the connection and frees its place under the cap.
func (c *admittedConn) Close() error {
	c.closed.Do(func() { c.target.dismiss(c) })
	return c.Conn.Close()
}
