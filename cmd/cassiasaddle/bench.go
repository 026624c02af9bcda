package main

import (
	"context"
	"fmt"
	"io"
	"log"

	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"

	"cassiasaddle/io/cassiabench"
)

// policyBoth is the value of --policy that runs the tuned policy and then the baseline.
const policyBoth = "both"

// exitViolation is the exit status when the tuned policy, or the baseline if it runs alone, has a violation.
const exitViolation = exitFailed

const benchHelp = `All of it runs in this process on loopback: VMs, stand-ins of the platform and of the targets, and callers, whose
requests arrive at times fixed ahead by the seed. The baseline is a plain client with the same load on the same targets:
random replica, a third of the deadline as timeout, 2 retries, no hedge, no limit.

Latencies count from the planned arrival; a request without an answer counts at least its deadline, and its coverage as 0.
Extra load is the share of executions beyond the first of each shard of each request. Verdicts rest on the targets'
execution logs and on the bytes that callers received.

Exit codes: 0 no violation, 1 a violation (of the tuned policy when both run) or the run failed.`

func benchCommand() *cli.Command {
	return &cli.Command{
		Name:        "bench",
		Usage:       "run a scenario's load and faults on loopback and judge what happened; exit status 1 on a violation",
		Description: benchHelp,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "scenario", Required: true, Usage: "`NAME` of the scenario, or list to name them all"},
			&cli.StringFlag{Name: "policy", Value: policyBoth, Usage: "`POLICY` tuned, baseline or both"},
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "`SEED` of arrival times, faults and run times"},
			&cli.StringFlag{Name: "report", Value: "text", Usage: "`FORMAT` text, json or html"},
		},
		Action: runBench,
	}
}

// discardLibraryLogs discards what the HTTP and QUIC libraries log about the faults that a run injects.
func discardLibraryLogs() { log.SetOutput(io.Discard) }

func runBench(ctx context.Context, command *cli.Command) error {
	discardLibraryLogs()
	out := command.Root().Writer
	if command.String("scenario") == "list" {
		return listScenarios(out)
	}
	scenario, err := cassiabench.FindScenario(command.String("scenario"))
	if err != nil {
		return err
	}
	policies, err := parsePolicies(command.String("policy"))
	if err != nil {
		return err
	}
	if err := cassiabench.CheckFormat(command.String("report")); err != nil {
		return err
	}
	seed := command.Uint64("seed")
	report := &cassiabench.Report{Scenario: scenario.Name, About: scenario.About, Seed: seed}
	for _, policy := range policies {
		result, err := cassiabench.Run(ctx, scenario, policy, seed)
		if err != nil {
			return err
		}
		report.Add(result)
	}
	if err := report.Write(out, command.String("report")); err != nil {
		return err
	}
	if report.Violated() {
		return cli.Exit("a check failed; see the violations in the report", exitViolation)
	}
	return nil
}

func listScenarios(out io.Writer) error {
	for _, s := range cassiabench.Scenarios() {
		if _, err := fmt.Fprintf(out, "%-36s %s\n", s.Name, s.About); err != nil {
			return err
		}
	}
	return nil
}

// parsePolicies returns the policies to run for a value of --policy.
func parsePolicies(name string) ([]cassiabench.Policy, error) {
	switch name {
	case policyBoth:
		return []cassiabench.Policy{cassiabench.PolicyTuned, cassiabench.PolicyBaseline}, nil
	case string(cassiabench.PolicyTuned), string(cassiabench.PolicyBaseline):
		return []cassiabench.Policy{cassiabench.Policy(name)}, nil
	}
	return nil, eris.Errorf("policy %q is not known; use tuned, baseline or both", name)
}
