package operator

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/dragonflypin/dragonflypin/internal/process/store"
	"github.com/dragonflypin/dragonflypin/internal/version/table"
)

// Number of versions in a history response.
const (
	defaultHistoryLimit = 100
	maxHistoryLimit     = 400
)

func (a *API) getTable(w http.ResponseWriter, r *http.Request, _ string) error {
	v, err := a.versionParam(r.Context(), r, "version")
	if err != nil {
		return err
	}
	if wantsJSON(r) {
		data, err := table.FormatJSON(v)
		if err != nil {
			return err
		}
		w.Header().Set("Content-Type", typeJSON)
		_, _ = w.Write(append(data, '\n'))
		return nil
	}
	w.Header().Set("Content-Type", typeCSV)
	w.Header().Set("Dragonflypin-Table-Version", strconv.FormatUint(v.Number, 10))
	_, _ = w.Write(table.FormatCSV(v.Rows))
	return nil
}

// wantsJSON reports whether the request selects JSON. The query parameter format overrides the Accept header; the default
// is CSV.
func wantsJSON(r *http.Request) bool {
	if format := r.URL.Query().Get("format"); format != "" {
		return format == "json"
	}
	return strings.Contains(r.Header.Get("Accept"), typeJSON)
}

func (a *API) current() (*table.Version, error) {
	if c := a.opt.Current(); c != nil {
		return c.Version(), nil
	}
	return nil, &apiError{status: http.StatusServiceUnavailable, code: codeNotReady, message: "no table version is known yet", retry: true}
}

// versionParam returns the version selected by a query parameter, or the version in force if the parameter is missing.
func (a *API) versionParam(ctx context.Context, r *http.Request, name string) (*table.Version, error) {
	number, given, err := numberParam(r, name)
	if err != nil {
		return nil, err
	}
	current, err := a.current()
	if !given || err == nil && current.Number == number {
		return current, err
	}
	if number == 0 {
		return &table.Version{}, nil
	}
	return a.opt.Log.Read(ctx, number)
}

func numberParam(r *http.Request, name string) (uint64, bool, error) {
	text := r.URL.Query().Get(name)
	if text == "" {
		return 0, false, nil
	}
	number, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0, true, invalid("parameter %s: value %q is not allowed; allowed: a whole number from 0", name, text)
	}
	return number, true, nil
}

func invalid(format string, args ...any) error {
	return &apiError{status: http.StatusBadRequest, code: codeInvalidRequest, message: fmt.Sprintf(format, args...)}
}

// readEdit parses the request's parameters and body as an edit by owner.
func readEdit(r *http.Request, owner string) (table.Edit, error) {
	q := r.URL.Query()
	e := table.Edit{ID: q.Get("edit"), Author: owner, Reason: q.Get("reason")}
	if len(e.ID) > maxKeyBytes {
		return e, invalid("parameter edit has %d bytes; allowed: up to %d", len(e.ID), maxKeyBytes)
	}
	if len(e.Reason) > table.MaxReasonBytes {
		return e, invalid("parameter reason has %d bytes; allowed: up to %d", len(e.Reason), table.MaxReasonBytes)
	}
	data, err := io.ReadAll(r.Body)
	if err != nil {
		return e, err
	}
	e.Rows, err = parseTable(r.Header.Get("Content-Type"), data)
	return e, err
}

// parseTable parses JSON if the content type is JSON or the text begins with a brace, which no CSV header does, and CSV
// otherwise.
func parseTable(contentType string, data []byte) ([]table.Row, error) {
	if strings.HasPrefix(contentType, typeJSON) || bytes.HasPrefix(bytes.TrimSpace(data), []byte("{")) {
		v, err := table.ParseJSON(data)
		if err != nil {
			return nil, err
		}
		return v.Rows, nil
	}
	return table.ParseCSV(data)
}

type checkResponse struct {
	Valid bool `json:"valid"`
	// Version is the number that the table would get if it were applied now.
	Version uint64         `json:"version"`
	Changes []table.Change `json:"changes"`
}

// checkTable validates the table and returns the changes that applying it would make.
func (a *API) checkTable(w http.ResponseWriter, r *http.Request, owner string) error {
	e, err := readEdit(r, owner)
	if err != nil {
		return err
	}
	base, given, err := numberParam(r, "base")
	if err != nil {
		return err
	}
	if e.Base = base; !given {
		if c := a.opt.Current(); c != nil {
			e.Base = c.Number()
		}
	}
	next, changes, err := a.opt.Publisher.Preview(r.Context(), e)
	if err != nil {
		return err
	}
	if changes == nil {
		changes = []table.Change{}
	}
	return writeJSON(w, checkResponse{Valid: true, Version: next.Number, Changes: changes})
}

type applyResponse struct {
	Version uint64    `json:"version"`
	Author  string    `json:"author"`
	Time    time.Time `json:"time"`
	Reason  string    `json:"reason"`
	Edit    string    `json:"edit,omitempty"`
	// Changed is false if the table equals the base version; no version is created then.
	Changed bool `json:"changed"`
}

func (a *API) applyTable(w http.ResponseWriter, r *http.Request, owner string) error {
	e, err := readEdit(r, owner)
	if err != nil {
		return err
	}
	base, given, err := numberParam(r, "base")
	if err != nil {
		return err
	}
	if !given {
		return invalid("parameter base is missing; allowed: the number of the version that the table was made from, 0 for none")
	}
	if e.Base = base; e.ID == "" {
		e.ID = table.NewEditID()
	}
	v, err := a.opt.Publisher.Apply(r.Context(), e)
	switch {
	case errors.Is(err, table.ErrUnchanged):
		return writeJSON(w, applyResponse{Version: base, Author: owner, Reason: e.Reason})
	case errors.Is(err, store.ErrUnknown):
		return &apiError{
			status: http.StatusServiceUnavailable, code: codeOutcomeUnknown, retry: true, edit: e.ID,
			message: "the edit may have been accepted; send it again with the same base and edit=" + e.ID + " to find out",
		}
	case err != nil:
		return err
	}
	return writeJSON(w, applyResponse{Version: v.Number, Author: v.Author, Time: v.Time, Reason: v.Reason, Edit: v.Edit, Changed: true})
}

type historyEntry struct {
	Version uint64    `json:"version"`
	Author  string    `json:"author"`
	Time    time.Time `json:"time"`
	Reason  string    `json:"reason"`
	Edit    string    `json:"edit,omitempty"`
}

// history lists versions, newest first. The parameter before selects versions below that number and serves as the cursor
// for the next page.
func (a *API) history(w http.ResponseWriter, r *http.Request, _ string) error {
	limit, given, err := numberParam(r, "limit")
	if err != nil {
		return err
	}
	if !given {
		limit = defaultHistoryLimit
	}
	if limit < 1 || limit > maxHistoryLimit {
		return invalid("parameter limit: value %d is not allowed; allowed: 1 to %d", limit, maxHistoryLimit)
	}
	before, given, err := numberParam(r, "before")
	if err != nil {
		return err
	}
	last := uint64(0)
	if c := a.opt.Current(); c != nil {
		last = c.Number()
	}
	if given && before > 0 {
		last = min(last, before-1)
	}
	versions, err := a.opt.Log.History(r.Context(), last, int(limit))
	if err != nil {
		return err
	}
	list := make([]historyEntry, 0, len(versions))
	for _, v := range versions {
		list = append(list, historyEntry{Version: v.Number, Author: v.Author, Time: v.Time, Reason: v.Reason, Edit: v.Edit})
	}
	return writeJSON(w, list)
}

func (a *API) diff(w http.ResponseWriter, r *http.Request, _ string) error {
	q := r.URL.Query()
	if q.Get("a") == "" || q.Get("b") == "" {
		return invalid("parameters a and b must name two versions")
	}
	first, err := a.versionParam(r.Context(), r, "a")
	if err != nil {
		return err
	}
	second, err := a.versionParam(r.Context(), r, "b")
	if err != nil {
		return err
	}
	changes := table.Diff(first.Rows, second.Rows)
	if changes == nil {
		changes = []table.Change{}
	}
	return writeJSON(w, changes)
}
