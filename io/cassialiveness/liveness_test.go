package cassialiveness

import (
	"errors"
	"net"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"golang.org/x/sync/errgroup"
)

// listen accepts connections and passes each to handle.
func listen(t *testing.T, handle func(listener net.Listener, c net.Conn)) net.Listener {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	var group errgroup.Group
	t.Cleanup(func() {
		listener.Close() //nolint:errcheck // the test may have closed it
		qt.Check(t, group.Wait(), qt.IsNil)
	})
	group.Go(func() error {
		for {
			c, err := listener.Accept()
			if err != nil {
				return nil //nolint:nilerr // the listener was closed
			}
			handle(listener, c)
		}
	})
	return listener
}

func TestProcessThatListensHasNotEnded(t *testing.T) {
	c := qt.New(t)
	listener := listen(t, func(net.Listener, net.Conn) {})
	ended, open := HasEnded(listener.Addr().String())
	c.Check(ended, qt.IsFalse)
	c.Assert(open, qt.IsNotNil)
	c.Check(open.Close(), qt.IsNil)
}

func TestClosedAddressHasEnded(t *testing.T) {
	listener := listen(t, func(net.Listener, net.Conn) {})
	qt.Assert(t, listener.Close(), qt.IsNil)
	ended, _ := HasEnded(listener.Addr().String())
	qt.Check(t, ended, qt.IsTrue)
}

// TestProcessThatEndsDuringTheCheckHasEnded: a process that ends closes its connections before its listener.
func TestProcessThatEndsDuringTheCheckHasEnded(t *testing.T) {
	listener := listen(t, func(listener net.Listener, c net.Conn) {
		c.Close()        //nolint:errcheck // the end of the connection is what the test is about
		listener.Close() //nolint:errcheck // as above
	})
	ended, _ := HasEnded(listener.Addr().String())
	qt.Check(t, ended, qt.IsTrue)
}

// TestProcessThatIsSlowToEndHasEnded guards against a process that resets connections for a while before it closes its listener being
// taken for alive.
func TestProcessThatIsSlowToEndHasEnded(t *testing.T) {
	for range 20 {
		listener := listen(t, func(_ net.Listener, c net.Conn) {
			c.(*net.TCPConn).SetLinger(0) //nolint:errcheck // the connection is reset in either case
			c.Close()                     //nolint:errcheck // the end of the connection is what the test is about
		})
		closing := time.AfterFunc(2*recheckDelay, func() { listener.Close() }) //nolint:errcheck // as above
		ended, _ := HasEnded(listener.Addr().String())
		closing.Stop()
		qt.Check(t, ended, qt.IsTrue)
	}
}

// TestProcessThatResetsConnectionsHasNotEnded: a target over its limit of connections resets new ones, which may already be seen
// by the connect.
func TestProcessThatResetsConnectionsHasNotEnded(t *testing.T) {
	listener := listen(t, func(_ net.Listener, c net.Conn) {
		c.(*net.TCPConn).SetLinger(0) //nolint:errcheck // the connection is reset in either case
		c.Close()                     //nolint:errcheck // as above
	})
	for range 300 {
		c, err := dial(listener.Addr().String())
		qt.Assert(t, errors.Is(err, syscall.ECONNREFUSED), qt.IsFalse)
		if c != nil {
			c.Close() //nolint:errcheck // the other side closes it, too
		}
	}
	ended, open := HasEnded(listener.Addr().String())
	qt.Check(t, ended, qt.IsFalse)
	if open != nil {
		open.Close() //nolint:errcheck // as above
	}
}
