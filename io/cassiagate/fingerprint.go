package cassiagate

import (
	"net"
	"net/http"

	"github.com/cespare/xxhash/v2"

	"cassiasaddle/core/cassiaid"
)

// fingerprints identifies a request: as its caller sends it, and whoever sends it.
type fingerprints struct{ caller, content cassiaid.Fingerprint }

// fingerprintsOf identifies what the repeats of a request have in common: its method, host, URI and body, and its caller's address.
// The request ID differs between repeats, and so may other headers.
func fingerprintsOf(r *http.Request, body []byte) fingerprints {
	caller, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		caller = r.RemoteAddr
	}
	return fingerprints{caller: fingerprint(caller, r, body), content: fingerprint("", r, body)}
}

func fingerprint(caller string, r *http.Request, body []byte) cassiaid.Fingerprint {
	digest := xxhash.New()
	for _, part := range []string{caller, "\n", r.Method, "\n", r.Host, "\n", r.RequestURI, "\n"} {
		digest.WriteString(part) //nolint:errcheck // a hash never fails to write
	}
	digest.Write(body) //nolint:errcheck // a hash never fails to write
	return cassiaid.Fingerprint(digest.Sum64())
}
