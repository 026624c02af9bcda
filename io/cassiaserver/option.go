package cassiaserver

import (
	"net"
	"time"

	"github.com/go-kit/log"

	"cassiasaddle/io/cassiagossip"
)

// defaultStopTimeout bounds how long a planned stop waits for what runs.
const defaultStopTimeout = 60 * time.Second

// options are the parts of a VM that its caller may choose.
type options struct {
	logger      log.Logger
	stopTimeout time.Duration
	ready       func(Endpoints)
	wrapPeers   func(net.PacketConn) net.PacketConn
	wrapGossip  func(cassiagossip.Socket) cassiagossip.Socket
}

// Option changes how Run works.
type Option func(*options)

// WithLogger sets the logger; nothing is logged without one.
func WithLogger(logger log.Logger) Option { return func(o *options) { o.logger = logger } }

// WithStopTimeout bounds how long a planned stop waits for what runs; 60 s when not set.
func WithStopTimeout(timeout time.Duration) Option {
	return func(o *options) { o.stopTimeout = timeout }
}

// WithSocketWrappers replaces the UDP sockets for peers and for gossip by ones around them, such as ones that play the
// faults of a link.
func WithSocketWrappers(peers func(net.PacketConn) net.PacketConn, gossip func(cassiagossip.Socket) cassiagossip.Socket) Option {
	return func(o *options) { o.wrapPeers, o.wrapGossip = peers, gossip }
}

// Endpoints are the addresses that a VM listens on.
type Endpoints struct {
	Caller   string
	Operator string
}

// WithReady sets a function that is called once when the VM listens.
func WithReady(ready func(Endpoints)) Option { return func(o *options) { o.ready = ready } }

func newOptions(chosen []Option) options {
	o := options{logger: log.NewNopLogger(), stopTimeout: defaultStopTimeout}
	for _, option := range chosen {
		option(&o)
	}
	return o
}
