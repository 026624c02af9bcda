package cassiaserver

import "github.com/go-kit/log/level"

// malformedStoreStatus counts and logs a reply of the store whose status is malformed.
func (s *server) malformedStoreStatus(err error) {
	s.metrics.Scope.Tagged(map[string]string{"source": "store"}).Counter("malformedStatuses").Inc(1)
	level.Warn(s.logger).Log("msg", "malformed status", "source", "store", "error", err)
}
