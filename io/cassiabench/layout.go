package cassiabench

import (
	"fmt"
	"net"
	"slices"
	"strings"

	"buf.build/go/protoyaml"
	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	"cassiasaddle/core/cassiaschema"
	cassiaexample "cassiasaddle/examples"
)

// Loopback networks that runs choose from; each run takes three in a row of its own.
const (
	firstNetwork  = 30
	lastNetwork   = 240
	networksOfRun = 3
	guardPort     = 9009
)

// layout is a deployment's settings moved to loopback networks that no other run uses.
type layout struct {
	*cassiaexample.Deployment
	guard net.Listener
	// from and to are the first network of the examples and of this run.
	from, to int
}

// newLayout loads a deployment and takes networks for it until Close.
func newLayout(name string) (*layout, error) {
	deployment, err := cassiaexample.Load(name)
	if err != nil {
		return nil, err
	}
	l := &layout{Deployment: deployment}
	if err := l.takeNetworks(); err != nil {
		return nil, err
	}
	if _, err := fmt.Sscanf(deployment.VMs[0].GetPlatformAddress(), "127.%d.", &l.from); err != nil {
		return nil, eris.Wrap(err, "platformAddress must be a loopback IP number")
	}
	l.from -= networksOfRun - 1
	for _, team := range l.Teams {
		l.moveTeam(team)
	}
	for _, vm := range l.VMs {
		l.moveVM(vm)
	}
	return l, nil
}

// Close gives the networks back.
func (l *layout) Close() error { return l.guard.Close() }

// takeNetworks finds networks whose guard port is free and holds it.
func (l *layout) takeNetworks() error {
	for network := firstNetwork; network < lastNetwork; network += networksOfRun {
		guard, err := net.Listen("tcp", fmt.Sprintf("127.%d.255.254:%d", network, guardPort))
		if err == nil {
			l.guard, l.to = guard, network
			return nil
		}
	}
	return eris.New("no loopback network is free; end other runs")
}

// move returns an address moved to this run's networks.
func (l *layout) move(address string) string {
	for i := range networksOfRun {
		if rest, found := strings.CutPrefix(address, fmt.Sprintf("127.%d.", l.from+i)); found {
			return fmt.Sprintf("127.%d.%s", l.to+i, rest)
		}
	}
	return address
}

func (l *layout) moveTeam(team *cassiaschema.TeamSettings) {
	for _, front := range team.GetFronts() {
		for _, shard := range front.GetShards() {
			for _, target := range shard.GetTargets() {
				target.Address = l.move(target.GetAddress())
			}
		}
	}
}

func (l *layout) moveVM(vm *cassiaschema.VmConfig) {
	for _, address := range []*string{
		&vm.CallerAddress, &vm.OperatorAddress, &vm.PeerAddress, &vm.GossipAddress, &vm.PlatformAddress,
	} {
		*address = l.move(*address)
	}
}

// limitVMs keeps the first VMs of each availability zone.
func (l *layout) limitVMs(perZone int) {
	kept := map[string]int{}
	l.VMs = slices.DeleteFunc(l.VMs, func(vm *cassiaschema.VmConfig) bool {
		kept[vm.GetAvailabilityZone()]++
		return kept[vm.GetAvailabilityZone()] > perZone
	})
}

// fronts returns all fronts by team/front.
func (l *layout) fronts() map[string]*cassiaschema.Front {
	fronts := map[string]*cassiaschema.Front{}
	for _, team := range l.Teams {
		for _, front := range team.GetFronts() {
			fronts[team.GetTeam()+"/"+front.GetName()] = front
		}
	}
	return fronts
}

// team returns a team's settings, nil when there is none.
func (l *layout) team(name string) *cassiaschema.TeamSettings {
	for _, team := range l.Teams {
		if team.GetTeam() == name {
			return team
		}
	}
	return nil
}

// toYAML returns the text of a message.
func toYAML(message proto.Message) ([]byte, error) { return protoyaml.Marshal(message) }
