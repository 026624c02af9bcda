package cassiabench

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/google/uuid"

	"cassiasaddle/core/cassiaschema"
)

// unansweredAfterDeadline is how long after its deadline a request without a reply counts as unanswered.
const unansweredAfterDeadline = 2 * time.Second

// callers sends requests to the VMs through a simulated load balancer, which selects the VM by the caller's number and
// tries the next VM if the connection is refused.
type callers struct {
	links  *links
	client *http.Client

	mu  sync.Mutex
	vms []*cassiaschema.VmConfig
}

func newCallers(vms []*cassiaschema.VmConfig, k *links) *callers {
	return &callers{links: k, vms: vms, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}}
}

// Close closes the idle connections to the VMs.
func (c *callers) Close() { c.client.CloseIdleConnections() }

// remove removes a VM from the load balancer.
func (c *callers) remove(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var kept []*cassiaschema.VmConfig
	for _, vm := range c.vms {
		if vm.GetName() != name {
			kept = append(kept, vm)
		}
	}
	c.vms = kept
}

// pickVM returns the VM for a caller's try; tries count from 0.
func (c *callers) pickVM(caller, try int) *cassiaschema.VmConfig {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.vms[(caller+try)%len(c.vms)]
}

// send sends one request, to at most three VMs, and returns what the caller received.
func (c *callers) send(ctx context.Context, r *request) *reply {
	result := &reply{Request: r, Sent: time.Now()}
	ctx, cancel := context.WithTimeout(ctx, r.deadline()+unansweredAfterDeadline)
	defer cancel()
	c.links.waitToClient(ctx)
	for try := range 3 {
		vm := c.pickVM(r.Caller, try)
		result.VM = vm.GetName()
		refusedConnection := c.sendToVM(ctx, r, vm, result)
		if !refusedConnection {
			break
		}
	}
	c.links.waitToClient(ctx)
	result.Finished = time.Now()
	return result
}

// sendToVM sends a request to one VM and fills in result. It returns true if the connection could not be opened, so
// that nothing was sent and another VM may be tried.
func (c *callers) sendToVM(ctx context.Context, r *request, vm *cassiaschema.VmConfig, result *reply) bool {
	url := "http://" + vm.GetCallerAddress() + "/v1/teams/" + r.Team + "/fronts/" + r.Front.GetName() + "/query"
	call, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(r.Body))
	if err != nil {
		result.Failure = err.Error()
		return false
	}
	call.GetBody = nil
	result.RequestID = uuid.NewString()
	call.Header.Set("Content-Type", "application/json")
	call.Header.Set("Request-Id", result.RequestID)
	if r.Key != "" {
		call.Header.Set("Idempotency-Key", r.Key)
	}
	if r.ShardKey != "" {
		call.Header.Set("Shard-Key", r.ShardKey)
	}
	response, err := c.client.Do(call)
	if err != nil {
		result.Failure = err.Error()
		var dial *net.OpError
		return errors.As(err, &dial) && dial.Op == "dial"
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(response.Body)
	if err != nil {
		result.Failure = err.Error()
		return false
	}
	result.Failure = ""
	decodeReply(result, response.StatusCode, content)
	return false
}

// decodeReply decodes an HTTP response into an answer, a refusal, or a failure if it is neither.
func decodeReply(result *reply, status int, content []byte) {
	if status == http.StatusOK {
		a := &answer{}
		if err := json.Unmarshal(content, a); err != nil {
			result.Failure = "answer is not readable: " + err.Error()
			return
		}
		result.Answer = a
		return
	}
	f := &refusal{}
	if err := json.Unmarshal(content, f); err != nil || f.Kind == "" {
		result.Failure = http.StatusText(status) + " without a typed refusal: " + string(content)
		return
	}
	result.Refusal = f
}
