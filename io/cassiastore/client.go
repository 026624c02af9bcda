package cassiastore

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/rotisserie/eris"
	"github.com/uber-go/tally/v4"

	"cassiasaddle/core/cassiaid"
)

const (
	// defaultCallTimeout bounds a call that waits for nothing.
	defaultCallTimeout = 2 * time.Second
	maxReplyBytes      = 4 << 20
	maxIdleConnections = 8
)

// Revision is the store's count of writes when a key was last written; 0 means that the key does not exist.
type Revision uint64

// LeaseID identifies a lease.
type LeaseID string

// Entry is a key's value; Revision 0 means that the key does not exist.
type Entry struct {
	Key      string   `json:"key"`
	Value    []byte   `json:"value"`
	Revision Revision `json:"revision"`
}

// VM is one entry of the platform's list of VMs.
type VM struct {
	Name             cassiaid.VMName `json:"name"`
	Region           string          `json:"region"`
	AvailabilityZone cassiaid.Zone   `json:"availabilityZone"`
	PeerAddress      string          `json:"peerAddress"`
	GossipAddress    string          `json:"gossipAddress"`
	State            string          `json:"state"`
}

// Client calls the platform; Address is all that it needs.
type Client struct {
	// Address is the platform's TCP address.
	Address string
	Token   string
	// CallTimeout bounds a call that waits for nothing; 2 s when zero.
	CallTimeout time.Duration
	// Scope receives a counter for each call and each failure by kind; none when nil.
	Scope tally.Scope
	// HTTP performs the calls; a client of its own when nil.
	HTTP *http.Client
}

// NewClient returns a client with its own connections.
func NewClient(address, token string, scope tally.Scope) *Client {
	dialer := &net.Dialer{Timeout: defaultCallTimeout}
	transport := &http.Transport{DialContext: dialer.DialContext, MaxIdleConnsPerHost: maxIdleConnections,
		IdleConnTimeout: time.Minute}
	return &Client{Address: address, Token: token, Scope: scope, HTTP: &http.Client{Transport: transport}}
}

// Close closes idle connections.
func (c *Client) Close() {
	if c.HTTP != nil {
		c.HTTP.CloseIdleConnections()
	}
}

// Get reads a key.
func (c *Client) Get(ctx context.Context, key string) (Entry, error) {
	r := request{call: callGet, method: http.MethodGet, path: "/v1/kv/" + key}
	var entry Entry
	status, err := c.do(ctx, r, &entry)
	if status == http.StatusNotFound {
		return Entry{Key: key}, nil
	}
	return entry, err
}

// PutOption changes a Put.
type PutOption func(url.Values)

// WithLease ties the key to a lease, so that it is removed when the lease lapses.
func WithLease(id LeaseID) PutOption {
	return func(q url.Values) { q.Set("lease", string(id)) }
}

// Put writes a key if it is still at a revision; revision 0 writes only a key that does not exist.
func (c *Client) Put(ctx context.Context, key string, value []byte, ifRevision Revision, options ...PutOption) (Revision, error) {
	query := url.Values{"ifRevision": {strconv.FormatUint(uint64(ifRevision), 10)}}
	for _, o := range options {
		o(query)
	}
	r := request{call: "put", method: http.MethodPut, path: "/v1/kv/" + key, query: query, body: value, write: true}
	var reply struct {
		Revision Revision `json:"revision"`
	}
	_, err := c.do(ctx, r, &reply)
	return reply.Revision, err
}

// Delete removes a key if it is still at a revision.
func (c *Client) Delete(ctx context.Context, key string, ifRevision Revision) error {
	query := url.Values{"ifRevision": {strconv.FormatUint(uint64(ifRevision), 10)}}
	r := request{call: "delete", method: http.MethodDelete, path: "/v1/kv/" + key, query: query, write: true}
	_, err := c.do(ctx, r, nil)
	return err
}

// Watch waits until a key is at a later revision than after; at the end of the wait it returns changed false.
func (c *Client) Watch(ctx context.Context, key string, after Revision, wait time.Duration) (entry Entry, changed bool, err error) {
	query := url.Values{"after": {strconv.FormatUint(uint64(after), 10)},
		"waitMs": {strconv.FormatInt(wait.Milliseconds(), 10)}}
	r := request{call: "watch", method: http.MethodGet, path: "/v1/watch/" + key, query: query, wait: wait}
	status, err := c.do(ctx, r, &entry)
	if err != nil || status == http.StatusNoContent {
		return Entry{Key: key}, false, err
	}
	return entry, true, nil
}

// Grant takes a lease.
func (c *Client) Grant(ctx context.Context, ttl time.Duration) (LeaseID, error) {
	body, err := json.Marshal(map[string]int64{"ttlMs": ttl.Milliseconds()})
	if err != nil {
		return "", eris.Wrap(err, "encode lease")
	}
	var reply struct {
		LeaseID LeaseID `json:"leaseId"`
	}
	_, err = c.do(ctx, request{call: "grant", method: http.MethodPost, path: "/v1/leases", body: body, write: true}, &reply)
	return reply.LeaseID, err
}

// KeepAlive renews a lease.
func (c *Client) KeepAlive(ctx context.Context, id LeaseID) error {
	r := request{call: callKeepAlive, method: http.MethodPut, path: "/v1/leases/" + string(id), write: true}
	_, err := c.do(ctx, r, nil)
	return err
}

// VMs reads the platform's list of VMs.
func (c *Client) VMs(ctx context.Context) ([]VM, error) {
	var reply struct {
		VMs []VM `json:"vms"`
	}
	_, err := c.do(ctx, request{call: "vms", method: http.MethodGet, path: "/v1/vms"}, &reply)
	return reply.VMs, err
}

// LeavingTargets reads which targets the platform is about to stop.
func (c *Client) LeavingTargets(ctx context.Context) ([]cassiaid.TargetName, error) {
	var reply struct {
		Targets []cassiaid.TargetName `json:"targets"`
	}
	_, err := c.do(ctx, request{call: "leavingTargets", method: http.MethodGet, path: "/v1/targets/leaving"}, &reply)
	return reply.Targets, err
}

// Names of the calls whose missing key is no failure or one of its own kind.
const (
	callGet       = "get"
	callKeepAlive = "keepAlive"
)

// request is one call to the platform.
type request struct {
	call   string
	method string
	path   string
	query  url.Values
	body   []byte
	// write tells that a lost reply leaves the outcome open.
	write bool
	wait  time.Duration
}

func (c *Client) do(ctx context.Context, r request, reply any) (int, error) {
	timeout := c.CallTimeout
	if timeout <= 0 {
		timeout = defaultCallTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, r.wait+timeout)
	defer cancel()
	c.count(r.call, "calls")
	status, err := c.roundTrip(ctx, r, reply)
	var failed *Error
	if errors.As(err, &failed) {
		c.count(r.call, "failures_"+string(failed.Kind))
	}
	return status, err
}

func (c *Client) count(call, name string) {
	if c.Scope != nil {
		c.Scope.Tagged(map[string]string{"call": call}).Counter("store_" + name).Inc(1)
	}
}

func (c *Client) roundTrip(ctx context.Context, r request, reply any) (int, error) {
	u := url.URL{Scheme: "http", Host: c.Address, Path: r.path, RawQuery: r.query.Encode()}
	httpRequest, err := http.NewRequestWithContext(ctx, r.method, u.String(), bytes.NewReader(r.body))
	if err != nil {
		return 0, &Error{Kind: Refused, Call: r.call, Cause: err}
	}
	if c.Token != "" {
		httpRequest.Header.Set("Authorization", "Bearer "+c.Token)
	}
	httpClient := c.HTTP
	if httpClient == nil {
		httpClient = http.DefaultClient
	}
	response, err := httpClient.Do(httpRequest)
	if err != nil {
		return 0, transportError(r, err)
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxReplyBytes))
	if err != nil {
		return 0, transportError(r, err)
	}
	return response.StatusCode, decodeReply(r, response.StatusCode, body, reply)
}

// transportError tells a write that never left from one whose reply was lost.
func transportError(r request, err error) error {
	var dial *net.OpError
	neverLeft := errors.As(err, &dial) && dial.Op == "dial"
	if r.write && !neverLeft {
		return &Error{Kind: OutcomeUnknown, Call: r.call, Cause: err}
	}
	return &Error{Kind: Unavailable, Call: r.call, Cause: err}
}

func decodeReply(r request, status int, body []byte, reply any) error {
	cause := fmt.Errorf("status %d: %s", status, bytes.TrimSpace(body[:min(len(body), 200)]))
	switch {
	case status == http.StatusConflict:
		var conflict struct {
			Revision Revision `json:"revision"`
		}
		_ = json.Unmarshal(body, &conflict)
		return &Error{Kind: Conflict, Call: r.call, Revision: conflict.Revision, Cause: cause}
	case status == http.StatusRequestEntityTooLarge:
		return &Error{Kind: TooLarge, Call: r.call, Cause: cause}
	case status == http.StatusNoContent, status == http.StatusNotFound && r.call == callGet:
		return nil
	case status == http.StatusNotFound && r.call == callKeepAlive:
		return &Error{Kind: LeaseLapsed, Call: r.call, Cause: cause}
	case status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests:
		return &Error{Kind: Unavailable, Call: r.call, Cause: cause}
	case status >= http.StatusInternalServerError && r.write:
		return &Error{Kind: OutcomeUnknown, Call: r.call, Cause: cause}
	case status >= http.StatusInternalServerError:
		return &Error{Kind: Unavailable, Call: r.call, Cause: cause}
	case status >= http.StatusBadRequest:
		return &Error{Kind: Refused, Call: r.call, Cause: cause}
	case reply == nil:
		return nil
	}
	if err := json.Unmarshal(body, reply); err != nil {
		kind := Unavailable
		if r.write {
			kind = OutcomeUnknown
		}
		return &Error{Kind: kind, Call: r.call, Cause: eris.Wrap(err, "decode reply")}
	}
	return nil
}
