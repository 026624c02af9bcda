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

// Loopback networks 127.N.0.0/16 that a run may reserve: N is at least firstNetwork and below networkEnd. Each run
// reserves three consecutive ones, so that several runs can share a machine.
const (
	firstNetwork   = 30
	networkEnd     = 240
	networksPerRun = 3
	lockPort       = 9009
)

// layout is an example deployment whose addresses are translated to loopback networks that no other run uses.
type layout struct {
	*cassiaexample.Deployment
	// networkLock listens on lockPort in the first reserved network, so that other runs do not reserve it.
	networkLock net.Listener
	// exampleNetwork and runNetwork are the numbers of the first network in the examples and of this run.
	exampleNetwork, runNetwork int
}

// newLayout loads an example deployment and reserves loopback networks for it until Close.
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
		return nil, eris.Wrap(err, "platformAddress must be an IPv4 loopback address (127.N.x.x)")
	}
	// The platform's address is in the last of the example's networks.
	l.exampleNetwork -= networksPerRun - 1
	for _, team := range l.Teams {
		l.translateTeam(team)
	}
	for _, vm := range l.VMs {
		l.translateVM(vm)
	}
	return l, nil
}

// Close releases the reserved networks.
func (l *layout) Close() error { return l.networkLock.Close() }

// reserveNetworks reserves the first networks whose lock port is free by listening on that port.
func (l *layout) reserveNetworks() error {
	for network := firstNetwork; network < networkEnd; network += networksPerRun {
		listener, err := net.Listen("tcp", fmt.Sprintf("127.%d.255.254:%d", network, lockPort))
		if err == nil {
			l.networkLock, l.runNetwork = listener, network
			return nil
		}
	}
	return eris.New("no loopback network is free; end other runs")
}

// translateAddress maps an address in the example's networks to this run's networks, and returns others unchanged.
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

// limitVMs keeps only the first perZone VMs of each availability zone.
func (l *layout) limitVMs(perZone int) {
	kept := map[string]int{}
	l.VMs = slices.DeleteFunc(l.VMs, func(vm *cassiaschema.VmConfig) bool {
		kept[vm.GetAvailabilityZone()]++
		return kept[vm.GetAvailabilityZone()] > perZone
	})
}

// fronts returns all fronts, by "team/front".
func (l *layout) fronts() map[string]*cassiaschema.Front {
	fronts := map[string]*cassiaschema.Front{}
	for _, team := range l.Teams {
		for _, front := range team.GetFronts() {
			fronts[team.GetTeam()+"/"+front.GetName()] = front
		}
	}
	return fronts
}

// team returns a team's settings, or nil if the deployment has no such team.
func (l *layout) team(name string) *cassiaschema.TeamSettings {
	for _, team := range l.Teams {
		if team.GetTeam() == name {
			return team
		}
	}
	return nil
}

// toYAML encodes a message as YAML.
func toYAML(message proto.Message) ([]byte, error) { return protoyaml.Marshal(message) }
