package cassiaclaim

import (
	"time"

	"cassiasaddle/core/cassiaschema"
)

// queueOutcome queues an outcome for the next write of its bucket.
func (l *Ledger) queueOutcome(m RecordOutcome, now time.Time) {
	if m.Outcome == cassiaschema.ClaimOutcome_unknown {
		return
	}
	b := l.bucket(m.Key.Bucket(), now)
	b.addOutcome(l, &pendingOutcome{RecordOutcome: m})
	b.schedule(now.Add(maxOutcomeDelay))
}

func (b *bucket) addOutcome(l *Ledger, o *pendingOutcome) {
	if len(b.outcomes) >= maxPendingOutcomes {
		l.count(CountSettleDropped)
		return
	}
	b.outcomes = append(b.outcomes, o)
}

// release queues the outcome that the claim's request was not started, so that a repeat may run. uncertain is true
// when a write of the claim may still take effect. A forwarded claim is left to the VM that forwarded it.
func (l *Ledger) release(b *bucket, p *pendingClaim, uncertain bool) {
	if p.Forwarded {
		return
	}
	l.count(CountReleaseRequested)
	b.addOutcome(l, &pendingOutcome{
		RecordOutcome: RecordOutcome{Key: p.Key, BodyHash: p.BodyHash, Nonce: p.nonce,
			Outcome: cassiaschema.ClaimOutcome_notStarted},
		uncertain: uncertain,
	})
	b.schedule(l.clock.Now())
}

// releaseForwarded releases the claim of a send whose Acquire was forwarded to another VM.
func (l *Ledger) releaseForwarded(m Release, now time.Time) {
	p := &pendingClaim{Acquire: Acquire{Key: m.Key, BodyHash: m.BodyHash}, nonce: m.Nonce}
	l.release(l.bucket(m.Key.Bucket(), now), p, true)
}

// abandon cancels an Acquire whose caller no longer waits.
func (l *Ledger) abandon(id ClaimID) {
	for _, b := range l.buckets {
		for i, p := range b.queue {
			if p.ID == id {
				b.queue = append(b.queue[:i:i], b.queue[i+1:]...)
				l.abandonQueued(b, p)
				return
			}
		}
		for _, p := range b.writingClaims {
			p.abandoned = p.abandoned || p.ID == id
		}
	}
}

// abandonQueued marks a queued claim as abandoned, and releases it if a write with it may have been sent.
func (l *Ledger) abandonQueued(b *bucket, p *pendingClaim) {
	p.abandoned = true
	if p.maybeWritten {
		l.release(b, p, true)
	}
}

// expireClaims refuses the claims whose deadline has passed.
func (l *Ledger) expireClaims(now time.Time) {
	for _, b := range l.buckets {
		kept := b.queue[:0]
		for _, p := range b.queue {
			if now.Before(p.Deadline) {
				kept = append(kept, p)
				continue
			}
			l.deny(p, CountDeniedLate, refusedLate())
			l.abandonQueued(b, p)
		}
		b.queue = kept
		for _, p := range b.writingClaims {
			if !now.Before(p.Deadline) && !p.abandoned {
				l.deny(p, CountDeniedLate, refusedLate())
				p.abandoned = true
			}
		}
	}
}

// refuseQueued refuses all queued claims because the key-value service is down.
func (l *Ledger) refuseQueued(now time.Time) {
	for _, b := range l.sortedBuckets() {
		queue := b.queue
		b.queue = nil
		for _, p := range queue {
			l.deny(p, CountDeniedStore, refusedStore(l.outage.untilRetry(now)))
			l.abandonQueued(b, p)
		}
	}
}
