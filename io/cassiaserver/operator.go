package cassiaserver

import (
	"encoding/json"
	"net/http"

	"cassiasaddle/core/cassiaid"
	"cassiasaddle/core/cassiaroute"
)

// Status is the reply to GET /v1/status: the state of a VM and the members and owners that it sees.
type Status struct {
	VM                 cassiaid.VMName     `json:"vm"`
	Zone               cassiaid.Zone       `json:"zone"`
	Ready              bool                `json:"ready"`
	SettingsGeneration cassiaid.Generation `json:"settingsGeneration"`
	Members            []MemberStatus      `json:"members"`
	Owners             []OwnerStatus       `json:"owners"`
}

// MemberStatus is the state of one member as the replying VM sees it.
type MemberStatus struct {
	Name               cassiaid.VMName     `json:"name"`
	AvailabilityZone   cassiaid.Zone       `json:"availabilityZone"`
	State              string              `json:"state"`
	SettingsGeneration cassiaid.Generation `json:"settingsGeneration"`
}

// OwnerStatus names the owners of one slice of a front in one zone, the primary first. A slice is one of the contiguous
// ranges into which the front's shards are divided in each zone.
type OwnerStatus struct {
	Front  string            `json:"front"`
	Slice  int               `json:"slice"`
	Zone   cassiaid.Zone     `json:"zone"`
	Owners []cassiaid.VMName `json:"owners"`
}

// operatorHandler returns the handler of the operators' port.
func (s *server) operatorHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", s.metrics.Handler)
	mux.HandleFunc("GET /livez", func(w http.ResponseWriter, _ *http.Request) { writeText(w, http.StatusOK, "live\n") })
	mux.HandleFunc("GET /readyz", s.serveReady)
	mux.HandleFunc("GET /v1/status", s.serveStatus)
	mux.Handle("/v1/settings/", s.settings.Handler())
	return mux
}

// serveReady replies with status 200 while the VM accepts requests from callers, and with 503 otherwise.
func (s *server) serveReady(w http.ResponseWriter, _ *http.Request) {
	switch {
	case s.leaving.Load():
		writeText(w, http.StatusServiceUnavailable, "stopping\n")
	case !s.settings.Ready():
		writeText(w, http.StatusServiceUnavailable, "no settings yet; apply settings or wait for the platform or a peer\n")
	case !s.ready():
		writeText(w, http.StatusServiceUnavailable, "no word of another VM yet\n")
	default:
		writeText(w, http.StatusOK, "ready\n")
	}
}

func writeText(w http.ResponseWriter, status int, text string) {
	w.WriteHeader(status)
	w.Write([]byte(text)) //nolint:errcheck // the operator closed the connection
}

func (s *server) serveStatus(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(s.status()) //nolint:errcheck // the operator closed the connection
}

func (s *server) status() Status {
	status := Status{
		VM: s.self, Zone: s.zone, Ready: s.ready() && !s.leaving.Load(),
		SettingsGeneration: s.settings.Generation(),
	}
	for _, m := range s.gossip.Members() {
		status.Members = append(status.Members, MemberStatus{
			Name: m.Name, AvailabilityZone: m.Zone, State: m.State.String(), SettingsGeneration: m.SettingsGeneration,
		})
	}
	s.routes.With(func(t *cassiaroute.Table) {
		for _, o := range t.AllOwners() {
			status.Owners = append(status.Owners, OwnerStatus{Front: o.Front.String(), Slice: o.Slice, Zone: o.Zone, Owners: o.Owners})
		}
	})
	return status
}
