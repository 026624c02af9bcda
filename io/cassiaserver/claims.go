package cassiaserver

import (
	"context"

	"github.com/rotisserie/eris"

	"cassiasaddle/core/cassiaclaim"
	"cassiasaddle/core/cassiaid"
	"cassiasaddle/core/cassiamember"
	"cassiasaddle/core/cassiaschema"
)

// claimPeers lets one VM write each claim bucket for all.
type claimPeers struct{ s *server }

// Writer returns the VM that should write a bucket, or "" for this VM.
func (p claimPeers) Writer(bucket cassiaclaim.BucketID) cassiaid.VMName {
	var names []cassiaid.VMName
	for _, m := range p.s.gossip.Members() {
		if m.State == cassiamember.Alive {
			names = append(names, m.Name)
		}
	}
	if writer := cassiaclaim.WriterOf(bucket, names); writer != p.s.self {
		return writer
	}
	return ""
}

// Call brings a call to a VM.
func (p claimPeers) Call(ctx context.Context, vm cassiaid.VMName, call *cassiaschema.ClaimCall) (*cassiaschema.ClaimReply, error) {
	frame := &cassiaschema.PeerFrame{Body: &cassiaschema.PeerFrame_ClaimCall{ClaimCall: call}}
	reply, err := p.s.node.Exchange(ctx, vm, frame)
	if err != nil {
		return nil, err
	}
	answer := reply.GetClaimReply()
	if answer == nil {
		return nil, eris.Errorf("%s did not reply to a claim; check that both VMs run the same version", vm)
	}
	return answer, nil
}
