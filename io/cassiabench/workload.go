package cassiabench

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/google/uuid"

	"cassiasaddle/core/cassiaschema"
	"cassiasaddle/standin/cassiashard"
)

// crashMarker is the text in a request body that crashes the target.
const crashMarker = "crash-the-target"

// load is a random stream of requests to one front.
type load struct {
	Team, Front string
	// Rate is the mean number of requests per second, without repeats.
	Rate float64
	// RepeatShare is the fraction of requests that the caller sends a second time, to another VM.
	RepeatShare float64
	// RepeatWithin is the longest time between a request and its repeat.
	RepeatWithin time.Duration
	// Crashing makes all requests have the same body, which crashes targets.
	Crashing bool
}

// workload generates the requests of several loads for a duration, sorted by planned send time. The same seed gives the
// same requests.
func workload(loads []load, fronts map[string]*cassiaschema.Front, duration time.Duration, seed uint64) []*request {
	var all []*request
	for _, l := range loads {
		front := fronts[l.Team+"/"+l.Front]
		all = append(all, l.requests(front, duration, seed)...)
	}
	slices.SortStableFunc(all, func(a, b *request) int { return int(a.At - b.At) })
	return all
}

// requests generates the load's requests, with exponentially distributed gaps between them (a Poisson process). Repeats
// follow their request directly, so the result is not sorted by time.
func (l load) requests(front *cassiaschema.Front, duration time.Duration, seed uint64) []*request {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(l.Team + "/" + l.Front))
	random := rand.New(rand.NewPCG(seed, hash.Sum64()))
	gap := func() time.Duration { return time.Duration(random.ExpFloat64() / l.Rate * float64(time.Second)) }
	var requests []*request
	for at := gap(); at < duration; at += gap() {
		r := l.request(front, at, len(requests), random)
		requests = append(requests, r)
		if l.RepeatShare > 0 && random.Float64() < l.RepeatShare {
			repeat := *r
			repeat.At += time.Duration(random.Float64() * float64(l.RepeatWithin))
			repeat.Caller++
			requests = append(requests, &repeat)
		}
	}
	return requests
}

func (l load) request(front *cassiaschema.Front, at time.Duration, number int, random *rand.Rand) *request {
	body := fmt.Appendf(nil, `{"search":"%s","number":%d,"nonce":%d}`, l.Front, number, random.Uint64()>>12)
	if l.Crashing {
		body = fmt.Appendf(nil, `{"search":%q}`, crashMarker)
	}
	r := &request{
		At: at, Team: l.Team, Front: front, Body: body, BodyHash: cassiashard.BodyHash(body),
		Caller: random.IntN(1 << 20), Crashing: l.Crashing,
	}
	if front.GetFanout() == cassiaschema.Fanout_oneShardByKey {
		r.ShardKey = fmt.Sprintf("household-%d", random.IntN(10000))
	}
	if front.GetKind() == cassiaschema.RequestKind_nonIdempotent {
		r.Key = "replaced by setIdempotencyKeys"
	}
	return r
}

// setIdempotencyKeys gives each non-idempotent request a UUID of version 7, which contains the current time, and its
// repeat the same one. The keys differ between runs with the same seed.
func setIdempotencyKeys(requests []*request) error {
	keys := map[string]string{}
	for _, r := range requests {
		if r.Key == "" {
			continue
		}
		if keys[r.BodyHash] == "" {
			id, err := uuid.NewV7()
			if err != nil {
				return err
			}
			keys[r.BodyHash] = id.String()
		}
		r.Key = keys[r.BodyHash]
	}
	return nil
}
