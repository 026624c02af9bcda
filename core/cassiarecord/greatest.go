package cassiarecord

import (
	"bytes"
	"slices"
)

// RecordSize is the size of a record in bytes; a shorter remainder at the end of a part is ignored.
const RecordSize = 16

// Greatest returns the count greatest records of all parts, concatenated in descending order. Records are compared byte by
// byte.
func Greatest(parts [][]byte, count int) []byte {
	var records [][]byte
	for _, part := range parts {
		records = append(records, split(part)...)
	}
	return bytes.Join(greatest(records, count), nil)
}

// Pruner prunes parts: it drops the records that can't be among the Count greatest of all parts passed to it. If
// Count is zero, it drops all records.
type Pruner struct {
	Count int
	// greatestSoFar holds the greatest records of all parts so far, in descending order.
	greatestSoFar [][]byte
}

// Prune returns, for each part, the records that can be among the greatest of these and all earlier parts.
func (p *Pruner) Prune(parts ...[]byte) [][]byte {
	sorted := make([][][]byte, len(parts))
	for i, part := range parts {
		sorted[i] = greatest(split(part), p.Count)
		p.greatestSoFar = greatest(append(slices.Clip(p.greatestSoFar), sorted[i]...), p.Count)
	}
	pruned := make([][]byte, len(parts))
	for i, records := range sorted {
		pruned[i] = bytes.Join(records[:p.candidateCount(records)], nil)
	}
	return pruned
}

// candidateCount returns how many of the records, which are in descending order, are no less than the smallest of
// the Count greatest so far.
func (p *Pruner) candidateCount(records [][]byte) int {
	if len(p.greatestSoFar) < p.Count || p.Count == 0 {
		return len(records)
	}
	least := p.greatestSoFar[p.Count-1]
	n := 0
	for n < len(records) && bytes.Compare(records[n], least) >= 0 {
		n++
	}
	return n
}

func split(part []byte) [][]byte {
	var records [][]byte
	for len(part) >= RecordSize {
		records = append(records, part[:RecordSize])
		part = part[RecordSize:]
	}
	return records
}

func greatest(records [][]byte, count int) [][]byte {
	slices.SortFunc(records, func(a, b []byte) int { return bytes.Compare(b, a) })
	return records[:min(len(records), count)]
}
