package execute

import (
	"context"
	"errors"
	"io"
	"mime"
	"net/http"
	"strconv"
	"time"

	"github.com/dragonflypin/dragonflypin/internal/connection/upstream"
	"github.com/dragonflypin/dragonflypin/internal/connection/wire"
)

const (
	// chunkBytes bounds the data of one chunk; half the stream window lets the next be read while one is in transit.
	chunkBytes = 32 << 10
	// usageBytes bounds the part of a plain answer that is kept to read its usage object.
	usageBytes = 1 << 20
)

// Details of a Done, free of request content.
const (
	detailConnect   = "upstream refused the connection"
	detailNoAnswer  = "upstream closed the connection without an answer"
	detailCut       = "upstream cut its answer"
	detailCancelled = "cancelled by the entry"
)

// run starts the attempt at the upstream and relays its answer.
func (e *Executor) run(ctx context.Context, st Stream, j *job, body []byte) {
	ask := j.ask
	started := time.Now()
	ctx, cancel := context.WithTimeout(ctx, time.Duration(ask.RemainingMs)*time.Millisecond-started.Sub(j.arrived))
	defer cancel()
	queued := uint32(started.Sub(j.arrived) / time.Millisecond)
	if ctx.Err() != nil {
		refuse(st, ask, wire.RefuseCancelled)
		return
	}
	if err := st.Send(&wire.Started{RequestID: ask.RequestID, Attempt: ask.Attempt, QueuedMs: queued}); err != nil {
		return
	}
	r := &relay{executor: e, job: j, st: st}
	done := r.serve(ctx, body)
	done.ExecMs = uint32(time.Since(started) / time.Millisecond)
	done.Chunks = r.seq
	cancelled := NotCancelled
	if ctx.Err() != nil && done.Outcome != wire.DoneCompleted {
		done.Detail = detailCancelled
		cancelled = CancelledByRouter
		if errors.Is(context.Cause(ctx), errCaller) {
			cancelled = CancelledByCaller
		}
	}
	if e.opts.OnRecord != nil {
		e.opts.OnRecord(Record{Entry: j.entry, Ask: ask, Done: *done, Cancelled: cancelled})
	}
	_ = r.send(done) // a broken stream needs no report: the entry sees the session's end
}

// relay carries one answer from the upstream to the entry.
type relay struct {
	executor *Executor
	job      *job
	st       Stream
	seq      uint64
	tokens   uint32
	usage    upstream.Usage
	// held is sent together with the next message.
	held []wire.Message
}

func (r *relay) serve(ctx context.Context, body []byte) *wire.Done {
	ask := r.job.ask
	resp, err := r.executor.opts.Client.Do(ctx, upstream.Request{
		ID: UpstreamID(ask), Method: ask.Method, Path: ask.Path, Header: headerOf(ask.Header), Body: body,
		Idempotent: ask.Kind == wire.KindEngine || IdempotentMethod(ask.Method),
	})
	if err != nil {
		return r.failed(ctx, err)
	}
	defer func() { _ = resp.Body.Close() }()
	r.held = append(r.held, &wire.Head{Status: uint16(resp.StatusCode), Header: fieldsOf(resp.Header)})
	if ask.Stream && isEventStream(resp.Header) {
		err = r.events(resp.Body)
	} else {
		err = r.plain(resp.Body, resp.ContentLength)
	}
	done := &wire.Done{Outcome: wire.DoneCompleted, PromptTokens: r.usage.PromptTokens, CompletionTokens: max(r.tokens, r.usage.CompletionTokens)}
	if err != nil {
		done.Outcome, done.Detail = wire.DoneInterrupted, detailCut
		if ask.Kind == wire.KindPlain {
			done.Outcome = wire.DoneUnknown
		}
	}
	return done
}

// failed states what is known when the upstream gave no answer.
func (r *relay) failed(ctx context.Context, err error) *wire.Done {
	if errors.Is(err, upstream.ErrNotSent) {
		if ctx.Err() == nil {
			r.executor.SetHealthy(false)
		}
		return &wire.Done{Outcome: wire.DoneNotRun, Detail: detailConnect}
	}
	if r.job.ask.Kind == wire.KindPlain {
		return &wire.Done{Outcome: wire.DoneUnknown, Detail: detailNoAnswer}
	}
	return &wire.Done{Outcome: wire.DoneInterrupted, Detail: detailNoAnswer}
}

// events relays server-sent events; the answer is complete only after its [DONE] event.
func (r *relay) events(body io.Reader) error {
	reader := upstream.NewEventReader(body)
	chunk := &wire.Chunk{}
	for {
		ev, err := reader.Next()
		if err != nil {
			return err
		}
		chunk.Data = append(chunk.Data, ev.Raw...)
		chunk.Tokens += ev.Tokens
		if ev.Usage != nil {
			r.usage = *ev.Usage
		}
		if !ev.Done && reader.Buffered() && len(chunk.Data) < chunkBytes {
			continue
		}
		if ev.Done {
			r.hold(chunk)
			return nil
		}
		if err := r.sendChunk(chunk); err != nil {
			return err
		}
		chunk.Data, chunk.Tokens = chunk.Data[:0], 0
	}
}

// plain relays a body as it is. A piece that ends the body travels with Done.
func (r *relay) plain(body io.Reader, size int64) error {
	buf := make([]byte, bufferSize(size))
	var kept []byte
	for {
		n, err := body.Read(buf)
		if r.job.ask.Kind == wire.KindEngine && len(kept)+n <= usageBytes {
			kept = append(kept, buf[:n]...)
		}
		if errors.Is(err, io.EOF) {
			if n > 0 {
				r.hold(&wire.Chunk{Data: buf[:n]})
			}
			r.usage = upstream.ParseUsage(kept)
			return nil
		}
		if err != nil {
			return err
		}
		if err := r.sendChunk(&wire.Chunk{Data: buf[:n]}); err != nil {
			return err
		}
	}
}

// bufferSize is what a body of a known size needs, within one chunk; -1 means unknown.
func bufferSize(size int64) int64 {
	if size < 0 {
		return chunkBytes
	}
	return min(size+1, chunkBytes)
}

func (r *relay) hold(c *wire.Chunk) {
	r.count(c)
	r.held = append(r.held, c)
}

func (r *relay) sendChunk(c *wire.Chunk) error {
	r.count(c)
	return r.send(c)
}

func (r *relay) count(c *wire.Chunk) {
	r.seq++
	c.Seq = r.seq
	r.tokens += c.Tokens
	if c.Tokens > 0 {
		r.executor.onTokens(r.job, int(c.Tokens))
	}
}

func (r *relay) send(m wire.Message) error {
	r.held = append(r.held, m)
	err := r.st.Send(r.held...)
	r.held = r.held[:0]
	return err
}

// UpstreamID names an attempt at the engine: the request ID and, from the second attempt on, the attempt's number,
// so that a second attempt at the same engine is another stream.
func UpstreamID(ask *wire.Ask) string {
	if ask.Attempt <= 1 {
		return ask.RequestID
	}
	return ask.RequestID + "-" + strconv.FormatUint(uint64(ask.Attempt), 10)
}

// IdempotentMethod tells whether RFC 9110 defines the method as idempotent.
func IdempotentMethod(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace, http.MethodPut, http.MethodDelete:
		return true
	default:
		return false
	}
}

func isEventStream(h http.Header) bool {
	media, _, err := mime.ParseMediaType(h.Get("Content-Type"))
	return err == nil && media == "text/event-stream"
}

func headerOf(fields []wire.HeaderField) http.Header {
	h := make(http.Header, len(fields))
	for _, f := range fields {
		h.Add(f.Name, f.Value)
	}
	return h
}

// hopHeaders apply to one connection only (RFC 9110, section 7.6.1) or are set anew by the entry.
var hopHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true, "Proxy-Connection": true, "Te": true,
	"Trailer": true, "Transfer-Encoding": true, "Upgrade": true, "Content-Length": true, "Date": true,
	http.CanonicalHeaderKey(upstream.HeaderRequestID): true,
}

func fieldsOf(h http.Header) []wire.HeaderField {
	fields := make([]wire.HeaderField, 0, len(h))
	for name, values := range h {
		if hopHeaders[name] {
			continue
		}
		for _, v := range values {
			fields = append(fields, wire.HeaderField{Name: name, Value: v})
		}
	}
	return fields
}
