package cassialistener

import (
	"context"
	"errors"
	"net"
	"syscall"
)

const (
	// segmentBytes is the segment size of an Ethernet link; that of loopback is larger than the receive buffer.
	segmentBytes = 1460
	// receiveBufferBytes is the receive buffer of a connection.
	receiveBufferBytes = 32 << 10
)

// ListenSmallWindows listens on a free loopback port; its connections have small windows, so that the writer of a long message waits for
// the reader.
func ListenSmallWindows() (net.Listener, error) {
	config := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		var err error
		controlErr := c.Control(func(fd uintptr) {
			err = errors.Join(syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, segmentBytes),
				syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBufferBytes))
		})
		return errors.Join(controlErr, err)
	}}
	return config.Listen(context.Background(), "tcp", "127.0.0.1:0")
}
