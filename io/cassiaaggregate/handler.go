package cassiaaggregate

import (
	"cassiasaddle/core/cassiaid"
	"cassiasaddle/core/cassiaschema"
	"cassiasaddle/io/cassiafollow"
	"cassiasaddle/io/cassiaforward"
	"cassiasaddle/io/cassiagrant"
	"cassiasaddle/io/cassiaguard"
	"cassiasaddle/io/cassiapeer"
)

// Handler dispatches the frames of other VMs.
type Handler struct {
	Aggregator *Aggregator
	// Client must be set before frames arrive.
	Client *Client
	// Watches serves store watches to VMs that do not watch the store themselves; if nil, such requests are ignored.
	Watches *cassiafollow.WatchServer
	// ForwardServer and ForwardClient handle requests that one VM passes to another; if nil, such frames are ignored.
	ForwardServer *cassiaforward.Server
	ForwardClient *cassiaforward.Client
	// Notifier handles the frames about requests that crash targets; if nil, they are ignored.
	Notifier *cassiaguard.Notifier
	// Quotas answers VMs that ask this one for grants; if nil, such frames are ignored.
	Quotas *cassiagrant.Keeper
}

// HandleFrame dispatches one frame by its type; reply sends frames back to the sender.
func (h *Handler) HandleFrame(from cassiaid.VMName, frame *cassiaschema.PeerFrame, reply cassiapeer.Replier) {
	switch body := frame.GetBody().(type) {
	case *cassiaschema.PeerFrame_AggregateBatch:
		h.Aggregator.Serve(from, body.AggregateBatch, reply)
	case *cassiaschema.PeerFrame_AggregateResults:
		h.Client.Results(from, body.AggregateResults)
	case *cassiaschema.PeerFrame_StoreWatch:
		if h.Watches != nil {
			h.Watches.Serve(from, body.StoreWatch, reply)
		}
	case *cassiaschema.PeerFrame_AggregateCancel:
		h.Aggregator.Cancel(from, body.AggregateCancel)
	case *cassiaschema.PeerFrame_ForwardedRequest:
		if h.ForwardServer != nil {
			h.ForwardServer.Serve(from, body.ForwardedRequest, reply)
		}
	case *cassiaschema.PeerFrame_ForwardedReply:
		if h.ForwardClient != nil {
			h.ForwardClient.HandleReply(from, body.ForwardedReply)
		}
	case *cassiaschema.PeerFrame_ForwardedCancel:
		if h.ForwardServer != nil {
			h.ForwardServer.Cancel(from, body.ForwardedCancel)
		}
	case *cassiaschema.PeerFrame_QuotaRequest:
		if h.Quotas != nil {
			h.Quotas.Serve(body.QuotaRequest, reply)
		}
	default:
		if h.Notifier == nil {
			return
		}
		if replyFrame, _ := h.Notifier.HandleFrame(from, frame); replyFrame != nil {
			// Without the reply the other VM goes on after its timeout.
			_ = reply(replyFrame)
		}
	}
}

// PeerLost cancels the attempts and requests that the lost VM asked for and ends those sent through it.
func (h *Handler) PeerLost(peer cassiaid.VMName) {
	h.Aggregator.PeerLost(peer)
	h.Client.PeerLost(peer)
	if h.ForwardServer != nil {
		h.ForwardServer.PeerLost(peer)
	}
	if h.ForwardClient != nil {
		h.ForwardClient.PeerLost(peer)
	}
}
