package store

import (
	"context"
	"errors"
	"fmt"
	"math"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/dghubble/sling"

	"github.com/dragonflypin/dragonflypin/internal/process/transfer"
)

// Defaults of Options.
const (
	DefaultCallsPerSecond = 5.0
	DefaultBurst          = 50
	DefaultTimeout        = 2 * time.Second
	DefaultAttempts       = 3
)

// MaxWatchTimeout is the longest time that the platform waits for writes before it responds to a watch.
const MaxWatchTimeout = 30 * time.Second

// defaultWatchGrace is the time allowed after the watch timeout for the head of the response to arrive.
const defaultWatchGrace = 5 * time.Second

// maxResponseBytes bounds a response body: a list of 20 objects with the largest value, in base64.
const maxResponseBytes = 20 * MaxValue * 4 / 3

// Delays between attempts.
const (
	minRetryDelay = 20 * time.Millisecond
	maxRetryDelay = time.Second
)

// Op is an operation of the object API.
type Op string

// Operations of the object API.
const (
	OpGet    Op = "get"
	OpCreate Op = "create"
	OpUpdate Op = "update"
	OpDelete Op = "delete"
	OpList   Op = "list"
	OpWatch  Op = "watch"
)

func (o Op) writes() bool { return o == OpCreate || o == OpUpdate || o == OpDelete }

// Observer records the calls of a process, for metrics. Implementations are safe for concurrent use.
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
	// CallsPerSecond is the process's call budget; a watch counts as one call. Default 5.
	CallsPerSecond float64
	// Burst is the number of calls that may be made at once after an idle period. Default 50.
	Burst int
	// Timeout bounds the time until the head of a response, except that of a watch, and the time without progress in its body.
	// Default 2 s.
	Timeout time.Duration
	// Attempts is the maximum number of attempts of one call. Default 3.
	Attempts int
	// Observer is notified of every call; it may be nil.
	Observer Observer
	// OnEra is called with the era of the store when a response first names it, and with the era before it when the store has come back
	// from an older copy. It may be nil.
	OnEra func(before, era uint64)
	// Transport makes the HTTP calls. Default: a new http.Transport.
	Transport http.RoundTripper
	// Codec is the HTTP encoding of the object API. Default: that of internal/standin/store.
	Codec Codec
	// WatchGrace is the time allowed after the watch timeout for the head of the response to arrive. Default 5 s.
	WatchGrace time.Duration
}

// HTTP is the Client of the platform's object API.
type HTTP struct {
	opt    Options
	base   *sling.Sling
	client *http.Client
	budget *budget
	calls  atomic.Uint64

	eraMu sync.Mutex
	// era is the highest era that a response has named.
	era uint64
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
	if o.Codec == nil {
		o.Codec = standinCodec{}
	}
	if o.WatchGrace <= 0 {
		o.WatchGrace = defaultWatchGrace
	}
	if o.Transport == nil {
		o.Transport = &http.Transport{MaxIdleConnsPerHost: 8, IdleConnTimeout: time.Minute}
	}
}

// Calls returns the number of attempts sent so far.
func (h *HTTP) Calls() uint64 { return h.calls.Load() }

// Get implements Client.
func (h *HTTP) Get(ctx context.Context, kind, name string) (Object, error) {
	return h.callObject(ctx, &Request{Op: OpGet, Kind: kind, Name: name})
}

// Create implements Client.
func (h *HTTP) Create(ctx context.Context, kind, name string, value []byte) (Object, error) {
	if len(value) > MaxValue {
		return Object{}, ErrTooLarge
	}
	return h.callObject(ctx, &Request{Op: OpCreate, Kind: kind, Name: name, Value: value})
}

// Update implements Client.
func (h *HTTP) Update(ctx context.Context, obj Object) (Object, error) {
	if len(obj.Value) > MaxValue {
		return Object{}, ErrTooLarge
	}
	return h.callObject(ctx, &Request{Op: OpUpdate, Kind: obj.Kind, Name: obj.Name, Version: obj.Version, Value: obj.Value})
}

// Delete implements Client.
func (h *HTTP) Delete(ctx context.Context, obj Object) error {
	_, err := h.call(ctx, &Request{Op: OpDelete, Kind: obj.Kind, Name: obj.Name, Version: obj.Version})
	return err
}

// List implements Client.
func (h *HTTP) List(ctx context.Context, kind, prefix, after string, limit int) ([]Object, error) {
	objs, _, err := h.list(ctx, &Request{Op: OpList, Kind: kind, Prefix: prefix, AfterName: after, Limit: limit})
	return objs, err
}

// Snapshot implements Client.
func (h *HTTP) Snapshot(ctx context.Context, kind string) ([]Object, Position, error) {
	return h.list(ctx, &Request{Op: OpList, Kind: kind})
}

func (h *HTTP) list(ctx context.Context, req *Request) ([]Object, Position, error) {
	resp, err := h.call(ctx, req)
	if err != nil {
		return nil, Position{}, err
	}
	objs, revision, err := h.opt.Codec.DecodeList(req, resp)
	if err != nil {
		return nil, Position{}, invalidResponse(err)
	}
	return setEra(objs, resp.Era), Position{resp.Era, revision}, nil
}

func setEra(objs []Object, era uint64) []Object {
	for i := range objs {
		objs[i].Era = era
	}
	return objs
}

// Watch implements Client. A watch that times out without writes is not an error.
func (h *HTTP) Watch(ctx context.Context, kind string, after Position) ([]Object, Position, error) {
	req := &Request{Op: OpWatch, Kind: kind, After: after.Revision, WatchTimeout: watchTimeout(ctx)}
	resp, err := h.call(ctx, req)
	if err != nil {
		return nil, after, err
	}
	if !after.IsZero() && resp.Era != after.Era {
		// The new history has passed the revision, so that the store did not refuse it.
		return nil, after, fmt.Errorf("store %s: era %d, want %d: %w", req.Op, resp.Era, after.Era, ErrGap)
	}
	objs, revision, err := h.opt.Codec.DecodeWatch(req, resp)
	if err != nil {
		return nil, after, invalidResponse(err)
	}
	return setEra(objs, resp.Era), Position{resp.Era, max(after.Revision, revision)}, nil
}

type watchTimeoutKey struct{}

// WithWatchTimeout bounds the watch timeout of the calls with this context.
func WithWatchTimeout(ctx context.Context, timeout time.Duration) context.Context {
	return context.WithValue(ctx, watchTimeoutKey{}, timeout)
}

func watchTimeout(ctx context.Context) time.Duration {
	if bound, ok := ctx.Value(watchTimeoutKey{}).(time.Duration); ok {
		return min(bound, MaxWatchTimeout)
	}
	return MaxWatchTimeout
}

// responseKey is the context key of what WithResponse sets.
type responseKey struct{}

type expectedResponse struct {
	maxBytes int64
	began    func(bytes int64)
}

// WithResponse sets what is expected of the responses to calls with this context. A body above maxBytes fails with ErrLongResponse
// before it has been read. began is called when the head of a successful response has arrived, with the size of the body or -1.
func WithResponse(ctx context.Context, maxBytes int64, began func(bytes int64)) context.Context {
	return context.WithValue(ctx, responseKey{}, expectedResponse{maxBytes, began})
}

// BeginResponse reports the size of a response's body, or -1, to whoever has made the call. It returns ErrLongResponse for a body that
// is too large, which is not to be read, and the largest size.
func BeginResponse(ctx context.Context, bytes int64) (maxBytes int64, err error) {
	expected, ok := ctx.Value(responseKey{}).(expectedResponse)
	if !ok {
		return math.MaxInt64, nil
	}
	expected.began(bytes)
	if bytes > expected.maxBytes {
		return expected.maxBytes, fmt.Errorf("%w: %d bytes, at most %d", ErrLongResponse, bytes, expected.maxBytes)
	}
	return expected.maxBytes, nil
}

// callObject makes a call that returns one object.
func (h *HTTP) callObject(ctx context.Context, req *Request) (Object, error) {
	resp, err := h.call(ctx, req)
	if err != nil {
		return Object{}, err
	}
	obj, err := h.opt.Codec.DecodeObject(req, resp)
	if err != nil {
		return Object{}, invalidResponse(err)
	}
	obj.Era = resp.Era
	return obj, nil
}

// call makes up to Attempts attempts. It retries only attempts that were certainly not applied.
func (h *HTTP) call(ctx context.Context, req *Request) (*Response, error) {
	backoff := NewBackoff(minRetryDelay, maxRetryDelay)
	for attempt := 1; ; attempt++ {
		if err := h.budget.take(ctx); err != nil {
			h.reportRefused(req.Op)
			return nil, fmt.Errorf("store %s: budget of %g calls/s is used up: %w", req.Op, h.opt.CallsPerSecond, err)
		}
		resp, err := h.attempt(ctx, req.Op, h.opt.Codec.EncodeRequest(h.base.New(), req))
		if err == nil {
			return resp, nil
		}
		if attempt >= h.opt.Attempts || !errors.Is(err, ErrUnavailable) || !backoff.Wait(ctx) {
			return nil, err
		}
	}
}

func (h *HTTP) reportRefused(op Op) {
	if h.opt.Observer != nil {
		h.opt.Observer.StoreRefused(op)
	}
}

// attempt sends one request and classifies its result.
func (h *HTTP) attempt(ctx context.Context, op Op, s *sling.Sling) (*Response, error) {
	start := time.Now()
	h.calls.Add(1)
	resp, err := h.send(ctx, op, s)
	if h.opt.Observer != nil {
		h.opt.Observer.StoreCall(op, time.Since(start), err)
	}
	return resp, err
}

func (h *HTTP) send(ctx context.Context, op Op, s *sling.Sling) (*Response, error) {
	timeout := h.opt.Timeout
	if op == OpWatch {
		timeout = watchTimeout(ctx) + h.opt.WatchGrace
	}
	ctx, guard := transfer.New(ctx, timeout, h.opt.Timeout)
	defer guard.Stop()
	req, err := s.Request()
	if err != nil {
		return nil, fmt.Errorf("store %s: %w: %w", op, ErrUnavailable, err)
	}
	// If no connection was made, the store cannot have received the request.
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	resp, err := h.client.Do(req.WithContext(httptrace.WithClientTrace(ctx, trace)))
	if err != nil {
		return nil, fmt.Errorf("store %s: %w: %w", op, noResponseError(op, connected.Load()), err)
	}
	defer func() { _ = resp.Body.Close() }()
	era, current := h.noteEra(h.opt.Codec.Era(resp.Header))
	if !current {
		return nil, fmt.Errorf("store %s: response of the earlier era %d: %w", op, era, noResponseError(op, true))
	}
	statusErr := statusError(op, resp.StatusCode)
	limit := int64(maxResponseBytes)
	if statusErr == nil {
		expected, err := BeginResponse(ctx, resp.ContentLength)
		if err != nil {
			return nil, fmt.Errorf("store %s: %w", op, err)
		}
		limit = min(limit, expected)
	}
	body, err := guard.Read(resp.Body, resp.ContentLength, limit)
	switch {
	case statusErr != nil:
		return nil, fmt.Errorf("store %s: status %d: %w", op, resp.StatusCode, statusErr)
	case errors.Is(err, transfer.ErrTooLong) && !op.writes():
		return nil, fmt.Errorf("store %s: %w: %w", op, ErrLongResponse, err)
	case err != nil:
		return nil, fmt.Errorf("store %s: %w: %w", op, noResponseError(op, true), err)
	}
	return &Response{Header: resp.Header, Body: body, Era: era}, nil
}

// Era implements Client.
func (h *HTTP) Era() uint64 {
	h.eraMu.Lock()
	defer h.eraMu.Unlock()
	return h.era
}

// noteEra records the era that a response names, and returns that of the response. What a response of an earlier era says may be gone.
func (h *HTTP) noteEra(named uint64) (era uint64, current bool) {
	h.eraMu.Lock()
	before := h.era
	h.era = max(before, named)
	h.eraMu.Unlock()
	if named > before && h.opt.OnEra != nil {
		h.opt.OnEra(before, named)
	}
	if named == 0 {
		return before, true
	}
	return named, named >= before
}

// noResponseError returns the error for a call without a valid response.
func noResponseError(op Op, sent bool) error {
	if op.writes() && sent {
		return ErrUnknown
	}
	return ErrUnavailable
}

// statusError returns the error for an HTTP status, or nil for success.
func statusError(op Op, status int) error {
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
		return noResponseError(op, true)
	default:
		return ErrUnavailable
	}
}

// invalidResponse returns the error for a response that cannot be decoded. A write may have been applied.
func invalidResponse(err error) error {
	return fmt.Errorf("store answer unreadable: %w: %w", ErrUnknown, err)
}
