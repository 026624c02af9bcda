package cassiabadreply

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"
	"golang.org/x/sync/errgroup"
)

// Target is a TCP server that replies to the first request of each connection and keeps the connection open.
type Target struct {
	// Closed receives once for each connection that the client has closed after the reply.
	Closed   chan struct{}
	listener net.Listener
	group    errgroup.Group

	mutex sync.Mutex
	open  []net.Conn
}

// maxClosed is the number of closed connections that a Target keeps for a test that does not receive them.
const maxClosed = 100

// Listen starts a target that replies with a fault, followed by rest, until the test ends.
func Listen(t testing.TB, fault Fault, rest string) *Target {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	target := &Target{Closed: make(chan struct{}, maxClosed), listener: listener}
	target.group.Go(func() error { target.accept(fault, rest); return nil })
	t.Cleanup(target.close)
	return target
}

// Address returns the address that the target listens at.
func (t *Target) Address() string { return t.listener.Addr().String() }

func (t *Target) accept(fault Fault, rest string) {
	for {
		connection, err := t.listener.Accept()
		if err != nil {
			return
		}
		t.mutex.Lock()
		t.open = append(t.open, connection)
		t.mutex.Unlock()
		t.group.Go(func() error { t.serve(connection, fault, rest); return nil })
	}
}

func (t *Target) serve(connection net.Conn, fault Fault, rest string) {
	defer connection.Close() //nolint:errcheck // the client has closed it, or the test is over
	reader := bufio.NewReader(connection)
	request, err := http.ReadRequest(reader)
	if err != nil {
		return
	}
	if _, err := io.Copy(io.Discard, request.Body); err != nil {
		return
	}
	fault.Send(connection, rest) //nolint:errcheck // the client may have closed the connection
	io.Copy(io.Discard, reader)  //nolint:errcheck // it ends with the connection
	t.Closed <- struct{}{}
}

// close ends all connections and waits for them.
func (t *Target) close() {
	t.listener.Close() //nolint:errcheck // the test is over
	t.mutex.Lock()
	for _, connection := range t.open {
		connection.Close() //nolint:errcheck // the test is over
	}
	t.mutex.Unlock()
	t.group.Wait() //nolint:errcheck // nothing fails
}
