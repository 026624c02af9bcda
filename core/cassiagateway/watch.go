package cassiagateway

import (
	"slices"
	"time"
)

// watch adds a target to those that are looked at after each message. Most targets need no attention between their attempts, and a
// fan-out causes several messages for each of its shards. A target that is no longer listed gets no probes, even if attempts on it are
// still running.
func (g *Gateway) watch(t *target) {
	if !t.watched && g.targets[t.Name] == t {
		t.watched = true
		g.watched = append(g.watched, t)
	}
}

// unwatch drops the targets that need no attention any more.
func (g *Gateway) unwatch(now time.Time) {
	g.watched = slices.DeleteFunc(g.watched, func(t *target) bool {
		t.watched = t.ejections > 0 || t.wantsProbe || t.probing || t.onTrial || t.hasRate(now)
		return !t.watched
	})
}
