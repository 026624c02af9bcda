package cassiatarget

import (
	"bytes"
	"context"
	"crypto/tls"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	"cassiasaddle/core/cassiaid"
	"cassiasaddle/core/cassiaschema"
	"cassiasaddle/io/cassiabody"
	"cassiasaddle/io/cassialiveness"
	"cassiasaddle/io/cassiasocket"
	"cassiasaddle/io/cassiastatus"
)

const (
	connectTimeout = time.Second
	// idleConnectionTimeout is when idle connections are closed, since a target accepts a limited number of them.
	idleConnectionTimeout = 60 * time.Second
	// cancelGrace is the time that a cancelled or late attempt has to end before its connection is closed.
	cancelGrace   = 250 * time.Millisecond
	cancelTimeout = 500 * time.Millisecond
	healthTimeout = time.Second
	// maxHeadBytes limits the status line and headers of a reply.
	maxHeadBytes = 64 << 10
	// maxHealthBytes limits a health reply, and the rest of a body that is read before a connection is reused.
	maxHealthBytes = 64 << 10
)

// Call is one attempt of a request at a target.
type Call struct {
	Attempt        cassiaid.AttemptID
	Shard          cassiaid.ShardIndex
	ShardName      string
	Snapshot       cassiaid.Snapshot
	Epoch          cassiaid.Epoch
	Deadline       time.Time
	IdempotencyKey string
	Body           []byte
}

// Dial opens a connection. Tests replace net.Dialer's to inject faults.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// Client holds this VM's connections to one target. Its methods may be called concurrently.
type Client struct {
	// OnMalformedStatus, if not nil, is called for each reply whose status is malformed. It must be set before the first call.
	OnMalformedStatus func(err error)

	name      cassiaid.TargetName
	address   string
	transport *cassiastatus.Transport
	bodies    *cassiabody.Receiver
}

// New returns a client that opens at most the given number of connections at a time; 0 means no limit. Without dial it uses
// net.Dialer. The receiver limits the memory for rows, of this client together with the others that share it.
func New(name cassiaid.TargetName, address string, connections int, dial Dial, bodies *cassiabody.Receiver) *Client {
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	client := &Client{name: name, address: address, bodies: bodies}
	client.transport = cassiastatus.NewTransport(&http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			ctx, cancel := context.WithTimeout(ctx, connectTimeout)
			defer cancel()
			c, err := dial(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &cassiasocket.Conn{Conn: c}, nil
		},
		MaxConnsPerHost:     connections,
		MaxIdleConnsPerHost: connections,
		IdleConnTimeout:     idleConnectionTimeout,
		DisableCompression:  true,

		MaxResponseHeaderBytes: maxHeadBytes,
		TLSNextProto:           map[string]func(string, *tls.Conn) http.RoundTripper{},
	}, client.malformedStatus)
	return client
}

func (c *Client) malformedStatus(err *cassiastatus.Error) {
	if c.OnMalformedStatus != nil {
		c.OnMalformedStatus(err)
	}
}

// Close closes the idle connections.
func (c *Client) Close() { c.transport.CloseIdleConnections() }

// sendProgress records whether any byte of an attempt may have been sent, so that the target may have started it.
type sendProgress struct {
	written atomic.Bool
}

// trace returns hooks that record the progress of the request. Once a connection is available they update the deadline
// header, so that the wait for the connection reduces the time that the target has.
func (p *sendProgress) trace(header http.Header, deadline time.Time) *httptrace.ClientTrace {
	return &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { setDeadline(header, time.Until(deadline)) },
		// Header bytes are buffered; from here on some of them may have been sent.
		WroteHeaderField: func(string, []string) { p.written.Store(true) },
	}
}

// Run performs one attempt and never returns nil. If ctx is cancelled, Run asks the target to stop the attempt, and
// closes the connection if the attempt has not ended cancelGrace later.
func (c *Client) Run(ctx context.Context, call Call) *cassiaschema.ShardResult {
	result := &cassiaschema.ShardResult{AttemptId: uint64(call.Attempt), Shard: uint32(call.Shard), Target: string(c.name)}
	start := time.Now()
	remaining := call.Deadline.Sub(start)
	if ctx.Err() != nil || remaining <= 0 {
		result.Outcome = cassiaschema.ShardOutcome_timedOut
		if ctx.Err() != nil {
			result.Outcome = cassiaschema.ShardOutcome_cancelled
		}
		return result
	}
	runContext, stop := context.WithDeadline(context.Background(), call.Deadline.Add(cancelGrace))
	defer stop()
	stopAfterFunc := context.AfterFunc(ctx, func() {
		c.cancel(call.Attempt)
		time.AfterFunc(cancelGrace, stop)
	})
	defer stopAfterFunc()

	var sent sendProgress
	header := c.header(call, remaining)
	request := c.request(httptrace.WithClientTrace(runContext, sent.trace(header, call.Deadline)), call)
	request.Header = header
	reply, err := c.transport.RoundTrip(request)
	if err != nil {
		c.classifyFailure(ctx, result, err, &sent, call.Deadline)
		// A connection that this client closed says nothing about the target.
		result.TargetLost = result.Started && result.Outcome != cassiaschema.ShardOutcome_badReply && runContext.Err() == nil && c.hasEnded()
	} else {
		c.classifyReply(ctx, result, call, reply)
	}
	result.Elapsed = durationpb.New(time.Since(start))
	return result
}

func (c *Client) request(ctx context.Context, call Call) *http.Request {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.address+"/shard", bytes.NewReader(call.Body))
	if err != nil {
		// The address was validated with the settings. If it is invalid all the same, connecting to the placeholder fails
		// and the target is reported as unreachable.
		request, _ = http.NewRequestWithContext(ctx, http.MethodPost, "http://0.0.0.0:0/shard", http.NoBody)
	}
	// Without GetBody, and with a body that cannot be rewound, the transport never sends the request a second time.
	request.GetBody = nil
	request.Body = io.NopCloser(bytes.NewReader(call.Body))
	request.ContentLength = int64(len(call.Body))
	return request
}

func (c *Client) header(call Call, remaining time.Duration) http.Header {
	h := make(http.Header)
	h.Set("Content-Type", "application/json")
	h.Set(headerAttempt, strconv.FormatUint(uint64(call.Attempt), 10))
	h.Set(headerShard, call.ShardName)
	h.Set(headerSnapshot, strconv.FormatUint(uint64(call.Snapshot), 10))
	h.Set(headerEpoch, strconv.FormatUint(uint64(call.Epoch), 10))
	setDeadline(h, remaining)
	if call.IdempotencyKey != "" {
		h.Set(headerIdempotencyKey, call.IdempotencyKey)
	}
	return h
}

// setDeadline sets the header with the remaining time in milliseconds; a target does not start a request with 0.
func setDeadline(h http.Header, remaining time.Duration) {
	h.Set(headerDeadline, strconv.FormatInt(max(0, remaining.Milliseconds()), 10))
}

// cancel asks the target to stop an attempt. Unlike closing its connection, this leaves the connection usable.
func (c *Client) cancel(attempt cassiaid.AttemptID) {
	ctx, stop := context.WithTimeout(context.Background(), cancelTimeout)
	defer stop()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.address+"/cancel", http.NoBody)
	if err != nil {
		return
	}
	request.Header.Set(headerAttempt, strconv.FormatUint(uint64(attempt), 10))
	reply, err := c.transport.RoundTrip(request)
	if err != nil {
		return
	}
	discard(reply)
}

// classifyFailure sets the outcome of an attempt that got no reply, or one whose status is malformed.
func (c *Client) classifyFailure(ctx context.Context, result *cassiaschema.ShardResult, err error, sent *sendProgress, deadline time.Time) {
	result.Started = sent.written.Load()
	var malformed *cassiastatus.Error
	switch {
	case errors.As(err, &malformed):
		result.Started, result.Outcome = true, cassiaschema.ShardOutcome_badReply
	case ctx.Err() != nil:
		result.Outcome = cassiaschema.ShardOutcome_cancelled
	case !time.Now().Before(deadline):
		result.Outcome = cassiaschema.ShardOutcome_timedOut
	case !result.Started:
		result.Outcome = cassiaschema.ShardOutcome_unreachable
	default:
		result.Outcome = cassiaschema.ShardOutcome_failed
	}
}

// hasEnded reports whether the target's process has ended. If it has not, a connection that ended without a reply had been
// idle for too long or exceeded the target's connection limit, so the request did not cause it.
func (c *Client) hasEnded() bool {
	ended, open := cassialiveness.HasEnded(c.address)
	if open != nil {
		open.Close() //nolint:errcheck // only the connect matters
	}
	return ended
}

// classifyReply sets the outcome of an attempt from the target's reply.
func (c *Client) classifyReply(ctx context.Context, result *cassiaschema.ShardResult, call Call, reply *http.Response) {
	defer discard(reply)
	readTargetState(result, reply.Header)
	readPause(result, reply)
	if reply.StatusCode != http.StatusOK {
		classifyStatus(ctx, result, reply)
		return
	}
	result.Started = true
	rows, err := c.bodies.Receive(reply.Body, reply.ContentLength)
	switch {
	case errors.Is(err, io.ErrUnexpectedEOF) || err != nil && ctx.Err() == nil:
		result.Outcome = cassiaschema.ShardOutcome_badReply
	case err != nil:
		result.Outcome = cassiaschema.ShardOutcome_cancelled
	case !matchesCall(call, reply.Header), !json.Valid(rows):
		result.Outcome = cassiaschema.ShardOutcome_badReply
	default:
		result.Outcome = cassiaschema.ShardOutcome_answered
		result.Rows = rows
	}
}

// Health requests a target's health report and waits at most healthTimeout for it. The report may be older than the
// state in the target's replies to attempts.
func (c *Client) Health(ctx context.Context) (*Health, error) {
	ctx, stop := context.WithTimeout(ctx, healthTimeout)
	defer stop()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+c.address+"/health", http.NoBody)
	if err != nil {
		return nil, err
	}
	reply, err := c.transport.RoundTrip(request)
	if err != nil {
		return nil, err
	}
	defer discard(reply)
	content, err := cassiabody.ReadAll(reply.Body, maxHealthBytes)
	if err != nil {
		return nil, err
	}
	return readHealth(content)
}

// discard reads the rest of a reply, up to maxHealthBytes, so that its connection can be reused.
func discard(reply *http.Response) {
	io.CopyN(io.Discard, reply.Body, maxHealthBytes) //nolint:errcheck // a failed connection is not reused
	reply.Body.Close()                               //nolint:errcheck // nothing is left to read
}
