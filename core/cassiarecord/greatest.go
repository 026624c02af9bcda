package cassiarecord

import (
	"bytes"
	"slices"
)

// Bytes is the size of a record; what is left over at the end of a part is no record.
const Bytes = 16

// Greatest returns the greatest count records of the parts, greatest first, compared byte by byte.
func Greatest(parts [][]byte, count int) []byte {
	var records [][]byte
	for _, part := range parts {
		records = append(records, split(part)...)
	}
	return bytes.Join(greatest(records, count), nil)
}

// Sieve drops from parts what can't be among the greatest records of all parts that went through it. The zero value of
// Count lets nothing pass.
type Sieve struct {
	Count int
	// greatestSoFar are the greatest records so far, greatest first.
	greatestSoFar [][]byte
}

// Pass returns of each part the records that can be among the greatest of these parts and of all before them.
func (s *Sieve) Pass(parts ...[]byte) [][]byte {
	sorted := make([][][]byte, len(parts))
	for i, part := range parts {
		sorted[i] = greatest(split(part), s.Count)
		s.greatestSoFar = greatest(append(slices.Clip(s.greatestSoFar), sorted[i]...), s.Count)
	}
	passed := make([][]byte, len(parts))
	for i, records := range sorted {
		passed[i] = bytes.Join(records[:s.candidateCount(records)], nil)
	}
	return passed
}

// candidateCount returns how many of some records, greatest first, are no less than the least that was kept.
func (s *Sieve) candidateCount(records [][]byte) int {
	if len(s.greatestSoFar) < s.Count || s.Count == 0 {
		return len(records)
	}
	least := s.greatestSoFar[s.Count-1]
	n := 0
	for n < len(records) && bytes.Compare(records[n], least) >= 0 {
		n++
	}
	return n
}

func split(part []byte) [][]byte {
	var records [][]byte
	for len(part) >= Bytes {
		records = append(records, part[:Bytes])
		part = part[Bytes:]
	}
	return records
}

func greatest(records [][]byte, count int) [][]byte {
	slices.SortFunc(records, func(a, b []byte) int { return bytes.Compare(b, a) })
	return records[:min(len(records), count)]
}
