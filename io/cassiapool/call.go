package cassiapool

import (
	"bytes"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"cassiasaddle/core/cassiaavailability"
	"cassiasaddle/core/cassiaid"
)

// Headers holds the names of the headers exchanged with targets, which the platform defines.
type Headers struct {
	RequestID string
	// Deadline names the header with the time that is left to the target, in milliseconds.
	Deadline string
	// Stamp names the header by which a target proves that it answered the request.
	Stamp string
	// ExpectInstance names the header with the instance that the request is meant for.
	ExpectInstance string
	// NotExecuted names the header that a target sets if it did not run the request.
	NotExecuted string
	// AcceptedRate names the header in which a target states how many requests a second it accepts from all VMs together, a
	// decimal number, while it needs relief.
	AcceptedRate string
	// ColdMillis names the header in which a target states, in the answer to a health check, for how many milliseconds it stays cold.
	ColdMillis string
	// Leaving names the header that a target sets to 1 in all answers while it leaves.
	Leaving string
}

// Call is one request to one target.
type Call struct {
	Address string
	// Instance identifies the target's process; a process with another identity refuses the request.
	Instance string
	// StartUnixMillis is the start of the target's process as it is registered, or 0 if it is unknown.
	StartUnixMillis int64
	Method          string
	// URI is the path and query string as the caller sent them.
	URI  string
	Host string
	// Header holds the end-to-end headers, without those named in Headers.
	Header    http.Header
	RequestID string
	Body      []byte
	Deadline  time.Time
	// NewConnection requires a new connection, which is closed after the call.
	NewConnection bool
	// BeforeSend, if not nil, is called before the first byte is sent; the call is abandoned if it returns false.
	BeforeSend func() bool
}

// process returns the process of the target that the call is meant for.
func (c *Call) process() cassiaavailability.Process {
	return cassiaavailability.Process{Target: cassiaid.TargetName(c.Instance), StartUnixMillis: c.StartUnixMillis}
}

// hopByHop lists the headers that apply to a single connection or to the transfer of the body, and are not forwarded.
var hopByHop = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
	"Content-Length", "Expect"}

// EndToEnd returns a copy of the headers without hop-by-hop headers, including those that Connection names.
func EndToEnd(header http.Header) http.Header {
	copied := header.Clone()
	for _, value := range header.Values("Connection") {
		for name := range strings.SplitSeq(value, ",") {
			copied.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHop {
		copied.Del(name)
	}
	return copied
}

// typicalHeadBytes is enough for the headers of most requests.
const typicalHeadBytes = 512

// encode returns the request in HTTP/1.1 format, with the deadline relative to now. The body follows the head in the same part if they are
// short; a long one is the second part, so that the attempts of a request share its memory.
func (c *Call) encode(names Headers, now time.Time) (net.Buffers, error) {
	var b bytes.Buffer
	b.Grow(typicalHeadBytes + len(c.URI) + min(len(c.Body), maxInlineRequestBytes))
	b.WriteString(c.Method + " " + c.URI + " HTTP/1.1\r\n")
	left := max(0, c.Deadline.Sub(now).Milliseconds())
	for _, field := range [...][2]string{{"Host", c.Host}, {names.RequestID, c.RequestID}, {names.Deadline, strconv.FormatInt(left, 10)},
		{names.ExpectInstance, c.Instance}} {
		b.WriteString(field[0] + ": " + field[1] + "\r\n")
	}
	if err := c.Header.Write(&b); err != nil {
		return nil, err
	}
	if len(c.Body) > 0 || c.Method == http.MethodPost || c.Method == http.MethodPut || c.Method == http.MethodPatch {
		b.WriteString("Content-Length: " + strconv.Itoa(len(c.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	if b.Len()+len(c.Body) > maxInlineRequestBytes {
		return net.Buffers{b.Bytes(), c.Body}, nil
	}
	b.Write(c.Body)
	return net.Buffers{b.Bytes()}, nil
}
