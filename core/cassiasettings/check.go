package cassiasettings

import (
	"fmt"
	"net/netip"
	"sort"

	"cassiasaddle/core/cassiafront"
	"cassiasaddle/core/cassiaid"
	"cassiasaddle/core/cassiaroute"
	"cassiasaddle/core/cassiaschema"
)

// shareTolerance allows for rounding errors when connection shares are added up.
const shareTolerance = 1e-9

// fieldRef refers to a field of a settings text. A Problem for the field takes its file, line and name from it.
type fieldRef struct {
	text Text
	path []any
}

func (p fieldRef) problem(kind ProblemKind, remedy, format string, args ...any) Problem {
	return Problem{Kind: kind, File: p.text.File, Line: fieldLine(p.text, p.path...), Field: fieldPath(p.path...),
		Detail: fmt.Sprintf(format, args...), Remedy: remedy}
}

func checkRoot(t Text, root *cassiaschema.RootSettings) []Problem {
	var problems []Problem
	seen := make(map[string]bool)
	for i, team := range root.GetTeams() {
		at := fieldRef{t, []any{"teams", i, "name"}}
		if Subtree(team.GetName()) == RootSubtree {
			problems = append(problems, at.problem(ProblemTeam, "choose another name", "the name %q is reserved", RootSubtree))
		}
		if seen[team.GetName()] {
			problems = append(problems, at.problem(ProblemDuplicate, "remove one of the two",
				"team %q is listed twice", team.GetName()))
		}
		seen[team.GetName()] = true
	}
	return problems
}

func checkTeam(t Text, team *cassiaschema.TeamSettings) []Problem {
	var problems []Problem
	seen := make(map[string]bool)
	for i, front := range team.GetFronts() {
		if seen[front.GetName()] {
			at := fieldRef{t, []any{"fronts", i, "name"}}
			problems = append(problems, at.problem(ProblemDuplicate, "give each front of a team its own name",
				"front %q is listed twice", front.GetName()))
		}
		seen[front.GetName()] = true
		problems = append(problems, checkShards(t, i, front)...)
		if cassiaroute.ShareOf(front.GetTargetLimits()).Owners == 0 {
			at := fieldRef{t, []any{"fronts", i, "targetLimits"}}
			problems = append(problems, at.problem(ProblemConnectionShare,
				"raise maxConnections or connectionShare so that their product is at least 2",
				"targetLimits of front %q allow no connection to its targets", front.GetName()))
		}
	}
	return problems
}

func checkShards(t Text, index int, front *cassiaschema.Front) []Problem {
	var problems []Problem
	seen := make(map[string]bool)
	for i, shard := range front.GetShards() {
		if seen[shard.GetName()] {
			at := fieldRef{t, []any{"fronts", index, "shards", i, "name"}}
			problems = append(problems, at.problem(ProblemDuplicate, "give each shard of a front its own name",
				"shard %q is listed twice", shard.GetName()))
		}
		seen[shard.GetName()] = true
		targets := make(map[string]bool)
		for j, target := range shard.GetTargets() {
			at := fieldRef{t, []any{"fronts", index, "shards", i, "targets", j, "name"}}
			if targets[target.GetName()] {
				problems = append(problems, at.problem(ProblemDuplicate, "list each target of a shard once",
					"target %q is listed twice", target.GetName()))
			}
			targets[target.GetName()] = true
			if _, err := netip.ParseAddrPort(target.GetAddress()); err != nil {
				at.path[len(at.path)-1] = "address"
				problems = append(problems, at.problem(ProblemAddress, "write an IP address and a port, for example 10.0.0.7:8080",
					"address %q is not an IP address with a port", target.GetAddress()))
			}
		}
	}
	return problems
}

// targetUse is one mention of a target in a front's settings, with the limits that the front sets for it.
type targetUse struct {
	field  fieldRef
	front  cassiaid.FrontKey
	target *cassiaschema.Target
	limits *cassiaschema.TargetLimits
}

func (u targetUse) maxConnections() int { return cassiafront.MaxConnections(u.limits) }

// checkTargets checks that all fronts of all teams give each target the same address, zone and maxConnections, and that
// their connection shares of it add up to at most 1.
func checkTargets(t *Tree) []Problem {
	var problems []Problem
	byName := make(map[string]targetUse)
	byAddress := make(map[string][]targetUse)
	var addresses []string
	for _, u := range t.targetUses() {
		if first, ok := byName[u.target.GetName()]; !ok {
			byName[u.target.GetName()] = u
		} else if p, ok := checkSameTarget(first, u); ok {
			problems = append(problems, p)
		}
		address := u.target.GetAddress()
		if len(byAddress[address]) == 0 {
			addresses = append(addresses, address)
		}
		byAddress[address] = append(byAddress[address], u)
	}
	sort.Strings(addresses)
	for _, address := range addresses {
		if p, ok := checkSharedAddress(address, byAddress[address]); ok {
			problems = append(problems, p)
		}
	}
	return problems
}

// checkSameTarget returns a problem, and true, if two uses of a target name differ in address or zone.
func checkSameTarget(first, u targetUse) (Problem, bool) {
	if first.target.GetAddress() == u.target.GetAddress() &&
		first.target.GetAvailabilityZone() == u.target.GetAvailabilityZone() {
		return Problem{}, false
	}
	return u.field.problem(ProblemTargetMismatch, "give the target the same address and availabilityZone everywhere",
		"target %q has address %s in zone %s here, but address %s in zone %s in front %s", u.target.GetName(),
		u.target.GetAddress(), u.target.GetAvailabilityZone(),
		first.target.GetAddress(), first.target.GetAvailabilityZone(), first.front), true
}

// checkSharedAddress checks that all uses of an address have the same target name and maxConnections, and that the
// connection shares of the fronts that use it add up to at most 1. It returns the first problem found, or false if
// there is none.
func checkSharedAddress(address string, uses []targetUse) (Problem, bool) {
	fronts := make(map[cassiaid.FrontKey]bool)
	sum := 0.0
	for _, u := range uses {
		if u.target.GetName() != uses[0].target.GetName() {
			return u.field.problem(ProblemTargetMismatch, "use one name for one address",
				"address %s is target %q here but %q in front %s", address, u.target.GetName(),
				uses[0].target.GetName(), uses[0].front), true
		}
		if u.maxConnections() != uses[0].maxConnections() {
			return u.field.problem(ProblemConnectionShare, "agree on one maxConnections for the target",
				"maxConnections of target %q is %d here but %d in front %s", u.target.GetName(),
				u.maxConnections(), uses[0].maxConnections(), uses[0].front), true
		}
		if fronts[u.front] {
			continue
		}
		fronts[u.front] = true
		sum += cassiafront.ConnectionShare(u.limits)
	}
	if sum <= 1+shareTolerance {
		return Problem{}, false
	}
	u := uses[len(uses)-1]
	return u.field.problem(ProblemConnectionShare, "lower connectionShare of these fronts until the sum is at most 1",
		"the connectionShare values of %d fronts for target %q add up to %.3g, more than 1: %s",
		len(fronts), u.target.GetName(), sum, formatFronts(fronts)), true
}

func formatFronts(fronts map[cassiaid.FrontKey]bool) string {
	names := make([]string, 0, len(fronts))
	for key := range fronts {
		names = append(names, key.String())
	}
	sort.Strings(names)
	return fmt.Sprint(names)
}

// checkTeams checks that each team's text is in the subtree of that team, and that the root settings list every team
// that has fronts.
func checkTeams(t *Tree) []Problem {
	listed := make(map[string]bool)
	for _, team := range t.Root().GetTeams() {
		listed[team.GetName()] = true
	}
	var problems []Problem
	for _, name := range t.TeamNames() {
		team := t.teams[name]
		text := t.text(TeamSubtree(name))
		if team.GetTeam() != string(name) {
			at := fieldRef{text, []any{"team"}}
			problems = append(problems, at.problem(ProblemTeam, "apply the text to its own team's subtree",
				"the text is of team %q and not of %q", team.GetTeam(), name))
		}
		if len(team.GetFronts()) > 0 && !listed[string(name)] {
			problems = append(problems, Problem{Kind: ProblemTeam, File: string(RootSubtree), Field: "teams",
				Detail: fmt.Sprintf("team %q has fronts but is not listed", name),
				Remedy: "list the team in the root settings, or remove its fronts first"})
		}
	}
	return problems
}

// checkShardMapEpochs returns a problem for each front of a team's subtree whose shard map epoch is lower than the one in
// force.
func checkShardMapEpochs(before, after *Tree, subtree Subtree) []Problem {
	var problems []Problem
	team := cassiaid.TeamName(subtree)
	for i, front := range after.Team(team).GetFronts() {
		key := cassiaid.FrontKey{Team: team, Front: cassiaid.FrontName(front.GetName())}
		old, ok := before.Front(key)
		if !ok || front.GetShardMapEpoch() >= old.GetShardMapEpoch() {
			continue
		}
		at := fieldRef{after.text(subtree), []any{"fronts", i, "shardMapEpoch"}}
		problems = append(problems, at.problem(ProblemDowngrade, "set shardMapEpoch to the one in force or higher",
			"shardMapEpoch %d of front %q is lower than %d, which is in force",
			front.GetShardMapEpoch(), front.GetName(), old.GetShardMapEpoch()))
	}
	return problems
}
