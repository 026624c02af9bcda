package cassiaclaim

import "time"

// startCall starts the next read or write of a bucket if one is due, and deletes the state of a bucket that has been
// idle for bucketIdleTime.
func (l *Ledger) startCall(b *bucket, now time.Time) {
	switch {
	case b.operation != noOperation:
		return
	case b.idle():
		if now.Sub(b.usedAt) >= bucketIdleTime {
			delete(l.buckets, b.id)
		}
		return
	case now.Before(b.dueAt) || now.Before(l.outage.retryAt) || l.probeInProgress():
		return
	case !b.cached || b.needsRead():
		l.startRead(b)
	default:
		l.startWrite(b, now)
	}
}

func (l *Ledger) startRead(b *bucket) {
	b.invalidate()
	b.operation = reading
	l.emit(ReadBucket{Bucket: b.id})
}

// startWrite starts one write with everything that waits for the bucket.
func (l *Ledger) startWrite(b *bucket, now time.Time) {
	w := newWriteBuilder(l, b, now)
	w.addWaiting()
	b.fresh = false
	b.dueAt = time.Time{}
	if !w.changed {
		l.scheduleWaiting(b, now)
		return
	}
	for _, p := range w.claims {
		p.maybeWritten = true
	}
	b.operation, b.lastWriteAt = writing, now
	b.writingClaims, b.writingOutcomes, b.writingValue = w.claims, w.outcomes, w.value
	l.emit(WriteBucket{Bucket: b.id, Value: w.value, IfRevision: b.revision, Claims: len(w.claims)})
}

// scheduleWaiting schedules the next write if claims or outcomes still wait for the bucket.
func (l *Ledger) scheduleWaiting(b *bucket, now time.Time) {
	if len(b.queue) > 0 || len(b.outcomes) > 0 {
		b.schedule(b.nextWriteAt(now))
	}
}

// bucketRead caches the value of a bucket and makes the bucket due at once.
func (l *Ledger) bucketRead(m BucketRead, now time.Time) {
	b := l.buckets[m.Bucket]
	if b == nil || b.operation != reading {
		return
	}
	l.outage.recordSuccess()
	b.operation = noOperation
	b.cached, b.fresh = true, true
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

// callFailed pauses all calls after a failed one, and refuses the queued claims once the failures count as an outage.
func (l *Ledger) callFailed(b *bucket, now time.Time) {
	b.invalidate()
	l.outage.recordFailure(now, l.random.Float64())
	b.dueAt = l.outage.retryAt
	if l.outage.active() {
		l.refuseQueued(now)
	}
}

// writeDone grants the claims of a successful write.
func (l *Ledger) writeDone(m WriteDone, now time.Time) {
	b := l.buckets[m.Bucket]
	if b == nil || b.operation != writing {
		return
	}
	l.outage.recordSuccess()
	b.value, b.revision = b.writingValue, m.Revision
	b.cached = b.contendedWritesLeft == 0
	b.contendedWritesLeft = max(b.contendedWritesLeft-1, 0)
	b.writeInterval = max(b.writeInterval*3/4, minWriteInterval)
	claims, outcomes := b.takeWrite()
	for range outcomes {
		l.count(CountSettled)
	}
	for _, p := range claims {
		l.grant(b, p, CountGranted, now)
	}
	l.scheduleWaiting(b, now)
}

// takeWrite ends the write in progress and returns its claims and outcomes.
func (b *bucket) takeWrite() ([]*pendingClaim, []*pendingOutcome) {
	claims, outcomes := b.writingClaims, b.writingOutcomes
	b.operation = noOperation
	b.writingClaims, b.writingOutcomes, b.writingValue = nil, nil, nil
	return claims, outcomes
}

// writeConflict has the bucket read again after a pause, which grows while other VMs write the same bucket.
func (l *Ledger) writeConflict(id BucketID, now time.Time) {
	b := l.buckets[id]
	if b == nil || b.operation != writing {
		return
	}
	l.outage.recordSuccess()
	l.count(CountConflict)
	l.requeueWrite(b)
	b.invalidate()
	b.contendedWritesLeft = contendedWrites
	b.writeInterval = min(max(2*b.writeInterval, 2*minWriteInterval), maxWriteInterval)
	b.dueAt = now.Add(time.Duration(l.random.Float64() * float64(b.writeInterval)))
}

// writeUnknown has the bucket read again: the nonce of a claim shows whether the write took effect.
func (l *Ledger) writeUnknown(id BucketID, now time.Time) {
	b := l.buckets[id]
	if b == nil || b.operation != writing {
		return
	}
	l.count(CountWriteUnknown)
	l.requeueWrite(b)
	l.callFailed(b, now)
}

// requeueWrite puts the claims and outcomes of an unconfirmed write back at the front of their queues. An abandoned
// claim is released instead.
func (l *Ledger) requeueWrite(b *bucket) {
	claims, outcomes := b.takeWrite()
	b.outcomes = append(outcomes, b.outcomes...)
	var kept []*pendingClaim
	for _, p := range claims {
		if p.abandoned {
			l.release(b, p, true)
			continue
		}
		kept = append(kept, p)
	}
	b.queue = append(kept, b.queue...)
}

// scheduleWake asks for a Tick at the next time that something is due.
func (l *Ledger) scheduleWake(now time.Time) {
	var next time.Time
	probing := l.probeInProgress()
	consider := func(t time.Time) {
		if next.IsZero() || t.Before(next) {
			next = t
		}
	}
	for _, b := range l.buckets {
		for _, p := range b.queue {
			consider(p.Deadline)
		}
		for _, p := range b.writingClaims {
			if !p.abandoned {
				consider(p.Deadline)
			}
		}
		switch {
		case b.operation != noOperation || probing:
		case b.idle():
			consider(b.usedAt.Add(bucketIdleTime))
		default:
			consider(later(b.dueAt, l.outage.retryAt))
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
