package cassiagate

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"
)

const (
	// headerTimeout bounds the time a caller takes for the head of a request.
	headerTimeout = 10 * time.Second
	// idleTimeout is longer than callers keep connections, so that none is closed under a request.
	idleTimeout = 2 * time.Minute
	// maxHeaderBytes is above what callers send.
	maxHeaderBytes = 64 << 10
	sweepInterval  = time.Second
)

// ServerConfig tells where a server listens and how it stops.
type ServerConfig struct {
	// Address takes callers, ReadyAddress the balancer's questions.
	Address      string
	ReadyAddress string
	ReadyPath    string
	// MetricsAddress and MetricsPath serve counters; none when empty.
	MetricsAddress string
	MetricsPath    string
	Metrics        http.Handler
	Headers        Headers
	// StopAfter is how long after the stop signal callers are still taken, so that the balancer has noticed.
	StopAfter time.Duration
	// Grace is how long after the stop signal the process may run.
	Grace time.Duration
}

// Server takes callers for a gate.
type Server struct {
	config   ServerConfig
	gate     *Gate
	stopping atomic.Bool
	// ready is the last answer to the balancer.
	ready        atomic.Bool
	callerServer *http.Server
}

// NewServer returns a server that does not listen yet.
func NewServer(config ServerConfig, gate *Gate) *Server {
	s := &Server{config: config, gate: gate}
	s.callerServer = &http.Server{Handler: s.closeUnlessReady(&handler{gate: gate, headers: config.Headers}), ReadHeaderTimeout: headerTimeout,
		IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes}
	return s
}

// Run serves until ctx is done, then finishes what runs.
func (s *Server) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	callerListener, err := net.Listen("tcp", s.config.Address)
	if err != nil {
		return eris.Wrap(err, "listen for callers; check that the address is this VM's and free")
	}
	readyMux := http.NewServeMux()
	readyMux.HandleFunc(s.config.ReadyPath, s.readiness)
	servers := []*http.Server{s.callerServer}
	group.Go(func() error { return serve(s.callerServer, callerListener) })
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
		return eris.Wrap(err, "listen for the balancer; check that the address is this VM's and free")
	}
	if s.config.MetricsAddress != "" {
		mux := http.NewServeMux()
		mux.Handle(s.config.MetricsPath, s.config.Metrics)
		if err := listenAndServe(s.config.MetricsAddress, mux); err != nil {
			// Callers are served all the same.
			s.gate.report.event("metricsNotServed", "address", s.config.MetricsAddress, "error", err)
		}
	}
	stopSweep := make(chan struct{})
	group.Go(func() error { s.sweepPool(stopSweep); return nil })
	<-ctx.Done()
	s.stop(servers)
	close(stopSweep)
	return group.Wait()
}

func serve(server *http.Server, listener net.Listener) error {
	if err := server.Serve(listener); err != nil && err != http.ErrServerClosed {
		return eris.Wrap(err, "serve")
	}
	return nil
}

// closeUnlessReady has callers open their next connection elsewhere while this VM stops or can not serve them. Idle connections stay
// open until the end of the stop, since a request may be on its way on each of them.
func (s *Server) closeUnlessReady(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.stopping.Load() || !s.ready.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// readiness tells the balancer whether this VM should get new connections.
func (s *Server) readiness(w http.ResponseWriter, _ *http.Request) {
	ready := !s.stopping.Load() && s.gate.Ready()
	if s.ready.Swap(ready) != ready {
		s.gate.report.readinessChanged(ready)
	}
	if !ready {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// stop takes callers until the balancer has noticed, then finishes what runs.
func (s *Server) stop(servers []*http.Server) {
	start := time.Now()
	s.stopping.Store(true)
	s.gate.report.event("stopping", "callersFor", s.config.StopAfter, "grace", s.config.Grace)
	timer := time.NewTimer(s.config.StopAfter)
	<-timer.C
	ctx, cancel := context.WithDeadline(context.Background(), start.Add(s.config.Grace))
	defer cancel()
	for _, server := range servers {
		if err := server.Shutdown(ctx); err != nil {
			s.gate.report.event("stopCutOff", "error", err)
		}
	}
	s.gate.report.event("stopped", "elapsed", time.Since(start))
}

func (s *Server) sweepPool(stop <-chan struct{}) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			s.gate.pool.Sweep()
		case <-stop:
			return
		}
	}
}
