// Package cassiaavailability records what targets state in their answers about further requests: that the target leaves, or
// that it wants none for a while. It decides whether a request may still be sent to a target.
package cassiaavailability
