package cassiaserver

import (
	"net"

	"github.com/go-kit/log"
)

// options are the parts of a VM that its caller may choose.
type options struct {
	logger         log.Logger
	wrapPacketConn func(net.PacketConn) net.PacketConn
}

// Option changes how Run works.
type Option func(*options)

// WithLogger sets the logger; nothing is logged without one.
func WithLogger(logger log.Logger) Option { return func(o *options) { o.logger = logger } }

// WithPacketConn sets a function that puts a layer around the VM's UDP sockets, such as one that injects faults.
func WithPacketConn(wrap func(net.PacketConn) net.PacketConn) Option {
	return func(o *options) { o.wrapPacketConn = wrap }
}

func newOptions(opts []Option) options {
	o := options{logger: log.NewNopLogger()}
	for _, option := range opts {
		option(&o)
	}
	return o
}
