package cassialaunch

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"
)

// readHeaderTimeout is how long a client may take to send a request's headers.
const readHeaderTimeout = 30 * time.Second

// Server is a server whose Run listens, calls ready and serves until the context is done.
type Server interface {
	Run(ctx context.Context, ready func()) error
}

// RunAll runs servers until the context is done or one of them fails, and returns the first error. It calls ready,
// which may be nil, once when all servers listen.
func RunAll[S Server](ctx context.Context, servers []S, ready func()) error {
	group, ctx := errgroup.WithContext(ctx)
	var listening sync.WaitGroup
	for _, s := range servers {
		listening.Add(1)
		group.Go(func() error {
			var once sync.Once
			markListening := func() { once.Do(listening.Done) }
			defer markListening()
			return s.Run(ctx, markListening)
		})
	}
	group.Go(func() error {
		listening.Wait()
		if ctx.Err() == nil && ready != nil {
			ready()
		}
		return nil
	})
	return group.Wait()
}

// StartHTTPServer starts to listen on an address and returns. The group serves the handler until the context is done.
func StartHTTPServer(ctx context.Context, group *errgroup.Group, address string, handler http.Handler) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return eris.Wrapf(err, "cannot listen; free the address %s", address)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout}
	group.Go(func() error {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	})
	group.Go(func() error {
		<-ctx.Done()
		return server.Close()
	})
	return nil
}
