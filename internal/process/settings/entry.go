package settings

// Entry is the settings file of an entry instance.
type Entry struct {
	// Instance is the unique name of this instance.
	Instance string `json:"instance"`
	// Zone is the availability zone, for example tw-central-a.
	Zone string `json:"zone"`
	// Listen is the HOST:PORT of the caller API.
	Listen string `json:"listen"`
	// OperatorListen is the HOST:PORT of the operator API.
	OperatorListen string `json:"operator_listen"`
	// PeerListen is the HOST:PORT (UDP) of the sessions from other entries.
	PeerListen string `json:"peer_listen"`
	// StoreURL is the base URL of the platform's object API.
	StoreURL string `json:"store_url"`
	// InstancesURL is the base URL of the platform's instance list.
	InstancesURL string `json:"instances_url"`
	// TLS holds the keys of the sessions between own processes.
	TLS TLS `json:"tls"`
	// SigningKeyFile holds the PEM Ed25519 private key that signs this instance's usage segments.
	SigningKeyFile string `json:"signing_key_file"`
	// Limits bound what one caller can send or hold.
	Limits Limits `json:"limits"`
	// SidecarsPerService is the number of sidecars of one service that this entry holds sessions to. Default 48.
	SidecarsPerService int `json:"sidecars_per_service"`
	// DrainTimeout bounds a graceful shutdown. Default "10m".
	DrainTimeout Duration `json:"drain_timeout"`
	// StoreCallsPerSecond is this process's budget of store calls. Default 5.
	StoreCallsPerSecond float64 `json:"store_calls_per_second"`
	// UsageBufferBytes bounds the memory for usage records that the store has not confirmed. Default 67108864.
	UsageBufferBytes int `json:"usage_buffer_bytes"`
	// Log configures the event log.
	Log Log `json:"log"`
}

// Limits bound one caller's use of an entry.
type Limits struct {
	// BodyBytes is the largest request body, in bytes. Default 1048000, below the peer frame limit.
	BodyBytes int `json:"body_bytes"`
	// HeaderBytes is the largest request header, in bytes. Default 16384.
	HeaderBytes int `json:"header_bytes"`
	// Queue is the largest number of requests waiting in this entry. Default 4096.
	Queue int `json:"queue"`
	// Timeout is the longest time from acceptance to the last byte for classes without one. Default "10m".
	Timeout Duration `json:"timeout"`
	// MaxTokens is the largest max_tokens of a request. Default 32768.
	MaxTokens int `json:"max_tokens"`
}

// Log configures the event log.
type Log struct {
	// Level is "error", "warn", "info" or "debug". Default "info".
	Level string `json:"level"`
}

// TLS names the PEM files for mutual TLS between own processes.
// The certificate's common name is ROLE.INSTANCE, for example sidecar.lm-pool-1.
type TLS struct {
	CAFile   string `json:"ca_file"`
	CertFile string `json:"cert_file"`
	KeyFile  string `json:"key_file"`
}
