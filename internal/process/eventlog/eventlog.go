// Package eventlog writes numbered events as JSON lines. The catalogue in this package defines every event, and the table in
// docs/events.md must match it. A log line never contains prompt text, request bodies or keys: fields are typed, and none of
// their constructors takes such content.
package eventlog

import (
	"io"
	"strings"
	"time"

	"github.com/sirupsen/logrus"
)

// Names of the fields that every line has.
const (
	fieldCode     = "code"
	fieldEvent    = "event"
	fieldInstance = "instance"
	fieldRole     = "role"
)

// maxTextBytes is the length at which the text of a field is truncated: errors can repeat long content of other systems.
const maxTextBytes = 256

// Log writes events of one process. It is safe for concurrent use. A nil *Log discards events.
type Log struct {
	entry *logrus.Entry
}

// New returns a log that writes to w. The level is "error", "warn", "info" or "debug"; any other value means "info".
func New(w io.Writer, level, role, instance string) *Log {
	logger := logrus.New()
	logger.SetOutput(w)
	logger.SetFormatter(&logrus.JSONFormatter{TimestampFormat: time.RFC3339Nano})
	logger.SetLevel(logrus.InfoLevel)
	if parsed, err := logrus.ParseLevel(level); err == nil {
		logger.SetLevel(parsed)
	}
	return &Log{entry: logger.WithFields(logrus.Fields{fieldRole: role, fieldInstance: instance})}
}

// Discard returns a log that writes nothing.
func Discard() *Log { return nil }

// Emit writes an event with its fields.
func (l *Log) Emit(e Event, fields ...Field) {
	if l == nil || !l.entry.Logger.IsLevelEnabled(e.Level) {
		return
	}
	data := logrus.Fields{fieldCode: e.Code(), fieldEvent: e.Name}
	for _, f := range fields {
		data[f.key] = f.value
	}
	l.entry.WithFields(data).Log(e.Level, e.Meaning)
}

// Field is one typed field of a line.
type Field struct {
	key   string
	value any
}

// Err is the text of an error, truncated to 256 bytes.
func Err(err error) Field {
	if err == nil {
		return Field{"error", ""}
	}
	return Field{"error", truncate(err.Error())}
}

// Peer is the instance on the other side of a session.
func Peer(instance string) Field { return Field{"peer", truncate(instance)} }

// PeerRole is the role of the instance on the other side of a session.
func PeerRole(role string) Field { return Field{"peer_role", truncate(role)} }

// Upstream is the instance name of an upstream's sidecar; in the log of an edge, the replica's ID.
func Upstream(instance string) Field { return Field{"upstream", truncate(instance)} }

// Request is a request ID.
func Request(id string) Field { return Field{"request_id", truncate(id)} }

// Class is the name of a class.
func Class(name string) Field { return Field{"class", truncate(name)} }

// Reason is one of a fixed set of reasons.
func Reason(reason string) Field { return Field{"reason", truncate(reason)} }

// Address is the HOST:PORT of a listener.
func Address(hostPort string) Field { return Field{"address", truncate(hostPort)} }

// Name is the name of a lease, an object or a stand-in.
func Name(name string) Field { return Field{"name", truncate(name)} }

// Version is the number of a table or directory version.
func Version(n uint64) Field { return Field{"version", n} }

// Era is the number of the store's history, which rises each time that it comes back from an older copy.
func Era(n uint64) Field { return Field{"era", n} }

// Fence is a fencing number.
func Fence(n uint64) Field { return Field{"fence", n} }

// Window is the number of a window of usage.
func Window(n uint64) Field { return Field{"window", n} }

// Service is the name of a service.
func Service(name string) Field { return Field{"service", truncate(name)} }

// Zone is the name of an availability zone.
func Zone(name string) Field { return Field{"zone", truncate(name)} }

// Complete is whether nothing is missing that was waited for.
func Complete(ok bool) Field { return Field{"complete", ok} }

// Settled is whether no call has an unknown outcome.
func Settled(ok bool) Field { return Field{"settled", ok} }

// Count is a number; the event's meaning states what it counts.
func Count(n int) Field { return Field{"count", n} }

// Source is where an object came from: the store or another edge.
func Source(name string) Field { return Field{"source", name} }

// Bytes is the size of an object.
func Bytes(n int) Field { return Field{"bytes", n} }

// Transfer is the part of the duration until the last byte had arrived, in milliseconds.
func Transfer(d time.Duration) Field { return Field{"transfer_ms", milliseconds(d)} }

// Outcome is how a request ended.
func Outcome(name string) Field { return Field{"outcome", truncate(name)} }

// RefusedFor is the error code of a response that the router generated itself; empty for a response of an upstream.
func RefusedFor(code string) Field { return Field{"refused_for", truncate(code)} }

// InTime is whether a successful response was delivered within the latency targets of its route.
func InTime(ok bool) Field { return Field{"in_time", ok} }

// PrefillTokens is the number of prompt tokens that the upstream was expected to prefill.
func PrefillTokens(n int) Field { return Field{"read_tokens", n} }

// FetchedFrom is the upstream from which the chosen one fetches the KV cache of the prompt's shared parts.
func FetchedFrom(upstream string) Field { return Field{"fetched_from", truncate(upstream)} }

// SeenLoad is the load of the upstream at the time of the choice: running requests, prompt tokens that it has yet
// to prefill, and prompt tokens of requests that wait at the entries.
func SeenLoad(running, prefill, waiting int) Field {
	return Field{"seen_load", [3]int{running, prefill, waiting}}
}

// SeenGap is the upstream's recent time between stream events at the time of the choice, in milliseconds; 0 when unknown.
func SeenGap(d time.Duration) Field { return Field{"seen_gap_ms", milliseconds(d)} }

// ReportAge is the age of the oldest load report of another entry that the choice used, in milliseconds.
func ReportAge(d time.Duration) Field { return Field{"report_age_ms", milliseconds(d)} }

// Priority is the priority of a request; 0 is the most urgent.
func Priority(n int) Field { return Field{"priority", n} }

// Status is an HTTP status code.
func Status(code int) Field { return Field{"status", code} }

// Attempts is the number of upstreams that a request was sent to.
func Attempts(n int) Field { return Field{"attempts", n} }

// Took is the duration of the request or attempt, in milliseconds.
func Took(d time.Duration) Field { return Field{"took_ms", milliseconds(d)} }

// Answering is the time from the first event of a response to its interruption, in milliseconds; 0 before the first event.
func Answering(d time.Duration) Field { return Field{"answering_ms", milliseconds(d)} }

// ResumedAfter is the ID of the stream event after which an upstream was asked to begin; empty for the start of the stream.
func ResumedAfter(id string) Field { return Field{"resumed_after", truncate(id)} }

// LastEvent is the ID of the last stream event that the caller has received.
func LastEvent(id string) Field { return Field{"last_event", truncate(id)} }

// Framing is what ends the body of a response: its length, chunks or the connection.
func Framing(name string) Field { return Field{"framing", name} }

// PromptParts are the IDs of prompt parts, which are opaque to the router. It is empty for requests without a prompt.
func PromptParts(ids []string) Field { return Field{"prompt_parts", truncate(strings.Join(ids, ","))} }

// Limit is the number of requests a second that a replica takes.
func Limit(perSecond float64) Field { return Field{"limit_per_s", perSecond} }

// Pause is for how long an upstream wants no requests, in milliseconds.
func Pause(d time.Duration) Field { return Field{"pause_ms", milliseconds(d)} }

// Own reports whether this process has decided what the line says, rather than learned it from another one.
func Own(ok bool) Field { return Field{"own", ok} }

// Queued is the time from acceptance of a request to its first attempt, in milliseconds.
func Queued(d time.Duration) Field { return Field{"queued_ms", milliseconds(d)} }

// FirstByte is the time from acceptance to the first byte of the response, in milliseconds.
func FirstByte(d time.Duration) Field { return Field{"first_ms", milliseconds(d)} }

// LongestGap is the longest time between two parts of a response, in milliseconds.
func LongestGap(d time.Duration) Field { return Field{"longest_gap_ms", milliseconds(d)} }

func milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

func truncate(text string) string {
	if len(text) <= maxTextBytes {
		return text
	}
	return text[:maxTextBytes] + "..."
}
