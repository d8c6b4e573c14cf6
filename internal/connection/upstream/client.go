// Package upstream implements the HTTP client for model engines and plain services.
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

// HeaderRequestID is the header with the request ID, which the engine uses to pause and resume the stream.
const HeaderRequestID = "X-Request-Id"

const (
	connectTimeout = 2 * time.Second
	// maxIdleConnections allows one idle connection for each slot of a typical upstream.
	maxIdleConnections  = 256
	idleConnTimeout     = 90 * time.Second
	controlTimeout      = 2 * time.Second
	maxControlBodyBytes = 1 << 20
)

// ErrNotSent reports that nothing was sent: the request was invalid, or no connection to the upstream was made.
var ErrNotSent = errors.New("request not sent to the upstream")

// StatusError reports a control call to which the upstream responded with a status other than 2xx.
type StatusError struct {
	Status int
	Body   string
}

// Error implements error.
func (e *StatusError) Error() string {
	return fmt.Sprintf("upstream answered status %d: %s", e.Status, e.Body)
}

// Request is one request to the upstream.
type Request struct {
	ID     string
	Method string
	// Path is relative to the base URL, with its query.
	Path string
	// Header is used for the HTTP request without a copy, so Do may change it.
	Header http.Header
	Body   []byte
	// Idempotent allows the reuse of an idle connection. net/http retries a request automatically when a reused connection
	// turns out to be closed, even a POST if it has an Idempotency-Key header, so other requests get a new connection.
	Idempotent bool
}

// Client calls one upstream. It is safe for concurrent use.
type Client struct {
	base     string
	pooled   *http.Client
	unpooled *http.Client
	control  *sling.Sling
}

// New returns a client of the upstream at the base URL.
func New(base string) (*Client, error) {
	u, err := url.Parse(base)
	if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
		return nil, fmt.Errorf("upstream URL %q must be http://HOST:PORT or https://HOST:PORT", base)
	}
	trimmed := (&url.URL{Scheme: u.Scheme, Host: u.Host}).String()
	c := &Client{base: trimmed, pooled: newHTTPClient(false), unpooled: newHTTPClient(true)}
	c.control = sling.New().Base(trimmed + "/").Client(c.pooled)
	return c, nil
}

func newHTTPClient(disableKeepAlives bool) *http.Client {
	return &http.Client{
		Transport: &http.Transport{
			DialContext:         (&net.Dialer{Timeout: connectTimeout}).DialContext,
			MaxIdleConnsPerHost: maxIdleConnections,
			IdleConnTimeout:     idleConnTimeout,
			DisableKeepAlives:   disableKeepAlives,
			DisableCompression:  true,
			WriteBufferSize:     16 << 10,
			ReadBufferSize:      16 << 10,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// Do sends the request and returns the response with an open body; closing the body early cancels the request.
// The error matches ErrNotSent if nothing was sent.
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
	client := c.unpooled
	if r.Idempotent {
		client = c.pooled
	}
	resp, err := client.Do(req)
	if err != nil && !connected.Load() {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	return resp, err
}

// Close closes the idle connections.
func (c *Client) Close() {
	c.pooled.CloseIdleConnections()
	c.unpooled.CloseIdleConnections()
}

// Load is the load reported by the engine itself; it may be outdated.
type Load struct {
	Running int      `json:"running"`
	Queued  int      `json:"queued"`
	Paused  int      `json:"paused"`
	Slots   int      `json:"slots"`
	Models  []string `json:"models"`
}

// Load gets the load with GET /engine/load.
func (c *Client) Load(ctx context.Context) (Load, error) {
	var load Load
	err := c.call(ctx, c.control.New().Get("engine/load"), &load)
	return load, err
}

// Pause pauses a stream at the engine, which retains its state.
func (c *Client) Pause(ctx context.Context, id string) error {
	return c.streamCommand(ctx, id, "pause")
}

// Resume continues a paused stream.
func (c *Client) Resume(ctx context.Context, id string) error {
	return c.streamCommand(ctx, id, "resume")
}

func (c *Client) streamCommand(ctx context.Context, id, verb string) error {
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

// CacheEvent is one event of the engine's prefix cache log. Events can be delayed or missing.
type CacheEvent struct {
	Seq    uint64 `json:"seq"`
	Type   string `json:"type"`
	Prefix string `json:"prefix"`
}

// CacheEvents gets events with GET /engine/cache-events?after=N.
func (c *Client) CacheEvents(ctx context.Context, after uint64) ([]CacheEvent, error) {
	var events []CacheEvent
	path := "engine/cache-events?after=" + strconv.FormatUint(after, 10)
	err := c.call(ctx, c.control.New().Get(path), &events)
	return events, err
}

// Alive reports whether the upstream accepts TCP connections.
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

func (c *Client) call(ctx context.Context, s *sling.Sling, result any) error {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	req, err := s.Request()
	if err != nil {
		return err
	}
	resp, err := c.pooled.Do(req.WithContext(ctx))
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxControlBodyBytes))
	if err != nil {
		return err
	}
	if resp.StatusCode/100 != 2 {
		return &StatusError{Status: resp.StatusCode, Body: string(body[:min(len(body), 200)])}
	}
	return decode(body, result)
}
