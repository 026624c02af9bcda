package cassiaplatform

import (
	"encoding/json"
	"errors"
	"io"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// MaxValueBytes bounds a value of the key-value service.
const MaxValueBytes = 1 << 20

// maxWatchWait bounds how long a watch waits.
const maxWatchWait = 5 * time.Minute

// VM is one row of the platform's list of VMs.
type VM struct {
	Name             string `json:"name"`
	Region           string `json:"region"`
	AvailabilityZone string `json:"availabilityZone"`
	PeerAddress      string `json:"peerAddress"`
	GossipAddress    string `json:"gossipAddress"`
	// State is live or leaving.
	State string `json:"state"`
}

// Faults are the failures that the stand-in plays; the zero value plays none.
type Faults struct {
	// Down closes the connection of every call of a VM unanswered.
	Down bool `json:"down"`
	// DelayMs is added before each call of a VM takes effect.
	DelayMs int `json:"delayMs"`
	// LoseReplies is how many of the next writes take effect without being answered.
	LoseReplies int `json:"loseReplies"`
	// FreezeVMs keeps answering with the VM list as it is now.
	FreezeVMs bool `json:"freezeVms"`
}

// Options are the optional settings of a Platform.
type Options struct {
	// Clock drives leases, watches and delays; the system's clock when nil.
	Clock clockwork.Clock
	// Token must be presented by VMs as a bearer token when it is not empty.
	Token string
}

// Platform is the stand-in; it is an http.Handler to be served by the caller.
type Platform struct {
	clock clockwork.Clock
	token string
	store *store
	mux   *http.ServeMux

	mu       sync.Mutex
	faults   Faults
	vms      map[string]VM
	frozen   []VM
	leaving  map[string]bool
	counters map[string]int
}

// New returns an empty platform.
func New(options Options) *Platform {
	if options.Clock == nil {
		options.Clock = clockwork.NewRealClock()
	}
	p := &Platform{
		clock:    options.Clock,
		token:    options.Token,
		store:    newStore(options.Clock),
		mux:      http.NewServeMux(),
		vms:      map[string]VM{},
		leaving:  map[string]bool{},
		counters: map[string]int{},
	}
	p.routes()
	return p
}

// ServeHTTP answers one call.
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) { p.mux.ServeHTTP(w, r) }

func (p *Platform) routes() {
	p.mux.HandleFunc("GET /v1/kv/{key...}", p.forVM("get", p.getKey))
	p.mux.HandleFunc("PUT /v1/kv/{key...}", p.forVM("put", p.putKey))
	p.mux.HandleFunc("DELETE /v1/kv/{key...}", p.forVM("delete", p.deleteKey))
	p.mux.HandleFunc("GET /v1/watch/{key...}", p.forVM("watch", p.watchKey))
	p.mux.HandleFunc("POST /v1/leases", p.forVM("lease", p.grantLease))
	p.mux.HandleFunc("PUT /v1/leases/{id}", p.forVM("keepAlive", p.keepLease))
	p.mux.HandleFunc("GET /v1/vms", p.forVM("vms", p.listVMs))
	p.mux.HandleFunc("GET /v1/targets/leaving", p.forVM("leaving", p.listLeaving))

	p.mux.HandleFunc("PUT /v1/vms/{name}", p.putVM)
	p.mux.HandleFunc("DELETE /v1/vms/{name}", p.deleteVM)
	p.mux.HandleFunc("PUT /v1/targets/leaving/{name}", p.putLeaving)
	p.mux.HandleFunc("DELETE /v1/targets/leaving/{name}", p.deleteLeaving)
	p.mux.HandleFunc("POST /standin/faults", p.postFaults)
	p.mux.HandleFunc("GET /standin/counters", p.getCounters)
}

// SetFaults replaces the faults in play and ends the watches that Down forbids.
func (p *Platform) SetFaults(faults Faults) {
	p.mu.Lock()
	if faults.FreezeVMs && !p.faults.FreezeVMs {
		p.frozen = p.sortedVMs()
	}
	p.faults = faults
	p.mu.Unlock()
	p.store.interrupt()
}

// Faults returns the faults in play.
func (p *Platform) Faults() Faults {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.faults
}

// Counters returns how many calls of VMs there were of each sort.
func (p *Platform) Counters() map[string]int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return maps.Clone(p.counters)
}

// PutVM adds or replaces a row of the VM list.
func (p *Platform) PutVM(vm VM) {
	if vm.State == "" {
		vm.State = "live"
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.vms[vm.Name] = vm
}

// RemoveVM removes a row of the VM list.
func (p *Platform) RemoveVM(name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.vms, name)
}

// SetLeaving tells whether a target is about to be stopped.
func (p *Platform) SetLeaving(target string, leaving bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if leaving {
		p.leaving[target] = true
	} else {
		delete(p.leaving, target)
	}
}

// Put writes a key unconditionally and uncounted, and returns its revision.
func (p *Platform) Put(key string, value []byte) uint64 {
	revision, _ := p.store.put(key, value, condition{}, "")
	return revision
}

// Get reads a key uncounted; a missing key has revision 0.
func (p *Platform) Get(key string) Entry { return p.store.get(key) }

// forVM counts a call of a VM, plays the faults and checks the token.
func (p *Platform) forVM(counter string, next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		p.mu.Lock()
		p.counters[counter]++
		p.counters["total"]++
		faults := p.faults
		p.mu.Unlock()
		if faults.DelayMs > 0 {
			p.wait(r, time.Duration(faults.DelayMs)*time.Millisecond)
		}
		p.abortIfDown()
		if p.token != "" && strings.TrimPrefix(r.Header.Get("Authorization"), "Bearer ") != p.token {
			writeProblem(w, http.StatusUnauthorized, "send the platform token as a bearer token")
			return
		}
		next(w, r)
	}
}

// abortIfDown closes the connection unanswered while the platform plays an outage.
func (p *Platform) abortIfDown() {
	if p.Faults().Down {
		panic(http.ErrAbortHandler)
	}
}

func (p *Platform) wait(r *http.Request, d time.Duration) {
	select {
	case <-p.clock.After(d):
	case <-r.Context().Done():
	}
}

// replyToWrite answers a write that took effect, unless its reply is to be lost.
func (p *Platform) replyToWrite(w http.ResponseWriter, status int, body any) {
	p.mu.Lock()
	lost := p.faults.LoseReplies > 0
	if lost {
		p.faults.LoseReplies--
		p.counters["lostReplies"]++
	}
	p.mu.Unlock()
	if lost {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, status, body)
}

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
	when, err := readCondition(r)
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
	revision, done := p.store.put(r.PathValue("key"), value, when, r.URL.Query().Get("lease"))
	if !done {
		writeJSON(w, http.StatusConflict, revisionReply{revision})
		return
	}
	p.replyToWrite(w, http.StatusOK, revisionReply{revision})
}

func (p *Platform) deleteKey(w http.ResponseWriter, r *http.Request) {
	when, err := readCondition(r)
	if err != nil {
		writeProblem(w, http.StatusBadRequest, "ifRevision must be a whole number")
		return
	}
	revision, done := p.store.remove(r.PathValue("key"), when)
	if !done {
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
	end := p.clock.NewTimer(min(time.Duration(waitMs)*time.Millisecond, maxWatchWait))
	defer end.Stop()
	for {
		e, changed := p.store.getOrChange(r.PathValue("key"))
		if e.Revision > after {
			writeJSON(w, http.StatusOK, e)
			return
		}
		select {
		case <-changed:
			p.abortIfDown()
		case <-end.Chan():
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

func (p *Platform) keepLease(w http.ResponseWriter, r *http.Request) {
	if !p.store.keepAlive(r.PathValue("id")) {
		writeProblem(w, http.StatusNotFound, "the lease has lapsed; ask for a new one")
		return
	}
	p.replyToWrite(w, http.StatusOK, struct{}{})
}

func (p *Platform) listVMs(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	vms := p.frozen
	if !p.faults.FreezeVMs {
		vms = p.sortedVMs()
	}
	p.mu.Unlock()
	writeJSON(w, http.StatusOK, map[string][]VM{"vms": vms})
}

// sortedVMs returns the VM list by name; the caller holds the lock.
func (p *Platform) sortedVMs() []VM {
	vms := make([]VM, 0, len(p.vms))
	for _, name := range slices.Sorted(maps.Keys(p.vms)) {
		vms = append(vms, p.vms[name])
	}
	return vms
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

func readCondition(r *http.Request) (condition, error) {
	query := r.URL.Query()
	if !query.Has("ifRevision") {
		return condition{}, nil
	}
	revision, err := strconv.ParseUint(query.Get("ifRevision"), 10, 64)
	return condition{set: true, revision: revision}, err
}

// parseUint reads a whole number; an empty text is 0.
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
