package edge

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/dragonflypin/dragonflypin/internal/process/duty"
	"github.com/dragonflypin/dragonflypin/internal/process/eventlog"
)

// usageTimeout bounds a call that reads all stored windows: an hour of them is a few pages of the store.
const usageTimeout = 30 * time.Second

// usageHandlers serves the stored usage to operators. One call at a time reads the store, which also serves the callers' traffic.
type usageHandlers struct {
	reader *duty.Reader
	// busy has an element during a call.
	busy chan struct{}
}

// usage returns the handlers, or nil where no usage is reported.
func (e *Edge) usage() *usageHandlers {
	if !e.node.Duties.ReportUsage {
		return nil
	}
	return &usageHandlers{duty.NewReader(e.deps.Store, e.node.Duties.Window), make(chan struct{}, 1)}
}

// handleUsage adds the calls for the stored usage.
func (e *Edge) handleUsage(mux *http.ServeMux) {
	u := e.usage()
	for pattern, read := range map[string]func(ctx context.Context, w http.ResponseWriter) error{
		"GET /usage":        u.show,
		"GET /usage/verify": u.verify,
		"GET /usage/export": u.export,
		"GET /usage/keys":   nil, // segments are not signed
	} {
		mux.Handle(pattern, e.authorized(func(w http.ResponseWriter, r *http.Request) {
			if u == nil || read == nil {
				writeJSON(w, http.StatusNotFound, operatorError("not_found", r.URL.Path+" is not served here"))
				return
			}
			e.readUsage(u, read, w, r)
		}))
	}
}

func (e *Edge) readUsage(u *usageHandlers, read func(context.Context, http.ResponseWriter) error, w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), usageTimeout)
	defer cancel()
	select {
	case u.busy <- struct{}{}:
		defer func() { <-u.busy }()
	case <-ctx.Done():
		return
	}
	out := &startedWriter{ResponseWriter: w}
	err := read(ctx, out)
	if err == nil {
		return
	}
	e.observer.logError(eventlog.StoreUnavailable, err)
	if out.started {
		panic(http.ErrAbortHandler) // the client sees that the export is not complete
	}
	w.Header().Del("Content-Type")
	writeJSON(w, http.StatusServiceUnavailable, operatorError("usage_unreadable", err.Error()))
}

// startedWriter records whether a part of the response was written.
type startedWriter struct {
	http.ResponseWriter
	started bool
}

// Write implements io.Writer.
func (s *startedWriter) Write(data []byte) (int, error) {
	s.started = true
	return s.ResponseWriter.Write(data)
}

func (u *usageHandlers) show(ctx context.Context, w http.ResponseWriter) error {
	summary, err := u.reader.Summary(ctx)
	if err == nil {
		writeJSON(w, http.StatusOK, summary)
	}
	return err
}

func (u *usageHandlers) verify(ctx context.Context, w http.ResponseWriter) error {
	report, err := u.reader.Verify(ctx)
	if err == nil {
		writeJSON(w, http.StatusOK, report)
	}
	return err
}

func (u *usageHandlers) export(ctx context.Context, w http.ResponseWriter) error {
	w.Header().Set("Content-Type", "text/csv")
	return u.reader.Export(ctx, io.Writer(w))
}
