package cassiarecord

import (
	"bytes"
	"slices"
)

// Bytes is the size of a record in bytes; a shorter remainder at the end of a part is ignored.
const Bytes = 16

// Greatest returns the count greatest records of all parts, concatenated in descending order. Records are compared byte by
// byte.
func Greatest(parts [][]byte, count int) []byte {
	var records [][]byte
	for _, part := range parts {
		records = append(records, split(part)...)
	}
	return bytes.Join(greatest(records, count), nil)
}

// Sieve prunes parts: it drops the records that can't be among the Count greatest of all parts passed to it. If Count is
// zero, it drops all records.
type Sieve struct {
	Count int
	// greatestSoFar holds the greatest records of all parts so far, in descending order.
	greatestSoFar [][]byte
}

// Pass returns, for each part, the records that can be among the greatest of these and all earlier parts.
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

// candidateCount returns how many of the records, which are in descending order, are no less than the smallest of
// the Count greatest so far.
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
