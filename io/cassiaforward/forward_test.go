package cassiaforward

import (
	"context"
	"net/http"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cassiasaddle/core/cassiaavailability"
	"cassiasaddle/core/cassiagateway"
	"cassiasaddle/core/cassiaid"
	"cassiasaddle/core/cassiaschema"
	"cassiasaddle/io/cassiapeer"
	"cassiasaddle/io/cassiapool"
)

// pair connects a client on VM a with a server on VM b without a network.
type pair struct {
	client  *Client
	server  *Server
	updates chan cassiagateway.Message

	mutex sync.Mutex
	// lost has the frames of b lost; unsent is returned instead of sending frames of a.
	lost   bool
	unsent error
}

func newPair(serve ServeFunc) *pair {
	p := &pair{updates: make(chan cassiagateway.Message, 8), server: NewServer(serve)}
	p.client = NewClient(p, func(m cassiagateway.Message) { p.updates <- m })
	return p
}

// Send implements Node.
func (p *pair) Send(ctx context.Context, vm cassiaid.VMName, _ uint64, frame *cassiaschema.PeerFrame) error {
	p.mutex.Lock()
	unsent := p.unsent
	p.mutex.Unlock()
	if unsent != nil {
		<-ctx.Done()
		return unsent
	}
	switch body := frame.GetBody().(type) {
	case *cassiaschema.PeerFrame_ForwardedRequest:
		p.server.Serve("a", body.ForwardedRequest, func(reply *cassiaschema.PeerFrame) error {
			p.mutex.Lock()
			defer p.mutex.Unlock()
			if !p.lost {
				p.client.HandleReply(vm, reply.GetForwardedReply())
			}
			return nil
		})
	case *cassiaschema.PeerFrame_ForwardedCancel:
		p.server.Cancel("a", body.ForwardedCancel)
	}
	return nil
}

// next returns the next message for the gateway.
func (p *pair) next(c *qt.C) cassiagateway.Message {
	select {
	case m := <-p.updates:
		return m
	case <-time.After(5 * time.Second):
		c.Fatal("no message arrives")
		return nil
	}
}

func request(timeout time.Duration) Request {
	return Request{Call: cassiapool.Call{Method: http.MethodPost, URI: "/x/1?y", Host: "shop", Header: http.Header{"X-Own": {"1", "2"}}, RequestID: "id",
		Body: []byte("body"), Deadline: time.Now().Add(timeout)}, Configuration: 7, Caller: 8, Content: 9}
}

func TestForwardedRequestAndAnswerArriveUnchanged(t *testing.T) {
	c := qt.New(t)
	answer := &cassiagateway.Reply{Status: 503, Header: map[string][]string{"Retry-After": {"0.5"}}, Body: []byte("not now")}
	stated := []cassiagateway.TargetStatement{{Process: cassiaavailability.Process{Target: "t", StartUnixMillis: 5},
		Statement: cassiaavailability.Statement{Leaving: true}}, {Process: cassiaavailability.Process{Target: "u"},
		Statement: cassiaavailability.Statement{Pause: time.Second}}}
	sent := request(time.Minute)
	sent.Statements = stated
	p := newPair(func(_ context.Context, from cassiaid.VMName, r Request) Result {
		c.Check(from, qt.Equals, cassiaid.VMName("a"))
		c.Check(r.Call.Deadline.Sub(sent.Call.Deadline) < time.Second, qt.IsTrue)
		r.Call.Deadline = sent.Call.Deadline
		c.Check(r, qt.DeepEquals, sent)
		return Result{Outcome: cassiagateway.ForwardAnswered, Reply: answer, Statements: stated}
	})
	p.client.Send("b", 3, sent)
	c.Check(p.next(c), qt.DeepEquals, cassiagateway.Message(cassiagateway.ForwardEnded{Query: 3, VM: "b", Outcome: cassiagateway.ForwardAnswered, Reply: answer,
		Statements: stated}))
}

// TestSlowForwardIsAccepted guards against a request being taken back from a VM that serves it.
func TestSlowForwardIsAccepted(t *testing.T) {
	c := qt.New(t)
	p := newPair(func(context.Context, cassiaid.VMName, Request) Result {
		time.Sleep(3 * acceptDelay)
		return Result{Outcome: cassiagateway.ForwardUnreachable}
	})
	p.client.Send("b", 3, request(time.Minute))
	c.Check(p.next(c), qt.Equals, cassiagateway.Message(cassiagateway.ForwardAccepted{Query: 3, VM: "b"}))
	c.Check(p.next(c), qt.DeepEquals, cassiagateway.Message(cassiagateway.ForwardEnded{Query: 3, VM: "b", Outcome: cassiagateway.ForwardUnreachable}))
}

// TestCancelledForwardMayHaveRun guards against "not run" for a request that has left this VM, and against work for callers that have gone.
func TestCancelledForwardMayHaveRun(t *testing.T) {
	c := qt.New(t)
	begun, cancelled := make(chan bool), make(chan bool)
	p := newPair(func(ctx context.Context, _ cassiaid.VMName, _ Request) Result {
		begun <- true
		<-ctx.Done()
		cancelled <- true
		return Result{Outcome: cassiagateway.ForwardLost}
	})
	p.lost = true
	p.client.Send("b", 3, request(time.Minute))
	<-begun
	p.client.Cancel(3)
	c.Check(p.next(c), qt.DeepEquals, cassiagateway.Message(cassiagateway.ForwardEnded{Query: 3, VM: "b", Outcome: cassiagateway.ForwardLost}))
	<-cancelled
}

// TestForwardThatDidNotLeaveIsDeclined guards against a request that is given up although no VM has got it.
func TestForwardThatDidNotLeaveIsDeclined(t *testing.T) {
	c := qt.New(t)
	p := newPair(nil)
	p.unsent = cassiapeer.ErrNotSent
	p.client.Send("b", 3, request(time.Minute))
	p.client.Cancel(3)
	c.Check(p.next(c), qt.DeepEquals, cassiagateway.Message(cassiagateway.ForwardEnded{Query: 3, VM: "b", Outcome: cassiagateway.ForwardDeclined}))
}

// TestLostVMEndsItsForwards guards against callers that wait until their deadline for a VM that is lost.
func TestLostVMEndsItsForwards(t *testing.T) {
	c := qt.New(t)
	begun := make(chan bool, 1)
	p := newPair(func(ctx context.Context, _ cassiaid.VMName, _ Request) Result {
		begun <- true
		<-ctx.Done()
		return Result{Outcome: cassiagateway.ForwardLost}
	})
	p.lost = true
	p.client.Send("b", 3, request(time.Minute))
	<-begun
	for i := 0; len(p.updates) == 0 && i < 100; i++ {
		p.client.PeerLost("b")
		time.Sleep(10 * time.Millisecond)
	}
	c.Check(p.next(c), qt.DeepEquals, cassiagateway.Message(cassiagateway.ForwardEnded{Query: 3, VM: "b", Outcome: cassiagateway.ForwardLost}))
	p.server.PeerLost("a")
	c.Check(p.server.Drain(t.Context()), qt.IsNil)
}

// TestServerThatStopsFinishesAndDeclines guards against a planned stop that cuts off requests of other VMs, or takes new ones.
func TestServerThatStopsFinishesAndDeclines(t *testing.T) {
	c := qt.New(t)
	begun, finish := make(chan bool), make(chan bool)
	p := newPair(func(context.Context, cassiaid.VMName, Request) Result {
		begun <- true
		<-finish
		return Result{Outcome: cassiagateway.ForwardUnreachable}
	})
	p.client.Send("b", 3, request(time.Minute))
	<-begun
	p.server.Stop()
	p.client.Send("b", 4, request(time.Minute))
	for {
		ended, ok := p.next(c).(cassiagateway.ForwardEnded)
		if !ok {
			continue
		}
		if ended.Query == 4 {
			c.Check(ended.Outcome, qt.Equals, cassiagateway.ForwardDeclined)
			finish <- true
			continue
		}
		c.Check(ended.Outcome, qt.Equals, cassiagateway.ForwardUnreachable)
		break
	}
	c.Check(p.server.Drain(t.Context()), qt.IsNil)
}
