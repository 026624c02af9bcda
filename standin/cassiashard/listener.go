package cassiashard

import (
	"context"
	"net"
	"net/http"
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
	// waited tells that the first bytes had come while the connection was set up; begun that their request was taken.
	waited, begun atomic.Bool
}

// promptRead is how soon after the set-up bytes are read that had come before its end.
const promptRead = time.Millisecond

type (
	connKey    struct{}
	arrivalKey struct{}
)

// withConn lets a request find its connection.
func withConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// arrival returns when a request reached the target; the first one on a connection may have come while that was set up.
func arrival(ctx context.Context, now time.Time) time.Time {
	c, ok := ctx.Value(connKey{}).(*admittedConn)
	if !ok || c.begun.Swap(true) || !c.waited.Load() {
		return now
	}
	return c.accepted
}

// withArrival notes when each request reached the target.
func withArrival(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		at := arrival(r.Context(), time.Now())
		next.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), arrivalKey{}, at)))
	})
}

// arrivalOf returns what withArrival noted.
func arrivalOf(r *http.Request) time.Time {
	at, noted := r.Context().Value(arrivalKey{}).(time.Time)
	if !noted {
		return time.Now()
	}
	return at
}

// Read waits for the set-up of the connection before its first byte.
func (c *admittedConn) Read(buffer []byte) (int, error) {
	var first bool
	c.setUp.Do(func() {
		time.Sleep(time.Until(c.ready))
		first = true
	})
	begin := time.Now()
	n, err := c.Conn.Read(buffer)
	if first && c.ready.After(c.accepted) && time.Since(begin) < promptRead {
		c.waited.Store(true)
	}
	return n, err
}

// Close ends the connection and frees its place under the cap.
func (c *admittedConn) Close() error {
	c.closed.Do(func() { c.target.dismiss(c) })
	return c.Conn.Close()
}
