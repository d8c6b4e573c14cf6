package settings

// Edge is the settings file of an edge: an entry that runs on the platform's machines and sends requests directly to
// replicas. Settings that differ between machines come from the platform, in Node.
type Edge struct {
	// MetricsPort is the port of /metrics on the machine's address. Default 9180.
	MetricsPort int `json:"metrics_port" default:"9180" min:"1" max:"65535" unit:"port"`
	// LogLinesPerSecond is the rate limit of log lines about individual requests; omitted lines are counted. Default 400.
	LogLinesPerSecond int `json:"log_lines_per_second" default:"400" min:"1" max:"100000" unit:"lines"`
	// StoreCallsPerSecond is the rate limit of calls to the object store; a watch counts as one call. Default 10.
	StoreCallsPerSecond float64 `json:"store_calls_per_second" default:"10" min:"1" max:"1000" unit:"calls/s"`
	// WatchTimeout is how long the store may keep a watch pending. Meanwhile the edges poll, all together about once a
	// second. Default "10s".
	WatchTimeout Duration `json:"watch_time" default:"10s" min:"500ms" max:"30s"`
	// MinWatchInterval is the minimum interval between two watches of one kind of object; writes within it arrive in one
	// response. The platform's time bounds can shorten it. Default "700ms".
	MinWatchInterval Duration `json:"watch_pace" default:"700ms" min:"0s" max:"5s"`
	// Placement configures how replicas are chosen.
	Placement Placement `json:"placement"`
	// Log configures the event log.
	Log Log `json:"log"`
}

// Placement are the weights of the choice of replicas. docs/design/platform.md has the runs that the defaults come from.
type Placement struct {
	// WindowShare is the share of the tightest target of a service's long routes for which less urgent prompts may occupy a
	// replica ahead of a new one. Default 0.3.
	WindowShare float64 `json:"window_share" default:"0.3" min:"0.01" max:"10" unit:"share of a target"`
	// UrgentWindowShare is the same for the prompts of the tightest route itself. Default 0.6.
	UrgentWindowShare float64 `json:"urgent_window_share" default:"0.6" min:"0.01" max:"10" unit:"share of a target"`
	// ShortPoolShare is the share of a service's replicas that runs short prompts alone. Default 0.22.
	ShortPoolShare float64 `json:"short_pool_share" default:"0.22" min:"0" max:"0.9" unit:"share of the replicas"`
	// KeptShare is the share of the short pool that long prompts never use. Default 0.5.
	KeptShare float64 `json:"kept_share" default:"0.5" min:"0.01" max:"1" unit:"share of the pool"`
	// ReadAgainCost weighs the work of reading parts of a prompt against a wait of the same length. Default 6.
	ReadAgainCost float64 `json:"read_again_cost" default:"6" min:"0" max:"100" unit:"factor"`
	// RunningCost is what one running request counts in the wait before a new prompt. Default "2ms".
	RunningCost Duration `json:"running_cost" default:"2ms" min:"1us" max:"1s"`
	// GapCost weighs the recent pause between events of a replica's streams against a wait of the same length. Default 1.
	GapCost float64 `json:"gap_cost" default:"1" min:"0" max:"100" unit:"factor"`
	// OverflowCost is the least advantage for which a short prompt leaves its pool. Default "60ms".
	OverflowCost Duration `json:"overflow_cost" default:"60ms" min:"1ms" max:"1m"`
	// PackCost is the least advantage for which a short prompt uses the half of its pool that may be lent. Default "10ms".
	PackCost Duration `json:"pack_cost" default:"10ms" min:"1us" max:"1m"`
	// LendCost is the least advantage for which a long prompt uses a replica of the short pool. Default "50ms".
	LendCost Duration `json:"lend_cost" default:"50ms" min:"1ms" max:"1m"`
	// CalmCost is the mean wait in the kept half of the short pool up to which the other half is lent. Default "50ms".
	CalmCost Duration `json:"calm_cost" default:"50ms" min:"1ms" max:"1m"`
	// Homes is the number of replicas that are considered for a prompt before all of them are. With more, the shared parts
	// fill the memory of more replicas: 3 and 8 read more of them again on the large deployments. Default 2.
	Homes int `json:"homes" default:"2" min:"1" max:"8" unit:"replicas"`
	// FetchCost is what it counts, in the wait before a prompt, that a replica fetches the prompt's shared parts from another
	// one instead of reading them. A fetch of 13,300 tokens takes about 20 ms and fills the memory of a second replica; with
	// 100 ms prompts moved more often than they gained, 600 ms gained less. Default "300ms".
	FetchCost Duration `json:"fetch_cost" default:"300ms" min:"1ms" max:"1h"`
	// Patience is how long a prompt waits for room, in targets of its route, before it is refused. Default 0.5.
	Patience float64 `json:"patience" default:"0.5" min:"0.1" max:"100" unit:"targets"`
	// HopelessShare is the share of what waits that has to fit into the patience of a new prompt. Default 1.
	HopelessShare float64 `json:"hopeless_share" default:"1" min:"0.0001" max:"100" unit:"share"`
}
