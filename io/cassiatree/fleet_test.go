package cassiatree

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/google/uuid"
	"github.com/uber-go/tally/v4"
	"golang.org/x/sync/errgroup"

	"cassiasaddle/core/cassiaid"
	"cassiasaddle/core/cassiaschema"
	"cassiasaddle/core/cassiasettings"
	"cassiasaddle/io/cassiastore"
	"cassiasaddle/standin/cassiaplatform"
)

const (
	adminToken      = "admin"
	convergeTimeout = 5 * time.Second
	gossipInterval  = 500 * time.Millisecond
)

// fleet runs several services in one process, with one platform stand-in as their store.
type fleet struct {
	c        *qt.C
	platform *cassiaplatform.Platform
	store    *httptest.Server
	ctx      context.Context
	group    *errgroup.Group

	mu   sync.Mutex
	vms  map[cassiaid.VMName]*fleetVM
	cuts map[cassiaid.Zone]bool
}

// fleetVM is one service and its operator port.
type fleetVM struct {
	*Service
	fleet    *fleet
	name     cassiaid.VMName
	zone     cassiaid.Zone
	changed  chan struct{}
	operator *httptest.Server
	stop     context.CancelFunc
	faults   *storeFaults
	scope    tally.TestScope
	// lost holds the VMs with which the next exchange is lost.
	lost sync.Map
	// peersCut has all exchanges with other VMs lost.
	peersCut atomic.Bool
}

// storeFaults is the HTTP transport of one VM to the store. before can fail a call before it is sent, after can drop the
// reply.
type storeFaults struct {
	mu            sync.Mutex
	before, after func(*http.Request) error
}

// RoundTrip performs a call unless before returns an error, and drops the reply if after returns an error.
func (f *storeFaults) RoundTrip(r *http.Request) (*http.Response, error) {
	if err := f.fault(r, false); err != nil {
		return nil, err
	}
	response, err := http.DefaultTransport.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	if err := f.fault(r, true); err != nil {
		_ = response.Body.Close()
		return nil, err
	}
	return response, nil
}

// fault returns the error of after if the call has been answered, else the error of before.
func (f *storeFaults) fault(r *http.Request, answered bool) error {
	f.mu.Lock()
	fault := f.before
	if answered {
		fault = f.after
	}
	f.mu.Unlock()
	if fault == nil {
		return nil
	}
	return fault(r)
}

func (f *storeFaults) set(before, after func(*http.Request) error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.before, f.after = before, after
}

var errConnectionLost = errors.New("connection lost")

// loseFirstPut returns a fault that fails the first put of a key with the prefix.
func loseFirstPut(prefix string) func(*http.Request) error {
	var first sync.Once
	return func(r *http.Request) error {
		var err error
		if r.Method == http.MethodPut && strings.HasPrefix(r.URL.Path, "/v1/kv/"+prefix) {
			first.Do(func() { err = errConnectionLost })
		}
		return err
	}
}

func newFleet(t testing.TB) *fleet {
	f := &fleet{c: qt.New(t), platform: cassiaplatform.New(cassiaplatform.Options{}),
		vms: make(map[cassiaid.VMName]*fleetVM), cuts: make(map[cassiaid.Zone]bool)}
	f.store = httptest.NewServer(f.platform)
	ctx, cancel := context.WithCancel(context.Background())
	f.group, f.ctx = errgroup.WithContext(ctx)
	f.group.Go(f.gossip)
	t.Cleanup(func() {
		cancel()
		f.c.Check(f.group.Wait(), qt.IsNil)
		f.store.CloseClientConnections()
		f.store.Close()
		for _, v := range f.vms {
			v.operator.Close()
		}
	})
	return f
}

// gossip notifies all VMs every gossipInterval that the members' generations may have changed.
func (f *fleet) gossip() error {
	ticker := time.NewTicker(gossipInterval)
	defer ticker.Stop()
	for {
		select {
		case <-f.ctx.Done():
			return nil
		case <-ticker.C:
			f.notify()
		}
	}
}

func (f *fleet) notify() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, v := range f.vms {
		select {
		case v.changed <- struct{}{}:
		default:
		}
	}
}

// add adds a VM without starting it; run starts it.
func (f *fleet) add(name cassiaid.VMName, zone cassiaid.Zone) *fleetVM {
	v := &fleetVM{fleet: f, name: name, zone: zone, changed: make(chan struct{}, 1), faults: &storeFaults{}, scope: tally.NewTestScope("", nil)}
	sum := sha256.Sum256([]byte(adminToken))
	v.Service = New(Config{Self: name, Zone: zone, AdminTokenSHA256: hex.EncodeToString(sum[:]),
		Store: &cassiastore.Client{Address: strings.TrimPrefix(f.store.URL, "http://"), HTTP: &http.Client{Transport: v.faults}},
		Peers: v, Members: v, Scope: v.scope, WatchWait: testWatchWait, Seed: uint64(len(f.vms))})
	v.operator = httptest.NewServer(v.Handler())
	f.mu.Lock()
	defer f.mu.Unlock()
	f.vms[name] = v
	return v
}

func (v *fleetVM) run() {
	ctx, stop := context.WithCancel(v.fleet.ctx)
	v.stop = stop
	v.fleet.group.Go(func() error { return v.Run(ctx) })
}

// addMany adds and starts VMs that are spread evenly over the zones.
func (f *fleet) addMany(vms, zones int) []*fleetVM {
	var all []*fleetVM
	for i := range vms {
		all = append(all, f.add(cassiaid.VMName(fmt.Sprintf("vm%02d", i)), cassiaid.Zone(fmt.Sprintf("zone%d", i%zones))))
	}
	for _, v := range all {
		v.run()
	}
	return all
}

func (f *fleet) remove(v *fleetVM) {
	v.stop()
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.vms, v.name)
	v.operator.Close()
}

func (f *fleet) cut(zone cassiaid.Zone, cut bool) {
	f.mu.Lock()
	f.cuts[zone] = cut
	f.mu.Unlock()
	for _, v := range f.vms {
		if v.zone == zone && cut {
			v.faults.set(func(*http.Request) error { return errConnectionLost }, func(*http.Request) error { return errConnectionLost })
		} else if v.zone == zone {
			v.faults.set(nil, nil)
		}
	}
}

// lookUpPeer returns another VM, or errConnectionLost if it is unknown or a cut separates the zones.
func (v *fleetVM) lookUpPeer(to cassiaid.VMName) (*fleetVM, error) {
	v.fleet.mu.Lock()
	defer v.fleet.mu.Unlock()
	o := v.fleet.vms[to]
	if o == nil || o.zone != v.zone && (v.fleet.cuts[o.zone] || v.fleet.cuts[v.zone]) {
		return nil, errConnectionLost
	}
	return o, nil
}

// Send implements Peers.
func (v *fleetVM) Send(_ context.Context, to cassiaid.VMName, frame *cassiaschema.PeerFrame) error {
	o, err := v.lookUpPeer(to)
	if err == nil {
		o.HandleFrame(v.name, frame)
	}
	return err
}

// Exchange implements Peers.
func (v *fleetVM) Exchange(_ context.Context, to cassiaid.VMName, frame *cassiaschema.PeerFrame) (*cassiaschema.PeerFrame, error) {
	if _, lost := v.lost.LoadAndDelete(to); lost || v.peersCut.Load() {
		return nil, errConnectionLost
	}
	o, err := v.lookUpPeer(to)
	if err != nil {
		return nil, err
	}
	return o.HandleFrame(v.name, frame), nil
}

// counter returns a counter's value.
func (v *fleetVM) counter(name string) int64 {
	for _, c := range v.scope.Snapshot().Counters() {
		if c.Name() == name {
			return c.Value()
		}
	}
	return 0
}

// Live implements Members.
func (v *fleetVM) Live() []cassiasettings.Member {
	v.fleet.mu.Lock()
	defer v.fleet.mu.Unlock()
	var live []cassiasettings.Member
	for _, o := range v.fleet.vms {
		if o.zone == v.zone || !v.fleet.cuts[o.zone] && !v.fleet.cuts[v.zone] {
			live = append(live, cassiasettings.Member{Name: o.name, Zone: o.zone, Generation: o.Generation()})
		}
	}
	return live
}

// Changed implements Members.
func (v *fleetVM) Changed() <-chan struct{} { return v.changed }

func (v *fleetVM) client(token string) *OperatorClient {
	return &OperatorClient{Address: strings.TrimPrefix(v.operator.URL, "http://"), Token: token}
}

func newEditID() cassiasettings.EditID { return cassiasettings.EditID(uuid.NewString()) }

// apply applies a text over the operator port; the token is the team's name, or adminToken for the root subtree.
func (v *fleetVM) apply(ctx context.Context, subtree cassiasettings.Subtree, base cassiaid.Revision, yaml string) (ApplyReply, error) {
	token := string(subtree)
	if subtree == cassiasettings.RootSubtree {
		token = adminToken
	}
	return v.client(token).Apply(ctx, subtree, EditRequest{YAML: yaml, BaseRevision: base, EditID: newEditID(), Author: "tester"})
}

// applyRoot applies a root subtree that lists the teams; each team's token is its name.
func (v *fleetVM) applyRoot(teams ...string) {
	_, err := v.apply(v.fleet.ctx, cassiasettings.RootSubtree, 0, rootText(teams...))
	v.fleet.c.Assert(err, qt.IsNil)
}

func rootText(teams ...string) string {
	text := "teams:\n"
	for _, team := range teams {
		sum := sha256.Sum256([]byte(team))
		text += fmt.Sprintf("  - {name: %s, tokenSha256: %s}\n", team, hex.EncodeToString(sum[:]))
	}
	return text
}

func teamText(team, share string) string {
	return fmt.Sprintf(`team: %s
fronts:
  - name: leit
    targetLimits: {connectionShare: %s}
    shards:
      - name: s0
        targets: [{name: t0, address: "10.0.0.1:80", availabilityZone: zone0}]
`, team, share)
}

// eventually polls a condition and fails the test if it is still false after limit.
func (f *fleet) eventually(limit time.Duration, description string, condition func() bool) {
	deadline := time.Now().Add(limit)
	for !condition() {
		if time.Now().After(deadline) {
			f.c.Fatalf("condition not met within %s: %s", limit, description)
		}
		time.Sleep(2 * time.Millisecond)
	}
}

func (f *fleet) requireGeneration(limit time.Duration, vms []*fleetVM, g cassiaid.Generation) {
	f.eventually(limit, fmt.Sprintf("generation %d on all VMs", g), func() bool {
		for _, v := range vms {
			if v.Generation() != g {
				return false
			}
		}
		return true
	})
}
