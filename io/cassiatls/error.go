package cassiatls

import "fmt"

// FileError tells why a certificate file cannot be used.
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

// PeerReason tells why a peer was refused; it names a counter.
type PeerReason string

// Reasons to refuse a peer.
const (
	PeerNoCertificate    PeerReason = "noCertificate"
	PeerUnknownAuthority PeerReason = "unknownAuthority"
	PeerExpired          PeerReason = "expired"
	PeerWrongName        PeerReason = "wrongName"
)

// PeerError tells why a peer was refused.
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
