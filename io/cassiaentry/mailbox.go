package cassiaentry

import "sync"

// mailbox is an unbounded queue whose sender never blocks.
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

// takeAll returns what has arrived since the last call.
func (b *mailbox[M]) takeAll() []M {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	messages := b.messages
	b.messages = nil
	return messages
}
