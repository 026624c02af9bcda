package cassiagrant

import (
	"github.com/uber-go/tally/v4"

	"cassiasaddle/core/cassiacatalog"
	"cassiasaddle/core/cassiaid"
	"cassiasaddle/core/cassiaquota"
)

const (
	// countedTeams is the number of teams that are counted by name, those with the largest quotas. The others are counted together, so that
	// the number of metrics does not grow with the number of teams.
	countedTeams = 8
	otherTeams   = "other"
)

// teamCounters counts the decisions on the requests of one team, and the requests that this VM granted to it as a coordinator.
type teamCounters struct {
	verdicts map[cassiaquota.Verdict]tally.Counter
	granted  tally.Counter
}

func newTeamCounters(scope tally.Scope, team string) *teamCounters {
	c := &teamCounters{verdicts: make(map[cassiaquota.Verdict]tally.Counter),
		granted: scope.Tagged(map[string]string{"team": team}).Counter("quota_grants")}
	for verdict, name := range map[cassiaquota.Verdict]string{cassiaquota.Admitted: "allowed", cassiaquota.OverQuota: "overQuota",
		cassiaquota.Unknown: "quotaUnknown"} {
		c.verdicts[verdict] = scope.Tagged(map[string]string{"team": team, "verdict": name}).Counter("quota_requests")
	}
	return c
}

// counters holds the counters of the teams that are counted by name, and of all others.
type counters struct {
	byTeam map[cassiaid.TeamName]*teamCounters
	others *teamCounters
}

func newCounters(scope tally.Scope, limited []*cassiacatalog.Team) *counters {
	c := &counters{byTeam: make(map[cassiaid.TeamName]*teamCounters), others: newTeamCounters(scope, otherTeams)}
	for _, team := range limited[:min(len(limited), countedTeams)] {
		c.byTeam[team.Name] = newTeamCounters(scope, string(team.Name))
	}
	return c
}

func (c *counters) of(team cassiaid.TeamName) *teamCounters {
	if t := c.byTeam[team]; t != nil {
		return t
	}
	return c.others
}
