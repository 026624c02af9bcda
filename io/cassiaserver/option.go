package cassiaserver

import (
	"net"

	"github.com/go-kit/log"

	"cassiasaddle/io/cassiatarget"
)

// options holds the optional parts of a VM.
type options struct {
	logger         log.Logger
	wrapPacketConn func(net.PacketConn) net.PacketConn
	dialTarget     cassiatarget.Dial
}

// Option configures Run.
type Option func(*options)

// WithLogger sets the logger. By default nothing is logged.
func WithLogger(logger log.Logger) Option { return func(o *options) { o.logger = logger } }

// WithPacketConn sets a function that wraps the VM's UDP sockets, for example to inject faults.
func WithPacketConn(wrap func(net.PacketConn) net.PacketConn) Option {
	return func(o *options) { o.wrapPacketConn = wrap }
}

// WithTargetDial sets a function that opens the VM's connections to targets, for example to inject faults.
func WithTargetDial(dial cassiatarget.Dial) Option {
	return func(o *options) { o.dialTarget = dial }
}

func newOptions(opts []Option) options {
	o := options{logger: log.NewNopLogger()}
	for _, option := range opts {
		option(&o)
	}
	return o
}
