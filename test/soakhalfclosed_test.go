package test

import (
	"bufio"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"time"
)

// halfClosingTransport closes the sending side of its connection some time after it has sent a request.
type halfClosingTransport struct{ patience time.Duration }

// RoundTrip implements http.RoundTripper. The answer, if any, has to be read before the next one.
func (h halfClosingTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	conn, err := net.Dial("tcp", r.URL.Host)
	if err != nil {
		return nil, err
	}
	deadline, _ := r.Context().Deadline()
	conn.SetDeadline(deadline) //nolint:errcheck // the next call fails then
	if err := r.Write(conn); err != nil {
		conn.Close() //nolint:errcheck // the request was not sent
		return nil, err
	}
	sleep(h.patience)
	conn.(*net.TCPConn).CloseWrite() //nolint:errcheck // the read fails then
	response, err := http.ReadResponse(bufio.NewReader(conn), r)
	if err != nil {
		conn.Close() //nolint:errcheck // there is no answer
		return nil, err
	}
	response.Body = connectionBody{response.Body, conn}
	return response, nil
}

// connectionBody is a body that closes the connection, too.
type connectionBody struct {
	io.ReadCloser
	connection net.Conn
}

// Close implements io.Closer.
func (b connectionBody) Close() error { return errors.Join(b.ReadCloser.Close(), b.connection.Close()) }

// startHalfClosingCaller starts a caller that closes the sending side of its connections before it has an answer, which then has to be whole or
// missing.
func (s *soak) startHalfClosingCaller(stop <-chan struct{}) {
	const maxPause, maxPatience = 200 * time.Millisecond, 30 * time.Millisecond
	random := rand.New(rand.NewPCG(s.seed, soakHalfClosingStream))
	s.startCaller(stop, random, maxPause, func(vm *soakVM, lifetime int) {
		transport := halfClosingTransport{time.Duration(random.Float64() * float64(maxPatience))}
		path := []string{"/one/x", "/book/x", "/search/x"}[random.IntN(3)]
		s.callThrough(transport, vm, lifetime, http.MethodPost, path, "x")
	})
}
