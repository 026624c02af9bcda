package cassiaguard

import (
	"cmp"
	"slices"

	"google.golang.org/protobuf/types/known/durationpb"

	"cassiasaddle/core/cassiaid"
	"cassiasaddle/core/cassiaquarantine"
	"cassiasaddle/core/cassiaschema"
)

// maxHistoryLosses is the maximum number of losses in one history.
const maxHistoryLosses = 32

// lossesOf returns the losses that count against requests, each once and at most maxHistoryLosses, as notices.
func (n *Notifier) lossesOf(fingerprints []cassiaid.Fingerprint) []*cassiaschema.LossNotice {
	var notices []*cassiaschema.LossNotice
	told := make(map[cassiaid.AttemptID]bool)
	for _, f := range fingerprints {
		for _, l := range n.Guard.LossesOf(f) {
			if first := l.Loss.Runs[0].Attempt; !told[first] && len(notices) < maxHistoryLosses {
				told[first] = true
				notices = append(notices, encodeLoss(l))
			}
		}
	}
	return notices
}

// learnHistory records what another VM knows against requests of this VM, and reports whether that includes losses which this VM
// had missed.
func (n *Notifier) learnHistory(front cassiaid.FrontKey, from cassiaid.VMName, history *cassiaschema.CrashHistory) (missed bool) {
	for _, notice := range history.GetLosses() {
		learned := decodeLoss(from, notice)
		if n.Guard.Knows(learned.Loss) {
			continue
		}
		missed = true
		for _, a := range n.Guard.ApplyNotice(learned) {
			n.group.Go(func() error { n.ShareAnswer(front, a); return nil })
		}
	}
	n.learnQuarantines(from, history.GetQuarantined())
	return missed
}

func encodeLoss(l cassiaquarantine.LossLearned) *cassiaschema.LossNotice {
	notice := &cassiaschema.LossNotice{Target: string(l.Loss.Target), Reporter: string(l.Loss.Reporter), Age: durationpb.New(l.Age)}
	for _, r := range l.Loss.Runs {
		notice.Runs = append(notice.Runs, &cassiaschema.LostRun{
			AttemptId: uint64(r.Attempt), Fingerprint: uint64(r.Fingerprint), Shard: uint32(r.Shard), Alone: r.Alone, Content: uint64(r.Content),
		})
	}
	return notice
}

// decodeLoss returns the loss of a notice that a VM sent.
func decodeLoss(from cassiaid.VMName, notice *cassiaschema.LossNotice) cassiaquarantine.LossLearned {
	loss := cassiaquarantine.Loss{Target: cassiaid.TargetName(notice.GetTarget()),
		Reporter: cmp.Or(cassiaid.VMName(notice.GetReporter()), from)}
	for _, r := range notice.GetRuns() {
		loss.Runs = append(loss.Runs, cassiaquarantine.Run{
			Attempt: cassiaid.AttemptID(r.AttemptId), Fingerprint: cassiaid.Fingerprint(r.Fingerprint), Content: cassiaid.Fingerprint(r.Content),
			Shard: cassiaid.ShardIndex(r.Shard), Alone: r.Alone,
		})
	}
	return cassiaquarantine.LossLearned{Loss: loss, Age: notice.GetAge().AsDuration()}
}

// fingerprintsOf returns the fingerprints of runs, each once.
func fingerprintsOf(runs []cassiaquarantine.Run) []cassiaid.Fingerprint {
	var all []cassiaid.Fingerprint
	for _, r := range runs {
		all = append(all, r.Fingerprints()...)
	}
	slices.Sort(all)
	return slices.Compact(all)
}
