package settings

// Kinds of upstream.
const (
	KindEngine = "engine"
	KindPlain  = "plain"
)

// Sidecar is the settings file of a sidecar.
type Sidecar struct {
	// Instance is the unique name of this instance.
	Instance string `json:"instance" format:"name"`
	// Zone is the availability zone.
	Zone string `json:"zone" format:"name"`
	// Owner is the operator that owns the upstream.
	Owner string `json:"owner" format:"name"`
	// Service is the name of the service that the upstream is a replica of.
	Service string `json:"service" format:"name"`
	// Kind is "engine" or "plain".
	Kind string `json:"kind" oneof:"engine,plain"`
	// UpstreamURL is the base URL of the upstream.
	UpstreamURL string `json:"upstream_url" format:"url"`
	// PeerListen is the HOST:PORT (UDP) for sessions from entries.
	PeerListen string `json:"peer_listen" format:"hostport"`
	// StoreURL is the base URL of the platform's object API, which is used only for fencing numbers, at start and when they change.
	StoreURL string `json:"store_url" format:"url"`
	// TLS names the key and certificate files for sessions between processes of this router.
	TLS TLS `json:"tls"`
	// SigningKeyFile holds the PEM Ed25519 private key that signs this sidecar's usage segments.
	SigningKeyFile string `json:"signing_key_file" format:"file"`
	// Slots is the number of requests that the upstream runs concurrently. Default 16.
	Slots int `json:"slots" default:"16" min:"1" max:"4096" unit:"requests"`
	// Models are the models that the engine serves; required for an engine.
	Models []string `json:"models" optional:"true"`
	// ChecksFence is true when the engine itself refuses orders with an old fencing number. Default false.
	ChecksFence bool `json:"checks_fence" default:"false"`
	// CanPause is true when the engine can pause and resume a stream. Default false.
	CanPause bool `json:"can_pause" default:"false"`
	// DrainTimeout is the longest time that a graceful shutdown waits for requests in flight. Default "10m".
	DrainTimeout Duration `json:"drain_timeout" default:"10m" min:"1s" max:"24h"`
	// UsageBufferBytes is the most memory used for usage records that the store has not confirmed. Default 67108864.
	UsageBufferBytes int `json:"usage_buffer_bytes" default:"67108864" min:"65536" max:"1073741824" unit:"bytes"`
	// Log configures the event log.
	Log Log `json:"log"`
}

func (s *Sidecar) check() *Error {
	if s.Kind == KindEngine && len(s.Models) == 0 {
		return &Error{Path: "models", Problem: "is missing; it must be a list with at least one model when kind is \"engine\""}
	}
	return nil
}
