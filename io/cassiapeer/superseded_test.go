package cassiapeer

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-kit/log"
	"github.com/uber-go/tally/v4"

	"cassiasaddle/core/cassiaid"
	"cassiasaddle/core/cassiaschema"
	"cassiasaddle/io/cassiatls"
)

// echoHandler replies to each frame and records lost connections.
type echoHandler struct{ lost chan cassiaid.VMName }

func (echoHandler) HandleFrame(_ cassiaid.VMName, _ *cassiaschema.PeerFrame, reply Replier) {
	_ = reply(&cassiaschema.PeerFrame{}) // the test fails without it
}

func (h echoHandler) PeerLost(vm cassiaid.VMName) { h.lost <- vm }

type fixedAddresses map[cassiaid.VMName]string

func (a fixedAddresses) PeerAddress(vm cassiaid.VMName) (string, bool) { return a[vm], a[vm] != "" }

// TestIdleConnectionBesideOneInUse guards against a VM being taken for lost, with all that runs there, when one of two connections
// to it ends because only the other one is used. Two VMs that dial each other at the same time open two.
func TestIdleConnectionBesideOneInUse(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	directory, addresses := cassiatls.Directory(c.TempDir()), fixedAddresses{"a": "127.9.251.1:24902", "b": "127.9.251.2:24902"}
	c.Assert(directory.Issue(time.Now(), time.Hour, "a", "b"), qt.IsNil)
	handler := echoHandler{lost: make(chan cassiaid.VMName, 4)}
	start := func(name cassiaid.VMName) *Node {
		credentials, err := cassiatls.New(directory.Files(name))
		c.Assert(err, qt.IsNil)
		n, err := Listen(Config{Self: name, Address: addresses[name], Identity: credentials, Resolver: addresses, Handler: handler,
			Logger: log.NewNopLogger(), Scope: tally.NoopScope})
		c.Assert(err, qt.IsNil)
		n.Serve()
		c.Cleanup(func() { c.Check(n.Close(), qt.IsNil) })
		return n
	}
	a := start("a")
	start("b")
	for range 2 {
		a.dial("b", &dial{done: make(chan struct{})})
	}
	for end := time.Now().Add(idleTimeout + 2*time.Second); time.Now().Before(end); time.Sleep(idleTimeout / 10) {
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		_, err := a.Exchange(ctx, "b", &cassiaschema.PeerFrame{})
		cancel()
		c.Assert(err, qt.IsNil)
	}
	c.Check(handler.lost, qt.HasLen, 0)
}
