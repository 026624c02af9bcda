package cassiaavailability

import (
	"time"

	"cassiasaddle/core/cassiaid"
)

// maxRecords limits the processes that a Registry remembers. The one that was heard from longest ago is forgotten first; it has
// ended long before by then.
const maxRecords = 16 << 10

// Process identifies one process of a target.
type Process struct {
	Target cassiaid.TargetName
	// StartUnixMillis is the start of the process in milliseconds of Unix time, or 0 if it is unknown.
	StartUnixMillis int64
}

// Registry remembers what processes of targets have stated. What a process states also holds for earlier processes of its
// target: a list that names one of those is out of date, and a request to it would reach the later process. The zero value is an
// empty Registry. It is not safe for concurrent use.
type Registry struct {
	records map[cassiaid.TargetName]*record
}

// record is what the latest known process of a target has stated.
type record struct {
	startUnixMillis int64
	leaving         bool
	pausedUntil     time.Time
	heardAt         time.Time
}

// Observe records a statement of a process and reports whether it is news: that the process leaves, or a pause that ends later
// than the one in force. A pause never ends earlier than the target has named before.
func (r *Registry) Observe(now time.Time, p Process, s Statement) bool {
	if !s.Leaving && s.Pause <= 0 {
		return false
	}
	known := r.records[p.Target]
	if known == nil || known.startUnixMillis < p.StartUnixMillis {
		known = &record{startUnixMillis: p.StartUnixMillis}
		r.add(p.Target, known)
	}
	known.heardAt = now
	news := s.Leaving && !known.leaving
	known.leaving = known.leaving || s.Leaving
	if until := now.Add(s.Pause); s.Pause > 0 && until.After(known.pausedUntil) {
		known.pausedUntil = until
		news = true
	}
	return news
}

// Leaving reports whether a process has stated that it leaves.
func (r *Registry) Leaving(p Process) bool {
	known := r.find(p)
	return known != nil && known.leaving
}

// PausedUntil returns until when a process wants no requests; the time is zero or has passed if it has not asked for that.
func (r *Registry) PausedUntil(p Process) time.Time {
	if known := r.find(p); known != nil {
		return known.pausedUntil
	}
	return time.Time{}
}

// Current returns the statement of a process that is in force: that it leaves, and the rest of its pause.
func (r *Registry) Current(now time.Time, p Process) Statement {
	return Statement{Leaving: r.Leaving(p), Pause: max(0, r.PausedUntil(p).Sub(now))}
}

// Forget removes what a target has stated; its process has ended.
func (r *Registry) Forget(target cassiaid.TargetName) { delete(r.records, target) }

// find returns the record that holds for a process, or nil.
func (r *Registry) find(p Process) *record {
	known := r.records[p.Target]
	if known == nil || known.startUnixMillis < p.StartUnixMillis {
		return nil
	}
	return known
}

// add adds a record, in place of the one that was heard from longest ago if there are too many.
func (r *Registry) add(target cassiaid.TargetName, added *record) {
	if r.records == nil {
		r.records = make(map[cassiaid.TargetName]*record)
	}
	if len(r.records) >= maxRecords && r.records[target] == nil {
		var oldest cassiaid.TargetName
		var oldestAt time.Time
		for name, known := range r.records {
			if oldestAt.IsZero() || known.heardAt.Before(oldestAt) {
				oldest, oldestAt = name, known.heardAt
			}
		}
		delete(r.records, oldest)
	}
	r.records[target] = added
}
