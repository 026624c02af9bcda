package cassiarelay

import (
	"context"
	"encoding/json"
	"net/http"
	"net/netip"

	"cassiasaddle/standin/cassialaunch"
)

// faultsRequest is the body of POST /standin/relays/{listen}/faults.
type faultsRequest struct {
	// From limits the faults to senders in a prefix, such as 127.10.1.0/24; empty means all others.
	From   string `json:"from"`
	Faults Faults `json:"faults"`
}

// apply changes a relay's faults as the request says.
func (f faultsRequest) apply(relays []*Relay) error {
	if err := f.Faults.validate(); err != nil {
		return err
	}
	if f.From == "" {
		for _, r := range relays {
			r.SetFaults(f.Faults)
		}
		return nil
	}
	prefix, err := netip.ParsePrefix(f.From)
	if err != nil {
		return err
	}
	for _, r := range relays {
		r.SetFaultsFrom(prefix, f.Faults)
	}
	return nil
}

// Set is the relays of one process.
type Set []*Relay

// Run runs all relays until the context ends; ready is called once when all listen.
func (s Set) Run(ctx context.Context, ready func()) error { return cassialaunch.All(ctx, s, ready) }

// lookup returns the relays that a path names: one by its listening address, or all.
func (s Set) lookup(listen string) []*Relay {
	if listen == "all" {
		return s
	}
	for _, r := range s {
		if r.Listen() == listen {
			return []*Relay{r}
		}
	}
	return nil
}

// ControlHandler serves /standin/relays/{listen}/faults and /standin/relays/{listen}/counters; "all" names all relays.
func (s Set) ControlHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /standin/relays/{listen}/faults", func(w http.ResponseWriter, r *http.Request) {
		relays := s.lookup(r.PathValue("listen"))
		if relays == nil {
			http.Error(w, "no such relay", http.StatusNotFound)
			return
		}
		var request faultsRequest
		decoder := json.NewDecoder(r.Body)
		decoder.DisallowUnknownFields()
		err := decoder.Decode(&request)
		if err == nil {
			err = request.apply(relays)
		}
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		w.WriteHeader(http.StatusNoContent)
	})
	mux.HandleFunc("GET /standin/relays/{listen}/counters", func(w http.ResponseWriter, r *http.Request) {
		counters := map[string]Counters{}
		for _, relay := range s.lookup(r.PathValue("listen")) {
			counters[relay.Listen()] = relay.Counters()
		}
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(counters)
	})
	return mux
}
