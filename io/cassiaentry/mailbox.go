package cassiaentry

import "sync"

// mailbox is an unbounded queue for one receiver; put never blocks. A value on signal means that takeAll may return
// messages.
type mailbox[M any] struct {
	mutex    sync.Mutex
	messages []M
	signal   chan struct{}
}

func newMailbox[M any]() *mailbox[M] {
	return &mailbox[M]{signal: make(chan struct{}, 1)}
}

func (b *mailbox[M]) put(m M) {
	b.mutex.Lock()
	b.messages = append(b.messages, m)
	b.mutex.Unlock()
	select {
	case b.signal <- struct{}{}:
	default:
	}
}

// takeAll removes and returns all queued messages.
func (b *mailbox[M]) takeAll() []M {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	messages := b.messages
	b.messages = nil
	return messages
}
