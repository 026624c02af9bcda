package cassiapool

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"cassiasaddle/core/cassiaclock"
	"cassiasaddle/core/cassiagateway"
)

const (
	// connectTimeout bounds the opening of a connection; it is a few times the slowest one between availability zones.
	connectTimeout = 300 * time.Millisecond
	// replyGrace is how long after its deadline a target's answer is waited for.
	replyGrace = 100 * time.Millisecond
	// maxReplyBytes bounds the body of an answer.
	maxReplyBytes = 8 << 20
	// maxMismatchedReplies is how many answers to earlier requests are skipped on a connection.
	maxMismatchedReplies = 2
	// maxInlineRequestBytes is the size up to which a request fits into a socket's buffer and is written before the answer is read.
	maxInlineRequestBytes = 8 << 10
)

// Pool holds the connections of this VM to all targets; Headers is all that it needs.
type Pool struct {
	Headers Headers
	// Clock is the system's when nil.
	Clock cassiaclock.Clock
	// Opened is called for each connection that was opened, if it is set.
	Opened func()

	mutex sync.Mutex
	idle  map[string][]*connection
}

// Exchange sends a request and returns how that ended; ending ctx closes the connection.
func (p *Pool) Exchange(ctx context.Context, call Call) (cassiagateway.Outcome, *cassiagateway.Reply) {
	outcome, reply, stale := p.exchangeOnce(ctx, call, !call.Fresh)
	if stale {
		// The target closed a kept connection before it got anything; a new one tells whether it is there.
		outcome, reply, _ = p.exchangeOnce(ctx, call, false)
	}
	return outcome, reply
}

// exchangeOnce sends a request on one connection, which may be a kept one if reuse is true; stale is true when that was one and no
// byte left.
func (p *Pool) exchangeOnce(ctx context.Context, call Call, reuse bool) (outcome cassiagateway.Outcome, reply *cassiagateway.Reply, stale bool) {
	c, kept, err := p.connect(ctx, call, reuse)
	if err != nil {
		if ctx.Err() != nil {
			return cassiagateway.OutcomeAbandoned, nil, false
		}
		return cassiagateway.OutcomeUnsent, nil, false
	}
	if call.Begin != nil && !call.Begin() {
		p.putIdle(call.Address, c)
		return cassiagateway.OutcomeAbandoned, nil, false
	}
	stopAfterFunc := context.AfterFunc(ctx, func() {
		c.Close() //nolint:errcheck // the exchange is given up
	})
	outcome, reply, reusable := p.exchange(call, c)
	if !stopAfterFunc() {
		reusable = false
		if outcome == cassiagateway.OutcomeBroken {
			outcome = cassiagateway.OutcomeSilent
		}
	}
	if reusable && !call.Fresh {
		p.putIdle(call.Address, c)
		return outcome, reply, false
	}
	c.Close() //nolint:errcheck // it is not used any more
	if outcome == cassiagateway.OutcomeUnsent {
		// The target took the connection and closed it, as one that has too many does.
		return cassiagateway.OutcomeRejected, nil, kept
	}
	return outcome, reply, false
}

// Probe tells whether a target takes a connection, and keeps that for the next request.
func (p *Pool) Probe(address, instance string) bool {
	raw, err := net.DialTimeout("tcp", address, connectTimeout)
	if err != nil {
		return false
	}
	p.opened()
	p.putIdle(address, newConnection(raw, instance, p.now().Add(maxIdleTime)))
	return true
}

func (p *Pool) opened() {
	if p.Opened != nil {
		p.Opened()
	}
}

// Sweep closes idle connections that have expired or that their targets have closed.
func (p *Pool) Sweep() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	now := p.now()
	for address, idle := range p.idle {
		kept := idle[:0]
		for _, c := range idle {
			if now.Before(c.expires) && c.stillIdle() {
				kept = append(kept, c)
			} else {
				c.Close() //nolint:errcheck // it is not used any more
			}
		}
		if p.idle[address] = kept; len(kept) == 0 {
			delete(p.idle, address)
		}
	}
}

func (p *Pool) now() time.Time {
	if p.Clock == nil {
		return time.Now()
	}
	return p.Clock.Now()
}

// connect returns an idle connection that is sound, if one may be reused, or a new one.
func (p *Pool) connect(ctx context.Context, call Call, reuse bool) (c *connection, kept bool, err error) {
	if reuse {
		if c := p.takeIdle(call.Address, call.Instance); c != nil {
			return c, true, nil
		}
	}
	dialer := net.Dialer{Timeout: connectTimeout}
	raw, err := dialer.DialContext(ctx, "tcp", call.Address)
	if err != nil {
		return nil, false, err
	}
	p.opened()
	return newConnection(raw, call.Instance, p.now().Add(maxIdleTime)), false, nil
}

func (p *Pool) takeIdle(address, instance string) *connection {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	now := p.now()
	idle := p.idle[address]
	for len(idle) > 0 {
		c := idle[len(idle)-1]
		idle = idle[:len(idle)-1]
		p.idle[address] = idle
		if c.instance == instance && now.Before(c.expires) && c.stillIdle() {
			return c
		}
		c.Close() //nolint:errcheck // it is not used any more
	}
	return nil
}

func (p *Pool) putIdle(address string, c *connection) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.idle == nil {
		p.idle = make(map[string][]*connection)
	}
	p.idle[address] = append(p.idle[address], c)
}

// exchange writes the request and reads its answer.
func (p *Pool) exchange(call Call, c *connection) (cassiagateway.Outcome, *cassiagateway.Reply, bool) {
	request, err := call.encode(p.Headers, p.now())
	if err != nil {
		return cassiagateway.OutcomeUnsent, nil, false
	}
	c.SetDeadline(call.Deadline.Add(replyGrace)) //nolint:errcheck // a closed connection fails at the write
	var writer errgroup.Group
	written := make(chan struct{})
	if len(request) <= maxInlineRequestBytes {
		n, err := c.Write(request)
		if err != nil && n == 0 {
			return cassiagateway.OutcomeUnsent, nil, false
		}
		close(written)
	} else {
		// A target may answer before it has read a long request.
		writer.Go(func() error {
			defer close(written)
			_, err := c.Write(request)
			return err
		})
	}
	outcome, reply, reusable := p.read(call, c)
	select {
	case <-written:
	default:
		reusable = false
		c.Close() //nolint:errcheck // it ends the write
	}
	if writer.Wait() != nil {
		reusable = false
	}
	return outcome, reply, reusable
}

// read returns the answer to the request and skips late ones to earlier requests.
func (p *Pool) read(call Call, c *connection) (cassiagateway.Outcome, *cassiagateway.Reply, bool) {
	for range maxMismatchedReplies + 1 {
		response, err := p.readHead(call, c)
		if err != nil {
			return classifyReadError(err), nil, false
		}
		body, err := io.ReadAll(io.LimitReader(response.Body, maxReplyBytes+1))
		response.Body.Close() //nolint:errcheck // all of it was read
		if err != nil {
			return classifyReadError(err), nil, false
		}
		if len(body) > maxReplyBytes {
			return cassiagateway.OutcomeBroken, nil, false
		}
		echoed := response.Header.Get(p.Headers.RequestID)
		if echoed != "" && echoed != call.RequestID {
			continue
		}
		outcome, reply := p.classifyReply(response, echoed != "", body)
		return outcome, reply, c.updateExpiry(response, p.now())
	}
	return cassiagateway.OutcomeBroken, nil, false
}

// readHead reads the head of the next answer that is not a provisional one.
func (p *Pool) readHead(call Call, c *connection) (*http.Response, error) {
	for {
		response, err := http.ReadResponse(c.reader, &http.Request{Method: call.Method})
		if err != nil || response.StatusCode >= http.StatusOK {
			return response, err
		}
	}
}

// classifyReadError tells a target that is silent from a connection that has ended.
func classifyReadError(err error) cassiagateway.Outcome {
	if timeout, ok := err.(net.Error); ok && timeout.Timeout() {
		return cassiagateway.OutcomeSilent
	}
	return cassiagateway.OutcomeBroken
}

// classifyReply tells what a whole answer means.
func (p *Pool) classifyReply(response *http.Response, echoed bool, body []byte) (cassiagateway.Outcome, *cassiagateway.Reply) {
	reply := &cassiagateway.Reply{Status: response.StatusCode, Header: EndToEnd(response.Header), Body: body,
		Stamp: response.Header.Get(p.Headers.Stamp)}
	switch {
	case response.StatusCode == http.StatusMisdirectedRequest:
		return cassiagateway.OutcomeWrongTarget, nil
	case response.Header.Get(p.Headers.NotExecuted) != "":
		return cassiagateway.OutcomeRejected, nil
	case response.StatusCode/100 == 2 && echoed && reply.Stamp != "":
		return cassiagateway.OutcomeAnswered, reply
	case response.StatusCode/100 == 2 || reply.Stamp == "":
		return cassiagateway.OutcomeBroken, nil
	default:
		return cassiagateway.OutcomeFailed, reply
	}
}
