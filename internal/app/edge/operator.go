package edge

import (
	"crypto/subtle"
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/dragonflypin/dragonflypin/internal/process/eventlog"
	"github.com/dragonflypin/dragonflypin/internal/version/directory"
)

// operatorHandler serves the metrics, and the quarantine, the duties, the stored usage, the configuration in force and the state of this edge for callers with the operator key.
func (e *Edge) operatorHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", e.deps.Metrics.Handler())
	mux.Handle("GET /quarantine", e.authorized(e.listQuarantine))
	mux.Handle("DELETE /quarantine/{part}", e.authorized(e.liftQuarantine))
	mux.Handle("GET /duties", e.authorized(e.showDuties))
	mux.Handle("GET /status", e.authorized(e.showStatus))
	mux.Handle("GET /configuration", e.authorized(e.showConfiguration))
	e.handleUsage(mux)
	return mux
}

// showDuties says who holds the duties at the platform, as far as this edge knows.
func (e *Edge) showDuties(w http.ResponseWriter, _ *http.Request) {
	if e.duties == nil {
		writeJSON(w, http.StatusNotFound, operatorError("no_duties", "the settings of this edge name no duty"))
		return
	}
	writeJSON(w, http.StatusOK, e.duties.Status())
}

// configurationInForce is the configuration as operators see it. It contains no keys.
type configurationInForce struct {
	Configuration json.RawMessage `json:"configuration"`
	// Replicas is the number of replicas of each service that accept new requests, as this edge knows them.
	Replicas map[string]int `json:"replicas"`
}

func (e *Edge) showConfiguration(w http.ResponseWriter, _ *http.Request) {
	v, o := e.routes.Current(), e.exchange.inForce()
	if v == nil || o.Revision == 0 {
		writeJSON(w, http.StatusNotFound, operatorError("no_configuration", "this edge has no configuration yet"))
		return
	}
	redacted, err := e.deps.Source.RedactConfiguration(o.Value)
	if err != nil {
		writeJSON(w, http.StatusInternalServerError, operatorError("unreadable", "the configuration in force can't be read"))
		return
	}
	body := configurationInForce{Configuration: redacted, Replicas: map[string]int{}}
	view := e.registry.View()
	for name := range v.Services {
		body.Replicas[name] = len(view.Service(name))
	}
	writeJSON(w, http.StatusOK, body)
}

// authorized passes requests with the operator key on.
func (e *Edge) authorized(next http.HandlerFunc) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		key := strings.TrimPrefix(r.Header.Get("Authorization"), "Bearer ")
		want := e.cfg.OperatorKeySHA256
		if want == "" || subtle.ConstantTimeCompare([]byte(directory.HashKey(key)), []byte(want)) != 1 {
			writeJSON(w, http.StatusUnauthorized, operatorError("invalid_key", "the operator key is missing or unknown, or the setting operator_key_sha256 is empty"))
			return
		}
		next(w, r)
	})
}

// quarantinedPart is a prompt part as operators see it.
type quarantinedPart struct {
	Part        string    `json:"part"`
	Quarantined bool      `json:"quarantined"`
	Since       time.Time `json:"since"`
	Crashes     int       `json:"crashes"`
	Trials      int       `json:"trials"`
	Reason      string    `json:"reason"`
}

func (e *Edge) listQuarantine(w http.ResponseWriter, _ *http.Request) {
	parts := []quarantinedPart{}
	for _, entry := range e.guard.tracker.Entries() {
		parts = append(parts, quarantinedPart{
			Part: entry.Part, Quarantined: entry.Held, Since: time.UnixMilli(int64(entry.Version)).UTC(),
			Crashes: int(entry.Crashes), Trials: int(entry.Trials), Reason: string(entry.Reason),
		})
	}
	writeJSON(w, http.StatusOK, map[string]any{"parts": parts})
}

func (e *Edge) liftQuarantine(w http.ResponseWriter, r *http.Request) {
	part := r.PathValue("part")
	if !e.guard.tracker.Lift(part, time.Now()) {
		writeJSON(w, http.StatusNotFound, operatorError("not_quarantined", "the prompt part is not quarantined"))
		return
	}
	e.deps.Log.Emit(eventlog.EdgeQuarantineLifted, eventlog.PromptParts([]string{part}))
	writeJSON(w, http.StatusOK, map[string]any{"part": part, "quarantined": false})
}

func operatorError(code, message string) any {
	return map[string]any{"error": map[string]string{"code": code, "message": message}}
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // the caller may have disconnected
}
