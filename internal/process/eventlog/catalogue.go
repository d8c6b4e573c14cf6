package eventlog

import (
	"fmt"
	"slices"

	"github.com/sirupsen/logrus"
)

// Event is one kind of event in the catalogue.
type Event struct {
	// Number is unique and never reused.
	Number int
	// Name is the stable name, for example entry_started.
	Name string
	// Level is the severity.
	Level logrus.Level
	// Meaning is the message of the log line: what happened and, where an operator has to act, what to do.
	Meaning string
}

// Code returns the number as the log shows it, for example DP1001.
func (e Event) Code() string { return fmt.Sprintf("DP%04d", e.Number) }

var catalogue []Event

func define(number int, name string, level logrus.Level, meaning string) Event {
	e := Event{Number: number, Name: name, Level: level, Meaning: meaning}
	catalogue = append(catalogue, e)
	return e
}

// Catalogue returns all events in the order of their numbers.
func Catalogue() []Event {
	list := slices.Clone(catalogue)
	slices.SortFunc(list, func(a, b Event) int { return a.Number - b.Number })
	return list
}

// Events of starting and stopping a process, and internal errors.
var (
	EntryStarted   = define(1001, "entry_started", logrus.InfoLevel, "An entry serves callers and operators.")
	SidecarStarted = define(1002, "sidecar_started", logrus.InfoLevel, "A sidecar accepts work for its upstream.")
	StandinStarted = define(1003, "standin_started", logrus.InfoLevel, "A stand-in for a platform service accepts connections.")
	DrainStarted   = define(1004, "drain_started", logrus.InfoLevel, "The process accepts no new work and finishes what is in flight.")
	DrainFinished  = define(1005, "drain_finished", logrus.InfoLevel, "No work is in flight; the process exits.")
	DrainTimedOut  = define(1006, "drain_timed_out", logrus.WarnLevel, "The drain timeout expired with work in flight, which was aborted; compare drain_timeout with the longest class timeout.")
	InternalError  = define(1008, "internal_error", logrus.ErrorLevel, "A handler failed in a way that should not happen; report it with the fields of this event.")
)

// Events of sessions and membership.
var (
	SessionOpened         = define(1101, "session_opened", logrus.InfoLevel, "A session between two processes is open.")
	SessionClosed         = define(1102, "session_closed", logrus.InfoLevel, "A session ended; it is reopened as long as the peer is in the instance list.")
	PeerSuspect           = define(1104, "peer_suspect", logrus.WarnLevel, "A peer stopped responding and gets no new work.")
	MembershipChanged     = define(1106, "membership_changed", logrus.InfoLevel, "The instances in the instance list or their states changed.")
	MembershipUnavailable = define(1107, "membership_unavailable", logrus.WarnLevel, "The instance list cannot be read; the last known list stays in use.")
)

// Events of upstreams.
var (
	UpstreamDown      = define(1201, "upstream_down", logrus.WarnLevel, "An upstream does not respond; its sidecar refuses requests with the outcome not_run.")
	UpstreamUp        = define(1202, "upstream_up", logrus.InfoLevel, "An upstream responds again.")
	StreamInterrupted = define(1205, "stream_interrupted", logrus.WarnLevel, "A started attempt ended before its response was complete.")
	CallUnknown       = define(1206, "call_unknown", logrus.WarnLevel, "A non-idempotent call may or may not have run; it is not retried.")
	OrderFenced       = define(1207, "order_fenced", logrus.WarnLevel, "An engine order with an old fencing number was refused.")
)

// Events of the store, the table and claims.
var (
	StoreUnavailable  = define(1301, "store_unavailable", logrus.WarnLevel, "The store does not respond; routing continues with the highest known table version.")
	StoreThrottled    = define(1303, "store_throttled", logrus.WarnLevel, "Store calls were refused by a rate limit; check store_calls_per_second.")
	StoreWriteUnknown = define(1304, "store_write_unknown", logrus.WarnLevel, "The response to a store write was lost; the stored object is read back.")
	TableInForce      = define(1305, "table_in_force", logrus.InfoLevel, "A table version is in force at this entry.")
	TableInvalid      = define(1306, "table_invalid", logrus.ErrorLevel, "A table version in the store is invalid; the previous version stays in force.")
	ClaimsUnavailable = define(1310, "claims_unavailable", logrus.WarnLevel, "Claims cannot be written; non-idempotent calls are refused with the outcome not_run.")
	StoreRestored     = define(1311, "store_restored", logrus.WarnLevel, "The store has come back from an older copy and has a new era: what it had acknowledged after that copy is gone.")
)

// Events of usage.
var (
	UsageWaiting = define(1407, "usage_waiting", logrus.WarnLevel, "No entry accepted the usage segments; they stay in memory and are sent again while the process runs.")
)

// Events of edges.
var (
	EdgeStarted              = define(1501, "edge_started", logrus.InfoLevel, "An edge listens for callers; it is ready once it has a configuration and a list of replicas.")
	EdgeReloaded             = define(1502, "edge_reloaded", logrus.InfoLevel, "The machine's settings were reloaded.")
	EdgeReloadFailed         = define(1503, "edge_reload_failed", logrus.WarnLevel, "The machine's settings can't be read; the previous ones stay in force.")
	EdgeConfigured           = define(1504, "edge_configured", logrus.InfoLevel, "A configuration is in force at this edge; count is the number of routes, transfer_ms the part of took_ms until its last byte had arrived.")
	EdgeConfigurationInvalid = define(1505, "edge_configuration_invalid", logrus.ErrorLevel, "A configuration can't be read; the previous one stays in force.")
	EdgeReplicas             = define(1506, "edge_replicas", logrus.InfoLevel, "The list of replicas changed; count is the number of replicas that get new requests.")
	EdgeReplicaInvalid       = define(1507, "edge_replica_invalid", logrus.WarnLevel, "An element of the list of replicas is invalid and is treated as removed.")
	EdgePeer                 = define(1508, "edge_peer", logrus.InfoLevel, "Another edge sends gossip messages (reason heard) or has stopped (reason silent).")
	EdgeGossipFailed         = define(1509, "edge_gossip_failed", logrus.WarnLevel, "A load report between edges could not be sent or read; until the next one, decisions use this edge's own load.")
	EdgeRequestEnded         = define(1510, "edge_request_ended", logrus.InfoLevel, "A request ended; reason says why its replica was chosen, refused_for why the edge sent an error response of its own.")
	EdgeAttemptFailed        = define(1511, "edge_attempt_failed", logrus.InfoLevel, "An attempt at a replica failed and its response is not passed to the caller; error or status says why.")
	EdgeRequestDenied        = define(1512, "edge_request_denied", logrus.InfoLevel, "A request was refused without being sent to a replica; refused_for says why.")
	EdgeServerError          = define(1513, "edge_server_error", logrus.WarnLevel, "The HTTP server reports a connection error.")
	LinesOmitted             = define(1514, "lines_omitted", logrus.WarnLevel, "Lines about individual requests were dropped in the last second, because of log_lines_per_second or a slow log reader.")
	EdgeReplicaCrashed       = define(1515, "edge_replica_crashed", logrus.WarnLevel, "A replica crashed; prompt_parts are those of requests that it had just begun to answer or had not answered yet.")
	EdgePartQuarantined      = define(1516, "edge_part_quarantined", logrus.WarnLevel, "Requests with this prompt part are refused because it crashes replicas; count is the number of crashes, own says whether this edge found out.")
	EdgePartReleased         = define(1517, "edge_part_released", logrus.InfoLevel, "Requests with this prompt part are sent to replicas again; reason says why.")
	EdgeQuarantineLifted     = define(1518, "edge_quarantine_lifted", logrus.WarnLevel, "An operator has ended the quarantine of this prompt part at this edge, which tells the others.")
	EdgeReplicaLimited       = define(1519, "edge_replica_limited", logrus.InfoLevel, "A replica takes this many requests a second from all edges together; own says whether a response to this edge said so.")
	EdgeReplicaUnlimited     = define(1520, "edge_replica_unlimited", logrus.InfoLevel, "A replica names no limit any more.")
	EdgeConfigurationFetched = define(1521, "edge_configuration_fetched", logrus.WarnLevel, "Another edge had a newer configuration, which the store did not deliver to this one in time; it was fetched from there.")
	EdgeReplicaLeaving       = define(1522, "edge_replica_leaving", logrus.InfoLevel, "A replica says in its responses that it leaves and gets no new requests, whatever the list says; own says whether a response to this edge said so.")
	EdgeReplicaPaused        = define(1523, "edge_replica_paused", logrus.InfoLevel, "A replica has refused a request and wants no other one from this edge for pause_ms.")
	EdgeNeedsRestart         = define(1524, "edge_needs_restart", logrus.WarnLevel, "The machine's settings have changed in more than the seeds; only those are applied without a restart.")
	EdgeConnectionsClosed    = define(1525, "edge_connections_closed", logrus.WarnLevel, "Accepted connections were closed in the last second for their limits or for others; reason says why, count how many.")
	EdgeAlone                = define(1526, "edge_alone", logrus.WarnLevel, "This edge hears no other one, although the store names count others; limits, quarantines and retry budgets are not shared.")
	EdgeFoundOthers          = define(1527, "edge_found_others", logrus.InfoLevel, "This edge hears others again.")
)

// Events of the duties at the platform.
var (
	DutiesAcquired  = define(1601, "duties_acquired", logrus.InfoLevel, "This edge holds the duties at the platform; fence is its fencing number.")
	DutiesLost      = define(1602, "duties_lost", logrus.WarnLevel, "This edge no longer holds the duties: its lease could not be renewed (reason expired), another edge has it (reason replaced), or the store came back from an older copy (reason restored).")
	DutiesReleased  = define(1603, "duties_released", logrus.InfoLevel, "This edge has given up the duties; without settled the next edge waits for the end of the lease, because a call may still arrive.")
	UsageSealed     = define(1604, "usage_sealed", logrus.InfoLevel, "The usage of a window is stored and will not change; count is the number of segments. Without complete, an edge had not sent its final counts in time.")
	UsageReported   = define(1605, "usage_reported", logrus.InfoLevel, "The platform has accepted the usage of a window in time.")
	UsageLate       = define(1606, "usage_late", logrus.WarnLevel, "The platform has accepted the usage of a window after its time; the lines before say what failed.")
	UsageFailed     = define(1607, "usage_failed", logrus.WarnLevel, "A call for the usage of a window failed and will be repeated.")
	UsageRefused    = define(1608, "usage_refused", logrus.ErrorLevel, "The platform refuses the usage of a window; it is not sent again and stays in the store.")
	UsageDiffers    = define(1609, "usage_differs", logrus.WarnLevel, "Counts of a window became known after its seal; they are stored beside what was reported. count is the number of sources.")
	UsageSkipped    = define(1610, "usage_skipped", logrus.ErrorLevel, "Windows are not reported: they ended so long ago without a holder, or may have been reported in a history that the store has lost; count is their number.")
	ReplicasOrdered = define(1611, "replicas_ordered", logrus.InfoLevel, "The platform has accepted an order of replicas of a service in a zone; count is their number.")
	OrderFailed     = define(1612, "order_failed", logrus.WarnLevel, "An order of replicas failed and will be repeated if it is still wanted.")
)
