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
	r := Request{Call: callGet, Method: http.MethodGet, Path: "/v1/kv/" + key}
	var entry Entry
	status, err := c.doJSON(ctx, r, &entry)
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
	r := Request{Call: "put", Method: http.MethodPut, Path: "/v1/kv/" + key, Query: query, Body: value, Write: true}
	var reply struct {
		Revision Revision `json:"revision"`
	}
	_, err := c.doJSON(ctx, r, &reply)
	return reply.Revision, err
}

// Delete removes a key if it is still at a revision.
func (c *Client) Delete(ctx context.Context, key string, ifRevision Revision) error {
	query := url.Values{"ifRevision": {strconv.FormatUint(uint64(ifRevision), 10)}}
	r := Request{Call: "delete", Method: http.MethodDelete, Path: "/v1/kv/" + key, Query: query, Write: true}
	_, err := c.doJSON(ctx, r, nil)
	return err
}

// Watch waits until a key is at a later revision than after; at the end of the wait it returns changed false.
func (c *Client) Watch(ctx context.Context, key string, after Revision, wait time.Duration) (entry Entry, changed bool, err error) {
	query := url.Values{"after": {strconv.FormatUint(uint64(after), 10)},
		"waitMs": {strconv.FormatInt(wait.Milliseconds(), 10)}}
	r := Request{Call: "watch", Method: http.MethodGet, Path: "/v1/watch/" + key, Query: query, Wait: wait}
	status, err := c.doJSON(ctx, r, &entry)
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
	_, err = c.doJSON(ctx, Request{Call: "grant", Method: http.MethodPost, Path: "/v1/leases", Body: body, Write: true}, &reply)
	return reply.LeaseID, err
}

// KeepAlive renews a lease.
func (c *Client) KeepAlive(ctx context.Context, id LeaseID) error {
	r := Request{Call: callKeepAlive, Method: http.MethodPut, Path: "/v1/leases/" + string(id), Write: true}
	_, err := c.doJSON(ctx, r, nil)
	return err
}

// VMs reads the platform's list of VMs.
func (c *Client) VMs(ctx context.Context) ([]VM, error) {
	var reply struct {
		VMs []VM `json:"vms"`
	}
	_, err := c.doJSON(ctx, Request{Call: "vms", Method: http.MethodGet, Path: "/v1/vms"}, &reply)
	return reply.VMs, err
}

// LeavingTargets reads which targets the platform is about to stop.
func (c *Client) LeavingTargets(ctx context.Context) ([]cassiaid.TargetName, error) {
	var reply struct {
		Targets []cassiaid.TargetName `json:"targets"`
	}
	_, err := c.doJSON(ctx, Request{Call: "leavingTargets", Method: http.MethodGet, Path: "/v1/targets/leaving"}, &reply)
	return reply.Targets, err
}

// Names of the calls whose missing key is no failure or one of its own kind.
const (
	callGet       = "get"
	callKeepAlive = "keepAlive"
)

// Request is one call to a store over HTTP.
type Request struct {
	// Call names the call in counters and errors.
	Call   string
	Method string
	Path   string
	Query  url.Values
	Body   []byte
	// ContentType describes the body, if the store wants to know.
	ContentType string
	// Write tells that a lost reply leaves the outcome open.
	Write bool
	// Wait is how long the store may hold the call.
	Wait time.Duration
}

// Do performs one call and returns the status and the body of the reply; a failure to get one is an *Error.
func (c *Client) Do(ctx context.Context, r Request) (int, []byte, error) {
	timeout := c.CallTimeout
	if timeout <= 0 {
		timeout = defaultCallTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, r.Wait+timeout)
	defer cancel()
	c.count(r.Call, "calls")
	status, body, err := c.roundTrip(ctx, r)
	c.countFailure(r.Call, err)
	return status, body, err
}

// doJSON performs a call and decodes its reply.
func (c *Client) doJSON(ctx context.Context, r Request, reply any) (int, error) {
	status, body, err := c.Do(ctx, r)
	if err != nil {
		return 0, err
	}
	err = decodeReply(r, status, body, reply)
	c.countFailure(r.Call, err)
	return status, err
}

func (c *Client) countFailure(call string, err error) {
	var failed *Error
	if errors.As(err, &failed) {
		c.count(call, "failures_"+string(failed.Kind))
	}
}

func (c *Client) count(call, name string) {
	if c.Scope != nil {
		c.Scope.Tagged(map[string]string{"call": call}).Counter("store_" + name).Inc(1)
	}
}

func (c *Client) roundTrip(ctx context.Context, r Request) (int, []byte, error) {
	u := url.URL{Scheme: "http", Host: c.Address, Path: r.Path, RawQuery: r.Query.Encode()}
	httpRequest, err := http.NewRequestWithContext(ctx, r.Method, u.String(), bytes.NewReader(r.Body))
	if err != nil {
		return 0, nil, &Error{Kind: Refused, Call: r.Call, Cause: err}
	}
	if c.Token != "" {
		httpRequest.Header.Set("Authorization", "Bearer "+c.Token)
	}
	if r.ContentType != "" {
		httpRequest.Header.Set("Content-Type", r.ContentType)
	}
	httpClient := c.HTTP
	if httpClient == nil {
		httpClient = http.DefaultClient
	}
	response, err := httpClient.Do(httpRequest)
	if err != nil {
		return 0, nil, transportError(r, err)
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxReplyBytes))
	if err != nil {
		return 0, nil, transportError(r, err)
	}
	return response.StatusCode, body, nil
}

// transportError tells a write that never left from one whose reply was lost.
func transportError(r Request, err error) error {
	var networkError *net.OpError
	notSent := errors.As(err, &networkError) && networkError.Op == "dial"
	if r.Write && !notSent {
		return &Error{Kind: OutcomeUnknown, Call: r.Call, Cause: err}
	}
	return &Error{Kind: Unavailable, Call: r.Call, Cause: err}
}

func decodeReply(r Request, status int, body []byte, reply any) error {
	cause := fmt.Errorf("status %d: %s", status, bytes.TrimSpace(body[:min(len(body), 200)]))
	switch {
	case status == http.StatusConflict:
		var conflict struct {
			Revision Revision `json:"revision"`
		}
		_ = json.Unmarshal(body, &conflict)
		return &Error{Kind: Conflict, Call: r.Call, Revision: conflict.Revision, Cause: cause}
	case status == http.StatusRequestEntityTooLarge:
		return &Error{Kind: TooLarge, Call: r.Call, Cause: cause}
	case status == http.StatusNoContent, status == http.StatusNotFound && r.Call == callGet:
		return nil
	case status == http.StatusNotFound && r.Call == callKeepAlive:
		return &Error{Kind: LeaseLapsed, Call: r.Call, Cause: cause}
	case status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests:
		return &Error{Kind: Unavailable, Call: r.Call, Cause: cause}
	case status >= http.StatusInternalServerError && r.Write:
		return &Error{Kind: OutcomeUnknown, Call: r.Call, Cause: cause}
	case status >= http.StatusInternalServerError:
		return &Error{Kind: Unavailable, Call: r.Call, Cause: cause}
	case status >= http.StatusBadRequest:
		return &Error{Kind: Refused, Call: r.Call, Cause: cause}
	case reply == nil:
		return nil
	}
	if err := json.Unmarshal(body, reply); err != nil {
		kind := Unavailable
		if r.Write {
			kind = OutcomeUnknown
		}
		return &Error{Kind: kind, Call: r.Call, Cause: eris.Wrap(err, "decode reply")}
	}
	return nil
}
