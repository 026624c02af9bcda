package cassiatree

import (
	"net/http"
	"net/http/httptest"
	"testing"

	qt "github.com/frankban/quicktest"

	"cassiasaddle/io/cassiabody"
)

// TestReplyOverTheLimitIsNoReply guards against the start of a reply that is too long being taken for all of it.
func TestReplyOverTheLimitIsNoReply(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		// The start alone is a valid reply.
		w.Write([]byte("{}"))                    //nolint:errcheck // the client ends the connection
		w.Write(make([]byte, maxMessageBytes+1)) //nolint:errcheck // the client ends the connection
	}))
	defer server.Close()
	c := &OperatorClient{Address: server.Listener.Addr().String()}
	_, err := c.Restore(t.Context())
	qt.Check(t, err, qt.ErrorIs, cassiabody.ErrTooLong)
}
