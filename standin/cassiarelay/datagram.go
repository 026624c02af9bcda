package cassiarelay

import (
	"context"
	"errors"
	"net"
	"net/netip"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"
)

// flow is the state of one sender's datagrams and their replies at a UDP relay.
type flow struct {
	sender     netip.AddrPort
	upstream   *net.UDPConn
	toUpstream *delayQueue
	toSender   *delayQueue
}

func (r *Relay) runUDP(ctx context.Context, ready func()) error {
	address, err := net.ResolveUDPAddr("udp", r.options.Listen)
	if err != nil {
		return eris.Wrapf(err, "%s is not an address; write it as IP:port", r.options.Listen)
	}
	socket, err := net.ListenUDP("udp", address)
	if err != nil {
		return eris.Wrapf(err, "relay cannot listen; free the address %s", r.options.Listen)
	}
	if ready != nil {
		ready()
	}
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error {
		<-ctx.Done()
		return socket.Close()
	})
	group.Go(func() error {
		flows := map[netip.AddrPort]*flow{}
		buffer := make([]byte, maxPartBytes)
		for {
			n, sender, err := socket.ReadFromUDPAddrPort(buffer)
			if errors.Is(err, net.ErrClosed) {
				return nil
			}
			if err != nil {
				continue
			}
			f := flows[sender]
			if f == nil {
				if f, err = r.openFlow(ctx, group, socket, sender); err != nil {
					continue
				}
				flows[sender] = f
			}
			for _, delay := range r.state.deliveryDelays(sender.Addr().Unmap(), n, false, false) {
				f.toUpstream.add(append([]byte{}, buffer[:n]...), delay)
			}
		}
	})
	return group.Wait()
}

// openFlow opens a socket to the upstream address for a sender and starts to deliver in both directions. The socket is
// bound to the sender's IP address, so that upstream sees the same source IP address as without the relay.
func (r *Relay) openFlow(ctx context.Context, group *errgroup.Group, socket *net.UDPConn, sender netip.AddrPort) (*flow, error) {
	address, err := net.ResolveUDPAddr("udp", r.options.Upstream)
	if err != nil {
		return nil, err
	}
	upstream, err := net.DialUDP("udp", &net.UDPAddr{IP: sender.Addr().AsSlice()}, address)
	if err != nil {
		return nil, err
	}
	r.state.updateCounters(func(c *Counters) { c.Connections++ })
	f := &flow{sender: sender, upstream: upstream, toUpstream: newDelayQueue(false), toSender: newDelayQueue(false)}
	group.Go(func() error {
		f.toUpstream.run(ctx, func(content []byte) error {
			_, _ = upstream.Write(content)
			return nil
		})
		return upstream.Close()
	})
	group.Go(func() error {
		f.toSender.run(ctx, func(content []byte) error {
			_, _ = socket.WriteToUDPAddrPort(content, sender)
			return nil
		})
		return nil
	})
	group.Go(func() error {
		r.relayReplies(f)
		return nil
	})
	return f, nil
}

// relayReplies queues the datagrams from upstream for the sender until the upstream socket is closed.
func (r *Relay) relayReplies(f *flow) {
	buffer := make([]byte, maxPartBytes)
	for {
		n, err := f.upstream.Read(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		for _, delay := range r.state.deliveryDelays(f.sender.Addr().Unmap(), n, true, false) {
			f.toSender.add(append([]byte{}, buffer[:n]...), delay)
		}
	}
}
