package cassiapeer_test

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-kit/log"
	"github.com/uber-go/tally/v4"

	"cassiasaddle/core/cassiaid"
	"cassiasaddle/core/cassiaschema"
	"cassiasaddle/io/cassiapeer"
	"cassiasaddle/io/cassiatls"
)

// selectiveReplier replies to run inquiries only, and records lost connections.
type selectiveReplier struct{ lost chan cassiaid.VMName }

// HandleFrame replies to a run inquiry.
func (selectiveReplier) HandleFrame(_ cassiaid.VMName, frame *cassiaschema.PeerFrame, reply cassiapeer.Replier) {
	if frame.GetRunInquiry() != nil {
		_ = reply(&cassiaschema.PeerFrame{}) // the test fails without it
	}
}

// PeerLost records the loss.
func (r selectiveReplier) PeerLost(vm cassiaid.VMName) { r.lost <- vm }

// TestDropSilentKeepsConnectionsInUse guards against one frame without a reply ending a connection on which others are answered.
func TestDropSilentKeepsConnectionsInUse(t *testing.T) {
	c := qt.New(t)
	directory, nodeAddresses := cassiatls.Directory(c.TempDir()), addresses{"a": "127.9.251.1:24901", "b": "127.9.251.2:24901"}
	c.Assert(directory.Issue(time.Now(), time.Hour, "a", "b"), qt.IsNil)
	handler := selectiveReplier{lost: make(chan cassiaid.VMName, 2)}
	start := func(name cassiaid.VMName) *cassiapeer.Node {
		credentials, err := cassiatls.New(directory.Files(name))
		c.Assert(err, qt.IsNil)
		n, err := cassiapeer.Listen(cassiapeer.Config{Self: name, Address: nodeAddresses[name], Identity: credentials, Resolver: nodeAddresses,
			Handler: handler, Logger: log.NewNopLogger(), Scope: tally.NoopScope})
		c.Assert(err, qt.IsNil)
		n.Serve()
		c.Cleanup(func() { c.Check(n.Close(), qt.IsNil) })
		return n
	}
	a := start("a")
	start("b")
	exchange := func(frame *cassiaschema.PeerFrame) error {
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err := a.Exchange(ctx, "b", frame)
		return err
	}
	inquiry := &cassiaschema.PeerFrame{Body: &cassiaschema.PeerFrame_RunInquiry{RunInquiry: &cassiaschema.RunInquiry{}}}
	before := time.Now()
	c.Assert(exchange(inquiry), qt.IsNil)
	a.DropSilent("b", before)
	c.Check(exchange(inquiry), qt.IsNil)
	c.Check(handler.lost, qt.HasLen, 0)

	after := time.Now()
	c.Assert(exchange(&cassiaschema.PeerFrame{Body: &cassiaschema.PeerFrame_AnswerNotice{AnswerNotice: &cassiaschema.AnswerNotice{}}}), qt.IsNotNil)
	a.DropSilent("b", after)
	select {
	case <-handler.lost:
	case <-time.After(arrivalLimit):
		t.Fatal("the silent connection is kept")
	}
}
