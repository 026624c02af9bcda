package cassiaowner

import (
	"cassiasaddle/core/cassiaquarantine"
	"cassiasaddle/core/cassiaschema"
)

func endingOf(result *cassiaschema.ShardResult) cassiaquarantine.Ending {
	switch {
	case result.Outcome == cassiaschema.ShardOutcome_answered:
		return cassiaquarantine.EndingAnswered
	case result.TargetLost:
		return cassiaquarantine.EndingLost
	}
	return cassiaquarantine.EndingOther
}

// refusalOf returns the outcome of an attempt that was refused by a verdict.
func refusalOf(verdict cassiaquarantine.Verdict) cassiaschema.ShardOutcome {
	if verdict == cassiaquarantine.VerdictQuarantined {
		return cassiaschema.ShardOutcome_quarantined
	}
	return cassiaschema.ShardOutcome_overloaded
}
