package cassiaplatform

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"
	"golang.org/x/sync/errgroup"
)

// client calls a platform under test over HTTP.
type client struct {
	*qt.C
	base string
}

func newTestClient(t *testing.T, p *Platform) client {
	s := httptest.NewServer(p)
	t.Cleanup(s.Close)
	return client{C: qt.New(t), base: s.URL}
}

// call returns the status and the body of the reply; status 0 means that the connection was closed without a reply.
func (c client) call(method, path, body string) (int, string) {
	request, err := http.NewRequest(method, c.base+path, strings.NewReader(body))
	c.Assert(err, qt.IsNil)
	request.Close = true
	reply, err := http.DefaultTransport.RoundTrip(request)
	if err != nil {
		return 0, ""
	}
	defer func() { _ = reply.Body.Close() }()
	content, err := io.ReadAll(reply.Body)
	c.Assert(err, qt.IsNil)
	return reply.StatusCode, strings.TrimSpace(string(content))
}

func TestCompareAndSwap(t *testing.T) {
	c := newTestClient(t, New(Options{}))
	steps := []struct {
		method, path, body string
		status             int
		reply              string
	}{
		{"GET", "/v1/kv/a/b", "", 404, `{"message":"no such key"}`},
		{"PUT", "/v1/kv/a/b?ifRevision=0", "x", 200, `{"revision":1}`},
		{"PUT", "/v1/kv/a/b?ifRevision=0", "y", 409, `{"revision":1}`},
		{"PUT", "/v1/kv/c", "z", 200, `{"revision":2}`},
		{"PUT", "/v1/kv/a/b?ifRevision=1", "y", 200, `{"revision":3}`},
		{"GET", "/v1/kv/a/b", "", 200, `{"key":"a/b","value":"eQ==","revision":3}`},
		{"DELETE", "/v1/kv/a/b?ifRevision=1", "", 409, `{"revision":3}`},
		{"DELETE", "/v1/kv/a/b?ifRevision=3", "", 200, `{"revision":3}`},
		{"PUT", "/v1/kv/d", strings.Repeat("x", MaxValueBytes+1), 413, `{"message":"a value holds at most 1 MiB"}`},
		{"PUT", "/v1/kv/d?ifRevision=-1", "", 400, `{"message":"ifRevision must be a whole number"}`},
	}
	for _, s := range steps {
		status, reply := c.call(s.method, s.path, s.body)
		c.Assert(status, qt.Equals, s.status, qt.Commentf("%s %s", s.method, s.path))
		c.Assert(reply, qt.Equals, s.reply)
	}
}

func TestLapsedLeaseRemovesKeys(t *testing.T) {
	clock := clockwork.NewFakeClock()
	c := newTestClient(t, New(Options{Clock: clock}))
	_, reply := c.call("POST", "/v1/leases", `{"ttlMs":1000}`)
	c.Assert(reply, qt.Equals, `{"leaseId":"lease-1"}`)
	status, _ := c.call("PUT", "/v1/kv/held?lease=lease-1", "x")
	c.Assert(status, qt.Equals, 200)

	clock.Advance(900 * time.Millisecond)
	status, _ = c.call("PUT", "/v1/leases/lease-1", "")
	c.Assert(status, qt.Equals, 200)
	clock.Advance(900 * time.Millisecond)
	status, _ = c.call("GET", "/v1/kv/held", "")
	c.Assert(status, qt.Equals, 200)

	clock.Advance(time.Second)
	status, _ = c.call("GET", "/v1/kv/held", "")
	c.Assert(status, qt.Equals, 404)
	status, _ = c.call("PUT", "/v1/leases/lease-1", "")
	c.Assert(status, qt.Equals, 404)
	status, _ = c.call("PUT", "/v1/kv/held?lease=lease-1", "x")
	c.Assert(status, qt.Equals, 409)
}

func TestWatch(t *testing.T) {
	clock := clockwork.NewFakeClock()
	p := New(Options{Clock: clock})
	c := newTestClient(t, p)
	p.Put("k", []byte("1"))
	status, _ := c.call("GET", "/v1/watch/k?after=0&waitMs=1000", "")
	c.Assert(status, qt.Equals, 200)

	watch := func(change func()) int {
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		recorder := httptest.NewRecorder()
		var group errgroup.Group
		group.Go(func() error {
			p.ServeHTTP(recorder, httptest.NewRequest("GET", "/v1/watch/k?after=1&waitMs=1000", nil).WithContext(ctx))
			return nil
		})
		c.Assert(clock.BlockUntilContext(ctx, 1), qt.IsNil)
		change()
		c.Assert(group.Wait(), qt.IsNil)
		return recorder.Code
	}
	c.Assert(watch(func() { clock.Advance(time.Second) }), qt.Equals, 204)
	c.Assert(watch(func() { p.Put("k", []byte("2")) }), qt.Equals, 200)
}

func TestFaults(t *testing.T) {
	p := New(Options{Token: "secret"})
	c := newTestClient(t, p)
	status, _ := c.call("GET", "/v1/vms", "")
	c.Assert(status, qt.Equals, 401)

	p = New(Options{})
	c = newTestClient(t, p)
	p.PutVM(VM{Name: "vm-1"})
	status, _ = c.call("POST", "/standin/faults", `{"loseReplies":1,"freezeVms":true}`)
	c.Assert(status, qt.Equals, 204)
	status, _ = c.call("PUT", "/v1/kv/k", "x")
	c.Assert(status, qt.Equals, 0)
	status, _ = c.call("GET", "/v1/kv/k", "")
	c.Assert(status, qt.Equals, 200)
	status, _ = c.call("PUT", "/v1/vms/vm-2", `{"peerAddress":"127.0.0.1:1"}`)
	c.Assert(status, qt.Equals, 204)
	_, reply := c.call("GET", "/v1/vms", "")
	var list struct{ VMs []VM }
	c.Assert(json.Unmarshal([]byte(reply), &list), qt.IsNil)
	c.Assert(list.VMs, qt.HasLen, 1)

	p.SetFaults(Faults{Down: true})
	status, _ = c.call("GET", "/v1/vms", "")
	c.Assert(status, qt.Equals, 0)
	p.SetFaults(Faults{})
	_, reply = c.call("GET", "/v1/vms", "")
	c.Assert(json.Unmarshal([]byte(reply), &list), qt.IsNil)
	c.Assert(list.VMs, qt.HasLen, 2)

	status, _ = c.call("PUT", "/v1/targets/leaving/t-1", "")
	c.Assert(status, qt.Equals, 204)
	_, reply = c.call("GET", "/v1/targets/leaving", "")
	c.Assert(reply, qt.Equals, `{"targets":["t-1"]}`)
	_, reply = c.call("GET", "/standin/counters", "")
	c.Assert(reply, qt.Contains, `"vms":3`)
}

func TestCallsBeyondTheRateWait(t *testing.T) {
	clock := clockwork.NewFakeClock()
	p := New(Options{Clock: clock, WritesPerSecond: 10})
	c := newTestClient(t, p)
	status, _ := c.call("PUT", "/v1/kv/k", "1")
	c.Assert(status, qt.Equals, 200)
	status, _ = c.call("GET", "/v1/kv/k", "")
	c.Assert(status, qt.Equals, 200)

	var group errgroup.Group
	group.Go(func() error {
		p.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest("PUT", "/v1/kv/k", strings.NewReader("2")))
		return nil
	})
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	c.Assert(clock.BlockUntilContext(ctx, 1), qt.IsNil)
	c.Assert(string(p.Get("k").Value), qt.Equals, "1")
	clock.Advance(100 * time.Millisecond)
	c.Assert(group.Wait(), qt.IsNil)
	c.Assert(string(p.Get("k").Value), qt.Equals, "2")
}
