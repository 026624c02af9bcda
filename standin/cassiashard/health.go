package cassiashard

import (
	"net/http"
	"time"
)

// Health states of a target.
const (
	stateReady    = "ready"
	stateCold     = "cold"
	stateDraining = "draining"
)

// healthRecord is the state of a target from the time since until the next record. Health reports are made from it
// unless the behaviour overrides them.
type healthRecord struct {
	since     time.Time
	behaviour Behaviour
	started   time.Time
}

// healthReport is the body of a health reply.
type healthReport struct {
	State         string   `json:"state"`
	HeldSnapshots []uint64 `json:"heldSnapshots"`
	ShardMapEpoch uint64   `json:"shardMapEpoch"`
	Load          float64  `json:"load"`
}

// recordHealth records the current state for health reports that lag; the caller holds t.mu.
func (t *Target) recordHealth(now time.Time) {
	t.history = append(t.history, healthRecord{now, t.behaviour, t.startedAt})
}

// health returns the health report, with the lag, state and load that the behaviour sets.
func (t *Target) health(now time.Time) healthReport {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.counters.HealthReports++
	current := t.behaviour
	reportedAt := now.Add(-milliseconds(current.HealthLagMs))
	reported := t.history[0]
	for _, h := range t.history {
		if !h.since.After(reportedAt) {
			reported = h
		}
	}
	report := healthReport{
		State:         stateReady,
		HeldSnapshots: reported.behaviour.HeldSnapshots,
		ShardMapEpoch: reported.behaviour.ShardMapEpoch,
		Load:          float64(t.slots.running()+len(t.slots.queue)) / float64(max(1, current.Slots)),
	}
	if reported.behaviour.isCold(reportedAt.Sub(reported.started)) {
		report.State = stateCold
	}
	if reported.behaviour.Draining {
		report.State = stateDraining
	}
	if current.HealthState != "" {
		report.State = current.HealthState
	}
	if current.HealthLoad > 0 {
		report.Load = current.HealthLoad
	}
	return report
}

func (t *Target) getHealth(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, t.health(time.Now()))
}
