package eventlog

import (
	"fmt"
	"slices"

	"github.com/sirupsen/logrus"
)

// Event is one entry of the catalogue.
type Event struct {
	// Number is unique and never reused.
	Number int
	// Name is the stable name, for example entry_started.
	Name string
	// Level is the severity.
	Level logrus.Level
	// Meaning says in one sentence what happened and, where there is something to do, what to do.
	Meaning string
}

// Code returns the number as it appears in the log, for example DP1001.
func (e Event) Code() string { return fmt.Sprintf("DP%04d", e.Number) }

var catalogue []Event

func define(number int, name string, level logrus.Level, meaning string) Event {
	e := Event{Number: number, Name: name, Level: level, Meaning: meaning}
	catalogue = append(catalogue, e)
	return e
}

// Catalogue returns every event in the order of its number.
func Catalogue() []Event {
	list := slices.Clone(catalogue)
	slices.SortFunc(list, func(a, b Event) int { return a.Number - b.Number })
	return list
}

// Events of the life of a process.
var (
	EntryStarted   = define(1001, "entry_started", logrus.InfoLevel, "An entry serves callers and operators.")
	SidecarStarted = define(1002, "sidecar_started", logrus.InfoLevel, "A sidecar accepts work for its upstream.")
	StandinStarted = define(1003, "standin_started", logrus.InfoLevel, "A stand-in of the platform serves.")
	DrainStarted   = define(1004, "drain_started", logrus.InfoLevel, "The process accepts no new work and finishes what is in flight.")
	DrainFinished  = define(1005, "drain_finished", logrus.InfoLevel, "Nothing is in flight; the process ends.")
	DrainTimedOut  = define(1006, "drain_timed_out", logrus.WarnLevel, "The drain timeout passed with work in flight, which was cut; check drain_timeout against the longest class timeout.")
	InternalError  = define(1008, "internal_error", logrus.ErrorLevel, "A handler failed in a way that should not happen; report it with the fields of this event.")
)

// Events of sessions and membership.
var (
	SessionOpened     = define(1101, "session_opened", logrus.InfoLevel, "A session between two processes is open.")
	SessionClosed     = define(1102, "session_closed", logrus.InfoLevel, "A session ended; it is opened again while the other side is in the instance list.")
	PeerSuspect       = define(1104, "peer_suspect", logrus.WarnLevel, "A peer was silent for too long and gets no new work.")
	MembershipChanged = define(1106, "membership_changed", logrus.InfoLevel, "The instance list shows other instances or states.")
	MembershipFailed  = define(1107, "membership_unavailable", logrus.WarnLevel, "The instance list cannot be read; the last known list stays in use.")
)

// Events of upstreams.
var (
	UpstreamDown      = define(1201, "upstream_down", logrus.WarnLevel, "An upstream does not answer; its sidecar refuses work as not_run.")
	UpstreamUp        = define(1202, "upstream_up", logrus.InfoLevel, "An upstream answers again.")
	StreamInterrupted = define(1205, "stream_interrupted", logrus.WarnLevel, "A started attempt ended before its answer was complete.")
	CallUnknown       = define(1206, "call_unknown", logrus.WarnLevel, "A non-idempotent call may or may not have run; it is not retried.")
	OrderFenced       = define(1207, "order_fenced", logrus.WarnLevel, "An engine order with an old fencing number was refused.")
)

// Events of the store, the table and claims.
var (
	StoreUnavailable = define(1301, "store_unavailable", logrus.WarnLevel, "The store does not answer; routing continues on the highest known table version.")
	StoreThrottled   = define(1303, "store_throttled", logrus.WarnLevel, "Store calls were refused by a rate limit; check store_calls_per_second.")
	StoreUnknown     = define(1304, "store_write_unknown", logrus.WarnLevel, "The answer to a store write was lost; it is read back.")
	TableInForce     = define(1305, "table_in_force", logrus.InfoLevel, "A table version is in force at this entry.")
	TableInvalid     = define(1306, "table_invalid", logrus.ErrorLevel, "A table version in the store cannot be used; the version before it stays in force.")
	ClaimsBlocked    = define(1310, "claims_unavailable", logrus.WarnLevel, "Claims cannot be written; non-idempotent calls are refused as not_run.")
)

// Events of usage.
var (
	UsageWaiting = define(1407, "usage_waiting", logrus.WarnLevel, "No entry took the usage segments; they stay in memory and are sent again while the process lives.")
)

// Events of edges.
var (
	EdgeStarted              = define(1501, "edge_started", logrus.InfoLevel, "An edge listens; it is ready once it has a configuration and a list of replicas.")
	EdgeReloaded             = define(1502, "edge_reloaded", logrus.InfoLevel, "The machine's settings were read again.")
	EdgeReloadFailed         = define(1503, "edge_reload_failed", logrus.WarnLevel, "The machine's settings can't be read; the ones before stay in force.")
	EdgeConfigured           = define(1504, "edge_configured", logrus.InfoLevel, "A configuration is in force at this edge; count is the number of routes.")
	EdgeConfigurationInvalid = define(1505, "edge_configuration_invalid", logrus.ErrorLevel, "A configuration can't be read; the one before stays in force.")
	EdgeReplicas             = define(1506, "edge_replicas", logrus.InfoLevel, "The list of replicas changed; count is the number that take new work.")
	EdgeReplicaInvalid       = define(1507, "edge_replica_invalid", logrus.WarnLevel, "An entry of the list of replicas can't be read and names no replica.")
	EdgePeer                 = define(1508, "edge_peer", logrus.InfoLevel, "Another edge is heard, or has fallen silent.")
	EdgeGossipFailed         = define(1509, "edge_gossip_failed", logrus.WarnLevel, "A load report between edges could not be sent or read; decisions use the own load until the next one.")
	EdgeRequestEnded         = define(1510, "edge_request_ended", logrus.InfoLevel, "A request ended; reason is why its replica was chosen, refused_for why it was not answered.")
	EdgeAttemptFailed        = define(1511, "edge_attempt_failed", logrus.InfoLevel, "A replica did not answer a request in a way that the caller gets; error or status say why.")
	EdgeRequestDenied        = define(1512, "edge_request_denied", logrus.InfoLevel, "A request was answered without a replica; refused_for says why.")
	EdgeServerError          = define(1513, "edge_server_error", logrus.WarnLevel, "The HTTP server reports an error of a connection.")
	LinesOmitted             = define(1514, "lines_omitted", logrus.WarnLevel, "Lines about single requests were left out in the last second, because of log_lines_per_second or a slow reader.")
)
