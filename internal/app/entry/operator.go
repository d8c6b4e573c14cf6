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
		if t.draining.Load() {
			http.Error(w, "draining", http.StatusServiceUnavailable)
			return
		}
		_, _ = io.WriteString(w, "ok\n")
	case "/metrics":
		if t.deps.Metrics != nil {
			t.deps.Metrics.Handler().ServeHTTP(w, r)
			return
		}
		http.NotFound(w, r)
	default:
		(*t.operator.Load()).ServeHTTP(w, r)
	}
}
