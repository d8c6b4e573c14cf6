package store

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/dghubble/sling"
)

// Defaults of Options.
const (
	DefaultCallsPerSecond = 5.0
	DefaultBurst          = 50
	DefaultTimeout        = 2 * time.Second
	DefaultAttempts       = 3
)

// WatchTime is the longest time that the platform holds a watch.
const WatchTime = 30 * time.Second

// watchGrace is the time allowed for a held watch's answer to arrive.
const watchGrace = 5 * time.Second

// maxAnswer bounds the answer to a list or watch: a list of 20 objects of the largest value, base64 included.
const maxAnswer = 20 * MaxValue * 4 / 3

// Waits between attempts.
const (
	retryBase  = 20 * time.Millisecond
	retryLimit = time.Second
)

// Op names a call for the Observer.
type Op string

// Calls of the object API.
const (
	OpGet    Op = "get"
	OpCreate Op = "create"
	OpUpdate Op = "update"
	OpDelete Op = "delete"
	OpList   Op = "list"
	OpWatch  Op = "watch"
)

func (o Op) writes() bool { return o == OpCreate || o == OpUpdate || o == OpDelete }

// Observer counts the calls of a process. Implementations are safe for concurrent use.
type Observer interface {
	// StoreCall reports one attempt that was sent, its duration and its error (nil on success).
	StoreCall(op Op, took time.Duration, err error)
	// StoreRefused reports a call that the process's own budget refused; nothing was sent.
	StoreRefused(op Op)
}

// Options configure the HTTP client. Zero values select the defaults.
type Options struct {
	// BaseURL is the base URL of the object API.
	BaseURL string
	// CallsPerSecond is the process's budget of calls, a pending watch counting as one. Default 5.
	CallsPerSecond float64
	// Burst is the number of calls that may be made at once after a quiet time. Default 50.
	Burst int
	// Timeout bounds one attempt, except a watch. Default 2 s.
	Timeout time.Duration
	// Attempts bounds the attempts of one call. Default 3.
	Attempts int
	// Observer is told of every call; it may be nil.
	Observer Observer
	// Transport makes the HTTP calls. Default: a transport of its own.
	Transport http.RoundTripper
}

// HTTP is the Client of the platform's object API.
type HTTP struct {
	opt    Options
	base   *sling.Sling
	client *http.Client
	budget *budget
	calls  atomic.Uint64
}

var _ Client = (*HTTP)(nil)

// NewHTTP returns a client of the object API at o.BaseURL.
func NewHTTP(o Options) (*HTTP, error) {
	u, err := url.Parse(o.BaseURL)
	if err != nil || u.Scheme == "" || u.Host == "" {
		return nil, fmt.Errorf("store URL %q must be an absolute http or https URL", o.BaseURL)
	}
	setDefaults(&o)
	client := &http.Client{Transport: o.Transport, CheckRedirect: func(*http.Request, []*http.Request) error {
		return http.ErrUseLastResponse
	}}
	return &HTTP{
		opt:    o,
		base:   sling.New().Base(strings.TrimSuffix(o.BaseURL, "/") + "/"),
		client: client,
		budget: newBudget(o.CallsPerSecond, float64(o.Burst)),
	}, nil
}

func setDefaults(o *Options) {
	if o.CallsPerSecond <= 0 {
		o.CallsPerSecond = DefaultCallsPerSecond
	}
	if o.Burst <= 0 {
		o.Burst = DefaultBurst
	}
	if o.Timeout <= 0 {
		o.Timeout = DefaultTimeout
	}
	if o.Attempts <= 0 {
		o.Attempts = DefaultAttempts
	}
	if o.Transport == nil {
		o.Transport = &http.Transport{MaxIdleConnsPerHost: 8, IdleConnTimeout: time.Minute}
	}
}

// Calls returns the number of attempts sent so far.
func (h *HTTP) Calls() uint64 { return h.calls.Load() }

// Get implements Client.
func (h *HTTP) Get(ctx context.Context, kind, name string) (Object, error) {
	a, err := h.call(ctx, OpGet, func() *sling.Sling { return h.base.New().Get(objectPath(kind, name)) })
	if err != nil {
		return Object{}, err
	}
	return a.object(kind, name, a.body)
}

// Create implements Client.
func (h *HTTP) Create(ctx context.Context, kind, name string, value []byte) (Object, error) {
	if len(value) > MaxValue {
		return Object{}, ErrTooLarge
	}
	a, err := h.call(ctx, OpCreate, func() *sling.Sling {
		return h.put(kind, name, value).Set("If-None-Match", "*")
	})
	if err != nil {
		return Object{}, err
	}
	return a.object(kind, name, value)
}

// Update implements Client.
func (h *HTTP) Update(ctx context.Context, obj Object) (Object, error) {
	if len(obj.Value) > MaxValue {
		return Object{}, ErrTooLarge
	}
	a, err := h.call(ctx, OpUpdate, func() *sling.Sling {
		return h.put(obj.Kind, obj.Name, obj.Value).Set("If-Match", quote(obj.Version))
	})
	if err != nil {
		return Object{}, err
	}
	return a.object(obj.Kind, obj.Name, obj.Value)
}

// Delete implements Client.
func (h *HTTP) Delete(ctx context.Context, obj Object) error {
	_, err := h.call(ctx, OpDelete, func() *sling.Sling {
		return h.base.New().Delete(objectPath(obj.Kind, obj.Name)).Set("If-Match", quote(obj.Version))
	})
	return err
}

type listQuery struct {
	Prefix string `url:"prefix,omitempty"`
	After  string `url:"after,omitempty"`
	Limit  int    `url:"limit,omitempty"`
}

// List implements Client.
func (h *HTTP) List(ctx context.Context, kind, prefix, after string, limit int) ([]Object, error) {
	a, err := h.call(ctx, OpList, func() *sling.Sling {
		q := &listQuery{Prefix: prefix, After: after, Limit: limit}
		return h.base.New().Get(strings.TrimPrefix(ObjectsPath, "/") + url.PathEscape(kind)).QueryStruct(q)
	})
	if err != nil {
		return nil, err
	}
	var form ListForm
	if err := json.Unmarshal(a.body, &form); err != nil {
		return nil, unreadable(err)
	}
	return objects(kind, form.Objects), nil
}

type watchQuery struct {
	After uint64 `url:"after"`
}

// Watch implements Client. A watch that the platform ends without writes is not an error.
func (h *HTTP) Watch(ctx context.Context, kind string, after uint64) ([]Object, uint64, error) {
	a, err := h.call(ctx, OpWatch, func() *sling.Sling {
		path := strings.TrimPrefix(WatchPath, "/") + url.PathEscape(kind)
		return h.base.New().Get(path).QueryStruct(&watchQuery{After: after})
	})
	if err != nil {
		return nil, after, err
	}
	var form WatchForm
	if err := json.Unmarshal(a.body, &form); err != nil {
		return nil, after, unreadable(err)
	}
	return objects(kind, form.Objects), max(after, form.Revision), nil
}

func (h *HTTP) put(kind, name string, value []byte) *sling.Sling {
	return h.base.New().Put(objectPath(kind, name)).Set("Content-Type", "application/octet-stream").Body(bytes.NewReader(value))
}

// call makes up to Attempts attempts. A write is repeated only when the last attempt was certainly not applied.
func (h *HTTP) call(ctx context.Context, op Op, build func() *sling.Sling) (*answer, error) {
	backoff := NewBackoff(retryBase, retryLimit)
	for attempt := 1; ; attempt++ {
		if err := h.budget.take(ctx); err != nil {
			h.refused(op)
			return nil, fmt.Errorf("store %s: budget of %g calls/s is used up: %w", op, h.opt.CallsPerSecond, err)
		}
		a, err := h.attempt(ctx, op, build())
		if err == nil {
			return a, nil
		}
		if attempt >= h.opt.Attempts || !errors.Is(err, ErrUnavailable) || !backoff.Wait(ctx) {
			return nil, err
		}
	}
}

func (h *HTTP) refused(op Op) {
	if h.opt.Observer != nil {
		h.opt.Observer.StoreRefused(op)
	}
}

// attempt sends one request and classifies its result.
func (h *HTTP) attempt(ctx context.Context, op Op, s *sling.Sling) (*answer, error) {
	start := time.Now()
	h.calls.Add(1)
	a, err := h.send(ctx, op, s)
	if h.opt.Observer != nil {
		h.opt.Observer.StoreCall(op, time.Since(start), err)
	}
	return a, err
}

func (h *HTTP) send(ctx context.Context, op Op, s *sling.Sling) (*answer, error) {
	timeout := h.opt.Timeout
	if op == OpWatch {
		timeout = WatchTime + watchGrace
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	req, err := s.Request()
	if err != nil {
		return nil, fmt.Errorf("store %s: %w: %w", op, ErrUnavailable, err)
	}
	// Without a connection nothing can have reached the store.
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	resp, err := h.client.Do(req.WithContext(httptrace.WithClientTrace(ctx, trace)))
	if err != nil {
		return nil, fmt.Errorf("store %s: %w: %w", op, lostClass(op, connected.Load()), err)
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer+1))
	if err == nil && len(body) > maxAnswer {
		err = fmt.Errorf("answer exceeds %d bytes", maxAnswer)
	}
	if class := statusClass(op, resp.StatusCode); class != nil {
		return nil, fmt.Errorf("store %s: status %d: %w", op, resp.StatusCode, class)
	}
	if err != nil {
		return nil, fmt.Errorf("store %s: %w: %w", op, lostClass(op, true), err)
	}
	return &answer{header: resp.Header, body: body}, nil
}

func lostClass(op Op, sent bool) error {
	if op.writes() && sent {
		return ErrUnknown
	}
	return ErrUnavailable
}

// statusClass returns nil for success.
func statusClass(op Op, status int) error {
	switch {
	case status >= 200 && status < 300:
		return nil
	case status == http.StatusNotFound:
		return ErrNotFound
	case status == http.StatusConflict || status == http.StatusPreconditionFailed:
		return ErrConflict
	case status == http.StatusGone:
		return ErrGap
	case status == http.StatusRequestEntityTooLarge:
		return ErrTooLarge
	case status == http.StatusTooManyRequests:
		return ErrThrottled
	case status >= 500 && status != http.StatusServiceUnavailable:
		return lostClass(op, true)
	default:
		return ErrUnavailable
	}
}

type answer struct {
	header http.Header
	body   []byte
}

func (a *answer) object(kind, name string, value []byte) (Object, error) {
	version, err := strconv.ParseUint(strings.Trim(a.header.Get("ETag"), `"`), 10, 64)
	if err != nil {
		return Object{}, unreadable(err)
	}
	revision, err := strconv.ParseUint(a.header.Get(RevisionHeader), 10, 64)
	if err != nil {
		return Object{}, unreadable(err)
	}
	return Object{Kind: kind, Name: name, Version: version, Revision: revision, Value: value}, nil
}

// unreadable reports an answer of the store that breaks its protocol. A write may have been applied.
func unreadable(err error) error {
	return fmt.Errorf("store answer unreadable: %w: %w", ErrUnknown, err)
}

func objects(kind string, forms []ObjectForm) []Object {
	objs := make([]Object, 0, len(forms))
	for _, f := range forms {
		objs = append(objs, Object{Kind: kind, Name: f.Name, Version: f.Version, Revision: f.Revision, Value: f.Value, Deleted: f.Deleted})
	}
	return objs
}

// objectPath keeps the slashes of the name and escapes everything else.
func objectPath(kind, name string) string {
	parts := strings.Split(name, "/")
	for i, p := range parts {
		parts[i] = url.PathEscape(p)
	}
	return strings.TrimPrefix(ObjectsPath, "/") + url.PathEscape(kind) + "/" + strings.Join(parts, "/")
}

func quote(version uint64) string { return `"` + strconv.FormatUint(version, 10) + `"` }
