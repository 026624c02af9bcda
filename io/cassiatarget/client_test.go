package cassiatarget

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"golang.org/x/sync/errgroup"

	"cassiasaddle/core/cassiaschema"
	"cassiasaddle/io/cassiabody"
	"cassiasaddle/standin/cassialistener"
)

const testDeadline = 5 * time.Second

// replyFunc writes one reply.
type replyFunc func(w http.ResponseWriter, r *http.Request)

func answerOf(change func(h http.Header)) replyFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		h := w.Header()
		h.Set(headerAttempt, r.Header.Get(headerAttempt))
		h.Set(headerShard, r.Header.Get(headerShard))
		h.Set(headerSnapshot, "42")
		h.Set(headerEpoch, "7")
		h.Set(headerHeld, "41, 42")
		change(h)
		w.Write([]byte(`{"row":1}`)) //nolint:errcheck // the test checks what the client receives
	}
}

func refusalOf(status int, reason string) replyFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		if reason != "" {
			w.Header().Set(headerNotStarted, reason)
		}
		w.WriteHeader(status)
	}
}

// dropConnection ends the connection without a reply.
func dropConnection(w http.ResponseWriter, _ *http.Request) {
	connection, _, err := w.(http.Hijacker).Hijack()
	if err == nil {
		connection.Close() //nolint:errcheck // dropping it is the purpose
	}
}

// breakOff returns a reply that ends in the middle of what follows the common headers.
func breakOff(rest string) replyFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		connection, buffer, err := w.(http.Hijacker).Hijack()
		if err != nil {
			return
		}
		defer connection.Close()    //nolint:errcheck // breaking off is the purpose
		writeHead(buffer, r.Header) //nolint:errcheck // the client may have left
		buffer.WriteString(rest)    //nolint:errcheck // the same
		buffer.Flush()              //nolint:errcheck // the same
	}
}

// writeHead writes the status line and the common headers of a reply to an attempt.
func writeHead(w io.Writer, attempt http.Header) error {
	_, err := fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nShard: %s\r\nSnapshot: 42\r\nShard-Map-Epoch: 7\r\nHeld-Snapshots: 41, 42\r\n",
		attempt.Get(headerAttempt), attempt.Get(headerShard))
	return err
}

func callOf(idempotencyKey uint64) Call {
	return Call{Attempt: 5, ShardName: "s", Snapshot: 42, Epoch: 7, Deadline: time.Now().Add(testDeadline), Body: []byte(`{}`),
		IdempotencyKey: strconv.FormatUint(idempotencyKey, 10)}
}

func TestReplies(t *testing.T) {
	unchanged := func(http.Header) {}
	for _, test := range []struct {
		name     string
		reply    replyFunc
		outcome  cassiaschema.ShardOutcome
		started  bool
		draining bool
	}{
		{"answered", answerOf(unchanged), cassiaschema.ShardOutcome_answered, true, false},
		{"answered while draining", answerOf(func(h http.Header) { h.Set(headerDraining, "true") }), cassiaschema.ShardOutcome_answered, true, true},
		{"echoes another attempt", answerOf(func(h http.Header) { h.Set(headerAttempt, "6") }), cassiaschema.ShardOutcome_badReply, true, false},
		{"echoes another shard", answerOf(func(h http.Header) { h.Set(headerShard, "other") }), cassiaschema.ShardOutcome_badReply, true, false},
		{"truncated", answerOf(func(h http.Header) { h.Set("Content-Length", "100") }), cassiaschema.ShardOutcome_badReply, true, false},
		{"chunks that break off", breakOff("Transfer-Encoding: chunked\r\n\r\n9\r\n{\"row\":1}\r\n"), cassiaschema.ShardOutcome_badReply, true, false},
		{"trailer that breaks off", breakOff("Transfer-Encoding: chunked\r\nTrailer: Sum\r\n\r\n9\r\n{\"row\":1}\r\n0\r\nSu"), cassiaschema.ShardOutcome_badReply, true, false},
		{"body that ends early with the connection", breakOff("Connection: close\r\n\r\n{\"row\":"), cassiaschema.ShardOutcome_badReply, true, false},
		{"head that breaks off", breakOff("Content-Le"), cassiaschema.ShardOutcome_failed, true, false},
		{"invalid JSON", func(w http.ResponseWriter, r *http.Request) {
			answerOf(unchanged)(w, r)
			w.Write([]byte("}")) //nolint:errcheck // the test checks what the client receives
		}, cassiaschema.ShardOutcome_badReply, true, false},
		{"overloaded", refusalOf(503, "overloaded"), cassiaschema.ShardOutcome_overloaded, false, false},
		{"cold", refusalOf(503, "cold"), cassiaschema.ShardOutcome_overloaded, false, false},
		{"draining", refusalOf(503, "draining"), cassiaschema.ShardOutcome_draining, false, true},
		{"unavailable without proof", refusalOf(503, ""), cassiaschema.ShardOutcome_overloaded, true, false},
		{"snapshot gone", refusalOf(410, "snapshotGone"), cassiaschema.ShardOutcome_snapshotGone, false, false},
		{"repartitioned", refusalOf(409, "repartitioned"), cassiaschema.ShardOutcome_repartitioned, false, false},
		{"timed out", refusalOf(504, ""), cassiaschema.ShardOutcome_timedOut, true, false},
		{"internal error", refusalOf(500, ""), cassiaschema.ShardOutcome_failed, true, false},
		{"connection dropped by a live target", dropConnection, cassiaschema.ShardOutcome_failed, true, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			server := httptest.NewServer(http.HandlerFunc(test.reply))
			defer server.Close()
			client := New("t", server.Listener.Addr().String(), 2, nil, new(cassiabody.Receiver))
			defer client.Close()
			result := client.Run(context.Background(), callOf(1))
			c.Check(result.Outcome, qt.Equals, test.outcome)
			c.Check(result.Started, qt.Equals, test.started)
			c.Check(result.Draining, qt.Equals, test.draining)
			c.Check(result.TargetLost, qt.IsFalse)
			if test.outcome == cassiaschema.ShardOutcome_answered {
				c.Check(result.HeldSnapshots, qt.DeepEquals, []uint64{41, 42})
				c.Check(string(result.Rows), qt.Equals, `{"row":1}`)
			}
		})
	}
}

// TestLostTarget: a target that drops a connection and accepts no new one counts as lost.
func TestLostTarget(t *testing.T) {
	c := qt.New(t)
	var server *httptest.Server
	server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		server.Listener.Close() //nolint:errcheck // simulates a crash of the target
		dropConnection(w, r)
	}))
	defer server.Close()
	client := New("t", server.Listener.Addr().String(), 2, nil, new(cassiabody.Receiver))
	result := client.Run(context.Background(), callOf(1))
	c.Check(result.TargetLost, qt.IsTrue)
	c.Check(result.Started, qt.IsTrue)
}

func TestUnreachableTargetDidNotStart(t *testing.T) {
	c := qt.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	address := listener.Addr().String()
	c.Assert(listener.Close(), qt.IsNil)
	result := New("t", address, 2, nil, new(cassiabody.Receiver)).Run(context.Background(), callOf(1))
	c.Check(result.Outcome, qt.Equals, cassiaschema.ShardOutcome_unreachable)
	c.Check(result.Started, qt.IsFalse)
}

// TestNeverSentTwice: net/http resends a request with an idempotency key if a reused connection ends before the reply.
// The client must prevent that, so that the target receives each request once.
func TestNeverSentTwice(t *testing.T) {
	c := qt.New(t)
	var seen atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if seen.Add(1) == 1 {
			answerOf(func(http.Header) {})(w, r)
			return
		}
		dropConnection(w, r)
	}))
	defer server.Close()
	client := New("t", server.Listener.Addr().String(), 1, nil, new(cassiabody.Receiver))
	c.Assert(client.Run(context.Background(), callOf(1)).Outcome, qt.Equals, cassiaschema.ShardOutcome_answered)
	c.Assert(client.Run(context.Background(), callOf(2)).Outcome, qt.Equals, cassiaschema.ShardOutcome_failed)
	c.Assert(seen.Load(), qt.Equals, int64(2))
}

// TestCancelKeepsTheConnection: an attempt is cancelled by a request to the target and not by closing its connection.
func TestCancelKeepsTheConnection(t *testing.T) {
	c := qt.New(t)
	running, cancelled := make(chan struct{}), make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/cancel" {
			close(cancelled)
			return
		}
		close(running)
		<-cancelled
		refusalOf(499, "")(w, r)
	}))
	defer server.Close()
	client := New("t", server.Listener.Addr().String(), 2, nil, new(cassiabody.Receiver))
	ctx, cancel := context.WithCancel(context.Background())
	var group errgroup.Group
	group.Go(func() error {
		<-running
		cancel()
		return nil
	})
	result := client.Run(ctx, callOf(1))
	c.Assert(group.Wait(), qt.IsNil)
	c.Check(result.Outcome, qt.Equals, cassiaschema.ShardOutcome_cancelled)
	c.Check(result.Started, qt.IsTrue)
}

// TestTargetThatEndsUnderACancelledAttemptIsLost guards against a cancellation hiding the crash of a target.
func TestTargetThatEndsUnderACancelledAttemptIsLost(t *testing.T) {
	c := qt.New(t)
	running, cancelled := make(chan struct{}), make(chan struct{})
	var server *httptest.Server
	server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/cancel" {
			close(cancelled)
			return
		}
		close(running)
		<-cancelled
		server.Listener.Close() //nolint:errcheck // simulates the end of the process
		dropConnection(w, r)
	}))
	defer server.Close()
	ctx, cancel := context.WithCancel(context.Background())
	var group errgroup.Group
	group.Go(func() error {
		<-running
		cancel()
		return nil
	})
	result := New("t", server.Listener.Addr().String(), 2, nil, new(cassiabody.Receiver)).Run(ctx, callOf(1))
	c.Assert(group.Wait(), qt.IsNil)
	c.Check(result.Outcome, qt.Equals, cassiaschema.ShardOutcome_cancelled)
	c.Check(result.TargetLost, qt.IsTrue)
}

func TestPastDeadlineIsNotSent(t *testing.T) {
	c := qt.New(t)
	call := callOf(1)
	call.Deadline = time.Now()
	result := New("t", "127.0.0.1:1", 1, nil, new(cassiabody.Receiver)).Run(context.Background(), call)
	c.Check(result.Outcome, qt.Equals, cassiaschema.ShardOutcome_timedOut)
	c.Check(result.Started, qt.IsFalse)
}

// TestResetDuringALongRequestIsNoReply guards against a reply without a length that the target breaks off by a reset, and that passes for a
// complete one since the reset was reported to the pending write of the request. The rows are valid JSON wherever they end.
func TestResetDuringALongRequestIsNoReply(t *testing.T) {
	const calls, requestBytes = 100, 250_000
	listener, err := cassialistener.ListenSmallWindows()
	qt.Assert(t, err, qt.IsNil)
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		connection, buffer, err := w.(http.Hijacker).Hijack()
		if err != nil {
			return
		}
		defer connection.Close()                                                    //nolint:errcheck // breaking off is the purpose
		writeHead(buffer, r.Header)                                                 //nolint:errcheck // the client may have left
		buffer.WriteString("Connection: close\r\n\r\n" + strings.Repeat("1", 1000)) //nolint:errcheck // the same
		buffer.Flush()                                                              //nolint:errcheck // the same
		time.Sleep(time.Millisecond)
		connection.(*net.TCPConn).SetLinger(0) //nolint:errcheck // the reply ends in any case
	}))
	server.Listener.Close() //nolint:errcheck // it is replaced
	server.Listener = listener
	server.Start()
	defer server.Close()
	client := New("t", listener.Addr().String(), 0, nil, new(cassiabody.Receiver))
	for range calls {
		call := callOf(0)
		call.Body = make([]byte, requestBytes)
		result := client.Run(context.Background(), call)
		qt.Check(t, result.Outcome, qt.Not(qt.Equals), cassiaschema.ShardOutcome_answered)
	}
}

// TestHealthReplyWithoutEndIsAnError guards against a target whose health reply does not end holding the VM that asks.
func TestHealthReplyWithoutEndIsAnError(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		for text := `{"state":"`; ; text = strings.Repeat("x", 64<<10) {
			if _, err := io.WriteString(w, text); err != nil {
				return
			}
		}
	}))
	defer server.Close()
	begun := time.Now()
	_, err := New("t", server.Listener.Addr().String(), 1, nil, new(cassiabody.Receiver)).Health(context.Background())
	qt.Check(t, err, qt.ErrorIs, cassiabody.ErrTooLong)
	qt.Check(t, time.Since(begun) < healthTimeout, qt.IsTrue)
}
