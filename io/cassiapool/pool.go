package cassiapool

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"

	"cassiasaddle/core/cassiaavailability"
	"cassiasaddle/core/cassiabudget"
	"cassiasaddle/core/cassiaclock"
	"cassiasaddle/core/cassiagateway"
	"cassiasaddle/core/cassiaid"
	"cassiasaddle/io/cassiabody"
	"cassiasaddle/io/cassialiveness"
	"cassiasaddle/io/cassiastatus"
)

const (
	// connectTimeout limits the opening of a connection; it is a few times the slowest connect between availability zones.
	connectTimeout = 300 * time.Millisecond
	// resetDelay is the time within which a connection is reset that was accepted in place of a target that can't be reached.
	resetDelay = 10 * time.Millisecond
	// replyGrace is how long after the deadline a reply is still awaited.
	replyGrace = 100 * time.Millisecond
	// maxMismatchedReplies is the number of replies to other requests that are skipped before the connection counts as
	// broken.
	maxMismatchedReplies = 2
	// maxInlineRequestBytes is the size up to which a request fits into the socket buffer, so that it can be written in
	// full before the reply is read.
	maxInlineRequestBytes = 8 << 10
)

// Pool holds this VM's connections to all targets. Only Headers has to be set. Its methods may be called concurrently.
type Pool struct {
	Headers Headers
	// Clock is the system clock if nil.
	Clock cassiaclock.Clock
	// OnConnectionOpened, if not nil, is called for each connection that was opened.
	OnConnectionOpened func()
	// OnMalformedStatus, if not nil, is called for each reply whose status is malformed.
	OnMalformedStatus func(target cassiaid.TargetName, err error)

	// bodies limits the memory for bodies that are being received.
	bodies cassiabody.Receiver

	mutex sync.Mutex
	idle  map[string][]*connection
	// availability is what targets have stated in answers to this VM.
	availability cassiaavailability.Registry
}

// Result is how an exchange with a target ended.
type Result struct {
	Outcome cassiagateway.Outcome
	// Reply is set for OutcomeAnswered and OutcomeFailed.
	Reply      *cassiagateway.Reply
	Acceptance cassiabudget.Acceptance
	// Statement is what the answer states about further requests. For OutcomeUnwanted it is what an earlier answer has stated.
	Statement cassiaavailability.Statement
}

// Exchange sends a request and returns its result. Cancelling ctx closes the connection. Nothing is sent to a target that has stated
// in an answer to this VM that it leaves, or that it wants no requests for now.
func (p *Pool) Exchange(ctx context.Context, call Call) Result {
	result, stale := p.exchangeOnce(ctx, call, !call.NewConnection)
	if stale {
		// The target closed the idle connection before any byte was sent; a new one shows whether it is reachable.
		result, _ = p.exchangeOnce(ctx, call, false)
	}
	return result
}

// exchangeOnce sends a request on one connection, which may be an idle one if reuse is true; stale is true if it was an
// idle one and no byte was sent.
func (p *Pool) exchangeOnce(ctx context.Context, call Call, reuse bool) (result Result, stale bool) {
	if statement, unwanted := p.unwanted(call); unwanted {
		return Result{Outcome: cassiagateway.OutcomeUnwanted, Statement: statement}, false
	}
	c, reused, err := p.connect(ctx, call, reuse)
	if err != nil {
		if ctx.Err() != nil {
			return Result{Outcome: cassiagateway.OutcomeAbandoned}, false
		}
		return Result{Outcome: cassiagateway.OutcomeUnsent}, false
	}
	if call.BeforeSend != nil && !call.BeforeSend() {
		p.putIdle(call.Address, c)
		return Result{Outcome: cassiagateway.OutcomeAbandoned}, false
	}
	if statement, unwanted := p.unwanted(call); unwanted {
		// The target has stated it while the connection was opened.
		p.putIdle(call.Address, c)
		return Result{Outcome: cassiagateway.OutcomeUnwanted, Statement: statement}, false
	}
	stopAfterFunc := context.AfterFunc(ctx, func() {
		c.Close() //nolint:errcheck // the exchange was cancelled
	})
	result, reusable := p.exchange(call, c)
	if result.Outcome == cassiagateway.OutcomeLost && !p.hasEnded(call) {
		result.Outcome = cassiagateway.OutcomeBroken
	}
	// ctx was cancelled and its function closed the connection, so an incomplete reply is not the target's fault, unless the
	// target has ended.
	if !stopAfterFunc() {
		reusable = false
		if result.Outcome == cassiagateway.OutcomeBroken {
			result.Outcome = cassiagateway.OutcomeSilent
		}
	}
	if reusable && !call.NewConnection {
		p.putIdle(call.Address, c)
		return result, false
	}
	c.Close() //nolint:errcheck // it is not used any more
	if result.Outcome == cassiagateway.OutcomeUnsent {
		// No byte of the request was sent: the target closed the connection after accepting it, as it does over its
		// connection limit, or ctx was cancelled, or the request could not be encoded.
		return Result{Outcome: cassiagateway.OutcomeRejected}, reused
	}
	return result, false
}

// unwanted reports whether the target of a call wants no requests from this VM now, and what it has stated.
func (p *Pool) unwanted(call Call) (cassiaavailability.Statement, bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	statement := p.availability.Current(p.now(), call.process())
	return statement, statement != cassiaavailability.Statement{}
}

// ObserveStatements records what targets have stated to another VM.
func (p *Pool) ObserveStatements(statements []cassiagateway.TargetStatement) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for _, s := range statements {
		p.availability.Observe(p.now(), s.Process, s.Statement)
	}
}

// hasEnded reports whether the target of a call has ended. The connection that shows the opposite is kept for the next
// request.
func (p *Pool) hasEnded(call Call) bool {
	ended, raw := cassialiveness.HasEnded(call.Address)
	if raw != nil {
		p.reportOpened()
		p.putIdle(call.Address, newConnection(raw, call.Instance, p.now().Add(maxIdleTime)))
	}
	return ended
}

func (p *Pool) reportOpened() {
	if p.OnConnectionOpened != nil {
		p.OnConnectionOpened()
	}
}

// CloseExpired closes idle connections that have expired or that their targets have closed.
func (p *Pool) CloseExpired() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	now := p.now()
	for address, idle := range p.idle {
		remaining := idle[:0]
		for _, c := range idle {
			if now.Before(c.expires) && c.stillIdle() {
				remaining = append(remaining, c)
			} else {
				c.Close() //nolint:errcheck // it is not used any more
			}
		}
		if p.idle[address] = remaining; len(remaining) == 0 {
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

// connect returns an intact idle connection if reuse is true and there is one, and a new one otherwise.
func (p *Pool) connect(ctx context.Context, call Call, reuse bool) (c *connection, reused bool, err error) {
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
	p.reportOpened()
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

// exchange writes the request and reads its reply; the last result reports whether the connection can be reused.
func (p *Pool) exchange(call Call, c *connection) (Result, bool) {
	request, err := call.encode(p.Headers, p.now())
	if err != nil {
		return Result{Outcome: cassiagateway.OutcomeUnsent}, false
	}
	c.SetDeadline(call.Deadline.Add(replyGrace)) //nolint:errcheck // a closed connection fails at the write
	var writer errgroup.Group
	written := make(chan struct{})
	if len(request) == 1 && len(request[0]) <= maxInlineRequestBytes {
		n, err := c.Write(request[0])
		if err != nil && n == 0 {
			return Result{Outcome: cassiagateway.OutcomeUnsent}, false
		}
		close(written)
	} else {
		// A target may reply before it has read all of a long request.
		writer.Go(func() error {
			defer close(written)
			_, err := request.WriteTo(c)
			return err
		})
	}
	result, reusable := p.read(call, c)
	select {
	case <-written:
	default:
		reusable = false
		c.Close() //nolint:errcheck // closing ends the pending write
	}
	if writer.Wait() != nil {
		reusable = false
	}
	return result, reusable
}

// read reads the reply to the request. It skips late replies to earlier requests, which echo another request ID.
func (p *Pool) read(call Call, c *connection) (Result, bool) {
	for range maxMismatchedReplies + 1 {
		response, err := p.readHead(call, c)
		if err != nil {
			return Result{Outcome: classifyReadError(err)}, false
		}
		length := response.ContentLength
		if call.Method == http.MethodHead {
			// It is the length of the body that the answer to a GET has.
			length = 0
		}
		if length > cassiabody.MaxBytes {
			return Result{Outcome: cassiagateway.OutcomeBroken}, false
		}
		c.bounded.left = maxBodyWireBytes
		echoed := response.Header.Get(p.Headers.RequestID)
		mismatched := echoed != "" && echoed != call.RequestID
		body, err := p.bodies.Receive(response.Body, length)
		if err != nil {
			result := Result{Outcome: classifyReadError(err)}
			if !mismatched {
				result.Statement = p.observeStatement(call, response)
			}
			return result, false
		}
		if mismatched {
			continue
		}
		outcome, reply := p.classifyReply(response, echoed != "", body)
		result := Result{Outcome: outcome, Reply: reply, Acceptance: p.acceptanceOf(outcome, response),
			Statement: p.observeStatement(call, response)}
		return result, c.updateExpiry(response, p.now())
	}
	return Result{Outcome: cassiagateway.OutcomeBroken}, false
}

// readHead reads the status line and headers of the next reply that is not informational (1xx).
func (p *Pool) readHead(call Call, c *connection) (*http.Response, error) {
	c.bounded.left = maxHeadBytes
	response, err := cassiastatus.ReadResponse(c.reader, &http.Request{Method: call.Method})
	var malformed *cassiastatus.Error
	if errors.As(err, &malformed) && p.OnMalformedStatus != nil {
		p.OnMalformedStatus(cassiaid.TargetName(call.Instance), malformed)
	}
	return response, err
}

// classifyReadError distinguishes a timeout (OutcomeSilent), a connection that ended (OutcomeLost, unless the target turns
// out to be alive) and a malformed reply (OutcomeBroken).
func classifyReadError(err error) cassiagateway.Outcome {
	if timeout, ok := err.(net.Error); ok && timeout.Timeout() {
		return cassiagateway.OutcomeSilent
	}
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET) {
		return cassiagateway.OutcomeLost
	}
	return cassiagateway.OutcomeBroken
}

// classifyReply returns the outcome of a complete reply. A success needs the target's stamp and the echoed request ID,
// a failure the stamp; without them the reply counts as broken.
func (p *Pool) classifyReply(response *http.Response, echoed bool, body []byte) (cassiagateway.Outcome, *cassiagateway.Reply) {
	reply := &cassiagateway.Reply{Status: response.StatusCode, Header: response.Header, Body: body,
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

// observeStatement records what a reply states about further requests, and returns it. A reply of another process than the one that
// the call is meant for states nothing about that.
func (p *Pool) observeStatement(call Call, response *http.Response) cassiaavailability.Statement {
	if response.StatusCode == http.StatusMisdirectedRequest {
		return cassiaavailability.Statement{}
	}
	var pauses []string
	if response.StatusCode == http.StatusServiceUnavailable {
		pauses = response.Header.Values("Retry-After")
	}
	statement := cassiaavailability.ParseStatement(response.Header.Values(p.Headers.Leaving), pauses)
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.availability.Observe(p.now(), call.process(), statement)
	return statement
}

// acceptanceOf returns what a reply states about the rate of requests that the target accepts. A reply to a request that was not
// run need not name a rate while the target has one.
func (p *Pool) acceptanceOf(outcome cassiagateway.Outcome, response *http.Response) cassiabudget.Acceptance {
	values := response.Header.Values(p.Headers.AcceptedRate)
	ran := outcome == cassiagateway.OutcomeAnswered || outcome == cassiagateway.OutcomeFailed
	if outcome == cassiagateway.OutcomeWrongTarget || len(values) == 0 && !ran {
		return cassiabudget.Acceptance{}
	}
	return cassiabudget.ParseAcceptance(values)
}
