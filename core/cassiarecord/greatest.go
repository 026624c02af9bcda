package cassiarecord

import (
	"bytes"
	"cmp"
	"encoding/binary"
	"slices"
)

// RecordSize is the size of a record in bytes; a shorter remainder at the end of a part is ignored.
const RecordSize = 16

// Greatest returns the count greatest records of all parts, concatenated in descending order. Records are compared byte by
// byte.
func Greatest(parts [][]byte, count int) []byte {
	r := ranking{count: count}
	for _, part := range parts {
		r.addPart(part)
	}
	return encode(r.records)
}

// GreatestFrom is Greatest without the records that are less than floor; an empty floor leaves out none.
func GreatestFrom(parts [][]byte, count int, floor []byte) []byte {
	greatest := Greatest(parts, count)
	if len(floor) < RecordSize {
		return greatest
	}
	n := len(greatest)
	for n > 0 && bytes.Compare(greatest[n-RecordSize:n], floor[:RecordSize]) < 0 {
		n -= RecordSize
	}
	return greatest[:n]
}

// Pruner prunes parts: it drops the records that can't be among the Count greatest of all parts passed to it. If
// Count is zero, it drops all records.
type Pruner struct {
	Count int
	// greatestSoFar holds the greatest records of all parts so far.
	greatestSoFar ranking
}

// Prune returns, for each part, the records that can be among the greatest of these and all earlier parts.
func (p *Pruner) Prune(parts ...[]byte) [][]byte {
	p.greatestSoFar.count = p.Count
	rankings := make([]ranking, len(parts))
	for i, part := range parts {
		rankings[i].count = p.Count
		rankings[i].addPart(part)
		for _, r := range rankings[i].records {
			p.greatestSoFar.add(r)
		}
	}
	pruned := make([][]byte, len(parts))
	for i, r := range rankings {
		pruned[i] = encode(r.records[:p.candidateCount(r.records)])
	}
	return pruned
}

// candidateCount returns how many of the records, which are in descending order, are no less than the smallest of
// the Count greatest so far.
func (p *Pruner) candidateCount(records []record) int {
	if !p.greatestSoFar.full() || p.Count == 0 {
		return len(records)
	}
	least := p.greatestSoFar.records[p.Count-1]
	n := 0
	for n < len(records) && compare(records[n], least) >= 0 {
		n++
	}
	return n
}

// record is a record as two big-endian numbers, which compare like its bytes.
type record struct{ high, low uint64 }

func compare(a, b record) int {
	return cmp.Or(cmp.Compare(a.high, b.high), cmp.Compare(a.low, b.low))
}

// encode returns the bytes of the records.
func encode(records []record) []byte {
	encoded := make([]byte, 0, len(records)*RecordSize)
	for _, r := range records {
		encoded = binary.BigEndian.AppendUint64(encoded, r.high)
		encoded = binary.BigEndian.AppendUint64(encoded, r.low)
	}
	return encoded
}

// ranking holds the count greatest records that were added to it, in descending order.
type ranking struct {
	count   int
	records []record
}

func (k *ranking) full() bool { return len(k.records) >= k.count }

// addPart adds the records of a part.
func (k *ranking) addPart(part []byte) {
	if k.records == nil {
		k.records = make([]record, 0, min(k.count, len(part)/RecordSize))
	}
	for ; len(part) >= RecordSize; part = part[RecordSize:] {
		k.add(record{high: binary.BigEndian.Uint64(part), low: binary.BigEndian.Uint64(part[8:])})
	}
}

// add inserts a record behind those that are no less, and drops the least one if there are too many.
func (k *ranking) add(r record) {
	if k.full() {
		if k.count == 0 || compare(r, k.records[k.count-1]) <= 0 {
			return
		}
		k.records = k.records[:k.count-1]
	}
	at, _ := slices.BinarySearchFunc(k.records, r, func(other, added record) int {
		if compare(other, added) >= 0 {
			return -1
		}
		return 1
	})
	k.records = slices.Insert(k.records, at, r)
}
