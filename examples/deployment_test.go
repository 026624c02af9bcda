package cassiaexample

import (
	"testing"

	"buf.build/go/protovalidate"
	qt "github.com/frankban/quicktest"

	"cassiasaddle/core/cassiaschema"
	"cassiasaddle/standin/cassiashard"
)

func TestDeploymentsHaveTheirSizes(t *testing.T) {
	type size struct{ services, targets, connections, slots int }
	deployments := map[string]struct {
		zones, vms int
		teams      map[string]size
	}{
		Hrafnsvik: {4, 8, map[string]size{
			"stilisti": {20, 40, 25, 2}, "lager": {30, 60, 25, 2}, "askrift": {1, 5, 100, 3}, "sending": {1, 4, 100, 3},
		}},
		Manizales: {3, 9, map[string]size{
			"catalogo": {20, 40, 25, 2}, "rutas": {30, 60, 25, 2}, "portal-hogar": {1, 5, 50, 6}, "facturacion": {1, 3, 50, 6},
		}},
	}
	for name, want := range deployments {
		c := qt.New(t)
		d, err := Load(name)
		c.Assert(err, qt.IsNil)
		c.Assert(protovalidate.Validate(d.Root), qt.IsNil)
		c.Assert(d.Root.GetTeams(), qt.HasLen, len(want.teams))
		c.Assert(d.VMs, qt.HasLen, want.vms)
		zones := map[string]bool{}
		for _, vm := range d.VMs {
			c.Assert(protovalidate.Validate(vm), qt.IsNil)
			zones[vm.GetAvailabilityZone()] = true
		}
		c.Assert(zones, qt.HasLen, want.zones)
		addresses := map[string]string{}
		for _, team := range d.Teams {
			c.Assert(protovalidate.Validate(team), qt.IsNil)
			behaviour, err := cassiashard.DefaultBehaviour().Merge(d.Behaviour[team.GetTeam()])
			c.Assert(err, qt.IsNil)
			targets, share := map[string]bool{}, 0.0
			for _, front := range team.GetFronts() {
				share += front.GetTargetLimits().GetConnectionShare()
				c.Assert(front.GetShards(), qt.HasLen, want.teams[team.GetTeam()].services)
				checkFront(c, front, zones, addresses, targets)
			}
			c.Assert(share <= 0.5, qt.IsTrue, qt.Commentf("the fronts may use half of the connections; an older system uses the other half"))
			got := size{
				len(team.GetFronts()[0].GetShards()), len(targets),
				int(team.GetFronts()[0].GetTargetLimits().GetMaxConnections()), behaviour.Slots,
			}
			c.Assert(got, qt.Equals, want.teams[team.GetTeam()], qt.Commentf("%s", team.GetTeam()))
		}
	}
	_, err := Load("elsewhere")
	qt.Assert(t, err, qt.ErrorMatches, `no deployment "elsewhere"; use hrafnsvik or manizales.*`)
}

// checkFront checks that no two targets share an address, that all zones have VMs, and that the first two targets of each
// shard are in different zones.
func checkFront(c *qt.C, front *cassiaschema.Front, zones map[string]bool, addresses map[string]string, targets map[string]bool) {
	for _, shard := range front.GetShards() {
		c.Assert(shard.GetTargets()[0].GetAvailabilityZone(), qt.Not(qt.Equals), shard.GetTargets()[1].GetAvailabilityZone())
		for _, target := range shard.GetTargets() {
			c.Assert(zones[target.GetAvailabilityZone()], qt.IsTrue)
			if name, used := addresses[target.GetAddress()]; used {
				c.Assert(name, qt.Equals, target.GetName())
			}
			addresses[target.GetAddress()] = target.GetName()
			targets[target.GetName()] = true
		}
	}
}
