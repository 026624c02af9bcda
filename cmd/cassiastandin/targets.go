package main

import (
	"context"
	"encoding/json"
	"os"

	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"
	"golang.org/x/sync/errgroup"

	"cassiasaddle/core/cassiaschema"
	cassiaexample "cassiasaddle/examples"
	"cassiasaddle/standin/cassiashard"
)

// targetFlags returns the flags that the commands targets and target have in common.
func targetFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringSliceFlag{Name: "settings", Required: true, Usage: "team settings YAML `FILE`; may be repeated"},
		&cli.StringFlag{Name: "behaviour", Usage: "`JSON` object that changes the default behaviour of all targets"},
		&cli.StringFlag{Name: "behaviours", Usage: "JSON `FILE` with such an object for each team by its name"},
		&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "`SEED` of all random draws"},
		&cli.StringFlag{Name: "control", Usage: "`ADDRESS` for behaviour and logs of the targets while they are lost"},
	}
}

func targetsCommand() *cli.Command {
	return &cli.Command{
		Name:  "targets",
		Usage: "run all targets of some teams' settings",
		Flags: targetFlags(),
		Action: func(ctx context.Context, command *cli.Command) error {
			fleet, err := newFleet(command)
			if err != nil {
				return err
			}
			return runTargets(ctx, command, fleet, fleet.Run)
		},
	}
}

func targetCommand() *cli.Command {
	return &cli.Command{
		Name:  "target",
		Usage: "run one target of some teams' settings",
		Flags: append(targetFlags(), &cli.StringFlag{Name: "name", Required: true, Usage: "`NAME` of the target"}),
		Action: func(ctx context.Context, command *cli.Command) error {
			fleet, err := newFleet(command)
			if err != nil {
				return err
			}
			target := fleet.Target(command.String("name"))
			if target == nil {
				return eris.Errorf("no target %q in the settings", command.String("name"))
			}
			return runTargets(ctx, command, fleet, target.Run)
		},
	}
}

// runTargets runs targets and the HTTP server at their control address until ctx is done.
func runTargets(ctx context.Context, command *cli.Command, fleet *cassiashard.Fleet, run func(context.Context, func()) error) error {
	group, ctx := errgroup.WithContext(ctx)
	if err := serveHTTP(ctx, group, command.String("control"), fleet.ControlHandler()); err != nil {
		return err
	}
	group.Go(func() error { return run(ctx, announceReady) })
	return group.Wait()
}

// newFleet creates the targets of the settings and behaviours that the flags name.
func newFleet(command *cli.Command) (*cassiashard.Fleet, error) {
	var teams []*cassiaschema.TeamSettings
	for _, file := range command.StringSlice("settings") {
		content, err := os.ReadFile(file)
		if err != nil {
			return nil, eris.Wrap(err, "cannot read the settings")
		}
		team := &cassiaschema.TeamSettings{}
		if err := cassiaexample.Parse(file, content, team); err != nil {
			return nil, eris.Wrap(err, "invalid settings; correct the file")
		}
		teams = append(teams, team)
	}
	behaviours, err := readBehaviours(command, teams)
	if err != nil {
		return nil, err
	}
	behaviourOf := func(team string) cassiashard.Behaviour { return behaviours[team] }
	return cassiashard.NewFleet(teams, behaviourOf, command.Uint64("seed"))
}

// readBehaviours returns, for each team, the initial behaviour of its targets: the default, changed by --behaviours and then
// by --behaviour.
func readBehaviours(command *cli.Command, teams []*cassiaschema.TeamSettings) (map[string]cassiashard.Behaviour, error) {
	patches := map[string]json.RawMessage{}
	if file := command.String("behaviours"); file != "" {
		content, err := os.ReadFile(file)
		if err != nil {
			return nil, eris.Wrap(err, "cannot read the behaviours")
		}
		if err := json.Unmarshal(content, &patches); err != nil {
			return nil, eris.Wrapf(err, "%s must hold a JSON object for each team", file)
		}
	}
	behaviours := map[string]cassiashard.Behaviour{}
	for _, team := range teams {
		behaviour := cassiashard.DefaultBehaviour()
		for _, patch := range []string{string(patches[team.GetTeam()]), command.String("behaviour")} {
			if patch == "" {
				continue
			}
			var err error
			if behaviour, err = behaviour.Merge([]byte(patch)); err != nil {
				return nil, err
			}
		}
		behaviours[team.GetTeam()] = behaviour
	}
	return behaviours, nil
}
