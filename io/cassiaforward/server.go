package cassiaforward

import (
	"context"
	"sync"
	"time"

	"cassiasaddle/core/cassiagateway"
	"cassiasaddle/core/cassiaid"
	"cassiasaddle/core/cassiaschema"
	"cassiasaddle/io/cassiadrain"
	"cassiasaddle/io/cassiapeer"
	"cassiasaddle/io/cassiaworker"
)

// acceptDelay is how long a request may take before its sender is told that it is accepted. Most are answered earlier, and senders wait
// for several times as long.
const acceptDelay = 40 * time.Millisecond

// ServeFunc serves a request of another VM until ctx is done.
type ServeFunc func(ctx context.Context, from cassiaid.VMName, r Request) Result

// Server serves the requests that other VMs pass to this one. It is safe for concurrent use.
type Server struct {
	serve   ServeFunc
	work    cassiadrain.Work
	workers cassiaworker.Workers

	mutex   sync.Mutex
	running map[forwardKey]context.CancelFunc
}

// forwardKey identifies a request by the VM that passed it on.
type forwardKey struct {
	vm cassiaid.VMName
	id uint64
}

// NewServer returns a server that has requests served by a function.
func NewServer(serve ServeFunc) *Server {
	return &Server{serve: serve, running: make(map[forwardKey]context.CancelFunc)}
}

// Drain declines further requests and waits until none is running. It returns the error of ctx if ctx ends first.
func (s *Server) Drain(ctx context.Context) error { return s.work.Drain(ctx) }

// Stop declines further requests; those that are running go on.
func (s *Server) Stop() { s.work.BeginDrain() }

// Serve serves a request without blocking; its result goes to reply.
func (s *Server) Serve(from cassiaid.VMName, m *cassiaschema.ForwardedRequest, reply cassiapeer.Replier) {
	key := forwardKey{vm: from, id: m.GetForwardId()}
	if s.work.Begin() {
		s.work.End()
		// Without the reply the other VM takes the request back.
		_ = reply(Result{Outcome: cassiagateway.ForwardDeclined}.encode(key.id))
		return
	}
	r := decodeRequest(m, time.Now())
	ctx, cancel := context.WithDeadline(context.Background(), r.Call.Deadline)
	s.mutex.Lock()
	s.running[key] = cancel
	s.mutex.Unlock()
	s.workers.Go(func() {
		defer s.work.End()
		defer s.remove(key)
		accepted := time.AfterFunc(acceptDelay, func() {
			_ = reply(replyFrame(&cassiaschema.ForwardedReply{ForwardId: key.id, State: cassiaschema.ForwardedReply_STATE_ACCEPTED}))
		})
		result := s.serve(ctx, from, r)
		accepted.Stop()
		// Without the reply the other VM gives the request up at its deadline.
		_ = reply(result.encode(key.id))
	})
}

// Cancel ends a request that its VM no longer wants.
func (s *Server) Cancel(from cassiaid.VMName, m *cassiaschema.ForwardedCancel) {
	s.remove(forwardKey{vm: from, id: m.GetForwardId()})
}

// PeerLost ends the requests of a VM whose connection was lost.
func (s *Server) PeerLost(vm cassiaid.VMName) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for key, cancel := range s.running {
		if key.vm == vm {
			cancel()
		}
	}
}

func (s *Server) remove(key forwardKey) {
	s.mutex.Lock()
	cancel := s.running[key]
	delete(s.running, key)
	s.mutex.Unlock()
	if cancel != nil {
		cancel()
	}
}
