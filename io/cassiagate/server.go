package cassiagate

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"cassiasaddle/core/cassiagateway"
	"cassiasaddle/io/cassiacaller"
	"cassiasaddle/io/cassiadrain"
	"cassiasaddle/io/cassiaforward"
)

const (
	// headerTimeout bounds the time in which a caller has to send the header of a request.
	headerTimeout = 10 * time.Second
	// idleTimeout is longer than callers keep idle connections, so that this VM closes none while a request is on its way.
	idleTimeout = 2 * time.Minute
	// maxHeaderBytes is above the size of the headers that callers send.
	maxHeaderBytes = 64 << 10
	// answerMargin is how long before the end of a planned stop requests without an answer are ended, so that their callers still get one.
	answerMargin = 200 * time.Millisecond
	// closeExpiredInterval is how often the pool closes idle connections that expired or that the targets closed.
	closeExpiredInterval = time.Second
)

// ServerConfig configures where a server listens and how it stops.
type ServerConfig struct {
	// Address is where callers connect, ReadyAddress where the load balancer checks readiness.
	Address      string
	ReadyAddress string
	ReadyPath    string
	// MetricsAddress and MetricsPath serve Metrics; metrics are not served if the address is empty.
	MetricsAddress string
	MetricsPath    string
	Metrics        http.Handler
	Headers        Headers
	// Intake bounds what callers hold.
	Intake *cassiacaller.Intake
	// ServeAfterStop is how long after the stop signal new requests are still served, so that the load balancer can
	// notice it.
	ServeAfterStop time.Duration
	// Forwards, if set, serves requests of other VMs. It declines new ones from the stop signal on.
	Forwards *cassiaforward.Server
	// Grace is how long after the stop signal the server may run.
	Grace time.Duration
}

// Server serves callers, readiness checks and metrics over HTTP.
type Server struct {
	config   ServerConfig
	gate     *Gate
	stopping atomic.Bool
	// work counts the requests that are being served; it drains once the time after the stop signal is over in which new ones are served.
	work cassiadrain.Work
	// ready is the result of the last readiness check.
	ready        atomic.Bool
	callerServer *http.Server
}

// NewServer returns a server that does not listen yet.
func NewServer(config ServerConfig, gate *Gate) *Server {
	s := &Server{config: config, gate: gate}
	s.callerServer = &http.Server{Handler: s.closeUnlessReady(&handler{gate: gate, headers: config.Headers, intake: config.Intake}), ReadHeaderTimeout: headerTimeout,
		IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes}
	config.Intake.Attach(s.callerServer)
	return s
}

// Run serves until ctx is done, then completes the requests in progress. It returns an error if it can't listen for callers
// or for readiness checks; metrics that can't be served are only logged.
func (s *Server) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	callerListener, err := net.Listen("tcp", s.config.Address)
	if err != nil {
		return eris.Wrap(err, "listen for callers; check that the address is this VM's and free")
	}
	readyMux := http.NewServeMux()
	readyMux.HandleFunc(s.config.ReadyPath, s.readiness)
	servers := []*http.Server{s.callerServer}
	group.Go(func() error { return serve(s.callerServer, s.config.Intake.Listen(callerListener)) })
	listenAndServe := func(address string, mux *http.ServeMux) error {
		listener, err := net.Listen("tcp", address)
		if err != nil {
			return err
		}
		server := &http.Server{Handler: mux, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}
		servers = append(servers, server)
		group.Go(func() error { return serve(server, listener) })
		return nil
	}
	if err := listenAndServe(s.config.ReadyAddress, readyMux); err != nil {
		return eris.Wrap(err, "listen for the load balancer; check that the address is this VM's and free")
	}
	if s.config.MetricsAddress != "" {
		mux := http.NewServeMux()
		mux.Handle(s.config.MetricsPath, s.config.Metrics)
		if err := listenAndServe(s.config.MetricsAddress, mux); err != nil {
			// A failure here must not keep this VM from serving callers.
			s.gate.report.event("metricsNotServed", "address", s.config.MetricsAddress, "error", err)
		}
	}
	stopClosing := make(chan struct{})
	group.Go(func() error { s.closeExpired(stopClosing); return nil })
	group.Go(func() error { s.gate.pauses.Run(stopClosing); return nil })
	<-ctx.Done()
	s.stop(servers)
	close(stopClosing)
	return group.Wait()
}

func serve(server *http.Server, listener net.Listener) error {
	if err := server.Serve(listener); err != nil && err != http.ErrServerClosed {
		return eris.Wrap(err, "serve HTTP")
	}
	return nil
}

// closeUnlessReady makes callers close their connection after a response, and so connect to another VM, while this VM is
// stopping or not ready. Idle connections stay open until the end of the stop, since a request may be on its way on each of
// them.
func (s *Server) closeUnlessReady(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.stopping.Load() || !s.ready.Load() {
			w.Header().Set("Connection", "close")
		}
		draining := s.work.Begin()
		defer s.work.End()
		if draining {
			refuseWithRetry(w, stoppingRetryAfter)
			s.gate.report.refused(r.Header.Get(s.config.Headers.RequestID), "", string(cassiagateway.RefusalStopping), http.StatusServiceUnavailable)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// readiness answers the load balancer with status 200 if this VM should get requests, else with 503.
func (s *Server) readiness(w http.ResponseWriter, _ *http.Request) {
	ready := !s.stopping.Load() && s.gate.Ready()
	if s.ready.Swap(ready) != ready {
		s.gate.report.readinessChanged(ready)
	}
	if !ready {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// stop serves new requests for ServeAfterStop, then refuses those that come and completes the requests in progress; all of it takes at
// most Grace. Requests that have no answer shortly before that end are refused.
func (s *Server) stop(servers []*http.Server) {
	start := time.Now()
	s.stopping.Store(true)
	s.gate.report.event("stopping", "callersFor", s.config.ServeAfterStop, "grace", s.config.Grace)
	if s.config.Forwards != nil {
		s.config.Forwards.Stop()
	}
	timer := time.NewTimer(s.config.ServeAfterStop)
	<-timer.C
	end := start.Add(s.config.Grace)
	defer time.AfterFunc(time.Until(end.Add(-answerMargin)), s.gate.EndQueries).Stop()
	ctx, cancel := context.WithDeadline(context.Background(), end)
	defer cancel()
	// Shutdown closes connections on which a request arrives, so it comes after those that were taken, and later ones get a refusal.
	if err := s.work.Drain(ctx); err != nil {
		s.gate.report.event("stopCutOff", "error", err)
	}
	for _, server := range servers {
		if err := server.Shutdown(ctx); err != nil {
			s.gate.report.event("stopCutOff", "error", err)
		}
	}
	if s.config.Forwards != nil {
		if err := s.config.Forwards.Drain(ctx); err != nil {
			s.gate.report.event("stopCutOff", "error", err)
		}
	}
	s.gate.report.event("stopped", "elapsed", time.Since(start))
}

// closeExpired closes unusable idle connections to targets until stop is closed.
func (s *Server) closeExpired(stop <-chan struct{}) {
	ticker := time.NewTicker(closeExpiredInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			s.gate.pool.CloseExpired()
		case <-stop:
			return
		}
	}
}
