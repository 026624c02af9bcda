package cassiaserver

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"cassiasaddle/core/cassiaclaim"
	"cassiasaddle/core/cassiaid"
	"cassiasaddle/core/cassiamember"
	"cassiasaddle/core/cassiaschema"
	"cassiasaddle/io/cassiapeer"
)

// claimPeers implements cassiaclaimer.Peers: among the VMs that are not leaving, one writes each bucket.
type claimPeers struct{ server *server }

// Writer returns the VM that should write a bucket, or "" for this VM.
func (p claimPeers) Writer(bucket cassiaclaim.BucketID) cassiaid.VMName {
	var candidates []cassiaid.VMName
	for _, m := range p.server.gossip.Members() {
		if m.State != cassiamember.Leaving {
			candidates = append(candidates, m.Name)
		}
	}
	if writer := cassiaclaim.WriterOf(bucket, candidates); writer != p.server.self {
		return writer
	}
	return ""
}

// Call sends a call to a VM and returns its reply.
func (p claimPeers) Call(ctx context.Context, vm cassiaid.VMName, call *cassiaschema.ClaimCall) (*cassiaschema.ClaimReply, error) {
	frame := &cassiaschema.PeerFrame{Body: &cassiaschema.PeerFrame_ClaimCall{ClaimCall: call}}
	replyFrame, err := p.server.node.Exchange(ctx, vm, frame)
	if err != nil {
		return nil, err
	}
	reply := replyFrame.GetClaimReply()
	if reply == nil {
		return nil, eris.Errorf("VM %s replied to a ClaimCall without a ClaimReply; run the same version on all VMs", vm)
	}
	return reply, nil
}

const (
	// inquiryTimeout bounds how long SentElsewhere waits for the other VMs.
	inquiryTimeout = 150 * time.Millisecond
	// maxInquiries bounds how many VMs SentElsewhere asks.
	maxInquiries = 64
)

// SentElsewhere asks the other VMs whether one of them has sent a request to a target. scoped is the Scoped field of
// its cassiaclaim.Key: the idempotency key with team and front. A VM that gives no reply in time counts as one that has
// not.
func (s *server) SentElsewhere(ctx context.Context, scoped string) bool {
	ctx, cancel := context.WithTimeout(ctx, inquiryTimeout)
	defer cancel()
	var sent atomic.Bool
	var group errgroup.Group
	call := &cassiaschema.ClaimCall{Key: scoped, Inquiry: true}
	for i, m := range s.gossip.Members() {
		if m.Name == s.self || i >= maxInquiries {
			continue
		}
		group.Go(func() error {
			reply, err := claimPeers{s}.Call(ctx, m.Name, call)
			if err == nil && reply.GetSent() {
				sent.Store(true)
				cancel()
			}
			return nil
		})
	}
	group.Wait() //nolint:errcheck // the calls return no error
	return sent.Load()
}

// replyToClaimCall handles a claim call from another VM and sends the reply.
func (s *server) replyToClaimCall(from cassiaid.VMName, call *cassiaschema.ClaimCall, reply cassiapeer.Replier) {
	ctx, cancel := context.WithTimeout(context.Background(), max(call.GetRemaining().AsDuration(), time.Second))
	defer cancel()
	var claimReply *cassiaschema.ClaimReply
	if call.GetInquiry() {
		claimReply = &cassiaschema.ClaimReply{Sent: s.entry.Sent(call.GetKey())}
	} else {
		claimReply = s.claimer.Serve(ctx, call)
	}
	s.reply(from, reply, &cassiaschema.PeerFrame{Body: &cassiaschema.PeerFrame_ClaimReply{ClaimReply: claimReply}})
}
