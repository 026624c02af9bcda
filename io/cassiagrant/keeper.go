package cassiagrant

import (
	"context"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
	"golang.org/x/sync/errgroup"

	"cassiasaddle/core/cassiacatalog"
	"cassiasaddle/core/cassiaclock"
	"cassiasaddle/core/cassiaid"
	"cassiasaddle/core/cassiaquota"
	"cassiasaddle/core/cassiaschema"
	"cassiasaddle/io/cassiapeer"
)

const (
	// exchangeTimeout is how long a coordinator may take to reply. Requests wait for less; a later reply still shows that it is reached.
	exchangeTimeout = 400 * time.Millisecond
	// connectInterval is how often an empty question keeps the connection to a candidate open. Connections that are not used for 30 s are
	// closed, and opening one takes longer than a request waits.
	connectInterval = 10 * time.Second
	// connectTimeout bounds the opening of a connection.
	connectTimeout = 2 * time.Second
)

// Exchanger sends a request to another VM and returns its reply; *cassiapeer.Node implements it.
type Exchanger interface {
	Exchange(ctx context.Context, vm cassiaid.VMName, frame *cassiaschema.PeerFrame) (*cassiaschema.PeerFrame, error)
	// DropSilent closes the connection to a VM if nothing has arrived on it since a time; the next exchange opens a new one.
	DropSilent(vm cassiaid.VMName, since time.Time)
}

// Config configures a Keeper. All fields are required.
type Config struct {
	Self     cassiaid.VMName
	Settings cassiaquota.Settings
	Clock    cassiaclock.BootClock
	Log      func(event string, fields ...any)
	Scope    tally.Scope
}

// Keeper decides on the requests of teams with a quota. A nil Keeper admits all requests. It is safe for concurrent use.
type Keeper struct {
	config  Config
	group   errgroup.Group
	avoided tally.Counter
	changes tally.Counter
	// connect receives when there may be new candidates.
	connect chan struct{}

	mutex       sync.Mutex
	standing    *cassiaquota.Standing
	coordinator *cassiaquota.Coordinator
	holder      *cassiaquota.Holder
	exchanger   Exchanger
	counters    *counters
	// limited is the number of teams with a quota, coordinated the number of parts of slots that this VM was last known to coordinate.
	limited, coordinated int
	waiting              map[cassiaquota.RequestID]chan cassiaquota.Decided
	timer                *time.Timer
}

// NewKeeper returns a keeper that knows no teams and no other VMs.
func NewKeeper(config Config) *Keeper {
	standing := cassiaquota.NewStanding(config.Self, config.Settings)
	k := &Keeper{config: config, standing: standing, coordinator: cassiaquota.NewCoordinator(config.Settings, standing),
		holder: cassiaquota.NewHolder(config.Settings, standing), counters: newCounters(config.Scope, nil),
		avoided: config.Scope.Counter("quota_coordinators_avoided"), changes: config.Scope.Counter("quota_coordinator_changes"),
		connect: make(chan struct{}, 1), waiting: make(map[cassiaquota.RequestID]chan cassiaquota.Decided)}
	k.timer = time.AfterFunc(time.Hour, k.tick)
	k.timer.Stop()
	return k
}

// SetExchanger sets the exchanger through which coordinators are asked; without one, this VM reaches only itself.
func (k *Keeper) SetExchanger(exchanger Exchanger) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	k.exchanger = exchanger
	k.requestConnections()
}

// UpdateTeams puts the quotas of a configuration in force.
func (k *Keeper) UpdateTeams(teams *cassiacatalog.Teams) {
	if k == nil {
		return
	}
	limited := teams.WithQuota()
	k.mutex.Lock()
	defer k.mutex.Unlock()
	k.coordinator.SetTeams(k.config.Clock.Now(), teams)
	k.holder.SetTeams(teams)
	k.counters = newCounters(k.config.Scope, limited)
	if len(limited) > 0 || k.limited > 0 {
		k.config.Log("quotasInForce", "teams", len(limited))
	}
	k.limited = len(limited)
	k.requestConnections()
}

// Announced has to be called before this process puts its VM on the list.
func (k *Keeper) Announced() {
	if k == nil {
		return
	}
	k.mutex.Lock()
	defer k.mutex.Unlock()
	k.standing.Announced()
}

// UpdateFleet replaces the list of VMs.
func (k *Keeper) UpdateFleet(vms []cassiaquota.VM) {
	if k == nil {
		return
	}
	k.mutex.Lock()
	defer k.mutex.Unlock()
	if changes := k.standing.List(k.config.Clock.Now(), vms); changes > 0 {
		k.changes.Inc(int64(changes))
		k.event("quotaCoordinatorsChanged", "changes", changes, "candidates", len(k.standing.Candidates()))
	}
	k.holder.Forget()
	k.reportCoordinated()
	k.requestConnections()
}

// Confirm reports that the list of VMs is known as of a time.
func (k *Keeper) Confirm(asOf cassiaclock.BootTime) {
	if k == nil {
		return
	}
	k.mutex.Lock()
	defer k.mutex.Unlock()
	k.standing.Confirm(k.config.Clock.Now(), asOf)
	k.reportCoordinated()
}

// reportCoordinated logs for how many parts of quotas this VM coordinates if that has changed.
func (k *Keeper) reportCoordinated() {
	if n := k.standing.Coordinated(k.config.Clock.Now()); n != k.coordinated {
		k.coordinated = n
		k.event("quotaPartsCoordinated", "parts", n)
	}
}

// event logs an event while there are quotas.
func (k *Keeper) event(name string, fields ...any) {
	if k.limited > 0 {
		k.config.Log(name, fields...)
	}
}

// Acquire decides on a request of a team. It waits for a grant for a short time. It returns false if ctx ends before.
func (k *Keeper) Acquire(ctx context.Context, team *cassiacatalog.Team) (cassiaquota.Decided, bool) {
	if k == nil || team == nil || !team.Quota.Limited() {
		return cassiaquota.Decided{}, true
	}
	k.mutex.Lock()
	token, id, effects := k.holder.Request(k.config.Clock.Now(), team)
	counted := k.counters.of(team.Name)
	if id == 0 {
		if len(effects) > 0 {
			k.perform(effects)
		}
		k.mutex.Unlock()
		counted.verdicts[cassiaquota.Admitted].Inc(1)
		return cassiaquota.Decided{Token: token}, true
	}
	decided := make(chan cassiaquota.Decided, 1)
	k.waiting[id] = decided
	k.perform(effects)
	k.mutex.Unlock()
	select {
	case d := <-decided:
		counted.verdicts[d.Verdict].Inc(1)
		return d, true
	case <-ctx.Done():
	}
	k.mutex.Lock()
	delete(k.waiting, id)
	k.holder.Cancel(id)
	k.mutex.Unlock()
	select {
	case d := <-decided:
		k.Return(d.Token)
	default:
	}
	return cassiaquota.Decided{}, false
}

// Return takes back the token of a request that did not run.
func (k *Keeper) Return(token cassiaquota.Token) {
	if k == nil || token.Team == "" {
		return
	}
	k.mutex.Lock()
	defer k.mutex.Unlock()
	k.perform(k.holder.Return(k.config.Clock.Now(), token))
}

func (k *Keeper) tick() {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	k.perform(k.holder.Tick(k.config.Clock.Now()))
}

// perform carries out the effects of the holder; the caller holds the mutex.
func (k *Keeper) perform(effects []cassiaquota.Effect) {
	for len(effects) > 0 {
		e := effects[0]
		effects = effects[1:]
		switch e := e.(type) {
		case cassiaquota.Decided:
			if decided := k.waiting[e.Request]; decided != nil {
				delete(k.waiting, e.Request)
				decided <- e
			}
		case cassiaquota.Avoided:
			k.avoided.Inc(1)
			k.event("quotaCoordinatorAvoided", "coordinator", e.VM)
		case cassiaquota.Ask:
			switch {
			case e.VM == k.config.Self:
				effects = append(effects, k.holder.Replied(k.config.Clock.Now(), e.VM, k.serve(e.Demands))...)
			case k.exchanger == nil:
				effects = append(effects, k.holder.Failed(k.config.Clock.Now(), e.VM)...)
			default:
				exchanger := k.exchanger
				k.group.Go(func() error { k.ask(exchanger, e); return nil })
			}
		}
	}
	if at := k.holder.NextWake(); at != 0 {
		k.timer.Reset(max(0, at.Sub(k.config.Clock.Now())))
	}
}

// ask puts a question to a coordinator.
func (k *Keeper) ask(exchanger Exchanger, e cassiaquota.Ask) {
	start := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), exchangeTimeout)
	defer cancel()
	frame, err := exchanger.Exchange(ctx, e.VM, encodeDemands(e.Demands))
	if err != nil {
		// A silent connection may lead to an earlier process of that VM and would stay silent for long.
		exchanger.DropSilent(e.VM, start)
	}
	k.mutex.Lock()
	defer k.mutex.Unlock()
	if err != nil {
		k.perform(k.holder.Failed(k.config.Clock.Now(), e.VM))
		return
	}
	k.perform(k.holder.Replied(k.config.Clock.Now(), e.VM, decodeGrants(frame.GetQuotaReply())))
}

// serve returns the grants of this VM as a coordinator; the caller holds the mutex.
func (k *Keeper) serve(demands []cassiaquota.Demand) []cassiaquota.Grant {
	grants := k.coordinator.Serve(k.config.Clock.Now(), demands)
	for _, g := range grants {
		k.counters.of(g.Team).granted.Inc(int64(g.Count))
	}
	return grants
}

// Serve replies to the question of another VM; it does not block.
func (k *Keeper) Serve(request *cassiaschema.QuotaRequest, reply cassiapeer.Replier) {
	k.mutex.Lock()
	grants := k.serve(decodeDemands(request))
	k.mutex.Unlock()
	k.group.Go(func() error {
		// Without the reply the other VM asks another coordinator, and the grants expire.
		_ = reply(encodeGrants(grants))
		return nil
	})
}

// requestConnections has KeepConnected look for new candidates.
func (k *Keeper) requestConnections() {
	select {
	case k.connect <- struct{}{}:
	default:
	}
}

// KeepConnected keeps connections to all VMs open that may coordinate quotas, while there are any, until ctx is done.
func (k *Keeper) KeepConnected(ctx context.Context) {
	ticker := time.NewTicker(connectInterval)
	defer ticker.Stop()
	connected := make(map[cassiaid.VMName]bool)
	for {
		again := false
		select {
		case <-k.connect:
		case <-ticker.C:
			again = true
		case <-ctx.Done():
			return
		}
		k.mutex.Lock()
		exchanger, candidates := k.exchanger, k.standing.Candidates()
		if k.limited == 0 || exchanger == nil {
			candidates = nil
		}
		k.mutex.Unlock()
		known := connected
		connected = make(map[cassiaid.VMName]bool, len(candidates))
		for _, vm := range candidates {
			connected[vm] = true
			if vm != k.config.Self && (again || !known[vm]) {
				k.group.Go(func() error { openConnection(ctx, exchanger, vm); return nil })
			}
		}
	}
}

// openConnection opens the connection to a VM, or keeps it from ending unused.
func openConnection(ctx context.Context, exchanger Exchanger, vm cassiaid.VMName) {
	ctx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	// An error is ignored, since the next question shows whether the VM can be reached.
	_, _ = exchanger.Exchange(ctx, vm, encodeDemands(nil))
}
