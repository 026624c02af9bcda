package cassiaserver

import (
	"context"
	"net/http"
	"time"

	"github.com/go-kit/log/level"

	"cassiasaddle/core/cassiaroute"
)

// newsTimeout bounds the calls by which a VM that was paused asks what changed.
const newsTimeout = time.Second

// awaitNews has the requests of callers wait after a pause of this VM until it knows what changed meanwhile.
func (s *server) awaitNews(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.pauses.Wait(r.Context())
		next.ServeHTTP(w, r)
	})
}

// resumed asks the platform for the targets that began to leave while this VM was paused, and the other VMs for newer settings. What
// they have told of targets meanwhile waits in its sockets.
func (s *server) resumed(paused time.Duration) {
	level.Info(s.logger).Log("msg", "resumed", "paused", paused)
	s.frameHandlers.Go(func() error {
		ctx, cancel := context.WithTimeout(context.Background(), newsTimeout)
		defer cancel()
		askedAt := time.Now()
		if !s.settings.CatchUp(ctx) {
			level.Info(s.logger).Log("msg", "the settings of other VMs are not known or not in force after a pause")
			return nil
		}
		targets, err := s.store.LeavingTargets(ctx)
		if err != nil {
			level.Info(s.logger).Log("msg", "asking for leaving targets after a pause failed", "err", err)
			return nil
		}
		for _, target := range targets {
			s.routes.Update(cassiaroute.TargetLeaving{Target: target, Source: cassiaroute.SourceNotice, Remaining: leavingNoticeLifetime})
		}
		s.pauses.Learned(askedAt)
		return nil
	})
}
