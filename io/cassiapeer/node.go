package cassiapeer

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/quic-go/quic-go"
	"github.com/rotisserie/eris"
	"github.com/uber-go/tally/v4"
	"golang.org/x/sync/errgroup"
	"golang.org/x/sync/semaphore"

	"cassiasaddle/core/cassiaid"
	"cassiasaddle/core/cassiaschema"
	"cassiasaddle/io/cassiatls"
)

const (
	protocolName = "cassiasaddle/1"
	// idleTimeout is the time without traffic after which a connection is closed. No keep-alives are sent; the next frame
	// dials again.
	idleTimeout      = 30 * time.Second
	handshakeTimeout = 2 * time.Second
	streamsPerPeer   = 4
	maxStreams       = 64
)

// ErrNoAddress means that the Resolver has no address for a VM.
var ErrNoAddress = eris.New("the VM's address is not known; wait until membership has it")

// ErrNotSent means that no part of a frame left this VM.
var ErrNotSent = eris.New("the frame was not sent; send it to another VM")

// Replier sends a reply to the VM that sent a frame.
type Replier func(frame *cassiaschema.PeerFrame) error

// Handler receives frames and connection losses from other VMs. Its methods must not block.
type Handler interface {
	// HandleFrame receives a frame that is not the reply to an Exchange.
	HandleFrame(from cassiaid.VMName, frame *cassiaschema.PeerFrame, reply Replier)
	// PeerLost is called when a connection to a VM ended, unless it was not used any more.
	PeerLost(peer cassiaid.VMName)
}

// Resolver returns the UDP address of a VM; false means that it is not known.
type Resolver interface {
	PeerAddress(vm cassiaid.VMName) (string, bool)
}

// Identity provides the TLS configurations that authenticate this VM and its peers.
type Identity interface {
	// Server returns the configuration for incoming connections.
	Server() *tls.Config
	// Client returns the configuration for a connection to a VM; it accepts only that VM's certificate.
	Client(peer cassiaid.VMName) *tls.Config
}

// Config configures a Node. All fields but Wrap are required.
type Config struct {
	Self     cassiaid.VMName
	Address  string
	Identity Identity
	Resolver Resolver
	Handler  Handler
	// Wrap wraps the UDP socket, for example to inject faults; nil leaves it unwrapped.
	Wrap   func(net.PacketConn) net.PacketConn
	Logger log.Logger
	Scope  tally.Scope
}

func (c Config) wrap(socket *net.UDPConn) net.PacketConn {
	if c.Wrap == nil {
		return socket
	}
	return c.Wrap(socket)
}

// Node holds this VM's connections to its peers. Its methods may be called concurrently.
type Node struct {
	config         Config
	transport      *quic.Transport
	listener       *quic.Listener
	group          *errgroup.Group
	context        context.Context
	cancel         context.CancelFunc
	lastExchangeID atomic.Uint64

	mutex sync.Mutex
	// peers holds the connection to each VM on which frames are sent, open the number of connections to it.
	peers          map[cassiaid.VMName]*peerConnection
	open           map[cassiaid.VMName]int
	dials          map[cassiaid.VMName]*dial
	pendingReplies map[uint64]chan *cassiaschema.PeerFrame
	// longBodies bounds the copies of long bodies in frames that are being written.
	longBodies *semaphore.Weighted

	framesSent, framesReceived, refusedPeers, lostPeers tally.Counter
}

type dial struct {
	done chan struct{}
	peer *peerConnection
	err  error
}

// Listen opens the node's UDP socket. Connections are accepted only after Serve is called.
func Listen(config Config) (*Node, error) {
	address, err := net.ResolveUDPAddr("udp", config.Address)
	if err != nil {
		return nil, eris.Wrapf(err, "peerAddress %q is not an IP address and a port; correct the VM's configuration", config.Address)
	}
	socket, err := net.ListenUDP("udp", address)
	if err != nil {
		return nil, eris.Wrapf(err, "peerAddress %q cannot be bound; free the UDP port or configure another", config.Address)
	}
	ctx, cancel := context.WithCancel(context.Background())
	group, ctx := errgroup.WithContext(ctx)
	n := &Node{
		config: config, transport: &quic.Transport{Conn: config.wrap(socket)}, group: group, context: ctx, cancel: cancel,
		peers:          make(map[cassiaid.VMName]*peerConnection),
		open:           make(map[cassiaid.VMName]int),
		dials:          make(map[cassiaid.VMName]*dial),
		pendingReplies: make(map[uint64]chan *cassiaschema.PeerFrame),
		longBodies:     semaphore.NewWeighted(maxLongBodyBytes),

		framesSent:     config.Scope.Counter("peerFramesSent"),
		framesReceived: config.Scope.Counter("peerFramesReceived"),
		refusedPeers:   config.Scope.Counter("peerRefused"),
		lostPeers:      config.Scope.Counter("peerLost"),
	}
	n.listener, err = n.transport.Listen(withProtocol(config.Identity.Server()), quicConfig())
	if err != nil {
		cancel()
		return nil, errors.Join(eris.Wrap(err, "listen for peers with QUIC"), socket.Close())
	}
	return n, nil
}

// Serve accepts connections from other VMs until Close. Call it once, when the handler is ready.
func (n *Node) Serve() { n.group.Go(func() error { return n.accept(n.listener) }) }

func quicConfig() *quic.Config {
	return &quic.Config{
		HandshakeIdleTimeout:  handshakeTimeout,
		MaxIdleTimeout:        idleTimeout,
		MaxIncomingStreams:    maxStreams,
		MaxIncomingUniStreams: -1,
		// Frames are short, and on a rarely used connection the probes would cost more than all frames together.
		DisablePathMTUDiscovery: true,
	}
}

func withProtocol(config *tls.Config) *tls.Config {
	config = config.Clone()
	config.NextProtos = []string{protocolName}
	if inner := config.GetConfigForClient; inner != nil {
		config.GetConfigForClient = func(hello *tls.ClientHelloInfo) (*tls.Config, error) {
			chosen, err := inner(hello)
			if chosen == nil || err != nil {
				return chosen, err
			}
			chosen = chosen.Clone()
			chosen.NextProtos = []string{protocolName}
			return chosen, nil
		}
	}
	return config
}

func (n *Node) accept(listener *quic.Listener) error {
	for {
		connection, err := listener.Accept(n.context)
		if n.context.Err() != nil {
			return nil
		}
		if err != nil {
			return eris.Wrap(err, "accept a peer connection")
		}
		name, err := cassiatls.PeerName(connection.ConnectionState().TLS)
		if err != nil {
			n.refusedPeers.Inc(1)
			connection.CloseWithError(1, "certificate names no VM") //nolint:errcheck // the peer is refused either way
			continue
		}
		n.addPeer(name, connection)
	}
}

// addPeer starts to serve a connection and makes it the one on which frames to the VM are sent.
func (n *Node) addPeer(name cassiaid.VMName, connection *quic.Conn) *peerConnection {
	p := newPeerConnection(n, name, connection)
	n.mutex.Lock()
	n.peers[name] = p
	n.open[name]++
	n.mutex.Unlock()
	n.group.Go(func() error { p.serve(); return nil })
	n.group.Go(func() error { n.waitForClose(p); return nil })
	return p
}

// waitForClose waits for the end of a connection, removes it, and calls PeerLost unless the node is closing or the connection only
// became idle because another one to the same VM is used. Which one that is, is for the other VM to choose as well: two VMs that dial
// each other at the same time may send on different ones.
func (n *Node) waitForClose(p *peerConnection) {
	<-p.connection.Context().Done()
	n.mutex.Lock()
	if n.peers[p.name] == p {
		delete(n.peers, p.name)
	}
	n.open[p.name]--
	others := n.open[p.name] > 0
	if !others {
		delete(n.open, p.name)
	}
	n.mutex.Unlock()
	var idle *quic.IdleTimeoutError
	if n.context.Err() != nil || others && errors.As(context.Cause(p.connection.Context()), &idle) {
		return
	}
	n.lostPeers.Inc(1)
	level.Debug(n.config.Logger).Log("msg", "peer connection ended", "peer", p.name, "cause", context.Cause(p.connection.Context()))
	n.config.Handler.PeerLost(p.name)
}

// peerFor returns the connection to a VM and dials one if there is none. Concurrent callers share a dial.
func (n *Node) peerFor(ctx context.Context, vm cassiaid.VMName) (*peerConnection, error) {
	n.mutex.Lock()
	if p := n.peers[vm]; p != nil {
		n.mutex.Unlock()
		return p, nil
	}
	d := n.dials[vm]
	if d == nil {
		d = &dial{done: make(chan struct{})}
		n.dials[vm] = d
		n.group.Go(func() error { n.dial(vm, d); return nil })
	}
	n.mutex.Unlock()
	select {
	case <-d.done:
		return d.peer, d.err
	case <-ctx.Done():
		return nil, errors.Join(ErrNotSent, ctx.Err())
	}
}

func (n *Node) dial(vm cassiaid.VMName, d *dial) {
	defer func() {
		n.mutex.Lock()
		delete(n.dials, vm)
		n.mutex.Unlock()
		close(d.done)
	}()
	address, ok := n.config.Resolver.PeerAddress(vm)
	if !ok {
		d.err = errors.Join(ErrNotSent, ErrNoAddress)
		return
	}
	udp, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		d.err = errors.Join(ErrNotSent, err)
		return
	}
	ctx, cancel := context.WithTimeout(n.context, handshakeTimeout)
	defer cancel()
	connection, err := n.transport.Dial(ctx, udp, withProtocol(n.config.Identity.Client(vm)), quicConfig())
	if err != nil {
		d.err = errors.Join(ErrNotSent, err)
		return
	}
	d.peer = n.addPeer(vm, connection)
}

// Send sends a frame. On one connection, frames with the same ordering key arrive in order. If errors.Is(err,
// ErrNotSent), no part of the frame was sent; after nil or any other error it may have arrived.
func (n *Node) Send(ctx context.Context, vm cassiaid.VMName, orderingKey uint64, frame *cassiaschema.PeerFrame) error {
	p, err := n.peerFor(ctx, vm)
	if err != nil {
		return err
	}
	return p.send(ctx, orderingKey, frame)
}

// Exchange sends a request and waits for its reply until ctx is done or the connection ends. It sets the frame's
// ExchangeId, so the frame must not be in use elsewhere.
func (n *Node) Exchange(ctx context.Context, vm cassiaid.VMName, frame *cassiaschema.PeerFrame) (*cassiaschema.PeerFrame, error) {
	frame.ExchangeId = n.lastExchangeID.Add(1)
	reply := make(chan *cassiaschema.PeerFrame, 1)
	n.mutex.Lock()
	n.pendingReplies[frame.ExchangeId] = reply
	n.mutex.Unlock()
	defer func() {
		n.mutex.Lock()
		delete(n.pendingReplies, frame.ExchangeId)
		n.mutex.Unlock()
	}()
	p, err := n.peerFor(ctx, vm)
	if err != nil {
		return nil, err
	}
	if err := p.send(ctx, frame.ExchangeId, frame); err != nil {
		return nil, err
	}
	select {
	case answer := <-reply:
		return answer, nil
	case <-p.connection.Context().Done():
		return nil, eris.Errorf("the connection to %s ended before its reply; ask again or ask another VM", vm)
	case <-ctx.Done():
		return nil, eris.Wrapf(ctx.Err(), "%s did not reply in time; ask again or ask another VM", vm)
	}
}

// dispatchFrame passes the reply to an Exchange to its caller, and any other frame to the handler. A reply is dropped if
// its Exchange has ended.
func (n *Node) dispatchFrame(p *peerConnection, frame *cassiaschema.PeerFrame, isReply bool, reply Replier) {
	n.framesReceived.Inc(1)
	p.receivedAt.Store(time.Now().UnixNano())
	if isReply && frame.ExchangeId != 0 {
		n.mutex.Lock()
		waiting := n.pendingReplies[frame.ExchangeId]
		n.mutex.Unlock()
		if waiting != nil {
			select {
			case waiting <- frame:
			default:
			}
		}
		return
	}
	n.config.Handler.HandleFrame(p.name, frame, reply)
}

// Drop closes the connection to a VM, so that the next frame dials again. Callers use it when the VM no longer replies.
func (n *Node) Drop(vm cassiaid.VMName) {
	n.mutex.Lock()
	p := n.peers[vm]
	n.mutex.Unlock()
	if p != nil {
		p.connection.CloseWithError(2, "no reply") //nolint:errcheck // the connection is discarded
	}
}

// DropSilent closes the connection to a VM if no frame has arrived on it since a time. It may lead to an earlier process of that
// VM and would stay silent for long.
func (n *Node) DropSilent(vm cassiaid.VMName, since time.Time) {
	n.mutex.Lock()
	p := n.peers[vm]
	n.mutex.Unlock()
	if p != nil && p.receivedAt.Load() < since.UnixNano() {
		p.connection.CloseWithError(2, "no reply") //nolint:errcheck // the connection is discarded
	}
}

// Close closes all connections and the socket, and waits for the node's goroutines.
func (n *Node) Close() error {
	n.cancel()
	n.mutex.Lock()
	peers := make([]*peerConnection, 0, len(n.peers))
	for _, p := range n.peers {
		peers = append(peers, p)
	}
	n.mutex.Unlock()
	for _, p := range peers {
		p.connection.CloseWithError(0, "VM stops") //nolint:errcheck // nothing is left to do for this peer
	}
	err := n.transport.Close()
	return errors.Join(err, n.transport.Conn.Close(), n.group.Wait())
}
