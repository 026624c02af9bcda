package cassiaaggregate

import (
	"context"
	"math/rand/v2"
	"time"

	"golang.org/x/sync/errgroup"
	"google.golang.org/protobuf/types/known/durationpb"

	"cassiasaddle/core/cassiagateway"
	"cassiasaddle/core/cassiaid"
	"cassiasaddle/core/cassiaschema"
)

const (
	// zoneCheckInterval is how often zones from which nothing is heard are checked. Fan-outs that begin before the next check still
	// find out by themselves.
	zoneCheckInterval = 700 * time.Millisecond
	// zoneCheckTimeout is how long a VM may take to reply. It is longer than targets and small VMs usually stand still.
	zoneCheckTimeout = 300 * time.Millisecond
)

// VMExchanger sends a request to another VM and returns its reply; *cassiapeer.Node implements it.
type VMExchanger interface {
	Exchange(ctx context.Context, vm cassiaid.VMName, frame *cassiaschema.PeerFrame) (*cassiaschema.PeerFrame, error)
}

// ZoneChecker checks whether other availability zones can be reached, before a caller's request has to wait for one that can not.
type ZoneChecker struct {
	Exchanger VMExchanger
	// Checks returns the zones to check, Unreached is called for those of which no VM replies.
	Checks    func() []cassiagateway.ZoneCheck
	Unreached func(cassiagateway.ZoneUnreached)
}

// Run checks zones until ctx is done.
func (c *ZoneChecker) Run(ctx context.Context) {
	for ctx.Err() == nil {
		// The interval is randomized, so that VMs that start together do not check together.
		timer := time.NewTimer(time.Duration((0.75 + rand.Float64()/2) * float64(zoneCheckInterval)))
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return
		}
		var group errgroup.Group
		for _, check := range c.Checks() {
			group.Go(func() error {
				sentAt := time.Now()
				if !c.replies(ctx, check.VMs) && ctx.Err() == nil {
					c.Unreached(cassiagateway.ZoneUnreached{Zone: check.Zone, SentAt: sentAt})
				}
				return nil
			})
		}
		_ = group.Wait()
	}
}

// replies reports whether one of the VMs replies. They are asked one after the other, since the first one mostly does.
func (c *ZoneChecker) replies(ctx context.Context, vms []cassiaid.VMName) bool {
	for _, vm := range vms {
		exchangeCtx, cancel := context.WithTimeout(ctx, zoneCheckTimeout)
		// A watch of nothing is answered at once, by all versions.
		_, err := c.Exchanger.Exchange(exchangeCtx, vm, &cassiaschema.PeerFrame{Body: &cassiaschema.PeerFrame_StoreWatch{
			StoreWatch: &cassiaschema.StoreWatch{After: lastRevision, Era: lastRevision, Wait: durationpb.New(0), Paged: true}}})
		cancel()
		if err == nil {
			return true
		}
	}
	return false
}

// lastRevision is later than all revisions of the store, so that there are no changes after it.
const lastRevision = 1<<63 - 1
