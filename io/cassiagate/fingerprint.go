package cassiagate

import (
	"net"
	"net/http"

	"github.com/cespare/xxhash/v2"

	"cassiasaddle/core/cassiaid"
)

// fingerprintOf identifies what the repeats of a request have in common: its caller's address, method, host, URI and body. The
// request ID differs between repeats, and so may other headers.
func fingerprintOf(r *http.Request, body []byte) cassiaid.Fingerprint {
	caller, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		caller = r.RemoteAddr
	}
	digest := xxhash.New()
	for _, part := range []string{caller, "\n", r.Method, "\n", r.Host, "\n", r.RequestURI, "\n"} {
		digest.WriteString(part) //nolint:errcheck // a hash never fails to write
	}
	digest.Write(body) //nolint:errcheck // a hash never fails to write
	return cassiaid.Fingerprint(digest.Sum64())
}
