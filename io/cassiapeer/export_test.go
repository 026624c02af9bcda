package cassiapeer

import "cassiasaddle/core/cassiaid"

// IdleTimeout is the time without traffic after which a connection is closed.
const IdleTimeout = idleTimeout

// DialAgain opens another connection to a VM and waits for it.
func (n *Node) DialAgain(vm cassiaid.VMName) { n.dial(vm, &dial{done: make(chan struct{})}) }
