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

// members provides the live members to the peer connections and to the settings service.
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

// update replaces the live members and returns the VMs that are no longer live or have another address now.
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

// signal notifies the receiver of Changed without blocking; signals before the next receive are merged.
func (m *members) signal() {
	select {
	case m.changed <- struct{}{}:
	default:
	}
}

// PeerAddress returns the peer address of a VM; it returns false if the VM is not live.
func (m *members) PeerAddress(vm cassiaid.VMName) (string, bool) {
	address, ok := (*m.addresses.Load())[vm]
	return address, ok
}

// Live returns the live VMs with their availability zones and settings generations.
func (m *members) Live() []cassiasettings.Member {
	live := m.gossip.Members()
	list := make([]cassiasettings.Member, 0, len(live))
	for _, l := range live {
		list = append(list, cassiasettings.Member{Name: l.Name, Zone: l.Zone, Generation: l.SettingsGeneration})
	}
	return list
}

// Changed returns a channel that receives a value after the members or their settings generations have changed.
func (m *members) Changed() <-chan struct{} { return m.changed }

// routeMembers converts the live members to a message for the routing table.
func routeMembers(live []cassiamember.Member) cassiaroute.MembersChanged {
	list := make([]cassiaroute.Member, 0, len(live))
	for _, l := range live {
		list = append(list, cassiaroute.Member{Name: l.Name, Zone: l.Zone, Leaving: l.State == cassiamember.Leaving})
	}
	return cassiaroute.MembersChanged{Members: list}
}

// seedsFromPlatform returns a function that lists the platform's VMs as gossip seeds.
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

// settingsLane is the number of the lane for settings frames. A lane is one ordered stream to a peer, so settings
// frames don't queue behind the frames of queries on the other lanes.
const settingsLane = 0

// settingsPeers sends settings frames to other VMs.
type settingsPeers struct{ node *cassiapeer.Node }

// Send sends a frame that has no reply.
func (p settingsPeers) Send(ctx context.Context, to cassiaid.VMName, frame *cassiaschema.PeerFrame) error {
	return p.node.Send(ctx, to, settingsLane, frame)
}

// Exchange sends a frame and waits for the reply.
func (p settingsPeers) Exchange(ctx context.Context, to cassiaid.VMName, frame *cassiaschema.PeerFrame) (*cassiaschema.PeerFrame, error) {
	return p.node.Exchange(ctx, to, frame)
}
