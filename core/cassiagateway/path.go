package cassiagateway

import (
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"cassiasaddle/core/cassiabackoff"
	"cassiasaddle/core/cassiacatalog"
	"cassiasaddle/core/cassiaid"
	"cassiasaddle/core/cassiarendezvous"
)

const (
	// directAfterDoubt is how long this VM sends the attempts to a zone itself after a path there was doubted, which tells
	// a lost VM from a zone that is cut off.
	directAfterDoubt = 700 * time.Millisecond
	// A doubted path is left alone for so long, doubled with each failure after it.
	firstDoubt = time.Second
	maxDoubt   = 8 * time.Second
	// slicesPerZone is among how many VMs the targets of a zone are divided where connections are scarce. Fewer merge more,
	// more divide the work better.
	slicesPerZone = 6
	// preferFactor makes targets outside of the preferred zone look slower, so that the parts of an answer come from few
	// zones.
	preferFactor = 1.15
)

// paths are the VMs that can send attempts to the targets of their zones. Merging parts where the targets are saves most of
// the bytes between zones.
type paths struct {
	byZone map[cassiaid.Zone][]*path
	byName map[cassiaid.VMName]*path
}

// path is what is known of the way by one VM.
type path struct {
	vm           VM
	warmed       bool
	failures     int
	doubtedAt    time.Time
	doubtedUntil time.Time
}

// set replaces the VMs and keeps what is known of those that stay.
func (p *paths) set(vms []VM) {
	known := p.byName
	p.byName, p.byZone = make(map[cassiaid.VMName]*path), make(map[cassiaid.Zone][]*path)
	for _, vm := range vms {
		w := known[vm.Name]
		if w == nil || w.vm != vm {
			w = &path{vm: vm}
		}
		p.byName[vm.Name] = w
		p.byZone[vm.Zone] = append(p.byZone[vm.Zone], w)
	}
}

// to returns the VM by which a zone should be reached, or an empty name for this VM itself. Who has the same key keeps to the
// same VM of a zone while that lasts, by rendezvous hash weighted with the VMs' processors.
func (p *paths) to(now time.Time, key string, self cassiaid.VMName, zone cassiaid.Zone) cassiaid.VMName {
	var first, best *path
	var firstScore, bestScore float64
	for _, w := range p.byZone[zone] {
		score := w.score(key)
		if first == nil || score > firstScore {
			first, firstScore = w, score
		}
		if !now.Before(w.doubtedUntil) && (best == nil || score > bestScore) {
			best, bestScore = w, score
		}
	}
	if best == nil || best.vm.Name == self {
		return ""
	}
	if !first.doubtedAt.IsZero() && now.Sub(first.doubtedAt) < directAfterDoubt {
		return ""
	}
	return best.vm.Name
}

// score is the weighted rendezvous score of a VM for a key.
func (w *path) score(key string) float64 {
	return cassiarendezvous.Score(xxhash.Sum64String(key+" "+string(w.vm.Name)), w.vm.Cores)
}

// heard notes an answer by way of a VM.
func (p *paths) heard(name cassiaid.VMName) {
	if w := p.byName[name]; w != nil {
		w.failures = 0
	}
}

// doubt leaves the path by a VM alone for some time; it returns false if that was so already.
func (p *paths) doubt(now time.Time, name cassiaid.VMName) bool {
	w := p.byName[name]
	if w == nil || now.Before(w.doubtedUntil) {
		return false
	}
	w.doubtedAt, w.doubtedUntil = now, now.Add(cassiabackoff.Pause(firstDoubt, maxDoubt, w.failures))
	w.failures++
	return true
}

// doubtPath leaves the path by a VM alone for some time.
func (g *Gateway) doubtPath(now time.Time, key wayKey, cause Outcome) {
	if g.paths.doubt(now, key.via) {
		g.emit(Noted{Event: EventPathDoubted, VM: key.via, Zone: key.zone, Cause: cause})
	}
}

// pathFor returns the VM that is to send an attempt to a target, or an empty name for this VM. Where a target takes fewer
// connections than there are VMs, one VM of its zone sends to it for all; it has connections that are warm. Else only
// attempts at other zones go by another VM.
func (g *Gateway) pathFor(now time.Time, r *cassiacatalog.Route, t *target) cassiaid.VMName {
	if !r.FansOut() || g.settings.Zone == "" {
		return ""
	}
	if t.service.scarce(g.vms(now)) {
		return g.paths.to(now, sliceKey(t), g.settings.Name, t.Zone)
	}
	if t.Zone == g.settings.Zone {
		return ""
	}
	return g.paths.to(now, string(g.settings.Name), g.settings.Name, t.Zone)
}

func sliceKey(t *target) string {
	return "slice " + strconv.FormatUint(xxhash.Sum64String(string(t.Name))%slicesPerZone, 10)
}

// warm opens the connections that the first requests will need: to the targets that this VM sends to, and to the VMs that send
// for it in its zone.
func (g *Gateway) warm(now time.Time) {
	for _, t := range g.listed {
		if t.Zone != g.settings.Zone || !g.fanOutServices[t.service.name] {
			continue
		}
		via := cassiaid.VMName("")
		if t.service.scarce(g.vms(now)) {
			via = g.paths.to(now, sliceKey(t), g.settings.Name, t.Zone)
		}
		if w := g.paths.byName[via]; w != nil && !w.warmed {
			w.warmed = true
			g.emit(Warm{VM: via})
		}
		if via == "" && !t.warmed && g.fleetKnown {
			t.warmed, t.wantsProbe = true, true
		}
	}
	g.probeDue(now)
}

// preferredZone returns the zone whose targets a query should ask: the own one if it has any, else one that this VM keeps to.
func (g *Gateway) preferredZone(r *cassiacatalog.Route) cassiaid.Zone {
	if !r.FansOut() {
		return g.settings.Zone
	}
	var zones []cassiaid.Zone
	seen := map[cassiaid.Zone]bool{}
	for _, t := range g.service(r.Shards[0]).targets {
		if t.Zone == g.settings.Zone {
			return t.Zone
		}
		if !seen[t.Zone] {
			seen[t.Zone] = true
			zones = append(zones, t.Zone)
		}
	}
	if len(zones) == 0 {
		return ""
	}
	slices.Sort(zones)
	return zones[xxhash.Sum64String(string(g.settings.Name))%uint64(len(zones))]
}
