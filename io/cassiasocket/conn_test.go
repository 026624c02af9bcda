package cassiasocket

import (
	"errors"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"golang.org/x/sync/errgroup"
)

// dialPeer returns a connection whose other end is handled by peer.
func dialPeer(t *testing.T, peer func(c *net.TCPConn)) *Conn {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	var group errgroup.Group
	dialed := make(chan struct{})
	group.Go(func() error {
		c, err := listener.Accept()
		if err != nil {
			return err
		}
		// A reset before that would be reported by the dial.
		<-dialed
		peer(c.(*net.TCPConn))
		return nil
	})
	raw, err := net.Dial("tcp", listener.Addr().String())
	close(dialed)
	qt.Assert(t, err, qt.IsNil)
	c := &Conn{Conn: raw}
	t.Cleanup(func() {
		c.Close()        //nolint:errcheck // the test is over
		listener.Close() //nolint:errcheck // the same
		qt.Check(t, group.Wait(), qt.IsNil)
	})
	return c
}

// blockingWriteBytes is more than the socket buffers of both ends take.
const blockingWriteBytes = 64 << 20

func reset(c *net.TCPConn) {
	c.SetLinger(0) //nolint:errcheck // the peer is closed in any case
	c.Close()      //nolint:errcheck // the reset is the purpose
}

// TestResetThatAWriteWasToldOfIsNoEndOfStream guards against a reset that the kernel reports to a write, and a read that takes what
// follows for the end of the stream.
func TestResetThatAWriteWasToldOfIsNoEndOfStream(t *testing.T) {
	sent := make(chan struct{})
	c := dialPeer(t, func(peer *net.TCPConn) {
		peer.Write([]byte("half")) //nolint:errcheck // the test checks what is read
		<-sent
		reset(peer)
	})
	half := make([]byte, 4)
	_, err := io.ReadFull(c, half)
	qt.Assert(t, err, qt.IsNil)
	close(sent)
	for err == nil {
		_, err = c.Write([]byte("more"))
	}
	qt.Assert(t, errors.Is(err, syscall.ECONNRESET), qt.IsTrue, qt.Commentf("%v", err))
	_, err = io.ReadAll(c)
	qt.Check(t, errors.Is(err, syscall.ECONNRESET), qt.IsTrue, qt.Commentf("%v", err))
}

// TestResetDuringABlockedWriteIsNoEndOfStream guards against the same while the write has not returned yet when the read does.
func TestResetDuringABlockedWriteIsNoEndOfStream(t *testing.T) {
	for range 100 {
		c := dialPeer(t, func(peer *net.TCPConn) {
			peer.Write([]byte("half")) //nolint:errcheck // the test checks what is read
			time.Sleep(time.Millisecond)
			reset(peer)
		})
		var group errgroup.Group
		group.Go(func() error {
			_, err := c.Write(make([]byte, blockingWriteBytes))
			return err
		})
		_, err := io.ReadAll(c)
		qt.Check(t, errors.Is(err, syscall.ECONNRESET), qt.IsTrue, qt.Commentf("%v", err))
		qt.Check(t, group.Wait(), qt.IsNotNil)
	}
}

// TestEndOfStreamDuringABlockedWrite requires that a peer that closes its side, and reads no more or resets the connection after that,
// has sent a whole stream.
func TestEndOfStreamDuringABlockedWrite(t *testing.T) {
	for _, test := range []struct {
		name string
		end  func(peer *net.TCPConn)
	}{
		{"stays open", func(*net.TCPConn) {}},
		{"reset later", reset},
	} {
		t.Run(test.name, func(t *testing.T) {
			wrote := make(chan struct{})
			c := dialPeer(t, func(peer *net.TCPConn) {
				peer.Write([]byte("whole")) //nolint:errcheck // the test checks what is read
				peer.CloseWrite()           //nolint:errcheck // the same
				time.Sleep(20 * time.Millisecond)
				test.end(peer)
				<-wrote
				peer.Close() //nolint:errcheck // the test is over
			})
			var group errgroup.Group
			group.Go(func() error {
				_, err := c.Write(make([]byte, blockingWriteBytes))
				return err
			})
			time.Sleep(40 * time.Millisecond)
			content, err := io.ReadAll(c)
			qt.Check(t, err, qt.IsNil)
			qt.Check(t, string(content), qt.Equals, "whole")
			qt.Check(t, group.Wait(), qt.IsNotNil)
			close(wrote)
		})
	}
}

// TestSocketOfAConnection requires that the socket is accessible, as checks of idle connections need it.
func TestSocketOfAConnection(t *testing.T) {
	local, remote := net.Pipe()
	defer local.Close()  //nolint:errcheck // nothing was sent
	defer remote.Close() //nolint:errcheck // the same
	_, err := (&Conn{Conn: local}).SyscallConn()
	qt.Check(t, err, qt.ErrorIs, errors.ErrUnsupported)
	ended := make(chan struct{})
	_, err = dialPeer(t, func(peer *net.TCPConn) {
		<-ended
		peer.Close() //nolint:errcheck // the test is over
	}).SyscallConn()
	qt.Check(t, err, qt.IsNil)
	close(ended)
}
