package cassiahttp

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"

	"github.com/go-kit/log/level"

	"cassiasaddle/core/cassiafront"
	"cassiasaddle/core/cassiaplan"
	"cassiasaddle/io/cassiabody"
	"cassiasaddle/io/cassiacaller"
)

// readBody receives the body of a request, which has not run if it is refused.
func (h *Handler) readBody(w http.ResponseWriter, request *http.Request, r *Request) (cassiabody.Held, *cassiaplan.Refusal) {
	limit := cassiafront.MaxBodyBytes(r.Front)
	held, err := h.intake.Receive(w, request, int64(limit))
	var aborted *cassiabody.AbortedError
	switch {
	case errors.Is(err, cassiabody.ErrTooLong):
		return held, &cassiaplan.Refusal{
			Kind: cassiaplan.RefusalTooLarge, Ran: cassiaplan.RanNo,
			Message: fmt.Sprintf("the body is over %d bytes; send a smaller one or raise the front's maxBodyBytes", limit),
		}
	case errors.As(err, &aborted):
		level.Warn(h.logger).Log("msg", "body aborted", "requestId", r.RequestID, "front", r.Key, "reason", aborted.Reason)
		return held, &cassiaplan.Refusal{
			Kind: cassiaplan.RefusalNotRun, Ran: cassiaplan.RanNo, RetryAfter: cassiacaller.RetryAfter,
			Message: "the VM has no memory for a body that arrives so slowly; send it again",
		}
	case err != nil:
		return held, badRequest("the body could not be read: %v; send it again", err)
	case !json.Valid(held.Content):
		return held, badRequest("the body is not valid JSON; correct it")
	}
	r.Body = held.Content
	return held, nil
}
