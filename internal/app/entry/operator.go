package entry

import (
	"io"
	"net/http"
)

// serveOperator answers the health checks and passes the rest on.
func (t *T) serveOperator(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/healthz":
		_, _ = io.WriteString(w, "ok\n")
	case "/readyz":
		if reason := t.notReady(); reason != "" {
			http.Error(w, reason, http.StatusServiceUnavailable)
			return
		}
		_, _ = io.WriteString(w, "ok\n")
	default:
		(*t.operator.Load()).ServeHTTP(w, r)
	}
}

// notReady returns why the entry should get no callers, or an empty text.
func (t *T) notReady() string {
	switch {
	case t.draining.Load():
		return "draining"
	case t.control.follower.Current() == nil:
		return "no table"
	case t.control.directory.Current() == nil:
		return "no directory"
	default:
		return ""
	}
}
