package cassiapeer_test

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-kit/log"
	"github.com/uber-go/tally/v4"

	"cassiasaddle/core/cassiaid"
	"cassiasaddle/core/cassiaschema"
	"cassiasaddle/io/cassiapeer"
	"cassiasaddle/io/cassiatls"
)

const (
	// largeBytes is the size from which a lossyConn drops datagrams, and the size of the frame that it delays.
	largeBytes = 900
	// arrivalLimit is the longest wait for a frame.
	arrivalLimit = 20 * time.Second
	// sendInterval is the time between two frames on the stream without loss.
	sendInterval = 5 * time.Millisecond
)

// lossyConn drops large datagrams while lossy is set.
type lossyConn struct {
	net.PacketConn
	lossy *atomic.Bool
	lost  *atomic.Int64
}

// WriteTo sends or drops a datagram.
func (l lossyConn) WriteTo(datagram []byte, to net.Addr) (int, error) {
	if l.lossy.Load() && len(datagram) >= largeBytes {
		l.lost.Add(1)
		return len(datagram), nil
	}
	return l.PacketConn.WriteTo(datagram, to)
}

// sizeRecorder records the body sizes of the frames that arrive, by which the test distinguishes them.
type sizeRecorder struct{ arrived chan int }

// HandleFrame records the body size of a frame.
func (r sizeRecorder) HandleFrame(_ cassiaid.VMName, frame *cassiaschema.PeerFrame, _ cassiapeer.Replier) {
	r.arrived <- len(frame.GetShardBatch().GetBody())
}

// PeerLost does nothing.
func (sizeRecorder) PeerLost(cassiaid.VMName) {}

type addresses map[cassiaid.VMName]string

// PeerAddress returns the address of a node.
func (a addresses) PeerAddress(vm cassiaid.VMName) (string, bool) { return a[vm], a[vm] != "" }

// startNode starts a node that runs until the test ends. wrap wraps its socket unless it is nil.
func startNode(c *qt.C, name cassiaid.VMName, directory cassiatls.Directory, nodes addresses, handler cassiapeer.Handler,
	wrap func(net.PacketConn) net.PacketConn) *cassiapeer.Node {
	credentials, err := cassiatls.New(directory.Files(name))
	c.Assert(err, qt.IsNil)
	n, err := cassiapeer.Listen(cassiapeer.Config{Self: name, Address: nodes[name], Identity: credentials, Resolver: nodes, Handler: handler,
		Wrap: wrap, Logger: log.NewNopLogger(), Scope: tally.NoopScope})
	c.Assert(err, qt.IsNil)
	n.Serve()
	c.Cleanup(func() { c.Check(n.Close(), qt.IsNil) })
	return n
}

// TestLostPacketDelaysOnlyItsLane drops every packet of a frame, including retransmissions: frames on another stream,
// which the ordering key selects, still arrive, and the delayed frame arrives once packets are no longer dropped.
func TestLostPacketDelaysOnlyItsLane(t *testing.T) {
	c := qt.New(t)
	directory, nodeAddresses := cassiatls.Directory(c.TempDir()), addresses{"a": "127.9.251.1:24900", "b": "127.9.251.2:24900"}
	c.Assert(directory.Issue(time.Now(), time.Hour, "a", "b"), qt.IsNil)
	var lossy atomic.Bool
	var lost atomic.Int64
	receiver := sizeRecorder{make(chan int, 1<<14)}
	startNode(c, "b", directory, nodeAddresses, receiver, nil)
	sender := startNode(c, "a", directory, nodeAddresses, sizeRecorder{make(chan int, 1)}, func(inner net.PacketConn) net.PacketConn {
		return lossyConn{PacketConn: inner, lossy: &lossy, lost: &lost}
	})
	send := func(orderingKey uint64, bytes int) {
		frame := &cassiaschema.PeerFrame{Body: &cassiaschema.PeerFrame_ShardBatch{ShardBatch: &cassiaschema.ShardBatch{Body: make([]byte, bytes)}}}
		c.Assert(sender.Send(context.Background(), "b", orderingKey, frame), qt.IsNil)
	}
	// next returns the body size of the next frame to arrive, and calls sendAnother repeatedly until then.
	next := func(sendAnother func()) int {
		limit, ticker := time.After(arrivalLimit), time.NewTicker(sendInterval)
		defer ticker.Stop()
		for {
			select {
			case size := <-receiver.arrived:
				return size
			case <-ticker.C:
				sendAnother()
			case <-limit:
				c.Fatalf("no frame in %v", arrivalLimit)
			}
		}
	}
	nothing := func() {}
	for orderingKey := range uint64(2) {
		send(orderingKey, 1)
		c.Assert(next(nothing), qt.Equals, 1)
	}
	lossy.Store(true)
	send(0, largeBytes)
	c.Assert(next(func() { send(1, 1) }), qt.Equals, 1)
	c.Assert(lost.Load() > 0, qt.IsTrue)
	lossy.Store(false)
	for next(nothing) != largeBytes {
	}
}
