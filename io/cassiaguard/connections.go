package cassiaguard

import (
	"context"
	"time"

	"cassiasaddle/core/cassiaid"
	"cassiasaddle/core/cassiaschema"
)

const (
	// connectInterval is how often a VM looks for others to which it has no connection.
	connectInterval = time.Second
	// keepAliveInterval is how often a frame is sent on each connection, well within the time after which unused ones end.
	keepAliveInterval = 10 * time.Second
)

// KeepConnected opens connections to other VMs and keeps them open until ctx is done, so that the first notice of a loss does not
// wait for a connection. vms returns the VMs.
func (n *Notifier) KeepConnected(ctx context.Context, vms func() []cassiaid.VMName) {
	ticker := time.NewTicker(connectInterval)
	defer ticker.Stop()
	sentAt := make(map[cassiaid.VMName]time.Time)
	for {
		listed := make(map[cassiaid.VMName]time.Time)
		for _, vm := range vms() {
			listed[vm] = sentAt[vm]
			if time.Since(sentAt[vm]) >= keepAliveInterval {
				listed[vm] = time.Now()
				n.group.Go(func() error { n.keepAlive(ctx, vm); return nil })
			}
		}
		sentAt = listed
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// keepAlive sends a frame without content to a VM.
func (n *Notifier) keepAlive(ctx context.Context, vm cassiaid.VMName) {
	ctx, cancel := context.WithTimeout(ctx, keepAliveInterval)
	defer cancel()
	if err := n.Node.Send(ctx, vm, 0, &cassiaschema.PeerFrame{}); err != nil {
		n.Scope.Counter("keepAliveNotSent").Inc(1)
	}
}
