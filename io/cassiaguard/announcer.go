package cassiaguard

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"cassiasaddle/core/cassiabackoff"
	"cassiasaddle/core/cassiaid"
	"cassiasaddle/core/cassiaquarantine"
	"cassiasaddle/core/cassiaschema"
)

const (
	// announceInterval is how often a VM that knows of quarantines repeats them to one other VM, looks for those that the
	// store lacks, and tells VMs again that have not confirmed its own.
	announceInterval = time.Second
	// saveDelay is how long a VM leaves it to the one that decided on a quarantine to save it. A random time of up to the
	// same length comes on top, so that not all VMs save it.
	saveDelay = 2 * time.Second
	// minSavedTime is the shortest remaining time of a quarantine that is worth saving.
	minSavedTime = 3 * time.Second
	// learnedDelay is how long a VM that has decided on a quarantine by another VM's notice leaves it to that VM, which most
	// likely has decided the same, to announce it. A random time of up to the same length comes on top.
	learnedDelay = 150 * time.Millisecond
	// saveTimeout bounds the calls to save quarantines. The pause after failed calls doubles up to maxSaveBackoff.
	saveTimeout    = 2 * time.Second
	minSaveBackoff = 200 * time.Millisecond
	maxSaveBackoff = 5 * time.Second
	// maxAnnounced is the maximum number of quarantines in one message.
	maxAnnounced = 256
)

// StoredQuarantine is the entry of a quarantined request in the store. Until is zero if the entry was removed.
type StoredQuarantine struct {
	Fingerprint cassiaid.Fingerprint
	Until       time.Time
}

// QuarantineStore keeps quarantines for VMs that start later or were cut off.
type QuarantineStore interface {
	// SaveQuarantines writes the entries of quarantined requests, or the first of them if there are too many for one call.
	SaveQuarantines(ctx context.Context, quarantines []StoredQuarantine) error
}

// AnnouncerConfig holds the dependencies of an Announcer.
type AnnouncerConfig struct {
	Guard *Guard
	Store QuarantineStore
	// VMs returns the other VMs; there are none until they can be reached.
	VMs func() []cassiaid.VMName
	// Send sends a frame to another VM and returns nil once that VM has confirmed it. It is called only after VMs has
	// returned one.
	Send func(ctx context.Context, vm cassiaid.VMName, frame *cassiaschema.PeerFrame) error
	// Log writes a log line for an event; fields are alternating keys and values.
	Log func(event string, fields ...any)
}

// Announcer spreads the quarantines that a Guard knows: those on which this VM decides to each other VM until it confirms
// them, all of them to one random VM in each announceInterval, which spreads those of VMs that were lost, and to the store.
// It is safe for concurrent use.
type Announcer struct {
	config AnnouncerConfig
	group  errgroup.Group

	mutex sync.Mutex
	// stored holds the end of each quarantine that is in the store.
	stored map[cassiaid.Fingerprint]time.Time
	// saveAt is when this VM saves a quarantine that the store lacks.
	saveAt map[cassiaid.Fingerprint]time.Time
	// told holds the VMs that have confirmed each quarantine that this VM announces.
	told map[cassiaid.Fingerprint]map[cassiaid.VMName]bool
	// telling holds the VMs to which a notice is on its way, unreached those that have not confirmed their last one.
	telling, unreached map[cassiaid.VMName]bool
	// wake asks Run to look for quarantines to save; it has room for one request.
	wake chan struct{}
}

// NewAnnouncer returns an Announcer; Run must be called to repeat and save quarantines.
func NewAnnouncer(config AnnouncerConfig) *Announcer {
	return &Announcer{config: config, stored: make(map[cassiaid.Fingerprint]time.Time), saveAt: make(map[cassiaid.Fingerprint]time.Time),
		told: make(map[cassiaid.Fingerprint]map[cassiaid.VMName]bool), telling: make(map[cassiaid.VMName]bool),
		unreached: make(map[cassiaid.VMName]bool), wake: make(chan struct{}, 1)}
}

// Announce tells all other VMs and the store of a quarantine that this VM has decided on, a moment later if it has decided by
// another VM's notice. It does not block.
func (a *Announcer) Announce(quarantine cassiaquarantine.ShareQuarantine) {
	a.config.Log("quarantined", "fingerprint", quarantine.Fingerprint, "remaining", quarantine.Remaining, "learned", quarantine.Learned)
	delay := time.Duration(0)
	if quarantine.Learned {
		delay = learnedDelay + time.Duration(rand.Int64N(int64(learnedDelay)))
	}
	a.mutex.Lock()
	a.saveAt[quarantine.Fingerprint] = time.Now().Add(delay)
	a.mutex.Unlock()
	time.AfterFunc(delay, a.wakeUp)
}

// wakeUp asks Run to look for quarantines to save.
func (a *Announcer) wakeUp() {
	select {
	case a.wake <- struct{}{}:
	default:
	}
}

// Stored records which quarantines are in the store, and passes them to the Guard. With all, the store holds no others.
func (a *Announcer) Stored(all bool, quarantines []StoredQuarantine) {
	a.mutex.Lock()
	if all {
		clear(a.stored)
	}
	for _, q := range quarantines {
		if q.Until.IsZero() {
			delete(a.stored, q.Fingerprint)
		} else {
			a.stored[q.Fingerprint] = q.Until
		}
	}
	a.mutex.Unlock()
	for _, q := range quarantines {
		if remaining := time.Until(q.Until); !q.Until.IsZero() && remaining > 0 {
			a.config.Guard.Quarantined(q.Fingerprint, remaining)
		}
	}
}

// Run repeats and saves quarantines until ctx is done and returns nil.
func (a *Announcer) Run(ctx context.Context) error {
	ticker := time.NewTicker(announceInterval)
	defer ticker.Stop()
	failures := 0
	var pauseUntil time.Time
	for {
		select {
		case <-ctx.Done():
			return a.group.Wait()
		case <-ticker.C:
			a.repeat()
		case <-a.wake:
		}
		missing := a.missing()
		a.addAnnounced(missing)
		a.tellAll()
		if len(missing) == 0 || time.Now().Before(pauseUntil) {
			continue
		}
		if err := a.save(ctx, missing); err != nil && ctx.Err() == nil {
			a.config.Log("quarantinesNotSaved", "quarantines", len(missing), "error", err)
			pause := cassiabackoff.Delay(minSaveBackoff, maxSaveBackoff, failures)
			failures++
			pauseUntil = time.Now().Add(pause)
			time.AfterFunc(pause, a.wakeUp)
			continue
		}
		failures, pauseUntil = 0, time.Time{}
	}
}

// addAnnounced adds quarantines to those of which this VM tells all others.
func (a *Announcer) addAnnounced(quarantines []StoredQuarantine) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	for _, q := range quarantines {
		if a.told[q.Fingerprint] == nil {
			a.told[q.Fingerprint] = make(map[cassiaid.VMName]bool)
		}
	}
}

// tellAll starts to tell each other VM of the announced quarantines that it has not confirmed.
func (a *Announcer) tellAll() {
	for _, vm := range a.config.VMs() {
		if a.startTelling(vm) {
			a.group.Go(func() error { a.tell(vm); return nil })
		}
	}
}

// startTelling reports whether a VM is to be told, which no notice on its way does yet.
func (a *Announcer) startTelling(vm cassiaid.VMName) bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if a.telling[vm] || len(a.untold(vm)) == 0 {
		return false
	}
	a.telling[vm] = true
	return true
}

// tell sends notices to a VM until it has confirmed all announced quarantines or does not confirm a notice.
func (a *Announcer) tell(vm cassiaid.VMName) {
	for untold := a.nextNotice(vm); len(untold) > 0; untold = a.nextNotice(vm) {
		if err := a.send(vm, untold); err != nil {
			a.notConfirmed(vm, err)
			return
		}
		a.confirmed(vm, untold)
	}
}

// nextNotice returns the content of the next notice for a VM, or nothing once the VM has confirmed all.
func (a *Announcer) nextNotice(vm cassiaid.VMName) []cassiaid.Fingerprint {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	untold := a.untold(vm)
	if len(untold) == 0 {
		delete(a.telling, vm)
	}
	return untold
}

func (a *Announcer) confirmed(vm cassiaid.VMName, fingerprints []cassiaid.Fingerprint) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	delete(a.unreached, vm)
	for _, f := range fingerprints {
		if told := a.told[f]; told != nil {
			told[vm] = true
		}
	}
}

// notConfirmed leaves a VM to the next interval. It logs the first of several failures only.
func (a *Announcer) notConfirmed(vm cassiaid.VMName, err error) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	delete(a.telling, vm)
	if !a.unreached[vm] {
		a.unreached[vm] = true
		a.config.Log("quarantineNotSent", "to", vm, "error", err)
	}
}

// untold returns up to maxAnnounced announced quarantines that a VM has not confirmed; the caller holds the mutex.
func (a *Announcer) untold(vm cassiaid.VMName) []cassiaid.Fingerprint {
	var untold []cassiaid.Fingerprint
	for f, told := range a.told {
		if !told[vm] && len(untold) < maxAnnounced {
			untold = append(untold, f)
		}
	}
	return untold
}

// repeat tells one random VM of all quarantines.
func (a *Announcer) repeat() {
	active := slices.Collect(maps.Keys(a.config.Guard.Active()))
	vms := a.config.VMs()
	if len(active) == 0 || len(vms) == 0 {
		return
	}
	vm := vms[rand.IntN(len(vms))]
	a.group.Go(func() error {
		// Another VM is told after the next interval.
		_ = a.send(vm, active[:min(len(active), maxAnnounced)])
		return nil
	})
}

// send tells a VM of quarantines and returns nil once it has confirmed the notice.
func (a *Announcer) send(vm cassiaid.VMName, fingerprints []cassiaid.Fingerprint) error {
	ctx, cancel := context.WithTimeout(context.Background(), announceInterval)
	defer cancel()
	notice := &cassiaschema.QuarantineNotice{Requests: a.config.Guard.quarantined(fingerprints)}
	return a.config.Send(ctx, vm, &cassiaschema.PeerFrame{Body: &cassiaschema.PeerFrame_QuarantineNotice{QuarantineNotice: notice}})
}

// missing returns the quarantines that this VM should save now, because the store lacks them and no other VM has saved them
// in time.
func (a *Announcer) missing() []StoredQuarantine {
	active := a.config.Guard.Active()
	now := time.Now()
	a.mutex.Lock()
	defer a.mutex.Unlock()
	maps.DeleteFunc(a.saveAt, func(f cassiaid.Fingerprint, _ time.Time) bool { return active[f] == 0 })
	maps.DeleteFunc(a.told, func(f cassiaid.Fingerprint, _ map[cassiaid.VMName]bool) bool { return active[f] == 0 })
	if len(a.told) == 0 {
		clear(a.unreached)
	}
	maps.DeleteFunc(a.stored, func(_ cassiaid.Fingerprint, until time.Time) bool { return now.After(until) })
	var missing []StoredQuarantine
	for fingerprint, remaining := range active {
		until := now.Add(remaining)
		if remaining < minSavedTime || !a.stored[fingerprint].Before(until.Add(-minSavedTime)) {
			delete(a.saveAt, fingerprint)
			continue
		}
		at, planned := a.saveAt[fingerprint]
		if !planned {
			a.saveAt[fingerprint] = now.Add(saveDelay + time.Duration(rand.Int64N(int64(saveDelay))))
			continue
		}
		if !now.Before(at) {
			missing = append(missing, StoredQuarantine{Fingerprint: fingerprint, Until: until})
		}
	}
	slices.SortFunc(missing, func(x, y StoredQuarantine) int { return y.Until.Compare(x.Until) })
	return missing
}

// save writes quarantines to the store. They count as stored from the change that the store reports.
func (a *Announcer) save(ctx context.Context, quarantines []StoredQuarantine) error {
	ctx, cancel := context.WithTimeout(ctx, saveTimeout)
	defer cancel()
	if err := a.config.Store.SaveQuarantines(ctx, quarantines); err != nil {
		return err
	}
	a.config.Log("quarantinesSaved", "quarantines", len(quarantines))
	a.mutex.Lock()
	defer a.mutex.Unlock()
	for _, q := range quarantines {
		// The change usually arrives before then, which keeps this VM from saving the quarantine again.
		a.saveAt[q.Fingerprint] = time.Now().Add(saveDelay)
	}
	return nil
}
