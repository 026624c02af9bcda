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
	firstNetwork   = 30
	lastNetwork    = 240
	networksPerRun = 3
	lockPort       = 9009
)

// layout is a deployment's settings moved to loopback networks that no other run uses.
type layout struct {
	*cassiaexample.Deployment
	networkLock net.Listener
	// exampleNetwork and runNetwork are the first network of the examples and of this run.
	exampleNetwork, runNetwork int
}

// newLayout loads a deployment and takes networks for it until Close.
func newLayout(name string) (*layout, error) {
	deployment, err := cassiaexample.Load(name)
	if err != nil {
		return nil, err
	}
	l := &layout{Deployment: deployment}
	if err := l.reserveNetworks(); err != nil {
		return nil, err
	}
	if _, err := fmt.Sscanf(deployment.VMs[0].GetPlatformAddress(), "127.%d.", &l.exampleNetwork); err != nil {
		return nil, eris.Wrap(err, "platformAddress must be a loopback IP number")
	}
	l.exampleNetwork -= networksPerRun - 1
	for _, team := range l.Teams {
		l.translateTeam(team)
	}
	for _, vm := range l.VMs {
		l.translateVM(vm)
	}
	return l, nil
}

// Close gives the networks back.
func (l *layout) Close() error { return l.networkLock.Close() }

// reserveNetworks finds networks whose guard port is free and holds it.
func (l *layout) reserveNetworks() error {
	for network := firstNetwork; network < lastNetwork; network += networksPerRun {
		guard, err := net.Listen("tcp", fmt.Sprintf("127.%d.255.254:%d", network, lockPort))
		if err == nil {
			l.networkLock, l.runNetwork = guard, network
			return nil
		}
	}
	return eris.New("no loopback network is free; end other runs")
}

// translateAddress returns an address moved to this run's networks.
func (l *layout) translateAddress(address string) string {
	for i := range networksPerRun {
		if rest, found := strings.CutPrefix(address, fmt.Sprintf("127.%d.", l.exampleNetwork+i)); found {
			return fmt.Sprintf("127.%d.%s", l.runNetwork+i, rest)
		}
	}
	return address
}

func (l *layout) translateTeam(team *cassiaschema.TeamSettings) {
	for _, front := range team.GetFronts() {
		for _, shard := range front.GetShards() {
			for _, target := range shard.GetTargets() {
				target.Address = l.translateAddress(target.GetAddress())
			}
		}
	}
}

func (l *layout) translateVM(vm *cassiaschema.VmConfig) {
	for _, address := range []*string{
		&vm.CallerAddress, &vm.OperatorAddress, &vm.PeerAddress, &vm.GossipAddress, &vm.PlatformAddress,
	} {
		*address = l.translateAddress(*address)
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
