package cassiastatus

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptrace"
)

// Transport is an http.RoundTripper that fails requests with an *Error, and closes their connections, if the status of the reply is
// malformed.
type Transport struct {
	base *http.Transport
}

// NewTransport returns a transport that sends requests through base, whose connections it checks, and that calls onMalformed for each
// malformed reply, unless it is nil. The addresses must not be those of TLS servers.
func NewTransport(base *http.Transport, onMalformed func(*Error)) *Transport {
	dial := base.DialContext
	if dial == nil {
		dial = new(net.Dialer).DialContext
	}
	base.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		raw, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &Conn{Conn: raw, onMalformed: onMalformed}, nil
	}
	return &Transport{base: base}
}

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(request *http.Request) (*http.Response, error) {
	var connection *Conn
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if c, ok := info.Conn.(*Conn); ok {
			connection = c
			c.expectReply()
		}
	}}
	reply, err := t.base.RoundTrip(request.WithContext(httptrace.WithClientTrace(request.Context(), trace)))
	if err != nil {
		if connection != nil && connection.malformed() != nil {
			// net/http may have replaced the error by one of its own.
			return nil, connection.malformed()
		}
		return nil, err
	}
	if !Valid(reply.StatusCode) {
		// The reply came before its request, so that its status line was not checked.
		reply.Body.Close() //nolint:errcheck // the connection is not reused
		return nil, &Error{Line: fmt.Sprintf("%s %s", reply.Proto, reply.Status)}
	}
	return reply, nil
}

// CloseIdleConnections closes the connections that carry no request.
func (t *Transport) CloseIdleConnections() { t.base.CloseIdleConnections() }
