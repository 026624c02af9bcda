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

// readHeaderTimeout bounds how long a client may take to send a request's headers.
const readHeaderTimeout = 30 * time.Second

// Server is something that listens and serves until a context ends; it calls ready once it listens.
type Server interface {
	Run(ctx context.Context, ready func()) error
}

// RunAll runs servers until the context ends; ready is called once when all listen.
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

// HTTP serves a handler in the group until the context ends; it returns once the address is listened on.
func HTTP(ctx context.Context, group *errgroup.Group, address string, handler http.Handler) error {
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
