package cassiarelay

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"golang.org/x/sync/errgroup"

	"cassiasaddle/standin/cassialistener"
)

// testTimeout is the longest time that a test waits for an expected event.
const testTimeout = 10 * time.Second

// startEcho starts a server that sends back all data it receives, and returns its address.
func startEcho(t *testing.T, network string) string {
	c := qt.New(t)
	var group errgroup.Group
	if network == "udp" {
		socket, err := net.ListenPacket("udp", "127.0.0.1:0")
		c.Assert(err, qt.IsNil)
		group.Go(func() error {
			buffer := make([]byte, maxPartBytes)
			for {
				n, from, err := socket.ReadFrom(buffer)
				if err != nil {
					return nil
				}
				_, _ = socket.WriteTo(buffer[:n], from)
			}
		})
		t.Cleanup(func() { _ = socket.Close(); _ = group.Wait() })
		return socket.LocalAddr().String()
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	group.Go(func() error {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return nil
			}
			group.Go(func() error { _, _ = io.Copy(conn, conn); return conn.Close() })
		}
	})
	t.Cleanup(func() { _ = listener.Close(); _ = group.Wait() })
	return listener.Addr().String()
}

// freeAddress returns a local address that was free a moment ago.
func freeAddress(c *qt.C, network string) string {
	if network == "udp" {
		socket, err := net.ListenPacket("udp", "127.0.0.1:0")
		c.Assert(err, qt.IsNil)
		defer func() { _ = socket.Close() }()
		return socket.LocalAddr().String()
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer func() { _ = listener.Close() }()
	return listener.Addr().String()
}

// startRelay runs a relay to an echo server and returns the relay and a connection to the server through it.
func startRelay(t *testing.T, network string) (*Relay, net.Conn) {
	r := startRelayTo(t, network, startEcho(t, network))
	return r, dial(t, network, r.ListenAddress())
}

// startRelayTo runs a relay to a server.
func startRelayTo(t *testing.T, network, upstream string) *Relay {
	c := qt.New(t)
	r := New(Options{Network: network, Listen: freeAddress(c, network), Upstream: upstream, Seed: 1})
	ctx, stop := context.WithCancel(context.Background())
	ready := make(chan struct{})
	var group errgroup.Group
	group.Go(func() error { return Set{r}.Run(ctx, func() { close(ready) }) })
	t.Cleanup(func() {
		stop()
		c.Assert(group.Wait(), qt.IsNil)
	})
	<-ready
	return r
}

func dial(t *testing.T, network, address string) net.Conn {
	conn, err := net.Dial(network, address)
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

// exchange sends a text and returns the reply, or the error of a read that takes longer than within.
func exchange(c *qt.C, conn net.Conn, text string, within time.Duration) (string, error) {
	_, err := conn.Write([]byte(text))
	c.Assert(err, qt.IsNil)
	c.Assert(conn.SetReadDeadline(time.Now().Add(within)), qt.IsNil)
	buffer := make([]byte, maxPartBytes)
	n, err := conn.Read(buffer)
	return string(buffer[:n]), err
}

func TestDelayBothWays(t *testing.T) {
	for _, network := range []string{"tcp", "udp"} {
		c := qt.New(t)
		r, conn := startRelay(t, network)
		r.SetFaults(Faults{DelayMs: 20})
		begin := time.Now()
		got, err := exchange(c, conn, "hello", testTimeout)
		c.Assert(err, qt.IsNil)
		c.Assert(got, qt.Equals, "hello")
		c.Assert(time.Since(begin) >= 40*time.Millisecond, qt.IsTrue)
	}
}

func TestHalfOpenSwallowsAndHeals(t *testing.T) {
	for _, network := range []string{"tcp", "udp"} {
		c := qt.New(t)
		r, conn := startRelay(t, network)
		for _, faults := range []Faults{{HalfOpen: true}, {SwallowReplies: true}} {
			r.SetFaults(faults)
			_, err := exchange(c, conn, "lost", 30*time.Millisecond)
			c.Assert(err, qt.ErrorMatches, ".*timeout.*")
			r.SetFaults(Faults{})
			got, err := exchange(c, conn, "seen", testTimeout)
			c.Assert(err, qt.IsNil)
			c.Assert(got, qt.Equals, "seen")
		}
		c.Assert(r.Counters().Dropped, qt.Equals, 2)
	}
}

func TestCutResetsAndRefusesByPrefix(t *testing.T) {
	c := qt.New(t)
	r, conn := startRelay(t, "tcp")
	r.SetFaultsFrom(netip.MustParsePrefix("127.9.0.0/16"), Faults{Cut: true})
	got, err := exchange(c, conn, "other prefix", testTimeout)
	c.Assert(err, qt.IsNil)
	c.Assert(got, qt.Equals, "other prefix")

	r.SetFaultsFrom(netip.MustParsePrefix("127.0.0.0/16"), Faults{Cut: true})
	c.Assert(conn.SetReadDeadline(time.Now().Add(testTimeout)), qt.IsNil)
	_, err = conn.Read(make([]byte, 1))
	c.Assert(err, qt.ErrorMatches, ".*reset.*|EOF")
	again, err := net.Dial("tcp", r.ListenAddress())
	if err == nil { // The reset may come before or after Dial returns.
		defer func() { c.Check(again.Close(), qt.IsNil) }()
		c.Assert(again.SetReadDeadline(time.Now().Add(testTimeout)), qt.IsNil)
		_, err = again.Read(make([]byte, 1))
	}
	c.Assert(err, qt.ErrorMatches, ".*reset.*|EOF")
}

// TestResetDuringALongWriteIsPassedOn: upstream resets a connection while the relay is still writing to it. Its sender must not see an
// orderly end.
func TestResetDuringALongWriteIsPassedOn(t *testing.T) {
	c := qt.New(t)
	listener, err := cassialistener.ListenSmallWindows()
	c.Assert(err, qt.IsNil)
	defer listener.Close() //nolint:errcheck // the test is over
	var group errgroup.Group
	group.Go(func() error {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return nil
			}
			_, writeErr := conn.Write([]byte("part"))
			time.Sleep(5 * time.Millisecond)
			conn.(*net.TCPConn).SetLinger(0) //nolint:errcheck // the close fails then
			if err := errors.Join(writeErr, conn.Close()); err != nil {
				return err
			}
		}
	})
	r := startRelayTo(t, "tcp", listener.Addr().String())
	long := make([]byte, 1<<20)
	for range 50 {
		conn, err := net.Dial("tcp", r.ListenAddress())
		c.Assert(err, qt.IsNil)
		group.Go(func() error {
			conn.Write(long) //nolint:errcheck // the connection is reset
			return nil
		})
		_, err = io.ReadAll(conn)
		c.Check(err, qt.ErrorMatches, ".*reset.*")
		c.Check(conn.Close(), qt.IsNil)
	}
	c.Assert(listener.Close(), qt.IsNil)
	c.Assert(group.Wait(), qt.IsNil)
}

func TestDatagramFaults(t *testing.T) {
	c := qt.New(t)
	r, conn := startRelay(t, "udp")
	r.SetFaults(Faults{Loss: 1})
	_, err := exchange(c, conn, "lost", 30*time.Millisecond)
	c.Assert(err, qt.ErrorMatches, ".*timeout.*")

	r.SetFaults(Faults{Duplicate: 1})
	_, err = exchange(c, conn, "twice", testTimeout)
	c.Assert(err, qt.IsNil)
	for range 3 {
		_, err = conn.Read(make([]byte, maxPartBytes))
		c.Assert(err, qt.IsNil)
	}

	r.SetFaults(Faults{Reorder: 0.5})
	const count = 200
	for i := range count {
		_, err = conn.Write([]byte{byte(i)})
		c.Assert(err, qt.IsNil)
	}
	overtaken, last := false, -1
	c.Assert(conn.SetReadDeadline(time.Now().Add(testTimeout)), qt.IsNil)
	buffer := make([]byte, maxPartBytes)
	for range count {
		_, err = conn.Read(buffer)
		c.Assert(err, qt.IsNil)
		overtaken = overtaken || int(buffer[0]) < last
		last = int(buffer[0])
	}
	c.Assert(overtaken, qt.IsTrue)
}

func TestControl(t *testing.T) {
	c := qt.New(t)
	r := New(Options{Network: "tcp", Listen: "127.0.0.1:1"})
	handler := Set{r}.ControlHandler()
	post := func(path, body string) int {
		w := httptest.NewRecorder()
		handler.ServeHTTP(w, httptest.NewRequest(http.MethodPost, path, strings.NewReader(body)))
		return w.Code
	}
	c.Assert(post("/standin/relays/127.0.0.1:1/faults", `{"faults":{"delayMs":4}}`), qt.Equals, 204)
	c.Assert(post("/standin/relays/all/faults", `{"from":"127.9.0.0/16","faults":{"cut":true}}`), qt.Equals, 204)
	c.Assert(r.state.faultsFor(netip.MustParseAddr("127.0.0.1")).DelayMs, qt.Equals, 4.0)
	c.Assert(r.state.faultsFor(netip.MustParseAddr("127.9.0.1")).Cut, qt.IsTrue)
	c.Assert(post("/standin/relays/127.0.0.1:2/faults", `{}`), qt.Equals, 404)
	c.Assert(post("/standin/relays/all/faults", `{"faults":{"loss":2}}`), qt.Equals, 400)
	c.Assert(post("/standin/relays/all/faults", `{"from":"x"}`), qt.Equals, 400)
}

func TestPacketConnByDestination(t *testing.T) {
	c := qt.New(t)
	near, far := startEcho(t, "udp"), startEcho(t, "udp")
	socket, err := net.ListenPacket("udp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	conn := WrapPacketConn(socket, func(peer net.Addr) Faults {
		if peer.String() == far {
			return Faults{DelayMs: 30}
		}
		return Faults{}
	}, 1)
	buffer := make([]byte, maxPartBytes)
	begin := time.Now()
	for _, address := range []string{far, near} {
		peer, err := net.ResolveUDPAddr("udp", address)
		c.Assert(err, qt.IsNil)
		_, err = conn.WriteTo([]byte(address), peer)
		c.Assert(err, qt.IsNil)
	}
	c.Assert(conn.SetReadDeadline(time.Now().Add(testTimeout)), qt.IsNil)
	for _, address := range []string{near, far} {
		n, _, err := conn.ReadFrom(buffer)
		c.Assert(err, qt.IsNil)
		c.Assert(string(buffer[:n]), qt.Equals, address)
	}
	c.Assert(time.Since(begin) >= 30*time.Millisecond, qt.IsTrue)
	c.Assert(conn.Close(), qt.IsNil)
}
