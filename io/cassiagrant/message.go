package cassiagrant

import (
	"math"

	"google.golang.org/protobuf/types/known/durationpb"

	"cassiasaddle/core/cassiaid"
	"cassiasaddle/core/cassiaquota"
	"cassiasaddle/core/cassiaschema"
)

func encodeDemands(demands []cassiaquota.Demand) *cassiaschema.PeerFrame {
	request := &cassiaschema.QuotaRequest{}
	for _, d := range demands {
		request.Demands = append(request.Demands, &cassiaschema.QuotaDemand{Team: string(d.Team), Needed: clamped(d.Needed), Wanted: clamped(d.Wanted)})
	}
	return &cassiaschema.PeerFrame{Body: &cassiaschema.PeerFrame_QuotaRequest{QuotaRequest: request}}
}

func clamped(n int) uint32 { return uint32(max(0, min(n, math.MaxInt32))) }

func decodeDemands(request *cassiaschema.QuotaRequest) []cassiaquota.Demand {
	demands := make([]cassiaquota.Demand, 0, len(request.GetDemands()))
	for _, d := range request.GetDemands() {
		demands = append(demands, cassiaquota.Demand{Team: cassiaid.TeamName(d.GetTeam()), Needed: int(d.GetNeeded()), Wanted: int(d.GetWanted())})
	}
	return demands
}

func encodeGrants(grants []cassiaquota.Grant) *cassiaschema.PeerFrame {
	reply := &cassiaschema.QuotaReply{Declined: len(grants) == 0}
	for _, g := range grants {
		reply.Grants = append(reply.Grants, &cassiaschema.QuotaGrant{Team: string(g.Team), Granted: clamped(g.Count),
			Lifetime: durationpb.New(g.Lifetime), RetryAfter: durationpb.New(g.RetryAfter)})
	}
	return &cassiaschema.PeerFrame{Body: &cassiaschema.PeerFrame_QuotaReply{QuotaReply: reply}}
}

func decodeGrants(reply *cassiaschema.QuotaReply) []cassiaquota.Grant {
	if reply.GetDeclined() {
		return nil
	}
	grants := make([]cassiaquota.Grant, 0, len(reply.GetGrants()))
	for _, g := range reply.GetGrants() {
		grants = append(grants, cassiaquota.Grant{Team: cassiaid.TeamName(g.GetTeam()), Count: int(g.GetGranted()),
			Lifetime: g.GetLifetime().AsDuration(), RetryAfter: g.GetRetryAfter().AsDuration()})
	}
	return grants
}
