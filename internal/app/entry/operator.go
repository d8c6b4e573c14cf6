package entry

import (
	"io"
	"net/http"
)

// serveOperator handles the health checks and passes other requests to the operator API.
func (t *Entry) serveOperator(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/healthz":
		_, _ = io.WriteString(w, "ok\n")
	case "/readyz":
		if reason := t.notReadyReason(); reason != "" {
			http.Error(w, reason, http.StatusServiceUnavailable)
			return
		}
		_, _ = io.WriteString(w, "ok\n")
	default:
		(*t.operatorHandler.Load()).ServeHTTP(w, r)
	}
}

// notReadyReason returns why the entry is not ready for requests, or an empty string if it is.
func (t *Entry) notReadyReason() string {
	switch {
	case t.draining.Load():
		return "draining"
	case t.control.table.Current() == nil:
		return "no table"
	case t.control.directory.Current() == nil:
		return "no directory"
	default:
		return ""
	}
}
