package cassiaserver

import (
	"net"
	"time"

	"github.com/go-kit/log"
)

// defaultStopTimeout bounds how long a planned stop waits for what runs.
const defaultStopTimeout = 60 * time.Second

// options are the parts of a VM that its caller may choose.
type options struct {
	logger      log.Logger
	stopTimeout time.Duration
	ready       func(Endpoints)
	wrap        func(net.PacketConn) net.PacketConn
}

// Option changes how Run works.
type Option func(*options)

// WithLogger sets the logger; nothing is logged without one.
func WithLogger(logger log.Logger) Option { return func(o *options) { o.logger = logger } }

// WithStopTimeout bounds how long a planned stop waits for what runs; 60 s when not set.
func WithStopTimeout(timeout time.Duration) Option {
	return func(o *options) { o.stopTimeout = timeout }
}

// Endpoints are the addresses that a VM listens on.
type Endpoints struct {
	Caller   string
	Operator string
}

// WithReady sets a function that is called once when the VM listens.
func WithReady(ready func(Endpoints)) Option { return func(o *options) { o.ready = ready } }

// WithPacketConn sets a function that puts a layer around the VM's UDP sockets, such as one that injects faults.
func WithPacketConn(wrap func(net.PacketConn) net.PacketConn) Option {
	return func(o *options) { o.wrap = wrap }
}

func newOptions(chosen []Option) options {
	o := options{logger: log.NewNopLogger(), stopTimeout: defaultStopTimeout}
	for _, option := range chosen {
		option(&o)
	}
	return o
}
