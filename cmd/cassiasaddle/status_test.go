package main

import (
	"net/http"
	"net/http/httptest"
	"testing"

	qt "github.com/frankban/quicktest"

	"cassiasaddle/io/cassiabody"
)

// TestStatusOverTheLimitIsNoStatus guards against the start of a status that is too long being printed as all of it.
func TestStatusOverTheLimitIsNoStatus(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		part := make([]byte, 1<<20)
		for written := 0; written <= maxStatusBytes; written += len(part) {
			if _, err := w.Write(part); err != nil {
				return
			}
		}
	}))
	defer server.Close()
	_, err := readStatus(t.Context(), server.Listener.Addr().String())
	qt.Check(t, err, qt.ErrorIs, cassiabody.ErrTooLong)
}
