package cassiaserver

import (
	"context"
	"time"

	"github.com/go-kit/log/level"

	"cassiasaddle/core/cassiaid"
	"cassiasaddle/core/cassiaschema"
	"cassiasaddle/io/cassiapeer"
)

// knowledgeTimeout bounds how long a KnowledgeRequest waits for targets to report their state.
const knowledgeTimeout = time.Second

// HandleFrame handles a frame from another VM. Frames that wait for a target or for a claim are handled in their own
// goroutine.
func (s *server) HandleFrame(from cassiaid.VMName, frame *cassiaschema.PeerFrame, reply cassiapeer.Replier) {
	s.owner.ObserveSendTime(from, time.UnixMicro(frame.SentUnixMicros))
	switch body := frame.Body.(type) {
	case *cassiaschema.PeerFrame_ShardBatch:
		s.owner.HandleBatch(from, body.ShardBatch, func(results *cassiaschema.ShardBatchReply) {
			s.reply(from, reply, &cassiaschema.PeerFrame{Body: &cassiaschema.PeerFrame_ShardBatchReply{ShardBatchReply: results}})
		})
	case *cassiaschema.PeerFrame_ShardBatchReply:
		s.entry.HandleReply(from, body.ShardBatchReply)
	case *cassiaschema.PeerFrame_CancelAttempts:
		s.owner.Cancel(body.CancelAttempts)
	case *cassiaschema.PeerFrame_KnowledgeRequest:
		s.frameHandlers.Go(func() error { s.replyToKnowledgeRequest(from, body.KnowledgeRequest, reply); return nil })
	case *cassiaschema.PeerFrame_ClaimCall:
		s.frameHandlers.Go(func() error { s.replyToClaimCall(from, body.ClaimCall, reply); return nil })
	default:
		if replyFrame, handled := s.notifier.HandleFrame(from, frame); handled {
			if replyFrame != nil {
				s.reply(from, reply, replyFrame)
			}
			return
		}
		if replyFrame := s.settings.HandleFrame(from, frame); replyFrame != nil {
			s.reply(from, reply, replyFrame)
		}
	}
}

// replyToKnowledgeRequest replies with the state of the requested targets.
func (s *server) replyToKnowledgeRequest(from cassiaid.VMName, request *cassiaschema.KnowledgeRequest, reply cassiapeer.Replier) {
	ctx, cancel := context.WithTimeout(context.Background(), knowledgeTimeout)
	defer cancel()
	knowledge := s.owner.Knowledge(ctx, request)
	s.reply(from, reply, &cassiaschema.PeerFrame{Body: &cassiaschema.PeerFrame_KnowledgeReply{KnowledgeReply: knowledge}})
}

// reply sends a reply to a VM. A failure is only counted and logged.
func (s *server) reply(to cassiaid.VMName, reply cassiapeer.Replier, frame *cassiaschema.PeerFrame) {
	if err := reply(frame); err != nil {
		s.metrics.Scope.Counter("replyLost").Inc(1)
		level.Debug(s.logger).Log("msg", "sending reply failed", "peer", to, "err", err)
	}
}

// PeerLost handles the end of the connection to a VM.
func (s *server) PeerLost(peer cassiaid.VMName) { s.entry.PeerLost(peer) }
