package cassiapeer

import (
	"bufio"
	"context"
	"errors"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/quic-go/quic-go"
	"google.golang.org/protobuf/encoding/protodelim"

	"cassiasaddle/core/cassiaid"
	"cassiasaddle/core/cassiaschema"
)

const (
	// maxFrameBytes limits the size of a received frame. The largest frames contain request bodies, parts of replies or
	// all settings.
	maxFrameBytes = 96 << 20
	// writeTimeout limits one write; when it expires the connection is closed and the peer counts as lost.
	writeTimeout = 2 * time.Second
	// longBodyBytes is the size from which a body counts as long, and maxLongBodyBytes bounds those of all frames that are being written:
	// enough for the usual ones, and small beside the memory of a VM. A longer one is written alone.
	longBodyBytes    = 64 << 10
	maxLongBodyBytes = 8 << 20
)

// peerConnection is one connection with a VM.
type peerConnection struct {
	node       *Node
	name       cassiaid.VMName
	connection *quic.Conn
	outgoing   [streamsPerPeer]outgoingStream
	// receivedAt is when the last frame arrived or the connection was opened, in nanoseconds since the Unix epoch.
	receivedAt atomic.Int64
}

// outgoingStream is a long-lived stream that this VM opened to send frames; stream is nil until the first frame.
type outgoingStream struct {
	mutex  sync.Mutex
	stream *frameStream
}

func newPeerConnection(n *Node, name cassiaid.VMName, connection *quic.Conn) *peerConnection {
	p := &peerConnection{node: n, name: name, connection: connection}
	p.receivedAt.Store(time.Now().UnixNano())
	return p
}

// serve accepts and reads the streams that the other VM opens, until the connection ends.
func (p *peerConnection) serve() {
	for {
		stream, err := p.connection.AcceptStream(p.node.context)
		if err != nil {
			return
		}
		s := &frameStream{connection: p.connection, stream: stream}
		p.node.group.Go(func() error { p.read(s, false); return nil })
	}
}

// read dispatches frames until the stream ends. Replies arrive on the streams that this VM opened.
func (p *peerConnection) read(s *frameStream, isReply bool) {
	reader := bufio.NewReader(s.stream)
	options := protodelim.UnmarshalOptions{MaxSize: maxFrameBytes}
	for {
		frame := &cassiaschema.PeerFrame{}
		if err := options.UnmarshalFrom(reader, frame); err != nil {
			if !errors.Is(err, io.EOF) {
				s.stream.CancelRead(1)
			}
			return
		}
		exchange := frame.ExchangeId
		p.node.dispatchFrame(p, frame, isReply, func(reply *cassiaschema.PeerFrame) error {
			reply.ExchangeId = exchange
			p.node.framesSent.Inc(1)
			return s.write(reply)
		})
	}
}

// send writes a frame to the stream for the ordering key, and opens the stream if it is the first frame.
func (p *peerConnection) send(ctx context.Context, orderingKey uint64, frame *cassiaschema.PeerFrame) error {
	out := &p.outgoing[orderingKey%streamsPerPeer]
	out.mutex.Lock()
	if out.stream == nil {
		stream, err := p.connection.OpenStreamSync(ctx)
		if err != nil {
			out.mutex.Unlock()
			return errors.Join(ErrNotSent, err)
		}
		out.stream = &frameStream{connection: p.connection, stream: stream}
		s := out.stream
		p.node.group.Go(func() error { p.read(s, true); return nil })
	}
	s := out.stream
	out.mutex.Unlock()
	release, err := p.node.holdLongBody(ctx, frame)
	if err != nil {
		return err
	}
	defer release()
	p.node.framesSent.Inc(1)
	return s.write(frame)
}

// holdLongBody waits until the copy of a frame with a long body may be in memory, until release is called.
func (n *Node) holdLongBody(ctx context.Context, frame *cassiaschema.PeerFrame) (release func(), err error) {
	bytes := min(int64(len(bodyOf(frame))), maxLongBodyBytes)
	if bytes < longBodyBytes {
		return func() {}, nil
	}
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	if err := n.longBodies.Acquire(ctx, bytes); err != nil {
		return nil, errors.Join(ErrNotSent, err)
	}
	return func() { n.longBodies.Release(bytes) }, nil
}

// bodyOf returns the body of the caller's request that a frame carries, if any.
func bodyOf(frame *cassiaschema.PeerFrame) []byte {
	switch m := frame.GetBody().(type) {
	case *cassiaschema.PeerFrame_AggregateBatch:
		return m.AggregateBatch.GetBody()
	case *cassiaschema.PeerFrame_ForwardedRequest:
		return m.ForwardedRequest.GetBody()
	case *cassiaschema.PeerFrame_ShardBatch:
		return m.ShardBatch.GetBody()
	default:
		return nil
	}
}

// frameStream writes length-delimited frames to a QUIC stream.
type frameStream struct {
	mutex      sync.Mutex
	connection *quic.Conn
	stream     *quic.Stream
	buffer     writeBuffer
}

// write sends a frame in a single write. The frame may be in use on other streams, so the send time is set in a copy.
func (s *frameStream) write(frame *cassiaschema.PeerFrame) error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.buffer.reset()
	defer s.buffer.reset()
	stamped := &cassiaschema.PeerFrame{
		ExchangeId: frame.ExchangeId, SentUnixMicros: time.Now().UnixMicro(), Body: frame.Body,
	}
	if _, err := protodelim.MarshalTo(&s.buffer, stamped); err != nil {
		return errors.Join(ErrNotSent, err)
	}
	if err := s.stream.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	if _, err := s.stream.Write(s.buffer.bytes); err != nil {
		// Part of the frame may have been sent, so the receiver could not find the start of a later frame.
		return errors.Join(err, s.connection.CloseWithError(2, "write failed"))
	}
	return nil
}

// writeBuffer collects the bytes of a frame. Its memory is reused up to maxRetainedBufferBytes.
type writeBuffer struct{ bytes []byte }

const maxRetainedBufferBytes = 64 << 10

func (b *writeBuffer) reset() {
	if cap(b.bytes) > maxRetainedBufferBytes {
		b.bytes = nil
	}
	b.bytes = b.bytes[:0]
}

// Write appends to the buffer.
func (b *writeBuffer) Write(part []byte) (int, error) {
	b.bytes = append(b.bytes, part...)
	return len(part), nil
}
