package cassiastore

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/uber-go/tally/v4"

	"cassiasaddle/standin/cassiaplatform"
)

// kindOf returns the kind of an *Error, or an empty kind for any other error and for nil.
func kindOf(err error) Kind {
	var failed *Error
	if errors.As(err, &failed) {
		return failed.Kind
	}
	return ""
}

func startPlatform(t *testing.T) (*cassiaplatform.Platform, *Client, tally.TestScope) {
	platform := cassiaplatform.New(cassiaplatform.Options{Token: "platform"})
	server := httptest.NewServer(platform)
	scope := tally.NewTestScope("", nil)
	client := NewClient(strings.TrimPrefix(server.URL, "http://"), "platform", scope)
	client.CallTimeout = 300 * time.Millisecond
	t.Cleanup(func() {
		client.Close()
		server.CloseClientConnections()
		server.Close()
	})
	return platform, client, scope
}

// TestRepliesThatCannotBeUsed guards against the start of a long reply being taken for all of it, and against such a reply being taken for a
// store that is not there, of which the same call is made again.
func TestRepliesThatCannotBeUsed(t *testing.T) {
	for _, test := range []struct {
		name  string
		reply string
	}{
		{"over the limit", `{"key":"k","revision":1,"value":"` + strings.Repeat("A", maxReplyBytes) + `"}`},
		{"over the limit, its start is valid", `{"key":"k","revision":1}` + strings.Repeat(" ", maxReplyBytes)},
		{"no JSON", "{"},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, test.reply) }))
			defer server.Close()
			scope := tally.NewTestScope("", nil)
			client := NewClient(server.Listener.Addr().String(), "", scope)
			defer client.Close()
			_, err := client.Get(t.Context(), "k")
			c.Check(kindOf(err), qt.Equals, Unreadable)
			_, err = client.Put(t.Context(), "k", nil, 0)
			c.Check(kindOf(err), qt.Equals, OutcomeUnknown)
			c.Check(scope.Snapshot().Counters()["store_failures_unreadable+call=get"].Value(), qt.Equals, int64(1))
		})
	}
}

func TestCallsAndFailures(t *testing.T) {
	c := qt.New(t)
	ctx := context.Background()
	platform, client, scope := startPlatform(t)

	entry, err := client.Get(ctx, "a/b")
	c.Assert(err, qt.IsNil)
	c.Assert(entry.Revision, qt.Equals, Revision(0))
	first, err := client.Put(ctx, "a/b", []byte("one"), 0)
	c.Assert(err, qt.IsNil)
	_, err = client.Put(ctx, "a/b", []byte("two"), 0)
	c.Assert(kindOf(err), qt.Equals, Conflict)
	var conflict *Error
	c.Assert(errors.As(err, &conflict), qt.IsTrue)
	c.Assert(conflict.Revision, qt.Equals, first)
	_, err = client.Put(ctx, "big", make([]byte, cassiaplatform.MaxValueBytes+1), 0)
	c.Assert(kindOf(err), qt.Equals, TooLarge)

	entry, changed, err := client.Watch(ctx, "a/b", 0, time.Second)
	c.Assert(err, qt.IsNil)
	c.Assert(changed, qt.IsTrue)
	c.Assert(string(entry.Value), qt.Equals, "one")
	_, changed, err = client.Watch(ctx, "a/b", first, 20*time.Millisecond)
	c.Assert(err, qt.IsNil)
	c.Assert(changed, qt.IsFalse)

	c.Assert(kindOf(client.KeepAlive(ctx, "none")), qt.Equals, LeaseLapsed)
	id, err := client.Grant(ctx, time.Minute)
	c.Assert(err, qt.IsNil)
	_, err = client.Put(ctx, "leased", []byte("x"), 0, WithLease(id))
	c.Assert(err, qt.IsNil)
	c.Assert(client.KeepAlive(ctx, id), qt.IsNil)

	platform.PutVM(cassiaplatform.VM{Name: "vm1", AvailabilityZone: "sud-a"})
	vms, err := client.VMs(ctx)
	c.Assert(err, qt.IsNil)
	c.Assert(string(vms[0].Name), qt.Equals, "vm1")
	platform.SetLeaving("t1", true)
	leaving, err := client.LeavingTargets(ctx)
	c.Assert(err, qt.IsNil)
	c.Assert(len(leaving), qt.Equals, 1)

	client.Token = "wrong"
	_, err = client.Get(ctx, "a/b")
	c.Assert(kindOf(err), qt.Equals, Refused)
	failures := make(map[string]int64)
	for _, counter := range scope.Snapshot().Counters() {
		failures[counter.Name()] += counter.Value()
	}
	c.Assert(failures["store_failures_conflict"], qt.Equals, int64(1))
	c.Assert(failures["store_failures_refused"], qt.Equals, int64(1))
}

// TestLostRepliesAndOutages checks that only a write that may have taken effect is reported as OutcomeUnknown. Replies
// are lost before and after the write takes effect, the platform is slow, and no platform listens at the address.
func TestLostRepliesAndOutages(t *testing.T) {
	c := qt.New(t)
	ctx := context.Background()
	platform, client, _ := startPlatform(t)
	platform.SetFaults(cassiaplatform.Faults{LoseReplies: 1})
	_, err := client.Put(ctx, "a", []byte("one"), 0)
	c.Assert(kindOf(err), qt.Equals, OutcomeUnknown)
	entry, err := client.Get(ctx, "a")
	c.Assert(err, qt.IsNil)
	c.Assert(string(entry.Value), qt.Equals, "one")

	for _, faults := range []cassiaplatform.Faults{{Down: true}, {DelayMs: 1000}} {
		platform.SetFaults(faults)
		_, err = client.Get(ctx, "a")
		c.Assert(kindOf(err), qt.Equals, Unavailable)
		_, err = client.Put(ctx, "a", []byte("two"), entry.Revision)
		c.Assert(kindOf(err), qt.Equals, OutcomeUnknown)
		_, _, err = client.Watch(ctx, "a", entry.Revision, 10*time.Millisecond)
		c.Assert(kindOf(err), qt.Equals, Unavailable)
	}

	gone := httptest.NewServer(http.NotFoundHandler())
	gone.Close()
	client.Address = strings.TrimPrefix(gone.URL, "http://")
	_, err = client.Put(ctx, "a", []byte("three"), 0)
	c.Assert(kindOf(err), qt.Equals, Unavailable)
	c.Assert(err, qt.ErrorMatches, ".*try again later.*")
}
