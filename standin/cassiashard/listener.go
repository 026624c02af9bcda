package cassiashard

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// cappedListener closes connections beyond the target's cap at once and delays each new one by its set-up time.
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
		if c := l.target.admitConn(conn); c != nil {
			return c, nil
		}
		_ = conn.Close()
	}
}

// admittedConn is a connection within the cap.
type admittedConn struct {
	net.Conn
	target     *Target
	acceptedAt time.Time
	readyAt    time.Time
	setUpOnce  sync.Once
	closeOnce  sync.Once
	// dataBeforeReady is true if the first bytes arrived during the set-up of the connection. firstRequestSeen is true
	// once arrivalTime was called for the first request.
	dataBeforeReady, firstRequestSeen atomic.Bool
}

// maxBufferedReadTime is the limit below which the first read after the set-up is taken to return bytes that arrived
// during the set-up. A longer read waited for bytes that arrived later.
const maxBufferedReadTime = time.Millisecond

type (
	connKey    struct{}
	arrivalKey struct{}
)

// withConn stores a connection in the context of its requests.
func withConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// arrivalTime returns when a request arrived at the target: now, or, for the first request on a connection if it came
// during the set-up, the time when the connection was accepted.
func arrivalTime(ctx context.Context, now time.Time) time.Time {
	c, ok := ctx.Value(connKey{}).(*admittedConn)
	if !ok || c.firstRequestSeen.Swap(true) || !c.dataBeforeReady.Load() {
		return now
	}
	return c.acceptedAt
}

// withArrival stores the arrival time of each request in its context.
func withArrival(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		at := arrivalTime(r.Context(), time.Now())
		next.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), arrivalKey{}, at)))
	})
}

// recordedArrival returns the arrival time that withArrival stored, or the current time if there is none.
func recordedArrival(r *http.Request) time.Time {
	at, recorded := r.Context().Value(arrivalKey{}).(time.Time)
	if !recorded {
		return time.Now()
	}
	return at
}

// Read reads from the connection; the first call waits until the connection is set up.
func (c *admittedConn) Read(buffer []byte) (int, error) {
	var firstRead bool
	c.setUpOnce.Do(func() {
		time.Sleep(time.Until(c.readyAt))
		firstRead = true
	})
	begin := time.Now()
	n, err := c.Conn.Read(buffer)
	if firstRead && c.readyAt.After(c.acceptedAt) && time.Since(begin) < maxBufferedReadTime {
		c.dataBeforeReady.Store(true)
	}
	return n, err
}

// Close closes the connection, which no longer counts towards the cap.
func (c *admittedConn) Close() error {
	c.closeOnce.Do(func() { c.target.releaseConn(c) })
	return c.Conn.Close()
}
