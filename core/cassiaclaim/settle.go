package cassiaclaim

import (
	"time"

	"cassiasaddle/core/cassiaschema"
)

// queueOutcome queues an outcome for the next write of its bucket.
func (l *Ledger) queueOutcome(m Settle, now time.Time) {
	if m.Outcome == cassiaschema.ClaimOutcome_unknown {
		return
	}
	b := l.bucket(m.Key.Bucket(), now)
	b.addOutcome(l, &pendingOutcome{Settle: m})
	b.schedule(now.Add(maxOutcomeDelay))
}

func (b *bucket) addOutcome(l *Ledger, o *pendingOutcome) {
	if len(b.outcomes) >= maxPendingOutcomes {
		l.count(CountSettleDropped)
		return
	}
	b.outcomes = append(b.outcomes, o)
}

// release records that the claim of an entry was not used, so that a repeat may run. uncertain is true when the write
// of the claim may not have taken effect yet.
func (l *Ledger) release(b *bucket, p *pendingClaim, uncertain bool) {
	if p.Forwarded {
		return
	}
	l.count(CountReleaseRequested)
	b.addOutcome(l, &pendingOutcome{
		Settle: Settle{Key: p.Key, BodyHash: p.BodyHash, Nonce: p.nonce,
			Outcome: cassiaschema.ClaimOutcome_notStarted},
		uncertain: uncertain,
	})
	b.schedule(l.clock.Now())
}

// releaseForwarded gives back the claim of a send whose Ask went to another VM.
func (l *Ledger) releaseForwarded(m Release, now time.Time) {
	p := &pendingClaim{Ask: Ask{Key: m.Key, BodyHash: m.BodyHash}, nonce: m.Nonce}
	l.release(l.bucket(m.Key.Bucket(), now), p, true)
}

// abandon gives up an Ask whose caller has gone.
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

// abandonQueued releases the claim of a queued entry if a write with it may have left.
func (l *Ledger) abandonQueued(b *bucket, p *pendingClaim) {
	p.abandoned = true
	if p.maybeWritten {
		l.release(b, p, true)
	}
}

// expireClaims refuses the entries whose deadline has passed.
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

// refuseQueued refuses all queued entries while the key-value service is out of reach.
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
