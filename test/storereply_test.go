package test

import (
	"fmt"
	"net/http"
	"os"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cassiasaddle/standin/cassiarelay"
)

// TestFrontFollowsTheStoreAfterMoreChangesThanAReplyMayHold guards against a VM that asks for the same reply, which is too long for it, again and
// again: while it is cut off from the store, large configurations follow each other, of which the last one moves a route.
func TestFrontFollowsTheStoreAfterMoreChangesThanAReplyMayHold(t *testing.T) {
	t.Parallel()
	const (
		// versions of some 150 kB each are more than the client of the store accepts as one reply.
		versions, routes = 40, 600
		// configurationLimit is how long after the end of the cut the last configuration has to be in force.
		configurationLimit = 3 * time.Second
		cut                = 4 * time.Second
	)
	s := newPlatformEnv(t)
	var filler []map[string]any
	for i := range routes {
		filler = append(filler, routeConfig(fmt.Sprintf("/filler-%d/", i), "idempotent", "single"))
	}
	s.configure(append(filler, routeConfig("/moved/", "idempotent", "single"))...)
	// Below the ports that the system assigns.
	address := fmt.Sprintf("127.80.%d.1:7600", os.Getpid()%250)
	relay := startRelay(t, cassiarelay.Options{Network: "tcp", Listen: address, Upstream: s.server.Listener.Addr().String(), Seed: 1})
	s.storeAddresses = map[string]string{"vm-1": relay.ListenAddress()}
	vm := s.launchReady(t, "vm-1", envZone)
	single := s.target("t-single")
	answer, _ := s.mustDo(vm, http.MethodGet, "/moved/before", "")
	s.c.Assert(answer.status, qt.Equals, http.StatusOK)
	s.c.Assert(single.Arrivals(), qt.HasLen, 1)

	relay.SetFaults(cassiarelay.Faults{Cut: true})
	sleep(cut / 4)
	for range versions {
		s.configure(append(filler, routeConfig("/moved/", "idempotent", shardName(0)))...)
	}
	sleep(cut * 3 / 4)
	relay.SetFaults(cassiarelay.Faults{})
	healed := time.Now()
	sleep(configurationLimit)
	for i := range 10 {
		answer, _ := s.mustDo(vm, http.MethodGet, fmt.Sprintf("/moved/after-%d", i), "")
		s.c.Check(answer.status, qt.Equals, http.StatusOK)
	}
	late := 0
	for _, a := range single.Arrivals() {
		if a.At.After(healed.Add(configurationLimit)) {
			late++
		}
	}
	s.c.Check(late, qt.Equals, 0, qt.Commentf("requests that were run as a configuration of before the cut says"))
}
