package cassiashard

import (
	"context"
	"net/http"
	"slices"

	"github.com/rotisserie/eris"

	"cassiasaddle/core/cassiaschema"
	"cassiasaddle/standin/cassialaunch"
)

// Fleet is the set of simulated targets of one or more teams in one process.
type Fleet struct {
	targets []*Target
	byName  map[string]*Target
}

// NewFleet returns a fleet with one target for each target name in the teams' settings. A target starts with the
// behaviour of its team, but with the connection cap, shards and shard map epoch of the settings. It returns an error
// if a target name has two different addresses.
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

// fleetBuilder collects the options of each target from the settings.
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

// optionsFor returns the options of a target, and creates them at its first occurrence in the settings.
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

// addShard adds a shard of a front to a target, with the front's connection cap and, if newer, its shard map epoch.
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

// Target returns the target with a name, or nil if there is none.
func (f *Fleet) Target(name string) *Target { return f.byName[name] }

// UpdateBehaviours applies a function to every target's behaviour.
func (f *Fleet) UpdateBehaviours(update func(*Behaviour)) {
	for _, t := range f.targets {
		t.UpdateBehaviour(update)
	}
}

// Log returns the executions of all targets, target by target.
func (f *Fleet) Log() []Execution {
	var all []Execution
	for _, t := range f.targets {
		all = append(all, t.Log()...)
	}
	return all
}

// ClearLog removes the executions of all targets.
func (f *Fleet) ClearLog() {
	for _, t := range f.targets {
		t.ClearLog()
	}
}

// Run serves all targets until the context is done. It calls ready once, when all targets listen.
func (f *Fleet) Run(ctx context.Context, ready func()) error {
	return cassialaunch.RunAll(ctx, f.targets, ready)
}

// ControlHandler returns a handler of /standin/targets/{name}/behaviour and /standin/targets/{name}/log, where {name}
// is a target's name or "all". The behaviour of "all" can be set with POST but not read.
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

// unprefixedControlHandler returns the target's control API under paths without the prefix /standin.
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

// Counters returns the sums of the targets' counters; ConnectionsPeak is the largest of any single target.
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
