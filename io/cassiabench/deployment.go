package cassiabench

// deployment is one of the example deployments with the loads and link delays that all its scenarios share.
type deployment struct {
	name   string
	loads  func() []load
	delays linkProperties
}

// scenario returns a scenario without faults, named after the deployment and name.
func (d deployment) scenario(name, about string) Scenario {
	return Scenario{Name: d.name + "-" + name, About: about, Deployment: d.name, Loads: d.loads(), Delays: d.delays}
}

// commonScenarios returns the scenarios that exist for every deployment.
func (d deployment) commonScenarios() []Scenario {
	calm := d.scenario("calm", "No faults.")

	stragglers := d.scenario("stragglers", "One target in 20 is 20 times slower, and one attempt in 100 is 10 times slower.")
	stragglers.Prepare = setStragglers

	snapshots := d.scenario("snapshot-change", "All targets move to a new snapshot one by one and drop the old one, twice.")
	snapshots.Events = snapshotChangeEvents

	return []Scenario{calm, stragglers, snapshots}
}
