package cassiaplatform

import (
	"maps"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"golang.org/x/time/rate"
)

// MaxValueBytes is the largest size of a value in the key-value service.
const MaxValueBytes = 1 << 20

// VM is an entry of the platform's list of VMs.
type VM struct {
	Name             string `json:"name"`
	Region           string `json:"region"`
	AvailabilityZone string `json:"availabilityZone"`
	PeerAddress      string `json:"peerAddress"`
	GossipAddress    string `json:"gossipAddress"`
	// State is live or leaving.
	State string `json:"state"`
}

// Faults are the failures that the platform injects into the calls of VMs; the zero value injects none.
type Faults struct {
	// Down closes the connection of every call of a VM without a reply.
	Down bool `json:"down"`
	// DelayMs is how many milliseconds each call of a VM waits before it takes effect.
	DelayMs int `json:"delayMs"`
	// LoseReplies is how many of the next writes take effect without a reply.
	LoseReplies int `json:"loseReplies"`
	// FreezeVMs makes the platform return the VM list of the moment at which the fault was set.
	FreezeVMs bool `json:"freezeVms"`
}

// Options are the optional settings of a Platform.
type Options struct {
	// Clock is the time source of leases, watches and delays; nil means the system clock.
	Clock clockwork.Clock
	// Token is the bearer token that VMs must send; empty accepts any call.
	Token string
	// WritesPerSecond and ReadsPerSecond limit the rates of calls: calls beyond them are delayed, not refused. 0 means
	// no limit. A watch counts as a read.
	WritesPerSecond, ReadsPerSecond float64
}

// Platform is the simulated platform. It is an http.Handler and safe for concurrent use.
type Platform struct {
	clock clockwork.Clock
	token string
	store *store
	mux   *http.ServeMux
	// writes and reads are the rate limiters, nil for no limit.
	writes, reads *rate.Limiter

	mu        sync.Mutex
	faults    Faults
	vms       map[string]VM
	frozenVMs []VM
	leaving   map[string]bool
	counters  map[string]int
}

// New returns a platform without keys, VMs or faults.
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
		writes:   newLimiter(options.WritesPerSecond),
		reads:    newLimiter(options.ReadsPerSecond),
	}
	p.registerRoutes()
	return p
}

// newLimiter returns a rate limiter that allows bursts of perSecond/10 calls, or of 1 call if that is less than 1. It
// returns nil if perSecond is not positive.
func newLimiter(perSecond float64) *rate.Limiter {
	if perSecond <= 0 {
		return nil
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond/10)))
}

// ServeHTTP serves the API for VMs under /v1 and the control API for tests and the bench.
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) { p.mux.ServeHTTP(w, r) }

func (p *Platform) registerRoutes() {
	p.mux.HandleFunc("GET /v1/kv/{key...}", p.vmHandler("get", p.getKey))
	p.mux.HandleFunc("PUT /v1/kv/{key...}", p.vmHandler("put", p.putKey))
	p.mux.HandleFunc("DELETE /v1/kv/{key...}", p.vmHandler("delete", p.deleteKey))
	p.mux.HandleFunc("GET /v1/watch/{key...}", p.vmHandler("watch", p.watchKey))
	p.mux.HandleFunc("POST /v1/leases", p.vmHandler("lease", p.grantLease))
	p.mux.HandleFunc("PUT /v1/leases/{id}", p.vmHandler("keepAlive", p.keepLeaseAlive))
	p.mux.HandleFunc("GET /v1/vms", p.vmHandler("vms", p.listVMs))
	p.mux.HandleFunc("GET /v1/targets/leaving", p.vmHandler("leaving", p.listLeaving))

	p.mux.HandleFunc("PUT /v1/vms/{name}", p.putVM)
	p.mux.HandleFunc("DELETE /v1/vms/{name}", p.deleteVM)
	p.mux.HandleFunc("PUT /v1/targets/leaving/{name}", p.putLeaving)
	p.mux.HandleFunc("DELETE /v1/targets/leaving/{name}", p.deleteLeaving)
	p.mux.HandleFunc("POST /standin/faults", p.postFaults)
	p.mux.HandleFunc("GET /standin/counters", p.getCounters)
}

// SetFaults replaces the injected faults. With Down, it also ends the watches that are waiting.
func (p *Platform) SetFaults(faults Faults) {
	p.mu.Lock()
	if faults.FreezeVMs && !p.faults.FreezeVMs {
		p.frozenVMs = p.sortedVMs()
	}
	p.faults = faults
	p.mu.Unlock()
	p.store.wakeWatches()
}

// Faults returns the injected faults.
func (p *Platform) Faults() Faults {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.faults
}

// Counters returns the number of calls of VMs by operation, their total and, as lostReplies, how many writes were
// left without a reply.
func (p *Platform) Counters() map[string]int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return maps.Clone(p.counters)
}

// PutVM adds a VM to the VM list or replaces the VM of the same name; an empty state means live.
func (p *Platform) PutVM(vm VM) {
	if vm.State == "" {
		vm.State = "live"
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.vms[vm.Name] = vm
}

// RemoveVM removes a VM from the VM list.
func (p *Platform) RemoveVM(name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.vms, name)
}

// SetLeaving adds a target to the list of targets about to be stopped, or removes it.
func (p *Platform) SetLeaving(target string, leaving bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if leaving {
		p.leaving[target] = true
	} else {
		delete(p.leaving, target)
	}
}

// Put writes a key unconditionally and returns its revision. The write is not counted and no fault applies to it.
func (p *Platform) Put(key string, value []byte) uint64 {
	revision, _ := p.store.put(key, value, condition{}, "")
	return revision
}

// Get returns a key's entry, with revision 0 if the key does not exist. The read is not counted and no fault applies
// to it.
func (p *Platform) Get(key string) Entry { return p.store.get(key) }

// vmHandler wraps next for calls of VMs: it counts the call, applies the delays and faults and checks the token.
func (p *Platform) vmHandler(counter string, next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		p.mu.Lock()
		p.counters[counter]++
		p.counters["total"]++
		faults := p.faults
		p.mu.Unlock()
		p.wait(r, time.Duration(faults.DelayMs)*time.Millisecond+p.rateDelay(r.Method))
		p.abortIfDown()
		if p.token != "" && strings.TrimPrefix(r.Header.Get("Authorization"), "Bearer ") != p.token {
			writeProblem(w, http.StatusUnauthorized, "send the platform token as a bearer token")
			return
		}
		next(w, r)
	}
}

// abortIfDown closes the connection without a reply while the Down fault is set.
func (p *Platform) abortIfDown() {
	if p.Faults().Down {
		panic(http.ErrAbortHandler)
	}
}

// rateDelay reserves a call at the rate limiter of its method and returns how long the call has to wait.
func (p *Platform) rateDelay(method string) time.Duration {
	limiter := p.writes
	if method == http.MethodGet {
		limiter = p.reads
	}
	if limiter == nil {
		return 0
	}
	now := p.clock.Now()
	return limiter.ReserveN(now, 1).DelayFrom(now)
}

func (p *Platform) wait(r *http.Request, d time.Duration) {
	if d <= 0 {
		return
	}
	select {
	case <-p.clock.After(d):
	case <-r.Context().Done():
	}
}

// replyToWrite replies to a write that took effect, or closes the connection without a reply if LoseReplies is above 0.
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

// sortedVMs returns the VM list sorted by name; the caller holds p.mu.
func (p *Platform) sortedVMs() []VM {
	vms := make([]VM, 0, len(p.vms))
	for _, name := range slices.Sorted(maps.Keys(p.vms)) {
		vms = append(vms, p.vms[name])
	}
	return vms
}
