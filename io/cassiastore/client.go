package cassiastore

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/rotisserie/eris"
	"github.com/uber-go/tally/v4"

	"cassiasaddle/core/cassiaid"
	"cassiasaddle/io/cassiabody"
	"cassiasaddle/io/cassiastatus"
)

const (
	// defaultCallTimeout bounds a call, in addition to the time for which a watch waits.
	defaultCallTimeout = 2 * time.Second
	// maxReplyBytes limits the body of a reply. A reply to a watch may be longer, since the store does not limit it.
	maxReplyBytes = 4 << 20
	// maxHeadBytes limits the status line and headers of a reply.
	maxHeadBytes       = 64 << 10
	maxIdleConnections = 8
)

// Revision is the value of the store's write counter when a key was last written; 0 means that the key does not exist.
type Revision uint64

// LeaseID identifies a lease.
type LeaseID string

// Entry is a key with its value; Revision 0 means that the key does not exist.
type Entry struct {
	Key      string   `json:"key"`
	Value    []byte   `json:"value"`
	Revision Revision `json:"revision"`
}

// VM is one entry of the platform's list of VMs. The addresses are host:port.
type VM struct {
	Name             cassiaid.VMName `json:"name"`
	Region           string          `json:"region"`
	AvailabilityZone cassiaid.Zone   `json:"availabilityZone"`
	PeerAddress      string          `json:"peerAddress"`
	GossipAddress    string          `json:"gossipAddress"`
	State            string          `json:"state"`
}

// Client calls the platform's HTTP services. Only Address is required. A failed call returns an *Error.
type Client struct {
	// Address is the platform's TCP address, as host:port.
	Address string
	// Token is sent as a bearer token unless it is empty.
	Token string
	// CallTimeout bounds a call, in addition to the time for which a watch waits; 2 s when zero.
	CallTimeout time.Duration
	// Scope counts the calls, and the failures by kind; nothing is counted when nil.
	Scope tally.Scope
	// HTTP performs the calls; http.DefaultClient when nil.
	HTTP *http.Client
	// OnMalformedStatus, if not nil, is called for each reply whose status is malformed, by clients of NewClient.
	OnMalformedStatus func(err error)
}

// NewClient returns a client with a connection pool of its own.
func NewClient(address, token string, scope tally.Scope) *Client {
	dialer := &net.Dialer{Timeout: defaultCallTimeout}
	transport := &http.Transport{DialContext: dialer.DialContext, MaxIdleConnsPerHost: maxIdleConnections,
		IdleConnTimeout: time.Minute, MaxResponseHeaderBytes: maxHeadBytes}
	c := &Client{Address: address, Token: token, Scope: scope}
	c.HTTP = &http.Client{Transport: cassiastatus.NewTransport(transport, func(err *cassiastatus.Error) {
		if c.OnMalformedStatus != nil {
			c.OnMalformedStatus(err)
		}
	})}
	return c
}

// Close closes idle connections.
func (c *Client) Close() {
	if c.HTTP != nil {
		c.HTTP.CloseIdleConnections()
	}
}

// Get reads a key; the entry of a key that does not exist has revision 0.
func (c *Client) Get(ctx context.Context, key string) (Entry, error) {
	r := Request{Call: callGet, Method: http.MethodGet, Path: "/v1/kv/" + key}
	var entry Entry
	status, err := c.doJSON(ctx, r, &entry)
	if status == http.StatusNotFound {
		return Entry{Key: key}, nil
	}
	return entry, err
}

// PutOption sets an optional parameter of Put.
type PutOption func(url.Values)

// WithLease attaches the key to a lease, so that the store removes it when the lease expires.
func WithLease(id LeaseID) PutOption {
	return func(q url.Values) { q.Set("lease", string(id)) }
}

// Put writes a key if it is still at ifRevision, and returns its new revision; with ifRevision 0 it writes only a key
// that does not exist. If the key is at another revision, it returns an Error of kind Conflict with the key's revision.
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

// Delete removes a key if it is still at ifRevision. If the key is at another revision, it returns an Error of kind
// Conflict.
func (c *Client) Delete(ctx context.Context, key string, ifRevision Revision) error {
	query := url.Values{"ifRevision": {strconv.FormatUint(uint64(ifRevision), 10)}}
	r := Request{Call: "delete", Method: http.MethodDelete, Path: "/v1/kv/" + key, Query: query, Write: true}
	_, err := c.doJSON(ctx, r, nil)
	return err
}

// Watch waits until a key is at a later revision than after and returns the new entry; changed is false if that did not
// happen within wait. It does not report the deletion of a key.
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

// Grant creates a lease that expires unless it is renewed within ttl.
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

// KeepAlive renews a lease for its ttl. It returns an Error of kind LeaseLapsed if the lease has expired or never
// existed.
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

// LeavingTargets reads the names of the targets that the platform is about to stop.
func (c *Client) LeavingTargets(ctx context.Context) ([]cassiaid.TargetName, error) {
	var reply struct {
		Targets []cassiaid.TargetName `json:"targets"`
	}
	_, err := c.doJSON(ctx, Request{Call: "leavingTargets", Method: http.MethodGet, Path: "/v1/targets/leaving"}, &reply)
	return reply.Targets, err
}

// Names of the calls for which status 404 has a special meaning: get returns an entry with revision 0 for a missing
// key, and keepAlive fails with LeaseLapsed for a missing lease.
const (
	callGet       = "get"
	callKeepAlive = "keepAlive"
)

// Request describes one HTTP call to a store.
type Request struct {
	// Call is the name of the call in counters and errors.
	Call   string
	Method string
	Path   string
	Query  url.Values
	Body   []byte
	// ContentType is the Content-Type header; it is not sent when empty.
	ContentType string
	// Write marks a call that changes the store, so that a lost reply leaves its outcome unknown.
	Write bool
	// Wait is how long the store may delay its reply, in addition to the call timeout; only a watch sets it.
	Wait time.Duration
	// OnHeader, if set, receives the headers of the reply, whatever its status.
	OnHeader func(http.Header)
}

// Do performs one call and returns the status code and the body of the reply, whatever the status. If there is no reply,
// the error is an *Error.
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

// doJSON performs a call and decodes the JSON reply into reply, unless that is nil.
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
	if r.OnHeader != nil {
		r.OnHeader(response.Header)
	}
	body, err := cassiabody.ReadAll(response.Body, maxReplyBytes)
	if errors.Is(err, cassiabody.ErrTooLong) {
		return 0, nil, unreadableReply(r, eris.Wrapf(err, "read at most %d bytes", maxReplyBytes))
	}
	if err != nil {
		return 0, nil, transportError(r, err)
	}
	return response.StatusCode, body, nil
}

// transportError returns the error of a call without a reply. A write has an unknown outcome unless the dial failed, in
// which case the request was not sent.
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
	return DecodeReply(r, body, reply)
}

// DecodeReply decodes the JSON body of a reply; the error is an *Error.
func DecodeReply(r Request, body []byte, reply any) error {
	if err := json.Unmarshal(body, reply); err != nil {
		return unreadableReply(r, eris.Wrap(err, "decode reply"))
	}
	return nil
}

// unreadableReply returns the error of a call whose reply came but can't be used.
func unreadableReply(r Request, cause error) error {
	kind := Unreadable
	if r.Write {
		kind = OutcomeUnknown
	}
	return &Error{Kind: kind, Call: r.Call, Cause: cause}
}
