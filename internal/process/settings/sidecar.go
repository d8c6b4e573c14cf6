package settings

// Kinds of upstream.
const (
	KindEngine = "engine"
	KindPlain  = "plain"
)

// Sidecar is the settings file of a sidecar.
type Sidecar struct {
	// Instance is the unique name of this instance.
	Instance string `json:"instance"`
	// Zone is the availability zone.
	Zone string `json:"zone"`
	// Owner is the operator that the upstream belongs to.
	Owner string `json:"owner"`
	// Service is the name of the service that the upstream is a replica of.
	Service string `json:"service"`
	// Kind is "engine" or "plain".
	Kind string `json:"kind"`
	// UpstreamURL is the base URL of the upstream.
	UpstreamURL string `json:"upstream_url"`
	// PeerListen is the HOST:PORT (UDP) of the sessions from entries.
	PeerListen string `json:"peer_listen"`
	// StoreURL is the base URL of the object API; used only for fencing numbers at start and on change.
	StoreURL string `json:"store_url"`
	// TLS holds the keys of the sessions between own processes.
	TLS TLS `json:"tls"`
	// SigningKeyFile holds the PEM Ed25519 private key that signs this sidecar's usage segments.
	SigningKeyFile string `json:"signing_key_file"`
	// Slots is the number of requests that the upstream runs at once. Default 16.
	Slots int `json:"slots"`
	// Models are the models that the engine serves.
	Models []string `json:"models"`
	// ChecksFence tells whether the engine itself refuses old fencing numbers. Default false.
	ChecksFence bool `json:"checks_fence"`
	// CanPause tells whether the engine can pause and resume a stream. Default false.
	CanPause bool `json:"can_pause"`
	// DrainTimeout bounds a graceful shutdown. Default "10m".
	DrainTimeout Duration `json:"drain_timeout"`
	// UsageBufferBytes bounds the memory for usage records that the store has not confirmed. Default 67108864.
	UsageBufferBytes int `json:"usage_buffer_bytes"`
	// Log configures the event log.
	Log Log `json:"log"`
}
