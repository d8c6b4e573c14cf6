package settings

// Entry is the settings file of an entry instance.
type Entry struct {
	// Instance is the unique name of this instance.
	Instance string `json:"instance" format:"name"`
	// Zone is the availability zone, for example tw-central-a.
	Zone string `json:"zone" format:"name"`
	// Listen is the HOST:PORT of the caller API.
	Listen string `json:"listen" format:"hostport"`
	// OperatorListen is the HOST:PORT of the operator API.
	OperatorListen string `json:"operator_listen" format:"hostport"`
	// PeerListen is the HOST:PORT (UDP) for sessions from other entries.
	PeerListen string `json:"peer_listen" format:"hostport"`
	// StoreURL is the base URL of the platform's object API.
	StoreURL string `json:"store_url" format:"url"`
	// InstancesURL is the base URL of the platform's instance list.
	InstancesURL string `json:"instances_url" format:"url"`
	// TLS names the key and certificate files for sessions between processes of this router.
	TLS TLS `json:"tls"`
	// SigningKeyFile holds the PEM Ed25519 private key that signs this instance's usage segments.
	SigningKeyFile string `json:"signing_key_file" format:"file"`
	// Limits bound the requests that this entry accepts.
	Limits Limits `json:"limits"`
	// SidecarsPerService is the largest number of sidecars of one service that this entry keeps sessions to. Default 48.
	SidecarsPerService int `json:"sidecars_per_service" default:"48" min:"1" max:"1024" unit:"sidecars"`
	// DrainTimeout is the longest time that a graceful shutdown waits for requests in flight. Default "10m".
	DrainTimeout Duration `json:"drain_timeout" default:"10m" min:"1s" max:"24h"`
	// StoreCallsPerSecond is this process's call budget for the object API. Default 40.
	StoreCallsPerSecond float64 `json:"store_calls_per_second" default:"40" min:"0.1" max:"1000" unit:"calls per second"`
	// UsageBufferBytes is the most memory used for usage records that the store has not confirmed. Default 67108864.
	UsageBufferBytes int `json:"usage_buffer_bytes" default:"67108864" min:"65536" max:"1073741824" unit:"bytes"`
	// Log configures the event log.
	Log Log `json:"log"`
}

// Limits bound the requests that an entry accepts.
type Limits struct {
	// BodyBytes is the largest request body, in bytes. Default 1048000, below the peer frame limit.
	BodyBytes int `json:"body_bytes" default:"1048000" min:"1024" max:"1048000" unit:"bytes"`
	// HeaderBytes is the largest request header, in bytes. Default 16384.
	HeaderBytes int `json:"header_bytes" default:"16384" min:"1024" max:"1048576" unit:"bytes"`
	// Queue is the largest number of requests that wait in this entry. Default 4096.
	Queue int `json:"queue" default:"4096" min:"1" max:"1000000" unit:"requests"`
	// Timeout is the longest time from acceptance to the last byte, for classes without a timeout of their own. Default "10m".
	Timeout Duration `json:"timeout" default:"10m" min:"1s" max:"24h"`
	// MaxTokens is the largest max_tokens of a request. Default 32768.
	MaxTokens int `json:"max_tokens" default:"32768" min:"1" max:"1048576" unit:"tokens"`
}

// Log configures the event log.
type Log struct {
	// Level is "error", "warn", "info" or "debug". Default "info".
	Level string `json:"level" default:"info" oneof:"error,warn,info,debug"`
}

// TLS names the PEM files for mutual TLS between processes of this router.
// The certificate's common name is ROLE.INSTANCE, for example sidecar.lm-pool-1.
type TLS struct {
	// CAFile holds the certificate of the certificate authority that signs every process's certificate.
	CAFile string `json:"ca_file" format:"file"`
	// CertFile holds this process's certificate.
	CertFile string `json:"cert_file" format:"file"`
	// KeyFile holds the private key of CertFile.
	KeyFile string `json:"key_file" format:"file"`
}
