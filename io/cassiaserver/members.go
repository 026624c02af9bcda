package cassiaserver

import (
	"context"
	"sync/atomic"

	"cassiasaddle/core/cassiaid"
	"cassiasaddle/core/cassiamember"
	"cassiasaddle/core/cassiaroute"
	"cassiasaddle/core/cassiaschema"
	"cassiasaddle/core/cassiasettings"
	"cassiasaddle/io/cassiagossip"
	"cassiasaddle/io/cassiapeer"
	"cassiasaddle/io/cassiastore"
)

// members gives the other parts of the VM the live members in the form that each wants.
type members struct {
	gossip    *cassiagossip.Gossip
	changed   chan struct{}
	addresses atomic.Pointer[map[cassiaid.VMName]string]
}

func newMembers(gossip *cassiagossip.Gossip) *members {
	m := &members{gossip: gossip, changed: make(chan struct{}, 1)}
	m.update(gossip.Members())
	return m
}

// update takes over the live members and returns those that are gone or run at another address now.
func (m *members) update(live []cassiamember.Member) []cassiaid.VMName {
	addresses := make(map[cassiaid.VMName]string, len(live))
	for _, l := range live {
		addresses[l.Name] = string(l.PeerAddress)
	}
	previous := m.addresses.Swap(&addresses)
	m.signal()
	if previous == nil {
		return nil
	}
	var dropped []cassiaid.VMName
	for name, address := range *previous {
		if addresses[name] != address {
			dropped = append(dropped, name)
		}
	}
	return dropped
}

func (m *members) signal() {
	select {
	case m.changed <- struct{}{}:
	default:
	}
}

// PeerAddress returns the address of a live VM.
func (m *members) PeerAddress(vm cassiaid.VMName) (string, bool) {
	address, ok := (*m.addresses.Load())[vm]
	return address, ok
}

// Live returns the live VMs with their settings generations.
func (m *members) Live() []cassiasettings.Member {
	live := m.gossip.Members()
	list := make([]cassiasettings.Member, 0, len(live))
	for _, l := range live {
		list = append(list, cassiasettings.Member{Name: l.Name, Zone: l.Zone, Generation: l.SettingsGeneration})
	}
	return list
}

// Changed receives a value after the members or their generations have changed.
func (m *members) Changed() <-chan struct{} { return m.changed }

// routeMembers returns the members as the routing table wants them.
func routeMembers(live []cassiamember.Member) cassiaroute.MembersChanged {
	list := make([]cassiaroute.Member, 0, len(live))
	for _, l := range live {
		list = append(list, cassiaroute.Member{Name: l.Name, Zone: l.Zone, Leaving: l.State == cassiamember.Leaving})
	}
	return cassiaroute.MembersChanged{Members: list}
}

// seedsFromPlatform lists the VMs that the platform knows.
func seedsFromPlatform(store *cassiastore.Client) cassiagossip.SeedsFunc {
	return func(ctx context.Context) ([]cassiamember.Seed, error) {
		vms, err := store.VMs(ctx)
		if err != nil {
			return nil, err
		}
		list := make([]cassiamember.Seed, 0, len(vms))
		for _, v := range vms {
			list = append(list, cassiamember.Seed{Name: v.Name, GossipAddress: cassiamember.Address(v.GossipAddress)})
		}
		return list, nil
	}
}

// settingsLane keeps settings frames off the order of queries' frames; the lane is picked by its number.
const settingsLane = 0

// settingsPeers carries settings frames.
type settingsPeers struct{ node *cassiapeer.Node }

// Send sends a frame that has no answer.
func (p settingsPeers) Send(ctx context.Context, to cassiaid.VMName, frame *cassiaschema.PeerFrame) error {
	return p.node.Send(ctx, to, settingsLane, frame)
}

// Exchange sends a frame and waits for its answer.
func (p settingsPeers) Exchange(ctx context.Context, to cassiaid.VMName, frame *cassiaschema.PeerFrame) (*cassiaschema.PeerFrame, error) {
	return p.node.Exchange(ctx, to, frame)
}
