package cassiashard

import (
	"net/http"

	"cassiasaddle/io/cassiabody"
)

// LogReply is the body of GET /standin/log.
type LogReply struct {
	Entries  []Execution `json:"entries"`
	Counters Counters    `json:"counters"`
}

func (t *Target) newMux() *http.ServeMux {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /shard", t.postShard)
	mux.HandleFunc("POST /cancel", t.postCancel)
	mux.HandleFunc("GET /health", t.getHealth)
	mux.Handle("/standin/", t.controlHandler())
	return mux
}

// controlHandler returns the handler of the control API, which a real target doesn't have.
func (t *Target) controlHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /standin/behaviour", t.postBehaviour)
	mux.HandleFunc("GET /standin/behaviour", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, t.Behaviour())
	})
	mux.HandleFunc("GET /standin/log", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, LogReply{t.Log(), t.Counters()})
	})
	mux.HandleFunc("DELETE /standin/log", func(w http.ResponseWriter, _ *http.Request) {
		t.ClearLog()
		w.WriteHeader(http.StatusNoContent)
	})
	return mux
}

func (t *Target) postBehaviour(w http.ResponseWriter, r *http.Request) { patchBehaviour(w, r, t) }

// patchBehaviour applies the JSON object of a request's body to the behaviour of the targets, up to the first error.
func patchBehaviour(w http.ResponseWriter, r *http.Request, targets ...*Target) {
	patch, err := cassiabody.ReadAll(r.Body, maxBodyBytes)
	for _, t := range targets {
		if err == nil {
			err = t.Patch(patch)
		}
	}
	if err != nil {
		writeProblem(w, http.StatusBadRequest, err.Error())
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// Patch replaces the fields of the behaviour that a JSON object contains.
func (t *Target) Patch(patch []byte) error {
	merged, err := t.Behaviour().Merge(patch)
	if err != nil {
		return err
	}
	t.SetBehaviour(merged)
	return nil
}
