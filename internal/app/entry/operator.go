package entry

import (
	"io"
	"net/http"
)

// serveOperator handles the health checks and passes other requests to the operator API.
func (e *Entry) serveOperator(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/healthz":
		_, _ = io.WriteString(w, "ok\n")
	case "/readyz":
		if reason := e.notReadyReason(); reason != "" {
			http.Error(w, reason, http.StatusServiceUnavailable)
			return
		}
		_, _ = io.WriteString(w, "ok\n")
	default:
		(*e.operatorHandler.Load()).ServeHTTP(w, r)
	}
}

// notReadyReason returns why the entry is not ready for requests, or an empty string if it is.
func (e *Entry) notReadyReason() string {
	switch {
	case e.draining.Load():
		return "draining"
	case e.control.table.Current() == nil:
		return "no table"
	case e.control.directory.Current() == nil:
		return "no directory"
	default:
		return ""
	}
}
