package cassiabody

import (
	"errors"
	"io"
	"sync"
	"time"

	"cassiasaddle/core/cassiaclock"
	"cassiasaddle/core/cassiaintake"
)

const (
	// startBytes is the memory for the start of a body, enough for most.
	startBytes = 4 << 10
	// blockBytes is the size of the blocks for the rest of a long body.
	blockBytes = 32 << 10
)

// AbortedError means that a body was not received because memory is short.
type AbortedError struct{ Reason cassiaintake.AbortReason }

// Error implements error.
func (e *AbortedError) Error() string {
	return "the body was aborted (" + string(e.Reason) + ") because memory is short; send it again"
}

// block is a part of a long body. Blocks are used again, so that bodies that are aborted leave no garbage.
type block [blockBytes]byte

var blocks = sync.Pool{New: func() any { return new(block) }}

// Budget limits the memory for bodies of callers, from the first byte until the request that they belong to has ended. It is safe for
// concurrent use.
type Budget struct {
	mutex    sync.Mutex
	bodies   *cassiaintake.Bodies
	incoming map[cassiaintake.BodyID]*incoming
	timer    *time.Timer

	// joining is held while a body is copied out of its blocks, so that only one is in memory twice.
	joining sync.Mutex
}

// incoming is a body that is being received.
type incoming struct {
	budget *Budget
	id     cassiaintake.BodyID
	// abort ends a pending read.
	abort func()
	// decided receives a value when a reservation is granted or the body is aborted; reason is set before the latter.
	decided chan struct{}
	reason  cassiaintake.AbortReason
	blocks  []*block
}

// NewBudget returns a budget of a number of bytes.
func NewBudget(clock cassiaclock.Clock, bytes int64) *Budget {
	b := &Budget{bodies: cassiaintake.NewBodies(clock, bytes), incoming: make(map[cassiaintake.BodyID]*incoming)}
	b.timer = time.AfterFunc(time.Hour, func() { b.update(b.bodies.Tick) })
	b.timer.Stop()
	return b
}

// Used returns the memory that is reserved now, in bytes.
func (b *Budget) Used() int64 {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.bodies.Used()
}

// update changes the state and carries out what follows.
func (b *Budget) update(change func() cassiaintake.Decision) {
	b.mutex.Lock()
	d := change()
	if !d.WakeAt.IsZero() {
		b.timer.Reset(time.Until(d.WakeAt) + time.Millisecond)
	}
	var aborts []func()
	for _, id := range d.Granted {
		b.incoming[id].decided <- struct{}{}
	}
	for _, a := range d.Aborted {
		x := b.incoming[a.Body]
		x.reason = a.Reason
		close(x.decided)
		aborts = append(aborts, x.abort)
	}
	b.mutex.Unlock()
	for _, abort := range aborts {
		abort()
	}
}

// Held is a body that was received and counts against its budget until it is released. The zero value is an empty body.
type Held struct {
	Content []byte
	budget  *Budget
	id      cassiaintake.BodyID
}

// Release gives the memory of the body back. It may be called again.
func (h *Held) Release() {
	if h.budget != nil {
		h.budget.update(func() cassiaintake.Decision { return h.budget.bodies.End(h.id) })
	}
}

// Receive reads a body of a length, or of unknown length if that is negative. It returns ErrTooLong for one over limit, without reading it
// if the length tells so, and an AbortedError when memory is short; abort has to end a pending read then.
func (b *Budget) Receive(body io.Reader, length, limit int64, abort func()) (Held, error) {
	if length > limit {
		return Held{}, ErrTooLong
	}
	if length >= 0 {
		limit = length
	}
	x := b.begin(limit, abort)
	parts, total, err := x.read(body, limit)
	var content []byte
	if err == nil {
		content = x.join(parts, total)
	}
	x.freeBlocks()
	b.update(func() cassiaintake.Decision {
		delete(b.incoming, x.id)
		if x.reason != "" {
			err = &AbortedError{Reason: x.reason}
		}
		if err != nil {
			return b.bodies.End(x.id)
		}
		return b.bodies.Complete(x.id, int64(cap(content)))
	})
	if err != nil {
		return Held{}, err
	}
	return Held{Content: content, budget: b, id: x.id}, nil
}

func (b *Budget) begin(limit int64, abort func()) *incoming {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	x := &incoming{budget: b, id: b.bodies.Begin(limit), abort: abort, decided: make(chan struct{}, 1)}
	b.incoming[x.id] = x
	return x
}

// read reads a body of up to limit bytes in parts.
func (x *incoming) read(body io.Reader, limit int64) (parts [][]byte, total int64, err error) {
	for {
		part, err := x.part(min(limit-total, blockBytes), total)
		if err != nil {
			return nil, 0, err
		}
		n, err := x.fill(body, part)
		parts = append(parts, part[:n])
		total += int64(n)
		switch {
		case total > limit:
			return nil, 0, ErrTooLong
		case errors.Is(err, io.EOF):
			return parts, total, nil
		case err != nil:
			return nil, 0, err
		}
	}
}

// part returns memory for the next up to size bytes of a body, once it is reserved; at least for one, which tells that a body is too long.
func (x *incoming) part(size, total int64) ([]byte, error) {
	switch {
	case size <= 0:
		return make([]byte, 1), nil
	case total < cassiaintake.SmallBytes:
		size = min(size, max(startBytes, total))
	}
	if err := x.reserve(size); err != nil {
		return nil, err
	}
	if size <= startBytes || total < cassiaintake.SmallBytes {
		return make([]byte, size), nil
	}
	next := blocks.Get().(*block)
	x.blocks = append(x.blocks, next)
	return next[:size], nil
}

// reserve waits until memory is reserved or the body is aborted.
func (x *incoming) reserve(bytes int64) error {
	x.budget.update(func() cassiaintake.Decision { return x.budget.bodies.Reserve(x.id, bytes) })
	if _, granted := <-x.decided; !granted {
		return &AbortedError{Reason: x.reason}
	}
	return nil
}

// fill reads until part is full, and records what arrives.
func (x *incoming) fill(body io.Reader, part []byte) (int, error) {
	for n := 0; ; {
		m, err := body.Read(part[n:])
		if m > 0 {
			x.budget.mutex.Lock()
			x.budget.bodies.Received(x.id, m)
			x.budget.mutex.Unlock()
		}
		if n += m; err != nil || n == len(part) {
			return n, err
		}
	}
}

// join returns the parts of a body that has arrived in one piece.
func (x *incoming) join(parts [][]byte, total int64) []byte {
	if int64(len(parts[0])) == total {
		return parts[0]
	}
	x.budget.joining.Lock()
	defer x.budget.joining.Unlock()
	content := make([]byte, 0, total)
	for _, part := range parts {
		content = append(content, part...)
	}
	// The blocks are free for other bodies before the next one is joined.
	x.freeBlocks()
	return content
}

func (x *incoming) freeBlocks() {
	for _, block := range x.blocks {
		blocks.Put(block)
	}
	x.blocks = nil
}

// Share is an amount of memory that bodies of one kind may use together. It is safe for concurrent use.
type Share struct {
	mutex sync.Mutex
	left  int64
}

// NewShare returns a share of a number of bytes.
func NewShare(bytes int64) *Share { return &Share{left: bytes} }

// freeOfChargeBytes is the size up to which a body needs no part of a share: a VM has memory for that many ordinary requests.
const freeOfChargeBytes = 4 << 10

// TryHold takes memory for a body until release is called; it returns false if there is not enough. A nil share has no limit.
func (s *Share) TryHold(bytes int) (release func(), ok bool) {
	if s == nil || bytes <= freeOfChargeBytes {
		return func() {}, true
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if int64(bytes) > s.left {
		return nil, false
	}
	s.left -= int64(bytes)
	return sync.OnceFunc(func() {
		s.mutex.Lock()
		defer s.mutex.Unlock()
		s.left += int64(bytes)
	}), true
}
