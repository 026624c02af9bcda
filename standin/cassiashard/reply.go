package cassiashard

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"log"
	"net/http"
	"strconv"
	"strings"
	"time"

	"cassiasaddle/standin/cassiabadreply"
)

// statusCancelled is the HTTP status of the reply to an attempt that was cancelled by its client.
const statusCancelled = 499

// discardLogger discards the errors that net/http logs for broken connections, which the faults cause on purpose.
var discardLogger = log.New(io.Discard, "", 0)

// Rows is the body of the reply to an attempt that ran.
type Rows struct {
	Shard    string `json:"shard"`
	Snapshot uint64 `json:"snapshot"`
	BodyHash string `json:"bodyHash"`
	// Filler is padding of Behaviour.RowBytes bytes.
	Filler string `json:"filler,omitempty"`
}

// reply is the reply to an attempt that ran.
type reply struct {
	attempt  uint64
	snapshot uint64
	rows     []byte
}

// writeHeaders sets the headers that all replies to attempts have.
func (t *Target) writeHeaders(header http.Header, a *attempt) {
	b := t.Behaviour()
	held := make([]string, len(b.HeldSnapshots))
	for i, s := range b.HeldSnapshots {
		held[i] = strconv.FormatUint(s, 10)
	}
	header.Set(headerHeld, strings.Join(held, ","))
	header.Set(headerEpoch, strconv.FormatUint(b.ShardMapEpoch, 10))
	header.Set(headerAttempt, strconv.FormatUint(a.id, 10))
	header.Set(headerShard, a.shard)
	if b.Draining {
		header.Set(headerDraining, "true")
	}
	if b.AcceptedRate > 0 {
		header.Set(headerAcceptedRate, strconv.FormatFloat(b.AcceptedRate, 'f', -1, 64))
	}
}

// writeRefusal replies to an attempt that was not started.
func (t *Target) writeRefusal(w http.ResponseWriter, a *attempt, refused refusal) {
	t.writeHeaders(w.Header(), a)
	w.Header().Set(headerNotStarted, refused.reason)
	if pause := t.Behaviour().PauseSeconds; pause > 0 {
		w.Header().Set("Retry-After", strconv.FormatFloat(pause, 'f', -1, 64))
	}
	writeProblem(w, refused.status, refused.reason)
}

// writeEarlyEnd replies to an attempt that was stopped, or closes the connection without a reply if the target crashed.
func (t *Target) writeEarlyEnd(w http.ResponseWriter, a *attempt, started bool) {
	reason := earlyEndReason(a)
	if reason == string(errCrashed) {
		panic(http.ErrAbortHandler)
	}
	t.writeHeaders(w.Header(), a)
	if !started {
		w.Header().Set(headerNotStarted, reason)
	}
	status := statusCancelled
	if reason == string(errDeadline) {
		status = http.StatusGatewayTimeout
	}
	writeProblem(w, status, reason)
}

// writeRows replies to an attempt that ran and draws the reply faults that apply to the reply.
func (t *Target) writeRows(w http.ResponseWriter, a *attempt) {
	t.mu.Lock()
	b := t.behaviour
	faults := b.ReplyFaults
	draw := func(share float64) bool {
		hit := share > 0 && t.random.Float64() < share
		if hit {
			t.counters.FaultyReplies++
		}
		return hit
	}
	duplicate, truncate, wrongAttempt := draw(faults.Duplicate), draw(faults.Truncate), draw(faults.WrongAttempt)
	wrongSnapshot, late, cut := draw(faults.WrongSnapshot), draw(faults.Late), draw(faults.CutBeforeReply)
	endlessHead, endlessBody, malformed := draw(faults.EndlessHead), draw(faults.EndlessBody), draw(faults.MalformedStatus)
	previous := t.lastAnswered
	t.lastAnswered = a
	t.mu.Unlock()

	r := reply{attempt: a.id, snapshot: a.snapshot, rows: a.rows(a.snapshot, b.RowBytes)}
	if wrongSnapshot {
		r.snapshot++
		r.rows = a.rows(r.snapshot, b.RowBytes)
	}
	if wrongAttempt {
		r = reply{attempt: a.id + 1, snapshot: a.snapshot, rows: a.rows(a.snapshot, b.RowBytes)}
		if previous != nil {
			r = reply{attempt: previous.id, snapshot: previous.snapshot, rows: previous.rows(previous.snapshot, b.RowBytes)}
		}
	}
	if late {
		time.Sleep(milliseconds(faults.LateMs))
	}
	t.writeHeaders(w.Header(), a)
	switch {
	case cut:
		panic(http.ErrAbortHandler)
	case duplicate:
		writeDuplicate(w, r)
	case malformed:
		writeMalformed(w, r, faults.Status)
	case endlessHead:
		writeWithoutEnd(w, "More: more\r\n")
	case endlessBody:
		writeWithoutEnd(w, "\r\n"+strings.Repeat("x", endlessPartBytes))
	default:
		writeReply(w, r, truncate)
	}
}

// rows returns the JSON of the attempt's rows at a snapshot, with size bytes of filler.
func (a *attempt) rows(snapshot uint64, size int) []byte {
	rows := Rows{Shard: a.shard, Snapshot: snapshot, BodyHash: a.bodyHash}
	if size > 0 {
		rows.Filler = strings.Repeat("x", size)
	}
	content, _ := json.Marshal(rows)
	return content
}

// writeReply sends a reply, or with truncate only the first half of its body.
func writeReply(w http.ResponseWriter, r reply, truncate bool) {
	header := w.Header()
	header.Set(headerAttempt, strconv.FormatUint(r.attempt, 10))
	header.Set(headerSnapshot, strconv.FormatUint(r.snapshot, 10))
	header.Set("Content-Type", "application/json")
	header.Set("Content-Length", strconv.Itoa(len(r.rows)))
	if !truncate {
		_, _ = w.Write(r.rows)
		return
	}
	_, _ = w.Write(r.rows[:len(r.rows)/2])
	_ = http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler)
}

// writeDuplicate sends the same reply twice on the connection, as a faulty proxy may, and closes the connection.
func writeDuplicate(w http.ResponseWriter, r reply) {
	header := w.Header().Clone()
	conn, buffer, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer func() { _ = conn.Close() }()
	header.Set(headerAttempt, strconv.FormatUint(r.attempt, 10))
	header.Set(headerSnapshot, strconv.FormatUint(r.snapshot, 10))
	for range 2 {
		_, _ = fmt.Fprintf(buffer, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n", len(r.rows))
		_ = header.Write(buffer)
		_, _ = buffer.WriteString("\r\n")
		_, _ = buffer.Write(r.rows)
	}
	_ = buffer.Flush()
}

// writeMalformed sends a reply with a malformed status and waits until the client closes the connection.
func writeMalformed(w http.ResponseWriter, r reply, status cassiabadreply.Fault) {
	header := w.Header().Clone()
	conn, buffer, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer func() { _ = conn.Close() }()
	header.Set(headerAttempt, strconv.FormatUint(r.attempt, 10))
	header.Set(headerSnapshot, strconv.FormatUint(r.snapshot, 10))
	header.Set("Content-Length", strconv.Itoa(len(r.rows)))
	var rest bytes.Buffer
	_ = header.Write(&rest)
	_, _ = fmt.Fprintf(&rest, "\r\n%s", r.rows)
	_ = status.Send(conn, rest.String())
	_, _ = io.Copy(io.Discard, buffer)
}

// endlessPartBytes is the size of the parts of a body without end.
const endlessPartBytes = 64 << 10

// writeWithoutEnd sends the status line, the headers and then a text again and again, until the connection is closed.
func writeWithoutEnd(w http.ResponseWriter, text string) {
	header := w.Header().Clone()
	conn, buffer, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer func() { _ = conn.Close() }()
	_, _ = buffer.WriteString("HTTP/1.1 200 OK\r\n")
	_ = header.Write(buffer)
	for err == nil {
		_, err = buffer.WriteString(text)
	}
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func writeProblem(w http.ResponseWriter, status int, message string) {
	writeJSON(w, status, map[string]string{"message": message})
}
