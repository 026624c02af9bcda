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
	// From is the address prefix of the senders that the faults apply to, such as 127.10.1.0/24. Empty means all senders
	// without faults of their own.
	From   string `json:"from"`
	Faults Faults `json:"faults"`
}

// apply validates the request and sets its faults on the relays.
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

// Set is the list of all relays of a process.
type Set []*Relay

// Run runs all relays until the context is done. It calls ready once, when all relays listen.
func (s Set) Run(ctx context.Context, ready func()) error { return cassialaunch.RunAll(ctx, s, ready) }

// lookup returns the relay with a listening address, all relays for "all", or nil if there is no such relay.
func (s Set) lookup(listen string) []*Relay {
	if listen == "all" {
		return s
	}
	for _, r := range s {
		if r.ListenAddress() == listen {
			return []*Relay{r}
		}
	}
	return nil
}

// ControlHandler returns a handler of /standin/relays/{listen}/faults and /standin/relays/{listen}/counters, where
// {listen} is a relay's listening address or "all".
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
			counters[relay.ListenAddress()] = relay.Counters()
		}
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(counters)
	})
	return mux
}
