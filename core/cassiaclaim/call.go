package cassiaclaim

import "time"

// step starts the next call of a bucket when it is due.
func (l *Ledger) step(b *bucket, now time.Time) {
	switch {
	case b.operation != noOperation:
		return
	case b.idle():
		if now.Sub(b.usedAt) >= idleTime {
			delete(l.buckets, b.id)
		}
		return
	case now.Before(b.dueAt) || now.Before(l.outage.retryAt) || l.probing():
		return
	case !b.known || b.outdated():
		l.startRead(b)
	default:
		l.startWrite(b, now)
	}
}

func (l *Ledger) startRead(b *bucket) {
	b.forget()
	b.operation = reading
	l.emit(ReadBucket{Bucket: b.id})
}

// startWrite writes all that waits for the bucket in one call.
func (l *Ledger) startWrite(b *bucket, now time.Time) {
	g := newGroup(l, b, now)
	g.take()
	b.fresh = false
	b.dueAt = time.Time{}
	if !g.changed {
		l.requeue(b, now)
		return
	}
	for _, e := range g.entries {
		e.attempted = true
	}
	b.operation, b.startedAt = writing, now
	b.group, b.settling, b.written = g.entries, g.settled, g.value
	l.emit(WriteBucket{Bucket: b.id, Value: g.value, IfRevision: b.revision, Claims: len(g.entries)})
}

// requeue makes the bucket due again when something still waits for it.
func (l *Ledger) requeue(b *bucket, now time.Time) {
	if len(b.queue) > 0 || len(b.settles) > 0 {
		b.schedule(b.nextWrite(now))
	}
}

// read takes a bucket's value and goes on with what waits for it.
func (l *Ledger) read(m BucketRead, now time.Time) {
	b := l.buckets[m.Bucket]
	if b == nil || b.operation != reading {
		return
	}
	l.outage.succeed()
	b.operation = noOperation
	b.known, b.fresh = true, true
	b.value, b.revision = m.Value, m.Revision
	b.dueAt = now
}

func (l *Ledger) readFailed(id BucketID, now time.Time) {
	b := l.buckets[id]
	if b == nil || b.operation != reading {
		return
	}
	b.operation = noOperation
	l.count(CountReadFailed)
	l.callFailed(b, now)
}

// callFailed pauses the calls, and refuses what waits when the service is out of reach.
func (l *Ledger) callFailed(b *bucket, now time.Time) {
	b.forget()
	l.outage.fail(now, l.random.Float64())
	b.dueAt = l.outage.retryAt
	if l.outage.lasting() {
		l.refuseWaiting(now)
	}
}

// writeDone grants the claims of the write.
func (l *Ledger) writeDone(m WriteDone, now time.Time) {
	b := l.buckets[m.Bucket]
	if b == nil || b.operation != writing {
		return
	}
	l.outage.succeed()
	b.value, b.revision = b.written, m.Revision
	b.known = b.contended == 0
	b.contended = max(b.contended-1, 0)
	b.wait = max(b.wait*3/4, minWait)
	entries, settled := b.endWrite()
	for range settled {
		l.count(CountSettled)
	}
	for _, e := range entries {
		l.grant(b, e, CountGranted, now)
	}
	l.requeue(b, now)
}

// endWrite returns what the write under way carried.
func (b *bucket) endWrite() ([]*entry, []*settlement) {
	entries, settled := b.group, b.settling
	b.operation = noOperation
	b.group, b.settling, b.written = nil, nil, nil
	return entries, settled
}

// writeConflict reads again after a pause that grows while other VMs write the same bucket.
func (l *Ledger) writeConflict(id BucketID, now time.Time) {
	b := l.buckets[id]
	if b == nil || b.operation != writing {
		return
	}
	l.outage.succeed()
	l.count(CountConflict)
	l.takeBack(b)
	b.forget()
	b.contended = contendedWrites
	b.wait = min(max(2*b.wait, 2*minWait), maxWait)
	b.dueAt = now.Add(time.Duration(l.random.Float64() * float64(b.wait)))
}

// writeUnknown reads back: the nonce tells whether the write took effect.
func (l *Ledger) writeUnknown(id BucketID, now time.Time) {
	b := l.buckets[id]
	if b == nil || b.operation != writing {
		return
	}
	l.count(CountWriteUnknown)
	l.takeBack(b)
	l.callFailed(b, now)
}

// takeBack queues what a write without success carried, ahead of what came later.
func (l *Ledger) takeBack(b *bucket) {
	entries, settled := b.endWrite()
	b.settles = append(settled, b.settles...)
	var kept []*entry
	for _, e := range entries {
		if e.abandoned {
			l.release(b, e, true)
			continue
		}
		kept = append(kept, e)
	}
	b.queue = append(kept, b.queue...)
}

// wake asks for a Tick at the next time that something is due.
func (l *Ledger) wake(now time.Time) {
	var next time.Time
	probing := l.probing()
	sooner := func(t time.Time) {
		if next.IsZero() || t.Before(next) {
			next = t
		}
	}
	for _, b := range l.buckets {
		for _, e := range b.queue {
			sooner(e.Deadline)
		}
		for _, e := range b.group {
			if !e.abandoned {
				sooner(e.Deadline)
			}
		}
		switch {
		case b.operation != noOperation || probing:
		case b.idle():
			sooner(b.usedAt.Add(idleTime))
		default:
			sooner(later(b.dueAt, l.outage.retryAt))
		}
	}
	if next.IsZero() || next.Equal(l.wakeAt) {
		return
	}
	l.wakeAt = later(next, now)
	l.emit(WakeAt{At: l.wakeAt})
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
