package cassiatree

import (
	"context"

	"github.com/go-kit/log/level"
	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"cassiasaddle/core/cassiaid"
	"cassiasaddle/core/cassiaschema"
	"cassiasaddle/core/cassiasettings"
)

func (s *Service) pull(ctx context.Context, e cassiasettings.Pull) cassiasettings.Message {
	state, err := s.requestState(ctx, e.From, e.Request)
	if err != nil {
		_ = level.Debug(s.config.Logger).Log("msg", "could not pull settings from a peer", "from", e.From, "err", err)
		return cassiasettings.PullFailed{From: e.From}
	}
	return cassiasettings.StateReceived{From: e.From, State: state}
}

func (s *Service) requestState(ctx context.Context, to cassiaid.VMName, r *cassiaschema.SettingsRequest) (*cassiaschema.SettingsState, error) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	r.AcceptGzip = true
	frame := &cassiaschema.PeerFrame{Body: &cassiaschema.PeerFrame_SettingsRequest{SettingsRequest: r}}
	reply, err := s.config.Peers.Exchange(ctx, to, frame)
	if err != nil {
		return nil, eris.Wrapf(err, "request settings from VM %s", to)
	}
	body, ok := reply.GetBody().(*cassiaschema.PeerFrame_SettingsState)
	if !ok {
		return nil, eris.Errorf("VM %s did not reply with a settingsState frame; check that both VMs run the same version", to)
	}
	return body.SettingsState, decompressState(body.SettingsState)
}

func (s *Service) pushDigest(ctx context.Context, e cassiasettings.PushDigest) error {
	var sends errgroup.Group
	sends.SetLimit(maxParallelCalls)
	for _, to := range e.To {
		sends.Go(func() error {
			ctx, cancel := context.WithTimeout(ctx, peerTimeout)
			defer cancel()
			digest := &cassiaschema.SettingsDigest{Generation: uint64(e.Generation)}
			frame := &cassiaschema.PeerFrame{Body: &cassiaschema.PeerFrame_SettingsDigest{SettingsDigest: digest}}
			if err := s.config.Peers.Send(ctx, to, frame); err != nil {
				s.count("digestNotSent")
			}
			return nil
		})
	}
	return sends.Wait()
}
