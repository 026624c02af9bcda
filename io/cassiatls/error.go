package cassiatls

import (
	"fmt"

	"cassiasaddle/core/cassiaid"
)

// FileError reports why a file or directory of certificates cannot be used.
type FileError struct {
	File  string
	Cause error
}

// Error returns the cause and the remedy.
func (e *FileError) Error() string {
	return fmt.Sprintf("TLS file %q: %v; give PEM files of one authority (cassiasaddle keys makes them)", e.File, e.Cause)
}

// Unwrap returns the cause.
func (e *FileError) Unwrap() error { return e.Cause }

// NameError reports a VM name that cannot be part of a certificate's file name.
type NameError struct{ Name cassiaid.VMName }

// Error returns the remedy.
func (e *NameError) Error() string {
	return fmt.Sprintf("VM name %q cannot name a file; give the VM a name of letters, digits and hyphens other than authority", e.Name)
}

// PeerReason is the reason why a peer was refused; it is the value of the tag "reason" of the counter peerRefused.
type PeerReason string

// Reasons to refuse a peer.
const (
	PeerNoCertificate    PeerReason = "noCertificate"
	PeerUnknownAuthority PeerReason = "unknownAuthority"
	// PeerExpired means that the peer's certificate has expired or is not yet valid.
	PeerExpired   PeerReason = "expired"
	PeerWrongName PeerReason = "wrongName"
)

// PeerError reports why a peer was refused.
type PeerError struct {
	Reason PeerReason
	Cause  error
}

// Error returns the reason and the remedy.
func (e *PeerError) Error() string {
	return fmt.Sprintf("peer refused: %s (%v); issue it a certificate of this VM's authority whose first DNS name is the VM's name", e.Reason, e.Cause)
}

// Unwrap returns the cause.
func (e *PeerError) Unwrap() error { return e.Cause }
