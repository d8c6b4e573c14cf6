// Package upstream holds the HTTP clients of model engines and of plain services.
package upstream

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/dghubble/sling"
)

// HeaderRequestID names a request at the engine; pause and resume refer to it.
const HeaderRequestID = "X-Request-Id"

const (
	connectTimeout = 2 * time.Second
	// idleConnections keeps as many connections as an upstream usually has slots.
	idleConnections = 256
	idleConnTimeout = 90 * time.Second
	controlTimeout  = 2 * time.Second
	maxControlBody  = 1 << 20
)

// ErrNotSent reports that no connection to the upstream was made, so that nothing was handed over.
var ErrNotSent = errors.New("request not sent to the upstream")

// StatusError reports a control call that the upstream refused.
type StatusError struct {
	Status int
	Body   string
}

// Error implements error.
func (e *StatusError) Error() string {
	return fmt.Sprintf("upstream answered status %d: %s", e.Status, e.Body)
}

// Request is one call that the upstream is to run.
type Request struct {
	ID     string
	Method string
	// Path is relative to the base URL, with its query.
	Path string
	// Header is handed over to the request.
	Header http.Header
	Body   []byte
	// Idempotent allows a connection that is kept open. net/http repeats a request by itself when such a connection
	// turns out to be closed, and takes an Idempotency-Key header as permission, so other calls get a new connection.
	Idempotent bool
}

// Client calls one upstream. It is safe for concurrent use.
type Client struct {
	base    string
	kept    *http.Client
	fresh   *http.Client
	control *sling.Sling
}

// New returns a client of the upstream at the base URL.
func New(base string) (*Client, error) {
	u, err := url.Parse(base)
	if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
		return nil, fmt.Errorf("upstream URL %q must be http://HOST:PORT or https://HOST:PORT", base)
	}
	trimmed := (&url.URL{Scheme: u.Scheme, Host: u.Host}).String()
	c := &Client{base: trimmed, kept: newHTTP(false), fresh: newHTTP(true)}
	c.control = sling.New().Base(trimmed + "/").Client(c.kept)
	return c, nil
}

func newHTTP(fresh bool) *http.Client {
	return &http.Client{
		Transport: &http.Transport{
			DialContext:         (&net.Dialer{Timeout: connectTimeout}).DialContext,
			MaxIdleConnsPerHost: idleConnections,
			IdleConnTimeout:     idleConnTimeout,
			DisableKeepAlives:   fresh,
			DisableCompression:  true,
			WriteBufferSize:     16 << 10,
			ReadBufferSize:      16 << 10,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// Do sends the request and returns the answer with an open body; closing the body early cancels the request.
// The error is ErrNotSent when nothing was handed over.
func (c *Client) Do(ctx context.Context, r Request) (*http.Response, error) {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	if !strings.HasPrefix(r.Path, "/") {
		return nil, fmt.Errorf("%w: path %q does not start with a slash", ErrNotSent, r.Path)
	}
	req, err := sling.New().Base(c.base + r.Path).Request()
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	req = req.WithContext(httptrace.WithClientTrace(ctx, trace))
	req.Method = r.Method
	req.Header = r.Header
	if req.Header == nil {
		req.Header = http.Header{}
	}
	req.Header.Set(HeaderRequestID, r.ID)
	if len(r.Body) > 0 {
		req.Body = io.NopCloser(bytes.NewReader(r.Body))
		req.ContentLength = int64(len(r.Body))
	}
	client := c.fresh
	if r.Idempotent {
		client = c.kept
	}
	resp, err := client.Do(req)
	if err != nil && !connected.Load() {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	return resp, err
}

// Close drops the kept connections.
func (c *Client) Close() {
	c.kept.CloseIdleConnections()
	c.fresh.CloseIdleConnections()
}

// Load is the engine's own report, which lags.
type Load struct {
	Running int      `json:"running"`
	Queued  int      `json:"queued"`
	Paused  int      `json:"paused"`
	Slots   int      `json:"slots"`
	Models  []string `json:"models"`
}

// Load reads GET /engine/load.
func (c *Client) Load(ctx context.Context) (Load, error) {
	var load Load
	err := c.call(ctx, c.control.New().Get("engine/load"), &load)
	return load, err
}

// Pause stops a stream at the engine without losing its state.
func (c *Client) Pause(ctx context.Context, id string) error { return c.streamCall(ctx, id, "pause") }

// Resume continues a paused stream.
func (c *Client) Resume(ctx context.Context, id string) error { return c.streamCall(ctx, id, "resume") }

func (c *Client) streamCall(ctx context.Context, id, verb string) error {
	return c.call(ctx, c.control.New().Post("engine/streams/"+url.PathEscape(id)+"/"+verb), nil)
}

// Order is a fenced command to an engine.
type Order struct {
	Order   string `json:"order" cbor:"1,keyasint"`
	Model   string `json:"model,omitempty" cbor:"2,keyasint,omitempty"`
	Version string `json:"version,omitempty" cbor:"3,keyasint,omitempty"`
	Role    string `json:"role,omitempty" cbor:"4,keyasint,omitempty"`
	// Fence is the lease holder's fencing number.
	Fence uint64 `json:"fence" cbor:"5,keyasint"`
}

// Order sends POST /engine/orders.
func (c *Client) Order(ctx context.Context, o Order) error {
	return c.call(ctx, c.control.New().Post("engine/orders").BodyJSON(o), nil)
}

// CacheEvent is one entry of the engine's prefix cache log, which is late and has gaps.
type CacheEvent struct {
	Seq    uint64 `json:"seq"`
	Type   string `json:"type"`
	Prefix string `json:"prefix"`
}

// CacheEvents reads GET /engine/cache-events?after=N.
func (c *Client) CacheEvents(ctx context.Context, after uint64) ([]CacheEvent, error) {
	var events []CacheEvent
	path := "engine/cache-events?after=" + strconv.FormatUint(after, 10)
	err := c.call(ctx, c.control.New().Get(path), &events)
	return events, err
}

// Alive tells whether the upstream accepts TCP connections.
func (c *Client) Alive(ctx context.Context) bool {
	u, err := url.Parse(c.base)
	if err != nil {
		return false
	}
	conn, err := (&net.Dialer{Timeout: connectTimeout}).DialContext(ctx, "tcp", u.Host)
	if err != nil {
		return false
	}
	_ = conn.Close()
	return true
}

func (c *Client) call(ctx context.Context, s *sling.Sling, into any) error {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	req, err := s.Request()
	if err != nil {
		return err
	}
	resp, err := c.kept.Do(req.WithContext(ctx))
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxControlBody))
	if err != nil {
		return err
	}
	if resp.StatusCode/100 != 2 {
		return &StatusError{Status: resp.StatusCode, Body: string(body[:min(len(body), 200)])}
	}
	return decode(body, into)
}
