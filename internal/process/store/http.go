package store

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
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
	// Form is the object API's HTTP form. Default: the form of this project's stand-in.
	Form Form
	// WatchTime is how long the platform is asked to hold a watch. Default: WatchTime.
	WatchTime time.Duration
	// WatchGrace is the time allowed for a held watch's answer to arrive. Default 5 s.
	WatchGrace time.Duration
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
	if o.Form == nil {
		o.Form = ownForm{}
	}
	if o.WatchTime <= 0 {
		o.WatchTime = WatchTime
	}
	if o.WatchGrace <= 0 {
		o.WatchGrace = watchGrace
	}
	if o.Transport == nil {
		o.Transport = &http.Transport{MaxIdleConnsPerHost: 8, IdleConnTimeout: time.Minute}
	}
}

// Calls returns the number of attempts sent so far.
func (h *HTTP) Calls() uint64 { return h.calls.Load() }

// Get implements Client.
func (h *HTTP) Get(ctx context.Context, kind, name string) (Object, error) {
	return h.one(ctx, &Call{Op: OpGet, Kind: kind, Name: name})
}

// Create implements Client.
func (h *HTTP) Create(ctx context.Context, kind, name string, value []byte) (Object, error) {
	if len(value) > MaxValue {
		return Object{}, ErrTooLarge
	}
	return h.one(ctx, &Call{Op: OpCreate, Kind: kind, Name: name, Value: value})
}

// Update implements Client.
func (h *HTTP) Update(ctx context.Context, obj Object) (Object, error) {
	if len(obj.Value) > MaxValue {
		return Object{}, ErrTooLarge
	}
	return h.one(ctx, &Call{Op: OpUpdate, Kind: obj.Kind, Name: obj.Name, Version: obj.Version, Value: obj.Value})
}

// Delete implements Client.
func (h *HTTP) Delete(ctx context.Context, obj Object) error {
	_, err := h.call(ctx, &Call{Op: OpDelete, Kind: obj.Kind, Name: obj.Name, Version: obj.Version})
	return err
}

// List implements Client.
func (h *HTTP) List(ctx context.Context, kind, prefix, after string, limit int) ([]Object, error) {
	c := &Call{Op: OpList, Kind: kind, Prefix: prefix, AfterName: after, Limit: limit}
	a, err := h.call(ctx, c)
	if err != nil {
		return nil, err
	}
	objs, err := h.opt.Form.List(c, a)
	if err != nil {
		return nil, unreadable(err)
	}
	return objs, nil
}

// Watch implements Client. A watch that the platform ends without writes is not an error.
func (h *HTTP) Watch(ctx context.Context, kind string, after uint64) ([]Object, uint64, error) {
	c := &Call{Op: OpWatch, Kind: kind, After: after, Wait: waitOf(ctx, h.opt.WatchTime)}
	a, err := h.call(ctx, c)
	if err != nil {
		return nil, after, err
	}
	objs, revision, err := h.opt.Form.Watch(c, a)
	if err != nil {
		return nil, after, unreadable(err)
	}
	return objs, max(after, revision), nil
}

type waitKey struct{}

// WithWait bounds the time for which the platform may hold the watches of a context.
func WithWait(ctx context.Context, wait time.Duration) context.Context {
	return context.WithValue(ctx, waitKey{}, wait)
}

func waitOf(ctx context.Context, wait time.Duration) time.Duration {
	if shorter, ok := ctx.Value(waitKey{}).(time.Duration); ok {
		return min(shorter, wait)
	}
	return wait
}

// one makes a call whose answer is one object.
func (h *HTTP) one(ctx context.Context, c *Call) (Object, error) {
	a, err := h.call(ctx, c)
	if err != nil {
		return Object{}, err
	}
	obj, err := h.opt.Form.Object(c, a)
	if err != nil {
		return Object{}, unreadable(err)
	}
	return obj, nil
}

// call makes up to Attempts attempts. A write is repeated only when the last attempt was certainly not applied.
func (h *HTTP) call(ctx context.Context, c *Call) (*Answer, error) {
	backoff := NewBackoff(retryBase, retryLimit)
	for attempt := 1; ; attempt++ {
		if err := h.budget.take(ctx); err != nil {
			h.refused(c.Op)
			return nil, fmt.Errorf("store %s: budget of %g calls/s is used up: %w", c.Op, h.opt.CallsPerSecond, err)
		}
		a, err := h.attempt(ctx, c.Op, h.opt.Form.Request(h.base.New(), c))
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
func (h *HTTP) attempt(ctx context.Context, op Op, s *sling.Sling) (*Answer, error) {
	start := time.Now()
	h.calls.Add(1)
	a, err := h.send(ctx, op, s)
	if h.opt.Observer != nil {
		h.opt.Observer.StoreCall(op, time.Since(start), err)
	}
	return a, err
}

func (h *HTTP) send(ctx context.Context, op Op, s *sling.Sling) (*Answer, error) {
	timeout := h.opt.Timeout
	if op == OpWatch {
		timeout = waitOf(ctx, h.opt.WatchTime) + h.opt.WatchGrace
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
	return &Answer{Header: resp.Header, Body: body}, nil
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

// unreadable reports an answer of the store that breaks its protocol. A write may have been applied.
func unreadable(err error) error {
	return fmt.Errorf("store answer unreadable: %w: %w", ErrUnknown, err)
}
