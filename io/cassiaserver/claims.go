package cassiaserver

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"cassiasaddle/core/cassiaclaim"
	"cassiasaddle/core/cassiaid"
	"cassiasaddle/core/cassiamember"
	"cassiasaddle/core/cassiaschema"
	"cassiasaddle/io/cassiapeer"
)

// claimPeers lets one VM write a claim bucket for all.
type claimPeers struct{ server *server }

// Writer returns the VM that should write a bucket, or "" for this VM.
func (p claimPeers) Writer(bucket cassiaclaim.BucketID) cassiaid.VMName {
	var staying []cassiaid.VMName
	for _, m := range p.server.gossip.Members() {
		if m.State != cassiamember.Leaving {
			staying = append(staying, m.Name)
		}
	}
	if writer := cassiaclaim.WriterOf(bucket, staying); writer != p.server.self {
		return writer
	}
	return ""
}

// Call brings a call to a VM.
func (p claimPeers) Call(ctx context.Context, vm cassiaid.VMName, call *cassiaschema.ClaimCall) (*cassiaschema.ClaimReply, error) {
	frame := &cassiaschema.PeerFrame{Body: &cassiaschema.PeerFrame_ClaimCall{ClaimCall: call}}
	answer, err := p.server.node.Exchange(ctx, vm, frame)
	if err != nil {
		return nil, err
	}
	reply := answer.GetClaimReply()
	if reply == nil {
		return nil, eris.Errorf("%s replied to a claim with another frame; run the same version on all VMs", vm)
	}
	return reply, nil
}

// replyClaim answers the claim call of another VM.
func (s *server) replyClaim(from cassiaid.VMName, call *cassiaschema.ClaimCall, reply cassiapeer.Replier) {
	ctx, cancel := context.WithTimeout(context.Background(), max(call.GetRemaining().AsDuration(), time.Second))
	defer cancel()
	answer := s.claimer.Serve(ctx, call)
	s.reply(from, reply, &cassiaschema.PeerFrame{Body: &cassiaschema.PeerFrame_ClaimReply{ClaimReply: answer}})
}
