package operator

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"

	"github.com/dragonflypin/dragonflypin/internal/process/store"
	"github.com/dragonflypin/dragonflypin/internal/version/table"
)

// Error codes of responses.
const (
	codeInvalidRequest   = "invalid_request"
	codeInvalidTable     = "invalid_table"
	codeInvalidKey       = "invalid_key"
	codeNotOwner         = "not_owner"
	codeConflict         = "conflict"
	codeNotFound         = "not_found"
	codeVersionNotFound  = "version_not_found"
	codeBodyTooLarge     = "body_too_large"
	codeStoreUnavailable = "store_unavailable"
	codeOutcomeUnknown   = "outcome_unknown"
	codeNotReady         = "not_ready"
	codeTimeout          = "timeout"
	codeInternal         = "internal"
)

const (
	typeCSV  = "text/csv; charset=utf-8"
	typeJSON = "application/json"
	// retryAfterSeconds is the Retry-After header of errors that may be transient.
	retryAfterSeconds = "1"
)

// apiError is an error response.
type apiError struct {
	status  int
	code    string
	message string
	retry   bool // send Retry-After
	// At most one of the lists is set.
	problems  []table.Problem
	refused   []table.Refusal
	conflicts []table.RowConflict
	edit      string
}

// Error implements error.
func (e *apiError) Error() string { return e.code + ": " + e.message }

type errorResponse struct {
	Error     errorDetail         `json:"error"`
	Problems  []table.Problem     `json:"problems,omitempty"`
	Refused   []table.Refusal     `json:"refused,omitempty"`
	Conflicts []table.RowConflict `json:"conflicts,omitempty"`
	// Edit is the ID to use when the edit has to be sent again.
	Edit string `json:"edit,omitempty"`
}

type errorDetail struct {
	Message string `json:"message"`
	Code    string `json:"code"`
}

func writeError(w http.ResponseWriter, err error) {
	e := classify(err)
	w.Header().Set("Content-Type", typeJSON)
	if e.status == http.StatusUnauthorized {
		w.Header().Set("WWW-Authenticate", "Bearer")
	}
	if e.retry {
		w.Header().Set("Retry-After", retryAfterSeconds)
	}
	w.WriteHeader(e.status)
	_ = json.NewEncoder(w).Encode(errorResponse{
		Error: errorDetail{Message: e.message, Code: e.code}, Problems: e.problems, Refused: e.refused, Conflicts: e.conflicts, Edit: e.edit,
	})
}

// classify maps an error to an error response. Store errors are checked last because other errors wrap them.
func classify(err error) *apiError {
	var api *apiError
	var problems *table.ValidationError
	var ownership *table.OwnershipError
	var conflict *table.ConflictError
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &api):
		return api
	case errors.As(err, &problems):
		return &apiError{status: http.StatusBadRequest, code: codeInvalidTable, message: problems.Error(), problems: problems.Problems}
	case errors.As(err, &ownership):
		return &apiError{status: http.StatusForbidden, code: codeNotOwner, message: ownership.Error(), refused: ownership.Refused}
	case errors.As(err, &conflict):
		return &apiError{status: http.StatusConflict, code: codeConflict, message: conflict.Error(), conflicts: conflict.Conflicts}
	case errors.As(err, &tooLarge):
		return &apiError{status: http.StatusRequestEntityTooLarge, code: codeBodyTooLarge, message: err.Error()}
	case errors.Is(err, ErrNotFound):
		return &apiError{status: http.StatusNotFound, code: codeNotFound, message: err.Error()}
	case errors.Is(err, table.ErrNoVersion):
		return &apiError{status: http.StatusNotFound, code: codeVersionNotFound, message: err.Error()}
	default:
		return classifyStore(err)
	}
}

func classifyStore(err error) *apiError {
	switch {
	case errors.Is(err, store.ErrUnknown):
		return &apiError{status: http.StatusServiceUnavailable, code: codeOutcomeUnknown, message: err.Error(), retry: true}
	case errors.Is(err, store.ErrUnavailable), errors.Is(err, store.ErrThrottled):
		return &apiError{status: http.StatusServiceUnavailable, code: codeStoreUnavailable, message: err.Error(), retry: true}
	case errors.Is(err, context.DeadlineExceeded):
		return &apiError{status: http.StatusServiceUnavailable, code: codeTimeout, message: err.Error(), retry: true}
	default:
		return &apiError{status: http.StatusInternalServerError, code: codeInternal, message: err.Error()}
	}
}

func writeJSON(w http.ResponseWriter, value any) error {
	data, err := json.Marshal(value)
	if err != nil {
		return err
	}
	w.Header().Set("Content-Type", typeJSON)
	_, _ = w.Write(append(data, '\n')) // a write error means that the client has disconnected
	return nil
}
