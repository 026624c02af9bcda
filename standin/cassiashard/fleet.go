package cassiashard

import (
	"context"
	"net/http"
	"slices"

	"github.com/rotisserie/eris"

	"cassiasaddle/core/cassiaschema"
	"cassiasaddle/standin/cassialaunch"
)

// Fleet is all the targets of some teams in one process.
type Fleet struct {
	targets []*Target
	byName  map[string]*Target
}

// NewFleet returns a target for each name in the teams' settings. The first behaviour is the team's, but connection
// caps, shards and epochs are those of the settings.
func NewFleet(teams []*cassiaschema.TeamSettings, behaviourOf func(team string) Behaviour, seed uint64) (*Fleet, error) {
	b := fleetBuilder{options: map[string]*Options{}, seed: seed}
	for _, team := range teams {
		if err := b.addTeam(team, behaviourOf(team.GetTeam())); err != nil {
			return nil, err
		}
	}
	f := &Fleet{byName: map[string]*Target{}}
	for _, name := range b.names {
		f.add(NewTarget(*b.options[name]))
	}
	return f, nil
}

// fleetBuilder gathers what the settings say of each target.
type fleetBuilder struct {
	options map[string]*Options
	names   []string
	seed    uint64
}

func (b *fleetBuilder) addTeam(team *cassiaschema.TeamSettings, behaviour Behaviour) error {
	for _, front := range team.GetFronts() {
		for _, shard := range front.GetShards() {
			for _, target := range shard.GetTargets() {
				o := b.optionsFor(target, behaviour)
				if o.Address != target.GetAddress() {
					return eris.Errorf("target %s has two addresses; give each address its own name", o.Name)
				}
				o.addShard(front, shard.GetName())
			}
		}
	}
	return nil
}

// optionsFor returns the options of a target, new ones at its first mention.
func (b *fleetBuilder) optionsFor(target *cassiaschema.Target, behaviour Behaviour) *Options {
	o := b.options[target.GetName()]
	if o == nil {
		o = &Options{
			Name: target.GetName(), Address: target.GetAddress(),
			AvailabilityZone: target.GetAvailabilityZone(), Seed: b.seed, Behaviour: behaviour,
		}
		b.options[o.Name] = o
		b.names = append(b.names, o.Name)
	}
	return o
}

// addShard widens a target's behaviour by a shard of a front.
func (o *Options) addShard(front *cassiaschema.Front, shard string) {
	b := &o.Behaviour
	if !slices.Contains(b.Shards, shard) {
		b.Shards = append(slices.Clone(b.Shards), shard)
	}
	b.ShardMapEpoch = max(b.ShardMapEpoch, front.GetShardMapEpoch())
	if maximum := front.GetTargetLimits().GetMaxConnections(); maximum > 0 {
		b.MaxConnections = int(maximum)
	}
}

func (f *Fleet) add(t *Target) {
	f.targets = append(f.targets, t)
	f.byName[t.Name()] = t
}

// Targets returns all targets in the order of the settings.
func (f *Fleet) Targets() []*Target { return f.targets }

// Target returns a target by its name, nil when there is none.
func (f *Fleet) Target(name string) *Target { return f.byName[name] }

// Change replaces parts of every target's behaviour.
func (f *Fleet) Change(change func(*Behaviour)) {
	for _, t := range f.targets {
		t.Change(change)
	}
}

// Log returns the executions of all targets.
func (f *Fleet) Log() []Execution {
	var all []Execution
	for _, t := range f.targets {
		all = append(all, t.Log()...)
	}
	return all
}

// ClearLog forgets the executions of all targets.
func (f *Fleet) ClearLog() {
	for _, t := range f.targets {
		t.ClearLog()
	}
}

// Run serves all targets until the context ends; ready is called once when all listen.
func (f *Fleet) Run(ctx context.Context, ready func()) error {
	return cassialaunch.RunAll(ctx, f.targets, ready)
}

// ControlHandler serves /standin/targets/{name}/behaviour and /standin/targets/{name}/log, and with the name "all"
// those of all targets.
func (f *Fleet) ControlHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /standin/targets/all/log", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, LogReply{f.Log(), f.Counters()})
	})
	mux.HandleFunc("DELETE /standin/targets/all/log", func(w http.ResponseWriter, _ *http.Request) {
		f.ClearLog()
		w.WriteHeader(http.StatusNoContent)
	})
	mux.HandleFunc("POST /standin/targets/all/behaviour", f.postBehaviour)
	mux.HandleFunc("/standin/targets/{name}/{rest...}", func(w http.ResponseWriter, r *http.Request) {
		t := f.byName[r.PathValue("name")]
		if t == nil {
			writeProblem(w, http.StatusNotFound, "no such target")
			return
		}
		http.StripPrefix("/standin/targets/"+t.Name(), t.unprefixedControlHandler()).ServeHTTP(w, r)
	})
	return mux
}

// unprefixedControlHandler returns the stand-in's own handler without its path prefix.
func (t *Target) unprefixedControlHandler() http.Handler {
	control := t.controlHandler()
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		r.URL.Path = "/standin" + r.URL.Path
		control.ServeHTTP(w, r)
	})
}

func (f *Fleet) postBehaviour(w http.ResponseWriter, r *http.Request) {
	patchBehaviour(w, r, f.targets...)
}

// Counters returns the sums over all targets; peaks are the largest of any.
func (f *Fleet) Counters() Counters {
	var sum Counters
	for _, t := range f.targets {
		c := t.Counters()
		sum.ConnectionsAccepted += c.ConnectionsAccepted
		sum.ConnectionsRefused += c.ConnectionsRefused
		sum.ConnectionsPeak = max(sum.ConnectionsPeak, c.ConnectionsPeak)
		sum.Crashes += c.Crashes
		sum.Cancels += c.Cancels
		sum.HealthReports += c.HealthReports
		sum.FaultyReplies += c.FaultyReplies
	}
	return sum
}
