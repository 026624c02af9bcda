package cassiarelay

import (
	"context"
	"errors"
	"io"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"syscall"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"
	"golang.org/x/sys/unix"
)

// openConns holds the open connections of a TCP relay, to senders and to upstream, with the IP address of the sender.
type openConns struct {
	mu      sync.Mutex
	senders map[*net.TCPConn]netip.Addr
}

func (s *openConns) add(conn *net.TCPConn, sender netip.Addr) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.senders[conn] = sender
}

func (s *openConns) remove(conn *net.TCPConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.senders, conn)
}

// resetCut resets the connections of senders whose faults are now Cut.
func (s *openConns) resetCut(link *linkState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for conn, sender := range s.senders {
		if link.faultsFor(sender).Cut {
			reset(conn)
		}
	}
}

// reset closes a connection with a TCP reset: a linger time of 0 discards unsent data instead of closing in order.
func reset(conn *net.TCPConn) {
	_ = conn.SetLinger(0)
	_ = conn.Close()
}

func (r *Relay) runTCP(ctx context.Context, ready func()) error {
	listener, err := net.Listen("tcp", r.options.Listen)
	if err != nil {
		return eris.Wrapf(err, "relay cannot listen; free the address %s", r.options.Listen)
	}
	if ready != nil {
		ready()
	}
	group, ctx := errgroup.WithContext(ctx)
	conns := &openConns{senders: map[*net.TCPConn]netip.Addr{}}
	group.Go(func() error {
		for {
			select {
			case <-r.faultsChanged:
				conns.resetCut(&r.state)
			case <-ctx.Done():
				return listener.Close()
			}
		}
	})
	group.Go(func() error {
		for {
			conn, err := listener.Accept()
			if errors.Is(err, net.ErrClosed) {
				return nil
			}
			if err != nil {
				return eris.Wrap(err, "relay cannot accept a connection")
			}
			group.Go(func() error {
				if refused := r.relayStream(ctx, conn.(*net.TCPConn), conns); refused && r.options.StopWhenRefused {
					_ = listener.Close()
				}
				return nil
			})
		}
	})
	return group.Wait()
}

// bindAddressOnly has the local port of a socket chosen when it connects. A port that is chosen when the socket is bound can't be used for
// another connection until that one has left TIME_WAIT, also if it leads elsewhere.
func bindAddressOnly(_, _ string, socket syscall.RawConn) error {
	var setError error
	err := socket.Control(func(fd uintptr) {
		setError = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_IP, unix.IP_BIND_ADDRESS_NO_PORT, 1)
	})
	return errors.Join(err, setError)
}

// relayStream relays one connection until both sides have closed it, one of them fails or the context is done. If a side fails, both are
// reset, since the other one must not take what it got for all that was sent. It returns whether upstream refused the connection.
func (r *Relay) relayStream(ctx context.Context, client *net.TCPConn, conns *openConns) (refused bool) {
	sender := ipOf(client.RemoteAddr())
	conns.add(client, sender)
	defer conns.remove(client)
	r.state.updateCounters(func(c *Counters) { c.Connections++ })
	if r.state.faultsFor(sender).Cut {
		r.state.updateCounters(func(c *Counters) { c.Refused++ })
		reset(client)
		return false
	}
	dialer := net.Dialer{LocalAddr: &net.TCPAddr{IP: sender.AsSlice()}, Control: bindAddressOnly}
	conn, err := dialer.DialContext(ctx, "tcp", r.options.Upstream)
	if err != nil {
		reset(client)
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	upstream := conn.(*net.TCPConn)
	conns.add(upstream, sender)
	defer conns.remove(upstream)
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	fail := func() {
		reset(client)
		reset(upstream)
		stop()
	}
	cancelClose := context.AfterFunc(ctx, func() {
		_ = client.Close()
		_ = upstream.Close()
	})
	defer cancelClose()

	var group errgroup.Group
	left, right := &streamSide{TCPConn: client}, &streamSide{TCPConn: upstream}
	group.Go(func() error { r.relayDirection(ctx, fail, left, right, sender, false); return nil })
	group.Go(func() error { r.relayDirection(ctx, fail, right, left, sender, true); return nil })
	_ = group.Wait()
	_ = client.Close()
	_ = upstream.Close()
	return false
}

// streamSide is the relay's connection with one side.
type streamSide struct {
	*net.TCPConn
	writeClosed atomic.Bool
}

// CloseWrite ends the stream to the side.
func (s *streamSide) CloseWrite() error {
	s.writeClosed.Store(true)
	return s.TCPConn.CloseWrite()
}

// endedByReset reports whether a connection whose read returned io.EOF was reset. The kernel reports a reset once, and a write may have
// been told of it; the state of the connection tells unless the stream to the side had ended before.
func (s *streamSide) endedByReset() bool {
	socket, err := s.SyscallConn()
	if s.writeClosed.Load() || err != nil {
		return false
	}
	closed := false
	err = socket.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		closed = err == nil && info.State == unix.BPF_TCP_CLOSE
	})
	return err == nil && closed
}

// relayDirection forwards the data of one direction of a connection until from is closed or either side fails. It calls
// fail if a side fails.
func (r *Relay) relayDirection(ctx context.Context, fail func(), from, to *streamSide, sender netip.Addr, reply bool) {
	queue := newDelayQueue(true)
	var group errgroup.Group
	group.Go(func() error {
		queue.run(ctx, func(content []byte) error {
			_, err := to.Write(content)
			if err != nil {
				fail()
			}
			return err
		})
		_ = to.CloseWrite()
		return nil
	})
	buffer := make([]byte, maxPartBytes)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			for _, delay := range r.state.deliveryDelays(sender, n, reply, true) {
				queue.add(append([]byte{}, buffer[:n]...), delay)
			}
		}
		if err != nil {
			if !errors.Is(err, net.ErrClosed) && (err != io.EOF || from.endedByReset()) {
				fail()
			}
			break
		}
	}
	queue.close()
	_ = group.Wait()
}

func ipOf(a net.Addr) netip.Addr {
	parsed, err := netip.ParseAddrPort(a.String())
	if err != nil {
		return netip.Addr{}
	}
	return parsed.Addr().Unmap()
}
