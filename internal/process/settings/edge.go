package settings

// Edge is the settings file of an edge: the entry that runs on the platform's machines and sends straight to replicas.
// What differs between machines comes from the platform, in Node.
type Edge struct {
	// MetricsPort is the port of /metrics on the machine's address. Default 9180.
	MetricsPort int `json:"metrics_port" default:"9180" min:"1" max:"65535" unit:"port"`
	// LogLinesPerSecond bounds the lines about single requests; what is left out is counted. Default 400.
	LogLinesPerSecond int `json:"log_lines_per_second" default:"400" min:"1" max:"100000" unit:"lines"`
	// StoreCallsPerSecond is the budget of calls to the object store, a pending watch counting as one. Default 10.
	StoreCallsPerSecond float64 `json:"store_calls_per_second" default:"10" min:"1" max:"1000" unit:"calls/s"`
	// WatchTime is how long the store may hold a watch. A watch may miss writes without an error until it ends, so it is
	// below the bound within which a configuration has to be in force (2 s). Default "1200ms".
	WatchTime Duration `json:"watch_time" default:"1200ms" min:"500ms" max:"30s"`
	// WatchPace is the shortest time between two watches of a kind; writes in between arrive together. Default "200ms".
	WatchPace Duration `json:"watch_pace" default:"200ms" min:"0s" max:"5s"`
	// Log configures the event log.
	Log Log `json:"log"`
}
