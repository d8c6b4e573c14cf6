// Package eventlog writes numbered events as JSON lines. The catalogue in this package is the only source of events;
// docs/events.md repeats it. A log line never holds prompt text, request bodies or keys: fields are typed, and no
// constructor takes such content.
package eventlog

import (
	"io"
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

// maxText bounds the text of a field, in bytes, so that an error that repeats foreign content stays short.
const maxText = 256

// Log writes events of one process. It is safe for concurrent use. A nil *Log discards events.
type Log struct {
	entry *logrus.Entry
}

// New returns a log that writes to w. The level is "error", "warn", "info" or "debug"; any other selects info.
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

// Err is an error. Its text is cut to 256 bytes.
func Err(err error) Field {
	if err == nil {
		return Field{"error", ""}
	}
	return Field{"error", cut(err.Error())}
}

// Peer is the instance on the other side of a session.
func Peer(instance string) Field { return Field{"peer", cut(instance)} }

// PeerRole is the role of the other side of a session.
func PeerRole(role string) Field { return Field{"peer_role", cut(role)} }

// Upstream is the instance beside an upstream.
func Upstream(instance string) Field { return Field{"upstream", cut(instance)} }

// Request is a request ID.
func Request(id string) Field { return Field{"request_id", cut(id)} }

// Class is the name of a class.
func Class(name string) Field { return Field{"class", cut(name)} }

// Reason is one of a fixed set of reasons.
func Reason(reason string) Field { return Field{"reason", cut(reason)} }

// Address is the HOST:PORT of a listener.
func Address(hostPort string) Field { return Field{"address", cut(hostPort)} }

// Name is the name of a lease, an object or a stand-in.
func Name(name string) Field { return Field{"name", cut(name)} }

// Version is the number of a table or directory version.
func Version(n uint64) Field { return Field{"version", n} }

// Fence is a fencing number.
func Fence(n uint64) Field { return Field{"fence", n} }

// Count is a number of things that the event's meaning names.
func Count(n int) Field { return Field{"count", n} }

// Outcome is how a request ended.
func Outcome(name string) Field { return Field{"outcome", cut(name)} }

// RefusedFor is the code of an answer of the router's own; empty when an upstream answered.
func RefusedFor(code string) Field { return Field{"refused_for", cut(code)} }

// InTime is whether the answer was delivered within its route's targets.
func InTime(ok bool) Field { return Field{"in_time", ok} }

// ReadTokens is the number of prompt tokens that the upstream was expected to read.
func ReadTokens(n int) Field { return Field{"read_tokens", n} }

// FetchedFrom is the upstream from which the chosen one fetches what was read of the prompt's shared parts.
func FetchedFrom(upstream string) Field { return Field{"fetched_from", cut(upstream)} }

// SeenLoad is the load of the upstream that the choice saw: requests running, and prompt tokens to read and waiting.
func SeenLoad(running, prefill, waiting int) Field {
	return Field{"seen_load", [3]int{running, prefill, waiting}}
}

// SeenGap is the recent pause between events that the choice saw, in milliseconds; 0 when unknown.
func SeenGap(d time.Duration) Field { return Field{"seen_gap_ms", milliseconds(d)} }

// ReportAge is the age of the oldest report of another entry that the choice counted, in milliseconds.
func ReportAge(d time.Duration) Field { return Field{"report_age_ms", milliseconds(d)} }

// Priority is 0 for the most urgent requests.
func Priority(n int) Field { return Field{"priority", n} }

// Status is an HTTP status.
func Status(code int) Field { return Field{"status", code} }

// Attempts is the number of upstreams that a request was sent to.
func Attempts(n int) Field { return Field{"attempts", n} }

// Took is the duration of what the line tells, in milliseconds.
func Took(d time.Duration) Field { return Field{"took_ms", milliseconds(d)} }

// Queued is the time before a request was first sent, in milliseconds.
func Queued(d time.Duration) Field { return Field{"queued_ms", milliseconds(d)} }

// First is the time to the first byte for the caller, in milliseconds.
func First(d time.Duration) Field { return Field{"first_ms", milliseconds(d)} }

// LongestGap is the longest pause between two parts of an answer, in milliseconds.
func LongestGap(d time.Duration) Field { return Field{"longest_gap_ms", milliseconds(d)} }

func milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

func cut(text string) string {
	if len(text) <= maxText {
		return text
	}
	return text[:maxText] + "..."
}
