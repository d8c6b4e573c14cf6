// Package admit implements admission at an entry: it checks a request's API key, class and input, and queues or refuses it.
package admit

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/dragonflypin/dragonflypin/internal/request/outcome"
	"github.com/dragonflypin/dragonflypin/internal/version/directory"
	"github.com/dragonflypin/dragonflypin/internal/version/table"
)

// Authenticate returns the workspace of the request's bearer key. The index is nil until a directory has been loaded.
func Authenticate(index *directory.Index, h http.Header) (*directory.Workspace, *outcome.Error) {
	key, ok := bearer(h.Get("Authorization"))
	if !ok {
		return nil, refuse(http.StatusUnauthorized, outcome.CodeInvalidKey, "The Authorization header must be \"Bearer KEY\".")
	}
	if index == nil {
		oerr := refuse(http.StatusServiceUnavailable, outcome.CodeNoUpstream, "The directory of workspaces is not known yet.")
		oerr.RetryAfter = time.Second
		return nil, oerr
	}
	ws, ok := index.Workspace(key)
	if !ok {
		return nil, refuse(http.StatusUnauthorized, outcome.CodeInvalidKey, "The key is not known.")
	}
	return ws, nil
}

func bearer(value string) (string, bool) {
	scheme, key, ok := strings.Cut(value, " ")
	key = strings.TrimSpace(key)
	return key, ok && strings.EqualFold(scheme, "Bearer") && key != ""
}

// Row returns the table row of the class that the request selects, by default that of its workspace.
func Row(ws *directory.Workspace, h http.Header, find func(class string) (table.Row, bool)) (table.Row, *outcome.Error) {
	class := h.Get(outcome.HeaderClass)
	if class == "" {
		class = ws.DefaultClass
	} else if !ws.MayUse(class) {
		return table.Row{}, refuse(http.StatusForbidden, outcome.CodeClassForbidden, fmt.Sprintf("The workspace may not use class %q.", class))
	}
	row, ok := find(class)
	if !ok {
		return table.Row{}, refuse(http.StatusForbidden, outcome.CodeClassForbidden, fmt.Sprintf("Class %q is not in the table.", class))
	}
	return row, nil
}

// Timeout returns the row's timeout, or fallback if the row has none.
func Timeout(row *table.Row, fallback time.Duration) time.Duration {
	if row.Timeout > 0 {
		return row.Timeout
	}
	return fallback
}

func refuse(status int, code outcome.Code, message string) *outcome.Error {
	return &outcome.Error{Status: status, Code: code, Message: message, Outcome: outcome.NotRun}
}
