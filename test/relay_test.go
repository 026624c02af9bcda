package test

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
)

// startRelays starts one relay process with a link for each address whose traffic can be cut, delayed or lost.
func (c *cluster) startRelays() {
	if !c.layout.relayed {
		return
	}
	c.relayControl, c.platformByZone = c.address(), map[string]string{}
	arguments := []string{"relay", "--control", c.relayControl}
	for _, zone := range c.layout.zones {
		c.platformByZone[zone] = c.address()
		arguments = append(arguments, "--link", "tcp/"+c.platformByZone[zone]+"/"+c.platform)
	}
	for _, v := range c.vms {
		arguments = append(arguments, "--link", "udp/"+v.advertisedPeerAddress+"/"+v.peerAddress, "--link", "udp/"+v.advertisedGossipAddress+"/"+v.gossipAddress)
	}
	c.processes["relay"] = start(c.t, "cassiastandin", arguments...).waitReady(c.t)
}

// platformAddressFor returns the address at which the VMs of a zone reach the platform.
func (c *cluster) platformAddressFor(zone string) string {
	if c.layout.relayed {
		return c.platformByZone[zone]
	}
	return c.platform
}

// setZoneCut cuts a zone off from the platform and from all other zones, or reconnects it.
func (c *cluster) setZoneCut(zone string, cut bool) {
	c.t.Helper()
	faults := fmt.Sprintf(`{"cut":%t}`, cut)
	c.setRelayFaults(c.platformByZone[zone], "", faults)
	c.setLinkFaults(func(from, to *vm) bool { return (from.zone == zone) != (to.zone == zone) }, faults)
}

// setLinkFaults sets the faults of each link from one VM to another for which match returns true.
func (c *cluster) setLinkFaults(match func(from, to *vm) bool, faults string) {
	c.t.Helper()
	for _, to := range c.vms {
		for _, from := range c.vms {
			if from != to && match(from, to) {
				host, _, _ := net.SplitHostPort(from.peerAddress)
				c.setRelayFaults(to.advertisedPeerAddress, host+"/32", faults)
				c.setRelayFaults(to.advertisedGossipAddress, host+"/32", faults)
			}
		}
	}
}

func (c *cluster) setRelayFaults(relay, from, faults string) {
	c.t.Helper()
	body := map[string]any{"from": from, "faults": json.RawMessage(faults)}
	c.send(http.MethodPost, "http://"+c.relayControl+"/standin/relays/"+relay+"/faults", body)
}
