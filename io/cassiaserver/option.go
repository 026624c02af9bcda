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
	// memoryBytes and maxDescriptors are what the process may use.
	memoryBytes    int64
	maxDescriptors int
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

// Defaults of what a process may use.
const (
	// DefaultMemoryBytes is the memory of the VMs that docs/CAPACITY.md counts with.
	DefaultMemoryBytes = 256 << 20
	// DefaultMaxDescriptors is the usual soft limit of Linux.
	DefaultMaxDescriptors = 1024
)

// WithMemory sets the memory in bytes that the process may use; DefaultMemoryBytes by default.
func WithMemory(bytes int64) Option { return func(o *options) { o.memoryBytes = bytes } }

// WithMaxDescriptors sets the number of file descriptors that the process may hold; DefaultMaxDescriptors by default.
func WithMaxDescriptors(number int) Option { return func(o *options) { o.maxDescriptors = number } }

func newOptions(opts []Option) options {
	o := options{logger: log.NewNopLogger(), memoryBytes: DefaultMemoryBytes, maxDescriptors: DefaultMaxDescriptors}
	for _, option := range opts {
		option(&o)
	}
	return o
}
