package cassiabench

import (
	"bytes"
	"context"
	"encoding/json"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"cassiasaddle/core/cassiaplan"
	"cassiasaddle/core/cassiaschema"
	"cassiasaddle/standin/cassiashard"
)

// baselineAttempts is the number of attempts per shard: the first and two retries, each with an equal part of the
// deadline as its timeout.
const baselineAttempts = 3

// baseline is a plain client: it sends each shard request directly to a random replica, with a fixed timeout and two
// retries. It has no hedges and no limits, and does not select one snapshot for all shards.
type baseline struct {
	entries []baselineEntry
	links   *links

	mu     sync.Mutex
	random *rand.Rand
}

// baselineEntry is an entry point for the baseline's callers: an HTTP client in the availability zone of a VM.
type baselineEntry struct {
	zone   string
	client *http.Client
}

// newBaseline returns a plain client with one entry for each VM, in the VM's availability zone.
func newBaseline(l *layout, k *links, seed uint64) *baseline {
	b := &baseline{links: k, random: rand.New(rand.NewPCG(seed, 2))}
	zones := map[string]string{}
	for _, team := range l.Teams {
		for _, front := range team.GetFronts() {
			for _, shard := range front.GetShards() {
				for _, target := range shard.GetTargets() {
					zones[target.GetAddress()] = target.GetAvailabilityZone()
				}
			}
		}
	}
	for _, vm := range l.VMs {
		b.entries = append(b.entries, baselineEntry{vm.GetAvailabilityZone(), zonedClient(k, vm.GetAvailabilityZone(), zones)})
	}
	return b
}

// Close closes the idle connections of all entries.
func (b *baseline) Close() {
	for _, e := range b.entries {
		e.client.CloseIdleConnections()
	}
}

// send sends one request to its shards in parallel and returns what its caller receives, with simulated link delays.
func (b *baseline) send(ctx context.Context, r *request) *reply {
	result := &reply{Request: r, Sent: time.Now()}
	entry := b.entries[r.Caller%len(b.entries)]
	b.links.waitToClient(ctx)
	defer func() {
		b.links.waitToClient(ctx)
		result.Finished = time.Now()
	}()
	ctx, cancel := context.WithTimeout(ctx, r.deadline())
	defer cancel()
	shards := r.Front.GetShards()
	if r.Front.GetFanout() == cassiaschema.Fanout_oneShardByKey {
		hash := fnv.New32a()
		_, _ = hash.Write([]byte(r.ShardKey))
		at := int(hash.Sum32()) % len(shards)
		shards = shards[at : at+1]
	}
	rows := make([]*cassiashard.Rows, len(shards))
	var group errgroup.Group
	for i, shard := range shards {
		group.Go(func() error {
			rows[i] = b.sendToShard(ctx, entry.client, r, shard)
			return nil
		})
	}
	_ = group.Wait()
	assembleBaseline(result, rows)
	return result
}

// sendToShard sends up to baselineAttempts attempts to random replicas of a shard, and returns nil if none succeeds.
func (b *baseline) sendToShard(ctx context.Context, client *http.Client, r *request, shard *cassiaschema.Shard) *cassiashard.Rows {
	for range baselineAttempts {
		b.mu.Lock()
		target := shard.GetTargets()[b.random.IntN(len(shard.GetTargets()))]
		id := b.random.Uint64()
		b.mu.Unlock()
		if rows := sendAttempt(ctx, client, r, shard.GetName(), target.GetAddress(), id); rows != nil || ctx.Err() != nil {
			return rows
		}
	}
	return nil
}

// sendAttempt sends one attempt with the fixed timeout, and returns nil if it fails.
func sendAttempt(ctx context.Context, client *http.Client, r *request, shard, address string, id uint64) *cassiashard.Rows {
	timeout := r.deadline() / baselineAttempts
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	call, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/shard", bytes.NewReader(r.Body))
	if err != nil {
		return nil
	}
	call.Header.Set("Attempt-Id", strconv.FormatUint(id, 10))
	call.Header.Set("Shard", shard)
	call.Header.Set("Snapshot", "0")
	call.Header.Set("Deadline-Ms", strconv.FormatInt(timeout.Milliseconds(), 10))
	if r.Key != "" {
		call.Header.Set("Idempotency-Key", r.Key)
	}
	response, err := client.Do(call)
	if err != nil {
		return nil
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(response.Body)
	if err != nil || response.StatusCode != http.StatusOK {
		return nil
	}
	rows := &cassiashard.Rows{}
	if json.Unmarshal(content, rows) != nil {
		return nil
	}
	return rows
}

// assembleBaseline merges the rows of all shards into an answer, or into a refusal if the coverage is 0 or below the
// front's minimum. A nil element of rows is a shard that failed.
func assembleBaseline(result *reply, rows []*cassiashard.Rows) {
	a := &answer{Coverage: coverage{Asked: len(rows)}}
	for _, r := range rows {
		if r == nil {
			a.Coverage.Missing = append(a.Coverage.Missing, missingShard{Reason: string(cassiaplan.MissingFailed)})
			continue
		}
		a.Rows = append(a.Rows, *r)
		a.Snapshot = max(a.Snapshot, r.Snapshot)
	}
	a.Coverage.Answered = len(a.Rows)
	a.Coverage.Fraction = float64(len(a.Rows)) / float64(len(rows))
	if a.Coverage.Answered == 0 || a.Coverage.Fraction < result.Request.Front.GetMinCoverage() {
		result.Refusal = &refusal{Kind: cassiaplan.RefusalInsufficientCoverage, Ran: cassiaplan.RanUnknown}
		return
	}
	result.Answer = a
}

// zonedClient returns an HTTP client in an availability zone. Connections, requests and replies that cross zones are
// delayed by the simulated links. zoneOf maps addresses to their zones.
func zonedClient(l *links, zone string, zoneOf map[string]string) *http.Client {
	dialer := &net.Dialer{}
	transport := &http.Transport{
		MaxIdleConnsPerHost: 16,
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			l.waitOneWay(ctx, zone, zoneOf[address])
			l.waitOneWay(ctx, zoneOf[address], zone)
			return dialer.DialContext(ctx, network, address)
		},
	}
	return &http.Client{Transport: zonedTripper{transport, l, zone, zoneOf}}
}

// zonedTripper is an HTTP transport that delays requests to other availability zones and their replies.
type zonedTripper struct {
	next   *http.Transport
	links  *links
	zone   string
	zoneOf map[string]string
}

// RoundTrip delays the request and its reply by one simulated one-way delay each.
func (t zonedTripper) RoundTrip(r *http.Request) (*http.Response, error) {
	other := t.zoneOf[r.URL.Host]
	t.links.waitOneWay(r.Context(), t.zone, other)
	response, err := t.next.RoundTrip(r)
	if err == nil {
		t.links.waitOneWay(r.Context(), other, t.zone)
	}
	return response, err
}

// CloseIdleConnections closes the idle connections of the underlying transport.
func (t zonedTripper) CloseIdleConnections() { t.next.CloseIdleConnections() }
