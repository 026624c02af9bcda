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

// MaxValueBytes bounds a value of the key-value service.
const MaxValueBytes = 1 << 20

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
	// WritesPerSecond and ReadsPerSecond slow calls beyond these rates down; 0 means no limit. A watch is a read.
	WritesPerSecond, ReadsPerSecond float64
}

// Platform is the stand-in; it is an http.Handler to be served by the caller.
type Platform struct {
	clock clockwork.Clock
	token string
	store *store
	mux   *http.ServeMux
	// writes and reads are nil without a limit.
	writes, reads *rate.Limiter

	mu        sync.Mutex
	faults    Faults
	vms       map[string]VM
	frozenVMs []VM
	leaving   map[string]bool
	counters  map[string]int
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
		writes:   newLimiter(options.WritesPerSecond),
		reads:    newLimiter(options.ReadsPerSecond),
	}
	p.registerRoutes()
	return p
}

// newLimiter returns a limiter that allows a tenth of a second's calls at once, nil without a limit.
func newLimiter(perSecond float64) *rate.Limiter {
	if perSecond <= 0 {
		return nil
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond/10)))
}

// ServeHTTP answers one call.
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

// SetFaults replaces the faults in play and ends the watches that Down forbids.
func (p *Platform) SetFaults(faults Faults) {
	p.mu.Lock()
	if faults.FreezeVMs && !p.faults.FreezeVMs {
		p.frozenVMs = p.sortedVMs()
	}
	p.faults = faults
	p.mu.Unlock()
	p.store.wakeWatches()
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

// vmHandler counts a call of a VM, plays the faults and checks the token.
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

// abortIfDown closes the connection unanswered while the platform plays an outage.
func (p *Platform) abortIfDown() {
	if p.Faults().Down {
		panic(http.ErrAbortHandler)
	}
}

// rateDelay returns how long a call waits because of the calls before it.
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

// sortedVMs returns the VM list by name; the caller holds the lock.
func (p *Platform) sortedVMs() []VM {
	vms := make([]VM, 0, len(p.vms))
	for _, name := range slices.Sorted(maps.Keys(p.vms)) {
		vms = append(vms, p.vms[name])
	}
	return vms
}
