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
	// maxChunkBytes bounds the data of one chunk. At half of the stream's flow control window, the next chunk can be read
	// while one is in transit.
	maxChunkBytes = 32 << 10
	// maxUsageBodyBytes bounds the part of an unstreamed response that is buffered to read its usage object.
	maxUsageBodyBytes = 1 << 20
)

// Values of wire.Done.Detail; they contain no request content.
const (
	detailConnect    = "upstream refused the connection"
	detailNoResponse = "upstream closed the connection without an answer"
	detailEndedEarly = "upstream cut its answer"
	detailCancelled  = "cancelled by the entry"
)

// run starts the attempt at the upstream and relays the response.
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
		if errors.Is(context.Cause(ctx), errCancelledByCaller) {
			cancelled = CancelledByCaller
		}
	}
	if e.opts.OnRecord != nil {
		e.opts.OnRecord(Record{Entry: j.entry, Ask: ask, Done: *done, Cancelled: cancelled})
	}
	_ = r.send(done) // if the stream is broken, the entry detects the end of the session
}

// relay copies one response from the upstream to the entry.
type relay struct {
	executor *Executor
	job      *job
	st       Stream
	seq      uint64
	tokens   uint32
	usage    upstream.Usage
	// pending messages are sent together with the next one.
	pending []wire.Message
}

func (r *relay) serve(ctx context.Context, body []byte) *wire.Done {
	ask := r.job.ask
	resp, err := r.executor.opts.Client.Do(ctx, upstream.Request{
		ID: UpstreamID(ask), Method: ask.Method, Path: ask.Path, Header: headerOf(ask.Header), Body: body,
		Idempotent: ask.Kind == wire.KindEngine || IdempotentMethod(ask.Method),
	})
	if err != nil {
		return r.onNoResponse(ctx, err)
	}
	defer func() { _ = resp.Body.Close() }()
	r.pending = append(r.pending, &wire.Head{Status: uint16(resp.StatusCode), Header: fieldsOf(resp.Header)})
	if ask.Stream && isEventStream(resp.Header) {
		err = r.relayEvents(resp.Body)
	} else {
		err = r.relayBody(resp.Body, resp.ContentLength)
	}
	done := &wire.Done{Outcome: wire.DoneCompleted, PromptTokens: r.usage.PromptTokens, CompletionTokens: max(r.tokens, r.usage.CompletionTokens)}
	if err != nil {
		done.Outcome, done.Detail = wire.DoneInterrupted, detailEndedEarly
		if ask.Kind == wire.KindPlain {
			done.Outcome = wire.DoneUnknown
		}
	}
	return done
}

// onNoResponse returns the outcome of an attempt without a response.
func (r *relay) onNoResponse(ctx context.Context, err error) *wire.Done {
	if errors.Is(err, upstream.ErrNotSent) {
		if ctx.Err() == nil {
			r.executor.SetHealthy(false)
		}
		return &wire.Done{Outcome: wire.DoneNotRun, Detail: detailConnect}
	}
	if r.job.ask.Kind == wire.KindPlain {
		return &wire.Done{Outcome: wire.DoneUnknown, Detail: detailNoResponse}
	}
	return &wire.Done{Outcome: wire.DoneInterrupted, Detail: detailNoResponse}
}

// relayEvents relays server-sent events; the response is complete only after its [DONE] event.
func (r *relay) relayEvents(body io.Reader) error {
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
		if !ev.Done && reader.Buffered() && len(chunk.Data) < maxChunkBytes {
			continue
		}
		if ev.Done {
			r.addPending(chunk)
			return nil
		}
		if err := r.sendChunk(chunk); err != nil {
			return err
		}
		chunk.Data, chunk.Tokens = chunk.Data[:0], 0
	}
}

// relayBody relays an unstreamed body unchanged. If the last read also returns the end of the body, its chunk is sent
// together with Done.
func (r *relay) relayBody(body io.Reader, size int64) error {
	buf := make([]byte, bufferSize(size))
	var prefix []byte
	for {
		n, err := body.Read(buf)
		if r.job.ask.Kind == wire.KindEngine && len(prefix)+n <= maxUsageBodyBytes {
			prefix = append(prefix, buf[:n]...)
		}
		if errors.Is(err, io.EOF) {
			if n > 0 {
				r.addPending(&wire.Chunk{Data: buf[:n]})
			}
			r.usage = upstream.ParseUsage(prefix)
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

// bufferSize returns the size of the read buffer for a body of the given size, at most maxChunkBytes; -1 means an unknown
// size.
func bufferSize(size int64) int64 {
	if size < 0 {
		return maxChunkBytes
	}
	return min(size+1, maxChunkBytes)
}

func (r *relay) addPending(c *wire.Chunk) {
	r.count(c)
	r.pending = append(r.pending, c)
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
	r.pending = append(r.pending, m)
	err := r.st.Send(r.pending...)
	r.pending = r.pending[:0]
	return err
}

// UpstreamID returns the ID of an attempt at the engine: the request ID and, from the second attempt on, the attempt's
// number, so that a retry at the same engine is a separate stream.
func UpstreamID(ask *wire.Ask) string {
	if ask.Attempt <= 1 {
		return ask.RequestID
	}
	return ask.RequestID + "-" + strconv.FormatUint(uint64(ask.Attempt), 10)
}

// IdempotentMethod reports whether RFC 9110 defines the method as idempotent.
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

// hopHeaders are the headers that apply to one connection only (RFC 9110, section 7.6.1) or that the entry sets itself.
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
