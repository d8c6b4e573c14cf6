// Package operator serves the operators' HTTP API: the table with its history, the usage record, status and explain.
// Bearer keys identify the owner. Every accepted change is a table version with author, reason and time, so the
// history is the audit trail.
package operator

import (
	"context"
	"crypto/ed25519"
	"errors"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/dragonflypin/dragonflypin/internal/process/usage"
	"github.com/dragonflypin/dragonflypin/internal/version/directory"
	"github.com/dragonflypin/dragonflypin/internal/version/table"
)

// Limits of a request.
const (
	// requestTimeout limits the duration of all requests except those for the usage record, which can be large.
	requestTimeout = 10 * time.Second
	usageTimeout   = 60 * time.Second
	// maxKeyBytes is the maximum length of a bearer key and of an edit ID.
	maxKeyBytes = 256
)

// ErrNotFound is returned by an Explainer for an unknown request.
var ErrNotFound = errors.New("request is not known")

// Usage gives access to the usage record.
type Usage interface {
	Summary(ctx context.Context) (usage.Summary, error)
	Verify(ctx context.Context) (usage.Report, error)
	Export(ctx context.Context, w io.Writer) error
	// Keys returns the registered public keys by writer.
	Keys(ctx context.Context) (map[string]ed25519.PublicKey, error)
}

// Status reports the state of the fleet. The result is encoded as JSON.
type Status interface {
	Status(ctx context.Context) (any, error)
}

// Explainer reports how one request was handled. The result is encoded as JSON.
type Explainer interface {
	Explain(ctx context.Context, requestID string) (any, error)
}

// Options are the dependencies of the API. The paths of a nil Usage, Status or Explain return 404.
type Options struct {
	// Directory returns the directory in use, or nil if none has been loaded yet.
	Directory func() *directory.Index
	// Current returns the table version in force, or nil if none has been loaded yet.
	Current func() *table.Compiled
	// Publisher validates and writes edits of the table.
	Publisher *table.Publisher
	// Log reads earlier table versions.
	Log table.Log
	// Usage, Status and Explain serve the paths below /usage, /status and /explain.
	Usage   Usage
	Status  Status
	Explain Explainer
	// Metrics serves GET /metrics without authentication; it may be nil.
	Metrics http.Handler
}

// API is the operators' HTTP API. It implements http.Handler.
type API struct {
	opt Options
	mux *http.ServeMux
}

// New returns the API.
func New(o Options) *API {
	a := &API{opt: o, mux: http.NewServeMux()}
	a.handle("GET /table", requestTimeout, a.getTable)
	a.handle("POST /table/check", requestTimeout, a.checkTable)
	a.handle("POST /table/apply", requestTimeout, a.applyTable)
	a.handle("GET /table/history", requestTimeout, a.history)
	a.handle("GET /table/diff", requestTimeout, a.diff)
	a.handle("GET /usage", usageTimeout, a.usage)
	a.handle("GET /usage/export", usageTimeout, a.exportUsage)
	a.handle("GET /usage/verify", usageTimeout, a.verifyUsage)
	a.handle("GET /usage/keys", usageTimeout, a.usageKeys)
	a.handle("GET /status", requestTimeout, a.status)
	a.handle("GET /explain/{id...}", requestTimeout, a.explain)
	a.handle("/", requestTimeout, func(_ http.ResponseWriter, r *http.Request, _ string) error {
		return &apiError{status: http.StatusNotFound, code: codeNotFound, message: r.Method + " " + r.URL.Path + " is not part of the operator API"}
	})
	if o.Metrics != nil {
		a.mux.Handle("GET /metrics", o.Metrics)
	}
	return a
}

// ServeHTTP implements http.Handler.
func (a *API) ServeHTTP(w http.ResponseWriter, r *http.Request) { a.mux.ServeHTTP(w, r) }

// handler serves an authenticated request of an owner. A returned error is written as the response.
type handler func(w http.ResponseWriter, r *http.Request, owner string) error

func (a *API) handle(pattern string, timeout time.Duration, h handler) {
	a.mux.HandleFunc(pattern, func(w http.ResponseWriter, r *http.Request) {
		ctx, cancel := context.WithTimeout(r.Context(), timeout)
		defer cancel()
		r = r.WithContext(ctx)
		// A table is read completely before it is validated; no other path reads a body.
		r.Body = http.MaxBytesReader(w, r.Body, table.MaxInputBytes)
		owner, err := a.authenticate(r)
		if err == nil {
			err = h(w, r, owner)
		}
		if err != nil {
			writeError(w, err)
		}
	})
}

func (a *API) authenticate(r *http.Request) (string, error) {
	scheme, key, _ := strings.Cut(r.Header.Get("Authorization"), " ")
	if !strings.EqualFold(scheme, "Bearer") || key == "" || len(key) > maxKeyBytes {
		return "", &apiError{status: http.StatusUnauthorized, code: codeInvalidKey, message: "Authorization must be \"Bearer KEY\" with an operator key"}
	}
	index := a.opt.Directory()
	if index == nil {
		return "", &apiError{status: http.StatusServiceUnavailable, code: codeNotReady, message: "the directory of operators is not known yet", retry: true}
	}
	owner, ok := index.Operator(key)
	if !ok {
		return "", &apiError{status: http.StatusUnauthorized, code: codeInvalidKey, message: "the key is not an operator key"}
	}
	return owner, nil
}

func (a *API) usage(w http.ResponseWriter, r *http.Request, _ string) error {
	if a.opt.Usage == nil {
		return notConfigured(r)
	}
	summary, err := a.opt.Usage.Summary(r.Context())
	if err != nil {
		return err
	}
	return writeJSON(w, summary)
}

func (a *API) verifyUsage(w http.ResponseWriter, r *http.Request, _ string) error {
	if a.opt.Usage == nil {
		return notConfigured(r)
	}
	report, err := a.opt.Usage.Verify(r.Context())
	if err != nil {
		return err
	}
	return writeJSON(w, report)
}

func (a *API) usageKeys(w http.ResponseWriter, r *http.Request, _ string) error {
	if a.opt.Usage == nil {
		return notConfigured(r)
	}
	keys, err := a.opt.Usage.Keys(r.Context())
	if err != nil {
		return err
	}
	return writeJSON(w, keys)
}

func (a *API) exportUsage(w http.ResponseWriter, r *http.Request, _ string) error {
	if a.opt.Usage == nil {
		return notConfigured(r)
	}
	out := &lazyHeaderWriter{w: w}
	err := a.opt.Usage.Export(r.Context(), out)
	if err != nil && out.started {
		// The status line has been sent. Aborting the connection lets the client detect that the record is incomplete.
		panic(http.ErrAbortHandler)
	}
	return err
}

// lazyHeaderWriter sets the content type on the first write, so that an error before it can still be sent as an error
// response.
type lazyHeaderWriter struct {
	w       http.ResponseWriter
	started bool
}

func (l *lazyHeaderWriter) Write(data []byte) (int, error) {
	if !l.started {
		l.started = true
		l.w.Header().Set("Content-Type", typeCSV)
	}
	return l.w.Write(data)
}

func (a *API) status(w http.ResponseWriter, r *http.Request, _ string) error {
	if a.opt.Status == nil {
		return notConfigured(r)
	}
	status, err := a.opt.Status.Status(r.Context())
	if err != nil {
		return err
	}
	return writeJSON(w, status)
}

func (a *API) explain(w http.ResponseWriter, r *http.Request, _ string) error {
	if a.opt.Explain == nil {
		return notConfigured(r)
	}
	explanation, err := a.opt.Explain.Explain(r.Context(), r.PathValue("id"))
	if err != nil {
		return err
	}
	return writeJSON(w, explanation)
}

func notConfigured(r *http.Request) error {
	return &apiError{status: http.StatusNotFound, code: codeNotFound, message: r.URL.Path + " is not served here"}
}
