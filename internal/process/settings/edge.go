package settings

import (
	"crypto/sha256"
	"encoding/hex"
)

// Edge is the settings file of an edge: an entry that runs on the platform's machines and sends requests directly to
// replicas. Settings that differ between machines come from the platform, in Node.
type Edge struct {
	// MetricsPort is the port of /metrics on the machine's address. Default 9180.
	MetricsPort int `json:"metrics_port" default:"9180" min:"1" max:"65535" unit:"port"`
	// OperatorKeySHA256 is the SHA-256 of the operator key, in lower-case hex, for /quarantine at the same port. Without it
	// all calls are refused.
	OperatorKeySHA256 string `json:"operator_key_sha256" optional:"true"`
	// LogLinesPerSecond is the rate limit of log lines about individual requests; omitted lines are counted. Default 400.
	LogLinesPerSecond int `json:"log_lines_per_second" default:"400" min:"1" max:"100000" unit:"lines"`
	// StoreCallsPerSecond is the call budget for the object store; a watch counts as one call. Default 10.
	StoreCallsPerSecond float64 `json:"store_calls_per_second" default:"10" min:"1" max:"1000" unit:"calls/s"`
	// MinWatchInterval is the interval at which one of the edges polls the store for writes to a kind of object, for all of
	// them. The platform's time bounds can shorten it. Default "700ms".
	MinWatchInterval Duration `json:"watch_pace" default:"700ms" min:"0s" max:"5s"`
	// Placement configures how replicas are chosen.
	Placement Placement `json:"placement"`
	// Log configures the event log.
	Log Log `json:"log"`
}

// Placement configures the choice of replicas. The measurements behind the defaults are in docs/design/platform.md.
type Placement struct {
	// BacklogShare is the backlog limit of a replica for less urgent prompts: the prefill time ahead of a new prompt, as
	// a share of the tightest target of the service's long routes. Default 0.3.
	BacklogShare float64 `json:"window_share" default:"0.3" min:"0.01" max:"10" unit:"share of a target"`
	// UrgentBacklogShare is the same limit for the prompts of the tightest route itself. Default 0.6.
	UrgentBacklogShare float64 `json:"urgent_window_share" default:"0.6" min:"0.01" max:"10" unit:"share of a target"`
	// ShortPoolShare is the share of a service's replicas in the pool for short prompts, the short pool. Default 0.22.
	ShortPoolShare float64 `json:"short_pool_share" default:"0.22" min:"0" max:"0.9" unit:"share of the replicas"`
	// ShortPerReplica is the number of short streams per replica above which the short pool grows: with more of them, the
	// decode steps and their own prefills exceed the gap targets. Default 16.
	ShortPerReplica float64 `json:"short_per_replica" default:"16" min:"1" max:"10000" unit:"requests"`
	// MaxShortPoolShare is the largest share of the replicas to which the short pool grows. Default 0.7.
	MaxShortPoolShare float64 `json:"max_short_pool_share" default:"0.7" min:"0" max:"0.95" unit:"share of the replicas"`
	// ReservedShare is the share of the short pool that long prompts never borrow. Default 0.5.
	ReservedShare float64 `json:"kept_share" default:"0.5" min:"0.01" max:"1" unit:"share of the pool"`
	// PrefillCost weighs the prefill time of a prompt's uncached parts against a wait of the same length. Default 6.
	PrefillCost float64 `json:"read_again_cost" default:"6" min:"0" max:"100" unit:"factor"`
	// RunningCost is the expected wait that one running request adds before a new prompt. Default "2ms".
	RunningCost Duration `json:"running_cost" default:"2ms" min:"1us" max:"1s"`
	// GapCost weighs the recent mean gap between events of a replica's streams against a wait of the same length. Default
	// 1.
	GapCost float64 `json:"gap_cost" default:"1" min:"0" max:"100" unit:"factor"`
	// MaxSlowdown bounds how much slower or faster than the mean of its service a replica counts in the estimates, by the
	// times to its first events. 1 counts all replicas as equally fast. Default 10.
	MaxSlowdown float64 `json:"max_slowdown" default:"10" min:"1" max:"100" unit:"factor"`
	// OverflowCost is the minimum reduction of the wait for which a short prompt leaves the short pool. Default "60ms".
	OverflowCost Duration `json:"overflow_cost" default:"60ms" min:"1ms" max:"1m"`
	// ShortBorrowableCost is the minimum reduction of the wait for which a short prompt uses the borrowable part of the
	// short pool. Default "10ms".
	ShortBorrowableCost Duration `json:"pack_cost" default:"10ms" min:"1us" max:"1m"`
	// LongBorrowCost is the minimum reduction of the wait for which a long prompt borrows a replica of the short pool.
	// Default "50ms".
	LongBorrowCost Duration `json:"lend_cost" default:"50ms" min:"1ms" max:"1m"`
	// MaxReservedWait is the mean wait in the reserved part of the short pool up to which long prompts may borrow the
	// rest. Default "50ms".
	MaxReservedWait Duration `json:"calm_cost" default:"50ms" min:"1ms" max:"1m"`
	// KeptCost is the cost at the affinity replicas of a prompt above which other replicas that keep its shared parts are considered
	// too. Default "50ms".
	KeptCost Duration `json:"kept_cost" default:"50ms" min:"1ms" max:"1h"`
	// ConnectionCost is the minimum reduction of the wait for which a replica without an idle connection of this edge is preferred to
	// one with it. A new connection takes a round trip and a handshake, and a slot of the replica for a moment; but with a cost, an
	// edge without load sends to the same replicas again and learns nothing of the others. Default "0s": it does not matter.
	ConnectionCost Duration `json:"connection_cost" default:"0s" min:"0s" max:"1m"`
	// AffinityReplicas is the number of affinity replicas considered for a prompt before all replicas are. More of them
	// put the shared parts in the KV cache of more replicas: 3 and 8 caused more repeated prefills on the large
	// deployments. Default 2.
	AffinityReplicas int `json:"homes" default:"2" min:"1" max:"8" unit:"replicas"`
	// FetchCost is the cost, in the wait before a prompt, of fetching the prompt's shared parts from another replica
	// instead of prefilling them. A fetch of 13,300 tokens takes about 20 ms and uses KV cache on a second replica; with
	// 100 ms prompts changed replicas more often than they gained, 600 ms gained less. Default "300ms".
	FetchCost Duration `json:"fetch_cost" default:"300ms" min:"1ms" max:"1h"`
	// QueueTimeoutTargets is the queue timeout of a prompt, in targets of its route, after which it is refused. Default
	// 0.5.
	QueueTimeoutTargets float64 `json:"patience" default:"0.5" min:"0.1" max:"100" unit:"targets"`
	// AdmissionBacklogShare is the share of the waiting backlog that must fit into the queue timeout of a new prompt for
	// it to be admitted. Default 1.
	AdmissionBacklogShare float64 `json:"hopeless_share" default:"1" min:"0.0001" max:"100" unit:"share"`
}

// check validates what the tags can't express.
func (e *Edge) check() *Error {
	hash, err := hex.DecodeString(e.OperatorKeySHA256)
	if err != nil || e.OperatorKeySHA256 != "" && len(hash) != sha256.Size {
		return &Error{Path: "operator_key_sha256", Value: e.OperatorKeySHA256, Problem: "must be a SHA-256 in hex, 64 digits"}
	}
	return nil
}
