// Package cassiagossip runs membership over UDP: it seals and opens the packets of cassiamember with the cluster key,
// keeps its time, asks the platform's VM list for seeds, and tells subscribers what was learned.
package cassiagossip
