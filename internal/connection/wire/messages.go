package wire

// Message types. Numbers are never reused.
const (
	TypeHello Type = iota + 1
	TypeHeartbeat
	TypeLoad
	TypeTableAnnounce
	TypeAsk
	TypeStart
	TypeCancel
	TypeGrant
	TypeRefuse
	TypeStarted
	TypeChunk
	TypeDone
	TypeCall
	TypeReply
	TypeHead
)

// Role is the role of a process.
type Role string

// Roles.
const (
	RoleEntry   Role = "entry"
	RoleSidecar Role = "sidecar"
)

// Kind is the kind of upstream that an ask is for.
type Kind uint8

// Kinds of upstreams: a model engine or a plain HTTP service.
const (
	KindEngine Kind = iota + 1
	KindPlain
)

// Hello is the first message of a control stream, in both directions.
type Hello struct {
	ProtocolVersion uint16 `cbor:"1,keyasint"`
	Role            Role   `cbor:"2,keyasint"`
	Instance        string `cbor:"3,keyasint"`
	Zone            string `cbor:"4,keyasint,omitempty"`
	Service         string `cbor:"5,keyasint,omitempty"`
	TableVersion    uint64 `cbor:"6,keyasint,omitempty"`
}

// Heartbeat is sent by the dialling side of a session.
type Heartbeat struct {
	Seq          uint64 `cbor:"1,keyasint"`
	TableVersion uint64 `cbor:"2,keyasint,omitempty"`
}

// Load is the load report of a sidecar. It is sent in reply to heartbeats, and on changes while the sidecar is busy.
type Load struct {
	// Seq is the Seq of the heartbeat; 0 for a report on change.
	Seq uint64 `cbor:"1,keyasint"`
	// Slots is the number of requests that the upstream runs concurrently.
	Slots   int `cbor:"2,keyasint"`
	Running int `cbor:"3,keyasint"`
	Paused  int `cbor:"4,keyasint,omitempty"`
	Queued  int `cbor:"5,keyasint,omitempty"`
	// TokensPerSecond is the decode speed of one stream, measured by the sidecar.
	TokensPerSecond float64  `cbor:"6,keyasint,omitempty"`
	Models          []string `cbor:"7,keyasint,omitempty"`
	// Draining is set once the sidecar accepts no new work.
	Draining bool `cbor:"8,keyasint,omitempty"`
	// Healthy is false while the upstream does not respond.
	Healthy bool `cbor:"9,keyasint"`
}

// TableAnnounce announces to other entries the highest table version known to the sender.
type TableAnnounce struct {
	Version uint64 `cbor:"1,keyasint"`
}

// Policy contains the scheduling values of a table row that are sent with an ask.
type Policy struct {
	TableVersion uint64 `cbor:"1,keyasint"`
	// Priority is the tier, 1 (highest) to 8.
	Priority     uint8  `cbor:"2,keyasint"`
	Weight       uint16 `cbor:"3,keyasint"`
	Protected    bool   `cbor:"4,keyasint,omitempty"`
	TTFTTargetMs uint32 `cbor:"5,keyasint,omitempty"`
	// MaxWaitMs limits the wait for a first slot; 0 means no limit.
	MaxWaitMs uint32 `cbor:"6,keyasint,omitempty"`
	// TokenTargetMs is the target time between tokens; 0 means none.
	TokenTargetMs uint32 `cbor:"7,keyasint,omitempty"`
}

// HeaderField is one HTTP header field.
type HeaderField struct {
	Name  string `cbor:"1,keyasint"`
	Value string `cbor:"2,keyasint"`
}

// Ask requests a slot at a sidecar.
type Ask struct {
	RequestID string `cbor:"1,keyasint"`
	Attempt   uint32 `cbor:"2,keyasint"`
	Workspace string `cbor:"3,keyasint"`
	Owner     string `cbor:"4,keyasint"`
	Class     string `cbor:"5,keyasint"`
	Policy    Policy `cbor:"6,keyasint"`
	// RemainingMs is the time left until the caller's deadline.
	RemainingMs  uint32 `cbor:"7,keyasint"`
	PromptTokens uint32 `cbor:"8,keyasint,omitempty"`
	MaxTokens    uint32 `cbor:"9,keyasint,omitempty"`
	Model        string `cbor:"10,keyasint,omitempty"`
	PrefixHash   uint64 `cbor:"11,keyasint,omitempty"`
	Kind         Kind   `cbor:"12,keyasint"`
	Method       string `cbor:"13,keyasint,omitempty"`
	// Path is the upstream path with its query.
	Path   string        `cbor:"14,keyasint,omitempty"`
	Header []HeaderField `cbor:"15,keyasint,omitempty"`
	Stream bool          `cbor:"16,keyasint,omitempty"`
	// Committed requests a start as soon as a slot is free, without a Grant; Body is set in this case.
	Committed bool   `cbor:"17,keyasint,omitempty"`
	Body      []byte `cbor:"18,keyasint,omitempty"`
	// WaitedMs is the time that the request has already waited at the entry.
	WaitedMs uint32 `cbor:"19,keyasint,omitempty"`
}

// Start accepts a grant and carries the body.
type Start struct {
	Body []byte `cbor:"1,keyasint,omitempty"`
}

// Cancel withdraws an ask, or stops a started attempt.
type Cancel struct {
	// ByRouter is set when the request was cancelled by the router, for example at its deadline, and not by its caller.
	ByRouter bool `cbor:"1,keyasint,omitempty"`
}

// Grant offers a slot; it expires when no Start arrives in time.
type Grant struct {
	RequestID string `cbor:"1,keyasint"`
	Attempt   uint32 `cbor:"2,keyasint"`
}

// RefuseReason is the reason why a sidecar refused an ask. A refused ask was not run.
type RefuseReason uint8

// Reasons for a Refuse.
const (
	RefuseDraining RefuseReason = iota + 1
	RefuseSaturated
	RefuseDeadline
	RefuseUnhealthy
	RefuseModel
	RefuseInvalid
	RefuseCancelled
)

// Refuse ends an attempt that did not run.
type Refuse struct {
	RequestID    string       `cbor:"1,keyasint"`
	Attempt      uint32       `cbor:"2,keyasint"`
	Reason       RefuseReason `cbor:"3,keyasint"`
	RetryAfterMs uint32       `cbor:"4,keyasint,omitempty"`
}

// Started is sent immediately before the request is sent to the upstream.
type Started struct {
	RequestID string `cbor:"1,keyasint"`
	Attempt   uint32 `cbor:"2,keyasint"`
	QueuedMs  uint32 `cbor:"3,keyasint,omitempty"`
}

// Head contains the status and header of the upstream's response; it precedes the first Chunk.
type Head struct {
	Status uint16        `cbor:"1,keyasint"`
	Header []HeaderField `cbor:"2,keyasint,omitempty"`
}

// Chunk is a part of the response body, in order.
type Chunk struct {
	// Seq starts at 1 and has no gaps.
	Seq    uint64 `cbor:"1,keyasint"`
	Data   []byte `cbor:"2,keyasint"`
	Tokens uint32 `cbor:"3,keyasint,omitempty"`
}

// DoneOutcome is the outcome of a started attempt, as reported by the sidecar.
type DoneOutcome uint8

// Outcomes of a started attempt.
const (
	DoneCompleted DoneOutcome = iota + 1
	DoneInterrupted
	// DoneUnknown means that the upstream may have run the request, but no response arrived.
	DoneUnknown
	// DoneNotRun means that no connection to the upstream could be made, so nothing was sent.
	DoneNotRun
)

// Done ends a started attempt.
type Done struct {
	Outcome          DoneOutcome `cbor:"1,keyasint"`
	PromptTokens     uint32      `cbor:"4,keyasint,omitempty"`
	CompletionTokens uint32      `cbor:"5,keyasint,omitempty"`
	ExecMs           uint32      `cbor:"6,keyasint,omitempty"`
	// Chunks is the number of chunks sent; a receiver that got fewer treats the response as truncated.
	Chunks uint64 `cbor:"7,keyasint,omitempty"`
	// Detail is a short reason; it contains no request content.
	Detail string `cbor:"8,keyasint,omitempty"`
}

// Call is a remote procedure call on a stream of its own. Method selects the handler; Payload is its CBOR argument.
type Call struct {
	Method  string `cbor:"1,keyasint"`
	Payload []byte `cbor:"2,keyasint,omitempty"`
}

// Reply is the reply to a Call. Error is empty on success.
type Reply struct {
	Error   string `cbor:"1,keyasint,omitempty"`
	Payload []byte `cbor:"2,keyasint,omitempty"`
}

// WireType implements Message.
func (*Hello) WireType() Type { return TypeHello }

// WireType implements Message.
func (*Heartbeat) WireType() Type { return TypeHeartbeat }

// WireType implements Message.
func (*Load) WireType() Type { return TypeLoad }

// WireType implements Message.
func (*TableAnnounce) WireType() Type { return TypeTableAnnounce }

// WireType implements Message.
func (*Ask) WireType() Type { return TypeAsk }

// WireType implements Message.
func (*Start) WireType() Type { return TypeStart }

// WireType implements Message.
func (*Cancel) WireType() Type { return TypeCancel }

// WireType implements Message.
func (*Grant) WireType() Type { return TypeGrant }

// WireType implements Message.
func (*Refuse) WireType() Type { return TypeRefuse }

// WireType implements Message.
func (*Started) WireType() Type { return TypeStarted }

// WireType implements Message.
func (*Head) WireType() Type { return TypeHead }

// WireType implements Message.
func (*Chunk) WireType() Type { return TypeChunk }

// WireType implements Message.
func (*Done) WireType() Type { return TypeDone }

// WireType implements Message.
func (*Call) WireType() Type { return TypeCall }

// WireType implements Message.
func (*Reply) WireType() Type { return TypeReply }

func newMessage(t Type) Message {
	switch t {
	case TypeHello:
		return new(Hello)
	case TypeHeartbeat:
		return new(Heartbeat)
	case TypeLoad:
		return new(Load)
	case TypeTableAnnounce:
		return new(TableAnnounce)
	case TypeAsk:
		return new(Ask)
	case TypeStart:
		return new(Start)
	case TypeCancel:
		return new(Cancel)
	case TypeGrant:
		return new(Grant)
	case TypeRefuse:
		return new(Refuse)
	case TypeStarted:
		return new(Started)
	case TypeChunk:
		return new(Chunk)
	case TypeDone:
		return new(Done)
	case TypeCall:
		return new(Call)
	case TypeReply:
		return new(Reply)
	case TypeHead:
		return new(Head)
	default:
		return nil
	}
}

// Marshal encodes the argument or result of a Call.
func Marshal(v any) ([]byte, error) { return encMode.Marshal(v) }

// Unmarshal decodes the argument or result of a Call.
func Unmarshal(data []byte, v any) error { return decMode.Unmarshal(data, v) }
