package cassiaclaim

import (
	"time"

	"cassiasaddle/core/cassiaschema"
)

// settle queues an outcome for the next write of its bucket.
func (l *Ledger) settle(m Settle, now time.Time) {
	if m.Outcome == cassiaschema.ClaimOutcome_unknown {
		return
	}
	b := l.bucket(m.Key.Bucket(), now)
	b.add(l, &settlement{Settle: m})
	b.schedule(now.Add(settleWait))
}

func (b *bucket) add(l *Ledger, s *settlement) {
	if len(b.settles) >= maxSettles {
		l.count(CountSettleDropped)
		return
	}
	b.settles = append(b.settles, s)
}

// release records that the claim of an entry was not used, so that a repeat may run. uncertain is true when the write
// of the claim may not have taken effect yet.
func (l *Ledger) release(b *bucket, e *entry, uncertain bool) {
	if e.Forwarded {
		return
	}
	l.count(CountReleaseRequested)
	b.add(l, &settlement{
		Settle: Settle{Key: e.Key, BodyHash: e.BodyHash, Nonce: e.nonce,
			Outcome: cassiaschema.ClaimOutcome_notStarted},
		uncertain: uncertain,
	})
	b.schedule(l.clock.Now())
}

// releaseOther gives back the claim of a send whose Ask went to another VM.
func (l *Ledger) releaseOther(m Release, now time.Time) {
	e := &entry{Ask: Ask{Key: m.Key, BodyHash: m.BodyHash}, nonce: m.Nonce}
	l.release(l.bucket(m.Key.Bucket(), now), e, true)
}

// abandon gives up an Ask whose caller has gone.
func (l *Ledger) abandon(id ClaimID) {
	for _, b := range l.buckets {
		for i, e := range b.queue {
			if e.ID == id {
				b.queue = append(b.queue[:i:i], b.queue[i+1:]...)
				l.giveUp(b, e)
				return
			}
		}
		for _, e := range b.group {
			e.abandoned = e.abandoned || e.ID == id
		}
	}
}

// giveUp releases the claim of a queued entry if a write with it may have left.
func (l *Ledger) giveUp(b *bucket, e *entry) {
	e.abandoned = true
	if e.attempted {
		l.release(b, e, true)
	}
}

// expire refuses the entries whose deadline has passed.
func (l *Ledger) expire(now time.Time) {
	for _, b := range l.buckets {
		kept := b.queue[:0]
		for _, e := range b.queue {
			if now.Before(e.Deadline) {
				kept = append(kept, e)
				continue
			}
			l.deny(e, CountDeniedLate, refusedLate())
			l.giveUp(b, e)
		}
		b.queue = kept
		for _, e := range b.group {
			if !now.Before(e.Deadline) && !e.abandoned {
				l.deny(e, CountDeniedLate, refusedLate())
				e.abandoned = true
			}
		}
	}
}

// refuseWaiting refuses all queued entries while the key-value service is out of reach.
func (l *Ledger) refuseWaiting(now time.Time) {
	for _, b := range l.ordered() {
		queue := b.queue
		b.queue = nil
		for _, e := range queue {
			l.deny(e, CountDeniedStore, refusedStore(l.outage.left(now)))
			l.giveUp(b, e)
		}
	}
}
