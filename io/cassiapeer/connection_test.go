package cassiapeer_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"golang.org/x/sync/errgroup"

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

// inquiry returns a frame to which a selectiveReplier replies.
func inquiry() *cassiaschema.PeerFrame {
	return &cassiaschema.PeerFrame{Body: &cassiaschema.PeerFrame_RunInquiry{RunInquiry: &cassiaschema.RunInquiry{}}}
}

// TestDropSilentKeepsConnectionsInUse guards against one frame without a reply ending a connection on which others are answered.
func TestDropSilentKeepsConnectionsInUse(t *testing.T) {
	c := qt.New(t)
	directory, nodeAddresses := cassiatls.Directory(c.TempDir()), addresses{"a": "127.9.251.1:24901", "b": "127.9.251.2:24901"}
	c.Assert(directory.Issue(time.Now(), time.Hour, "a", "b"), qt.IsNil)
	handler := selectiveReplier{lost: make(chan cassiaid.VMName, 2)}
	a := startNode(c, "a", directory, nodeAddresses, handler, nil)
	startNode(c, "b", directory, nodeAddresses, handler, nil)
	exchange := func(frame *cassiaschema.PeerFrame) error {
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err := a.Exchange(ctx, "b", frame)
		return err
	}
	before := time.Now()
	c.Assert(exchange(inquiry()), qt.IsNil)
	a.DropSilent("b", before)
	c.Check(exchange(inquiry()), qt.IsNil)
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

// TestIdleConnectionBesideOneInUse guards against a VM being taken for lost, with all that runs there, when one of two connections
// to it ends because only the other one is used. Two VMs that dial each other at the same time open two.
func TestIdleConnectionBesideOneInUse(t *testing.T) {
	t.Parallel()
	// The VMs disagree on which connection is the later one, depending on the moments at which they dial.
	bothDial := func(a, b *cassiapeer.Node) {
		var dials errgroup.Group
		dials.Go(func() error { a.DialAgain("b"); return nil })
		dials.Go(func() error { b.DialAgain("a"); return nil })
		_ = dials.Wait()
	}
	for i, test := range []struct {
		name string
		dial func(a, b *cassiapeer.Node)
	}{
		{"one VM dials twice", func(a, _ *cassiapeer.Node) {
			a.DialAgain("b")
			a.DialAgain("b")
		}},
		{"both VMs dial, 1", bothDial},
		{"both VMs dial, 2", bothDial},
		{"both VMs dial, 3", bothDial},
		{"both VMs dial, 4", bothDial},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			port := fmt.Sprint(":", 24902+i)
			directory, nodeAddresses := cassiatls.Directory(c.TempDir()), addresses{"a": "127.9.251.1" + port, "b": "127.9.251.2" + port}
			c.Assert(directory.Issue(time.Now(), time.Hour, "a", "b"), qt.IsNil)
			handler := selectiveReplier{lost: make(chan cassiaid.VMName, 4)}
			a := startNode(c, "a", directory, nodeAddresses, handler, nil)
			test.dial(a, startNode(c, "b", directory, nodeAddresses, handler, nil))
			for end := time.Now().Add(cassiapeer.IdleTimeout + 2*time.Second); time.Now().Before(end); time.Sleep(cassiapeer.IdleTimeout / 10) {
				ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
				_, err := a.Exchange(ctx, "b", inquiry())
				cancel()
				c.Assert(err, qt.IsNil)
			}
			c.Check(handler.lost, qt.HasLen, 0)
		})
	}
}
