package cassiagossip

import "fmt"

// KeyError reports why a cluster key file cannot be used.
type KeyError struct {
	File   string
	Reason string
}

// Error returns the reason and the remedy.
func (e *KeyError) Error() string {
	return fmt.Sprintf("cluster key file %q: %s; write one key of at least %d characters a line, the same on every VM (cassiasaddle keys makes one)",
		e.File, e.Reason, minKeyLength)
}

// AddressError reports a gossip address that cannot be parsed or bound.
type AddressError struct {
	Address string
	Cause   error
}

// Error returns the cause and the remedy.
func (e *AddressError) Error() string {
	return fmt.Sprintf("gossipAddress %q: %v; give an IP number and a free UDP port of this VM", e.Address, e.Cause)
}

// Unwrap returns the cause.
func (e *AddressError) Unwrap() error { return e.Cause }

// refusal is the reason why a datagram was dropped; it is the value of the tag "reason" of the counter refused.
type refusal string

const (
	accepted   refusal = ""
	badSeal    refusal = "badSeal"
	stale      refusal = "stale"
	badPacket  refusal = "badPacket"
	tooLarge   refusal = "tooLarge"
	sendFailed refusal = "sendFailed"
)
