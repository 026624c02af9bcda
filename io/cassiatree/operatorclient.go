package cassiatree

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"

	"github.com/rotisserie/eris"

	"cassiasaddle/core/cassiaid"
	"cassiasaddle/core/cassiasettings"
	"cassiasaddle/io/cassiabody"
)

// OperatorClient calls the settings API on a VM's operator port. Address is required. If the VM refuses a call or
// fails, the error is an *ErrorReply; any other error means that the request could not be sent or that no readable
// reply arrived.
type OperatorClient struct {
	// Address is the VM's operator address, as host:port.
	Address string
	// Token authorizes access to one subtree: a team's own token, or the administrators' token for the root.
	Token string
	// HTTP performs the calls; http.DefaultClient when nil.
	HTTP *http.Client
}

// Apply asks the VM to apply an edit.
func (c *OperatorClient) Apply(ctx context.Context, s cassiasettings.Subtree, r EditRequest) (ApplyReply, error) {
	return doRequest[ApplyReply](ctx, c, http.MethodPost, subtreePath(s)+"/apply", nil, r)
}

// Plan asks the VM which change an edit would make, without applying it.
func (c *OperatorClient) Plan(ctx context.Context, s cassiasettings.Subtree, r EditRequest) (PlanReply, error) {
	return doRequest[PlanReply](ctx, c, http.MethodPost, subtreePath(s)+"/plan", nil, r)
}

// Rollback asks the VM to apply the YAML of an earlier revision as a new edit.
func (c *OperatorClient) Rollback(ctx context.Context, s cassiasettings.Subtree, r RollbackRequest) (ApplyReply, error) {
	return doRequest[ApplyReply](ctx, c, http.MethodPost, subtreePath(s)+"/rollback", nil, r)
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

// History returns up to limit accepted edits of a subtree, the latest first. Limit 0 means 20; the maximum is 1000.
func (c *OperatorClient) History(ctx context.Context, s cassiasettings.Subtree, limit int) (HistoryReply, error) {
	query := url.Values{"limit": {strconv.Itoa(limit)}}
	return doRequest[HistoryReply](ctx, c, http.MethodGet, subtreePath(s)+"/history", query, nil)
}

// Generations returns the generation in force on each live member. The VM first asks the members that are not known
// to have reached the wanted generation.
func (c *OperatorClient) Generations(ctx context.Context, wanted cassiaid.Generation) (GenerationsReply, error) {
	query := url.Values{"ask": {"true"}, "generation": {strconv.FormatUint(uint64(wanted), 10)}}
	return doRequest[GenerationsReply](ctx, c, http.MethodGet, "/v1/settings/inForce", query, nil)
}

// Restore asks the VM to write its tree in force to a store that has lost accepted edits.
func (c *OperatorClient) Restore(ctx context.Context) (GenerationsReply, error) {
	return doRequest[GenerationsReply](ctx, c, http.MethodPost, "/v1/settings/restore", nil, emptyBody{})
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
	content, err = cassiabody.ReadAll(response.Body, maxMessageBytes)
	if err != nil {
		return reply, eris.Wrapf(err, "read the reply of the VM at %s", c.Address)
	}
	if response.StatusCode != http.StatusOK {
		refusal := &ErrorReply{Kind: ErrorInternal, Status: response.StatusCode}
		if json.Unmarshal(content, refusal) != nil || refusal.Message == "" {
			refusal.Message = "VM at " + c.Address + " answered " + response.Status + "; check that --address is its operator address"
		}
		return reply, refusal
	}
	return reply, eris.Wrap(json.Unmarshal(content, &reply), "decode the VM's reply")
}
