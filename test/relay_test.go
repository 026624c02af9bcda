package test

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
)

// startRelays starts one relay process with a link for each address that can be cut or slowed.
func (c *cluster) startRelays() {
	if !c.layout.relayed {
		return
	}
	c.relays, c.platforms = c.address(), map[string]string{}
	arguments := []string{"relay", "--control", c.relays}
	for _, zone := range c.layout.zones {
		c.platforms[zone] = c.address()
		arguments = append(arguments, "--link", "tcp/"+c.platforms[zone]+"/"+c.platform)
	}
	for _, v := range c.vms {
		arguments = append(arguments, "--link", "udp/"+v.peerRelay+"/"+v.peer, "--link", "udp/"+v.gossipRelay+"/"+v.gossip)
	}
	c.process["relay"] = start(c.t, "cassiastandin", arguments...).waitReady(c.t)
}

// platformFor returns the address by which a zone's VMs reach the platform.
func (c *cluster) platformFor(zone string) string {
	if c.layout.relayed {
		return c.platforms[zone]
	}
	return c.platform
}

// cut separates a zone from the platform and from all other zones, or heals it.
func (c *cluster) cut(zone string, cut bool) {
	c.t.Helper()
	faults := fmt.Sprintf(`{"cut":%t}`, cut)
	c.setFaults(c.platforms[zone], "", faults)
	c.betweenZones(func(from, to *vm) bool { return (from.zone == zone) != (to.zone == zone) }, faults)
}

// betweenZones sets the faults of every link between two VMs that match.
func (c *cluster) betweenZones(match func(from, to *vm) bool, faults string) {
	c.t.Helper()
	for _, to := range c.vms {
		for _, from := range c.vms {
			if from != to && match(from, to) {
				host, _, _ := net.SplitHostPort(from.peer)
				c.setFaults(to.peerRelay, host+"/32", faults)
				c.setFaults(to.gossipRelay, host+"/32", faults)
			}
		}
	}
}

func (c *cluster) setFaults(relay, from, faults string) {
	c.t.Helper()
	body := map[string]any{"from": from, "faults": json.RawMessage(faults)}
	c.send(http.MethodPost, "http://"+c.relays+"/standin/relays/"+relay+"/faults", body)
}
