package cassiatree

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"

	"cassiasaddle/core/cassiaid"
	"cassiasaddle/core/cassiaschema"
	"cassiasaddle/core/cassiasettings"
	"cassiasaddle/io/cassiastore"
)

const (
	// maxMessageBytes limits the body of a request and, in OperatorClient, of a reply. It leaves room for the JSON
	// escapes in a subtree of the maximum size.
	maxMessageBytes       = 4 * cassiasettings.MaxSubtreeBytes
	defaultHistoryEntries = 20
)

// operation handles one kind of request to the operator port.
type operation[Request, Reply any] func(ctx context.Context, info requestInfo, request Request) (Reply, error)

// requestInfo holds the parts of the HTTP request that all operations use.
type requestInfo struct {
	subtree   cassiasettings.Subtree
	token     string
	parameter func(name string) string
}

// emptyBody is the request type of operations whose request has no body.
type emptyBody struct{}

// Handler serves /v1/settings/ on the operator port.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /v1/settings/inForce", handle(s.inForce))
	mux.Handle("POST /v1/settings/restore", handle(s.restore))
	mux.Handle("GET /v1/settings/{subtree}", handle(s.get))
	mux.Handle("GET /v1/settings/{subtree}/history", handle(s.history))
	mux.Handle("POST /v1/settings/{subtree}/plan", handle(s.plan))
	mux.Handle("POST /v1/settings/{subtree}/apply", handle(s.apply))
	mux.Handle("POST /v1/settings/{subtree}/rollback", handle(s.rollback))
	return mux
}

func handle[Request, Reply any](o operation[Request, Reply]) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		info := requestInfo{
			subtree:   cassiasettings.Subtree(r.PathValue("subtree")),
			token:     strings.TrimPrefix(r.Header.Get("Authorization"), "Bearer "),
			parameter: r.URL.Query().Get,
		}
		var request Request
		if err := decodeBody(w, r, &request); err != nil {
			writeError(w, err)
			return
		}
		reply, err := o(r.Context(), info, request)
		if err != nil {
			writeError(w, err)
			return
		}
		writeJSON(w, http.StatusOK, reply)
	})
}

func decodeBody(w http.ResponseWriter, r *http.Request, request any) error {
	if r.Method == http.MethodGet {
		return nil
	}
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxMessageBytes))
	decoder.DisallowUnknownFields()
	err := decoder.Decode(request)
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &large):
		return &ErrorReply{Kind: ErrorTooLarge, Status: http.StatusRequestEntityTooLarge,
			Message: "the request is too large; a subtree may have " + strconv.Itoa(cassiasettings.MaxSubtreeBytes) + " bytes"}
	case err != nil && !errors.Is(err, io.EOF):
		return badRequest("the body is not the expected JSON: " + err.Error())
	}
	return nil
}

func badRequest(message string) error {
	return &ErrorReply{Kind: ErrorBadRequest, Status: http.StatusBadRequest, Message: message}
}

func writeError(w http.ResponseWriter, err error) {
	reply := errorReply(err)
	writeJSON(w, reply.Status, reply)
}

func writeJSON(w http.ResponseWriter, status int, reply any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(reply)
}

func errorReply(err error) *ErrorReply {
	var prepared *ErrorReply
	var invalid *cassiasettings.InvalidError
	var conflict *cassiasettings.ConflictError
	var forbidden *cassiasettings.ForbiddenError
	var unknown *OutcomeUnknownError
	var unavailable *UnavailableError
	var used *EditIDUsedError
	var behind *StoreBehindError
	var storeError *cassiastore.Error
	reply := &ErrorReply{Message: err.Error()}
	switch {
	case errors.As(err, &prepared):
		return prepared
	case errors.As(err, &unknown):
		reply.Kind, reply.Status = ErrorOutcomeUnknown, http.StatusGatewayTimeout
	case errors.As(err, &behind):
		reply.Kind, reply.Status = ErrorStoreBehind, http.StatusConflict
	case errors.As(err, &unavailable):
		reply.Kind, reply.Status = ErrorUnavailable, http.StatusServiceUnavailable
	case errors.As(err, &invalid):
		reply.Kind, reply.Status, reply.Problems = ErrorInvalid, http.StatusUnprocessableEntity, invalid.Problems
	case errors.As(err, &conflict):
		reply.Kind, reply.Status, reply.Conflict = ErrorConflict, http.StatusConflict, conflict
	case errors.As(err, &forbidden):
		reply.Kind, reply.Status = ErrorForbidden, http.StatusForbidden
	case errors.As(err, &used):
		reply.Kind, reply.Status = ErrorBadRequest, http.StatusBadRequest
	case errors.As(err, &storeError) && storeError.Kind == cassiastore.TooLarge:
		reply.Kind, reply.Status = ErrorTooLarge, http.StatusRequestEntityTooLarge
	case errors.As(err, &storeError):
		reply.Kind, reply.Status = ErrorUnavailable, http.StatusServiceUnavailable
	default:
		reply.Kind, reply.Status = ErrorInternal, http.StatusInternalServerError
	}
	return reply
}

func (s *Service) apply(ctx context.Context, info requestInfo, r EditRequest) (ApplyReply, error) {
	if r.EditID == "" {
		return ApplyReply{}, badRequest("editId is missing; send a new UUID for each edit")
	}
	return s.Apply(ctx, proposal(info, r), info.token)
}

func (s *Service) plan(ctx context.Context, info requestInfo, r EditRequest) (PlanReply, error) {
	diff, err := s.Plan(ctx, proposal(info, r), info.token)
	return PlanReply{Diff: diff}, err
}

func proposal(info requestInfo, r EditRequest) cassiasettings.Proposal {
	return cassiasettings.Proposal{Subtree: info.subtree, Base: r.BaseRevision, EditID: r.EditID, Author: r.Author,
		YAML: []byte(r.YAML)}
}

// rollback applies the YAML of an earlier revision as a new edit. A repeat with the same edit id uses the base revision
// of the edit that the first call wrote, so it returns that edit instead of applying it twice.
func (s *Service) rollback(ctx context.Context, info requestInfo, r RollbackRequest) (ApplyReply, error) {
	if r.EditID == "" {
		return ApplyReply{}, badRequest("editId is missing; send a new UUID for each edit")
	}
	stored, err := s.readStoredTree(ctx)
	if err != nil {
		return ApplyReply{}, storeReadError(err)
	}
	if err := cassiasettings.Authorize(stored.tree, s.config.AdminTokenSHA256, info.subtree, info.token); err != nil {
		return ApplyReply{}, err
	}
	base := stored.tree.Revision(info.subtree)
	existing, err := s.findEdit(ctx, stored.tree, info.subtree, r.ToRevision,
		func(edit *cassiaschema.SettingsEdit) bool { return edit.GetEditId() == string(r.EditID) })
	if err != nil {
		return ApplyReply{}, err
	}
	if existing != nil {
		base = cassiaid.Revision(existing.GetRevision()) - 1
	}
	edit, err := s.editAtRevision(ctx, stored.tree, info.subtree, r.ToRevision)
	if err != nil {
		return ApplyReply{}, err
	}
	return s.Apply(ctx, cassiasettings.Proposal{Subtree: info.subtree, Base: base,
		EditID: r.EditID, Author: r.Author, YAML: edit.GetYaml()}, info.token)
}

// inForce returns the generation in force on each member. With ask=true it first asks the members whose known
// generation is below the requested one.
func (s *Service) inForce(ctx context.Context, info requestInfo, _ emptyBody) (GenerationsReply, error) {
	wanted, err := uintParameter(info, "generation")
	if err != nil {
		return GenerationsReply{}, err
	}
	if info.parameter("ask") == "true" {
		s.askMembers(ctx, cassiaid.Generation(wanted))
	}
	return GenerationsReply{Generation: s.Generation(), Members: s.memberGenerations()}, nil
}

func uintParameter(info requestInfo, name string) (uint64, error) {
	text := info.parameter(name)
	if text == "" {
		return 0, nil
	}
	n, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0, badRequest(name + " is not a whole number")
	}
	return n, nil
}

func notFound(message string) error {
	return &ErrorReply{Kind: ErrorNotFound, Status: http.StatusNotFound, Message: message}
}
