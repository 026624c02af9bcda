package cassiaplatform

import (
	"encoding/json"
	"errors"
	"io"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"time"
)

// maxWatchWait caps the waitMs parameter of a watch.
const maxWatchWait = 5 * time.Minute

type revisionReply struct {
	Revision uint64 `json:"revision"`
}

func (p *Platform) getKey(w http.ResponseWriter, r *http.Request) {
	e := p.store.get(r.PathValue("key"))
	if e.Revision == 0 {
		writeProblem(w, http.StatusNotFound, "no such key")
		return
	}
	writeJSON(w, http.StatusOK, e)
}

func (p *Platform) putKey(w http.ResponseWriter, r *http.Request) {
	cond, err := parseCondition(r)
	if err != nil {
		writeProblem(w, http.StatusBadRequest, "ifRevision must be a whole number")
		return
	}
	value, err := io.ReadAll(http.MaxBytesReader(w, r.Body, MaxValueBytes))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		writeProblem(w, http.StatusRequestEntityTooLarge, "a value holds at most 1 MiB")
		return
	}
	if err != nil {
		writeProblem(w, http.StatusBadRequest, "the value broke off; send it again")
		return
	}
	revision, applied := p.store.put(r.PathValue("key"), value, cond, r.URL.Query().Get("lease"))
	if !applied {
		writeJSON(w, http.StatusConflict, revisionReply{revision})
		return
	}
	p.replyToWrite(w, http.StatusOK, revisionReply{revision})
}

func (p *Platform) deleteKey(w http.ResponseWriter, r *http.Request) {
	cond, err := parseCondition(r)
	if err != nil {
		writeProblem(w, http.StatusBadRequest, "ifRevision must be a whole number")
		return
	}
	revision, applied := p.store.remove(r.PathValue("key"), cond)
	if !applied {
		writeJSON(w, http.StatusConflict, revisionReply{revision})
		return
	}
	p.replyToWrite(w, http.StatusOK, revisionReply{revision})
}

func (p *Platform) watchKey(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, errAfter := parseUint(query.Get("after"))
	waitMs, errWait := parseUint(query.Get("waitMs"))
	if errAfter != nil || errWait != nil {
		writeProblem(w, http.StatusBadRequest, "after and waitMs must be whole numbers")
		return
	}
	timeout := p.clock.NewTimer(min(time.Duration(waitMs)*time.Millisecond, maxWatchWait))
	defer timeout.Stop()
	for {
		e, changed := p.store.getAndWatch(r.PathValue("key"))
		if e.Revision > after {
			writeJSON(w, http.StatusOK, e)
			return
		}
		select {
		case <-changed:
			p.abortIfDown()
		case <-timeout.Chan():
			w.WriteHeader(http.StatusNoContent)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (p *Platform) grantLease(w http.ResponseWriter, r *http.Request) {
	var request struct {
		TTLMs int `json:"ttlMs"`
	}
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil || request.TTLMs <= 0 {
		writeProblem(w, http.StatusBadRequest, "send a positive ttlMs")
		return
	}
	id := p.store.grant(time.Duration(request.TTLMs) * time.Millisecond)
	p.replyToWrite(w, http.StatusOK, map[string]string{"leaseId": id})
}

func (p *Platform) keepLeaseAlive(w http.ResponseWriter, r *http.Request) {
	if !p.store.keepAlive(r.PathValue("id")) {
		writeProblem(w, http.StatusNotFound, "the lease has lapsed; ask for a new one")
		return
	}
	p.replyToWrite(w, http.StatusOK, struct{}{})
}

func (p *Platform) listVMs(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	vms := p.frozenVMs
	if !p.faults.FreezeVMs {
		vms = p.sortedVMs()
	}
	p.mu.Unlock()
	writeJSON(w, http.StatusOK, map[string][]VM{"vms": vms})
}

func (p *Platform) listLeaving(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	targets := slices.Sorted(maps.Keys(p.leaving))
	p.mu.Unlock()
	if targets == nil {
		targets = []string{}
	}
	writeJSON(w, http.StatusOK, map[string][]string{"targets": targets})
}

func (p *Platform) putVM(w http.ResponseWriter, r *http.Request) {
	var vm VM
	if err := json.NewDecoder(r.Body).Decode(&vm); err != nil {
		writeProblem(w, http.StatusBadRequest, "send one VM as JSON")
		return
	}
	vm.Name = r.PathValue("name")
	p.PutVM(vm)
	w.WriteHeader(http.StatusNoContent)
}

func (p *Platform) deleteVM(w http.ResponseWriter, r *http.Request) {
	p.RemoveVM(r.PathValue("name"))
	w.WriteHeader(http.StatusNoContent)
}

func (p *Platform) putLeaving(w http.ResponseWriter, r *http.Request) {
	p.SetLeaving(r.PathValue("name"), true)
	w.WriteHeader(http.StatusNoContent)
}

func (p *Platform) deleteLeaving(w http.ResponseWriter, r *http.Request) {
	p.SetLeaving(r.PathValue("name"), false)
	w.WriteHeader(http.StatusNoContent)
}

func (p *Platform) postFaults(w http.ResponseWriter, r *http.Request) {
	var faults Faults
	decoder := json.NewDecoder(r.Body)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&faults); err != nil {
		writeProblem(w, http.StatusBadRequest, "send down, delayMs, loseReplies or freezeVms as JSON")
		return
	}
	p.SetFaults(faults)
	w.WriteHeader(http.StatusNoContent)
}

func (p *Platform) getCounters(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, p.Counters())
}

func parseCondition(r *http.Request) (condition, error) {
	query := r.URL.Query()
	if !query.Has("ifRevision") {
		return condition{}, nil
	}
	revision, err := strconv.ParseUint(query.Get("ifRevision"), 10, 64)
	return condition{set: true, revision: revision}, err
}

// parseUint parses a decimal number that fits into an int64; an empty text is 0.
func parseUint(text string) (uint64, error) {
	if text == "" {
		return 0, nil
	}
	return strconv.ParseUint(text, 10, 63)
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func writeProblem(w http.ResponseWriter, status int, message string) {
	writeJSON(w, status, map[string]string{"message": message})
}
