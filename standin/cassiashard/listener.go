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
	// dataBeforeReady tells that the first bytes had come while the connection was set up; firstRequestSeen that their request was taken.
	dataBeforeReady, firstRequestSeen atomic.Bool
}

// maxBufferedReadTime is how soon after the set-up bytes are read that had come before its end.
const maxBufferedReadTime = time.Millisecond

type (
	connKey    struct{}
	arrivalKey struct{}
)

// withConn lets a request find its connection.
func withConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// arrivalTime returns when a request reached the target; the first one on a connection may have come while that was set up.
func arrivalTime(ctx context.Context, now time.Time) time.Time {
	c, ok := ctx.Value(connKey{}).(*admittedConn)
	if !ok || c.firstRequestSeen.Swap(true) || !c.dataBeforeReady.Load() {
		return now
	}
	return c.acceptedAt
}

// withArrival notes when each request reached the target.
func withArrival(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		at := arrivalTime(r.Context(), time.Now())
		next.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), arrivalKey{}, at)))
	})
}

// recordedArrival returns what withArrival noted.
func recordedArrival(r *http.Request) time.Time {
	at, recorded := r.Context().Value(arrivalKey{}).(time.Time)
	if !recorded {
		return time.Now()
	}
	return at
}

// Read waits for the set-up of the connection before its first byte.
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

// Close ends the connection and frees its place under the cap.
func (c *admittedConn) Close() error {
	c.closeOnce.Do(func() { c.target.releaseConn(c) })
	return c.Conn.Close()
}
