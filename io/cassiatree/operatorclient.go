package cassiatree

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"

	"github.com/rotisserie/eris"

	"cassiasaddle/core/cassiaid"
	"cassiasaddle/core/cassiasettings"
)

// OperatorClient calls the settings of a VM's operator port.
type OperatorClient struct {
	// Address is the VM's operator address.
	Address string
	// Token opens one subtree.
	Token string
	// HTTP performs the calls; the default client when nil.
	HTTP *http.Client
}

// Apply asks the VM to apply an edit.
func (c *OperatorClient) Apply(ctx context.Context, s cassiasettings.Subtree, r EditRequest) (Accepted, error) {
	return doRequest[Accepted](ctx, c, http.MethodPost, subtreePath(s)+"/apply", nil, r)
}

// Plan asks the VM what an edit would change.
func (c *OperatorClient) Plan(ctx context.Context, s cassiasettings.Subtree, r EditRequest) (PlanReply, error) {
	return doRequest[PlanReply](ctx, c, http.MethodPost, subtreePath(s)+"/plan", nil, r)
}

// Rollback asks the VM to apply the text of an earlier revision.
func (c *OperatorClient) Rollback(ctx context.Context, s cassiasettings.Subtree, r RollbackRequest) (Accepted, error) {
	return doRequest[Accepted](ctx, c, http.MethodPost, subtreePath(s)+"/rollback", nil, r)
}

// Get returns an edit by its id or revision, or the one in force when both are zero.
func (c *OperatorClient) Get(ctx context.Context, s cassiasettings.Subtree, id cassiasettings.EditID,
	revision cassiaid.Revision) (EditReply, error) {
	query := url.Values{}
	if id != "" {
		query.Set("edit", string(id))
	}
	if revision != 0 {
		query.Set("revision", strconv.FormatUint(uint64(revision), 10))
	}
	return doRequest[EditReply](ctx, c, http.MethodGet, subtreePath(s), query, nil)
}

// History returns the latest accepted edits of a subtree.
func (c *OperatorClient) History(ctx context.Context, s cassiasettings.Subtree, limit int) (HistoryReply, error) {
	query := url.Values{"limit": {strconv.Itoa(limit)}}
	return doRequest[HistoryReply](ctx, c, http.MethodGet, subtreePath(s)+"/history", query, nil)
}

// InForce asks the VM which members have which generation in force.
func (c *OperatorClient) InForce(ctx context.Context, wanted cassiaid.Generation) (InForceReply, error) {
	query := url.Values{"ask": {"true"}, "generation": {strconv.FormatUint(uint64(wanted), 10)}}
	return doRequest[InForceReply](ctx, c, http.MethodGet, "/v1/settings/inForce", query, nil)
}

// Restore asks the VM to write what is in force back to a store that has lost it.
func (c *OperatorClient) Restore(ctx context.Context) (InForceReply, error) {
	return doRequest[InForceReply](ctx, c, http.MethodPost, "/v1/settings/restore", nil, emptyBody{})
}

func subtreePath(s cassiasettings.Subtree) string { return "/v1/settings/" + url.PathEscape(string(s)) }

func doRequest[Reply any](ctx context.Context, c *OperatorClient, method, path string, query url.Values, body any) (Reply, error) {
	var reply Reply
	content, err := json.Marshal(body)
	if err != nil {
		return reply, eris.Wrap(err, "encode request")
	}
	u := "http://" + c.Address + path + "?" + query.Encode()
	r, err := http.NewRequestWithContext(ctx, method, u, bytes.NewReader(content))
	if err != nil {
		return reply, eris.Wrap(err, "build request; check --address")
	}
	r.Header.Set("Content-Type", "application/json")
	if c.Token != "" {
		r.Header.Set("Authorization", "Bearer "+c.Token)
	}
	client := c.HTTP
	if client == nil {
		client = http.DefaultClient
	}
	response, err := client.Do(r)
	if err != nil {
		return reply, eris.Wrapf(err, "call VM at %s; check --address or try another VM", c.Address)
	}
	defer func() { _ = response.Body.Close() }()
	content, err = io.ReadAll(io.LimitReader(response.Body, maxRequestBytes))
	if err != nil {
		return reply, eris.Wrapf(err, "read the answer of VM at %s", c.Address)
	}
	if response.StatusCode != http.StatusOK {
		refusal := &ErrorReply{Kind: ErrorInternal, Status: response.StatusCode}
		if json.Unmarshal(content, refusal) != nil || refusal.Message == "" {
			refusal.Message = "VM at " + c.Address + " answered " + response.Status + "; check that --address is its operator address"
		}
		return reply, refusal
	}
	return reply, eris.Wrap(json.Unmarshal(content, &reply), "decode the VM's answer")
}
