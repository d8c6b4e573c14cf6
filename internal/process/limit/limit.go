// Package limit enforces the limits of a (class, workspace) across all entries without a store or a coordination
// service.
//
// One entry owns each key, chosen among the live entries by rendezvous hashing. The Owner lends allowances of requests,
// tokens and concurrency that expire after Lifetime; each entry's Local admits requests from its allowances without I/O
// and asks for more in batches. docs/design/limits.md states by how much a limit can be exceeded.
package limit

import "time"

// Method is the name of the call from a Local to an Owner.
const Method = "limit.allowance"

// Lifetime is how long an allowance is valid, counted by the borrower from before it asked.
const Lifetime = 2 * time.Second

// Key identifies what a limit applies to.
type Key struct {
	Class     string `cbor:"1,keyasint"`
	Workspace string `cbor:"2,keyasint"`
}

// Limits are the values of a table row; 0 means no limit.
type Limits struct {
	// Version is the table version; the highest one seen applies.
	Version uint64 `cbor:"1,keyasint"`
	// Requests is in requests/s, Tokens in tokens/s.
	Requests float64 `cbor:"2,keyasint,omitempty"`
	Tokens   float64 `cbor:"3,keyasint,omitempty"`
	// Concurrency is in requests in flight.
	Concurrency int `cbor:"4,keyasint,omitempty"`
}

// None reports that nothing is limited.
func (l Limits) None() bool { return l.Requests <= 0 && l.Tokens <= 0 && l.Concurrency <= 0 }

// Result is the outcome of Admit.
type Result uint8

// Results.
const (
	// Admitted requests must be settled.
	Admitted Result = iota + 1
	// Wait means that the owner has been asked and has not answered; call Admit again after Local.Changed.
	Wait
	// RequestRate, TokenRate and Concurrency name the limit that refuses the request.
	RequestRate
	TokenRate
	Concurrency
)

// String returns the result as used in metrics.
func (r Result) String() string {
	switch r {
	case Admitted:
		return "admitted"
	case Wait:
		return "wait"
	case RequestRate:
		return "request_rate"
	case TokenRate:
		return "token_rate"
	case Concurrency:
		return "concurrency"
	default:
		return "invalid"
	}
}

// Decision is the answer to one request.
type Decision struct {
	Result Result
	// RetryAfter is set for refusals.
	RetryAfter time.Duration
}

// Status tells how an Owner treated a demand.
type Status uint8

// Statuses of a Grant.
const (
	// StatusLent means that the grant applies.
	StatusLent Status = iota + 1
	// StatusNotOwner means that another entry owns the key.
	StatusNotOwner
	// StatusTakingOver means that allowances of an earlier owner may still be valid: concurrency that is reported as
	// held is confirmed, and nothing new is lent.
	StatusTakingOver
	// StatusStale means that a later batch was processed before.
	StatusStale
)

// AllowanceRequest carries the demands of one entry for keys of one owner.
type AllowanceRequest struct {
	Demands []Demand `cbor:"1,keyasint,omitempty"`
	// Seq grows with every batch of demands of an entry. An Owner ignores a batch that a later one has overtaken.
	Seq uint64 `cbor:"3,keyasint,omitempty"`
	// Handover lists keys that the sender owns now and asks the previous owner about.
	Handover []Key `cbor:"2,keyasint,omitempty"`
}

// Demand is the state and need of one key at one entry.
type Demand struct {
	Class     string `cbor:"1,keyasint"`
	Workspace string `cbor:"2,keyasint"`
	Limits    Limits `cbor:"3,keyasint"`
	// HeldRequests and HeldTokens are unused and valid; they stay lent.
	HeldRequests float64 `cbor:"4,keyasint,omitempty"`
	HeldTokens   float64 `cbor:"5,keyasint,omitempty"`
	// WantRequests and WantTokens are asked for in addition. NeedTokens is the largest reservation that waits.
	WantRequests float64 `cbor:"6,keyasint,omitempty"`
	WantTokens   float64 `cbor:"7,keyasint,omitempty"`
	NeedTokens   float64 `cbor:"8,keyasint,omitempty"`
	// ReturnRequests and ReturnTokens were lent and not used; negative when more was used than reserved.
	ReturnRequests float64 `cbor:"9,keyasint,omitempty"`
	ReturnTokens   float64 `cbor:"10,keyasint,omitempty"`
	// InUse requests are running, Permits are held (InUse or more), Waiting want a permit, Spare is for arrivals.
	InUse   int `cbor:"11,keyasint,omitempty"`
	Permits int `cbor:"12,keyasint,omitempty"`
	Waiting int `cbor:"13,keyasint,omitempty"`
	Spare   int `cbor:"14,keyasint,omitempty"`
	// Once is set when all that is lent is used for waiting requests: the owner keeps no record, and no further report
	// follows.
	Once bool `cbor:"15,keyasint,omitempty"`
}

func (d *Demand) key() Key { return Key{d.Class, d.Workspace} }

// idle reports that the entry has no further interest in the key.
func (d *Demand) idle() bool {
	return d.HeldRequests == 0 && d.HeldTokens == 0 && d.WantRequests == 0 && d.WantTokens == 0 &&
		d.NeedTokens == 0 && d.InUse == 0 && d.Permits == 0 && d.Waiting == 0 && d.Spare == 0
}

// AllowanceGrant answers an AllowanceRequest.
type AllowanceGrant struct {
	// Grants are in the order of the demands.
	Grants []Grant `cbor:"1,keyasint,omitempty"`
	// Handovers are in the order of the request's Handover.
	Handovers []Handover `cbor:"2,keyasint,omitempty"`
}

// Grant is what an Owner lends.
type Grant struct {
	Status Status `cbor:"1,keyasint"`
	// Requests and Tokens are lent in addition to what is held.
	Requests float64 `cbor:"2,keyasint,omitempty"`
	Tokens   float64 `cbor:"3,keyasint,omitempty"`
	// Permits is the total concurrency lent; it can be below what is in use, and then nothing is admitted.
	Permits int `cbor:"4,keyasint,omitempty"`
	// RetryMs is when an unmet demand can be met.
	RetryMs uint32 `cbor:"5,keyasint,omitempty"`
	// Scarce is set while some entry lacks permits: unused ones are to be reported in the next batch.
	Scarce bool `cbor:"6,keyasint,omitempty"`
	// Owner is the entry that took the key over, with StatusNotOwner; empty if unknown.
	Owner string `cbor:"7,keyasint,omitempty"`
}

// Handover is the state of a key that its previous owner gives up.
type Handover struct {
	// Known is false when a third entry may have lent allowances that are still valid.
	Known bool `cbor:"1,keyasint,omitempty"`
	// Lent is false when the previous owner has lent nothing; the other fields are not set then.
	Lent   bool   `cbor:"7,keyasint,omitempty"`
	Limits Limits `cbor:"2,keyasint"`
	// Requests and Tokens are the levels of the rate buckets.
	Requests float64 `cbor:"3,keyasint,omitempty"`
	Tokens   float64 `cbor:"4,keyasint,omitempty"`
	Holdings []Held  `cbor:"5,keyasint,omitempty"`
}

// Held is what one entry holds of a key.
type Held struct {
	Instance string  `cbor:"1,keyasint"`
	Requests float64 `cbor:"2,keyasint,omitempty"`
	Tokens   float64 `cbor:"3,keyasint,omitempty"`
	Permits  int     `cbor:"4,keyasint,omitempty"`
	// Need is the number of requests that run or want a permit.
	Need int `cbor:"5,keyasint,omitempty"`
	// ValidMs is the remaining validity.
	ValidMs uint32 `cbor:"6,keyasint,omitempty"`
}

// Codec encodes the messages; it is wire.Marshal and wire.Unmarshal in the running system.
type Codec struct {
	Marshal   func(v any) ([]byte, error)
	Unmarshal func(data []byte, v any) error
}

// Members are the live entries as one entry sees them.
type Members struct {
	// Live are the instance names of the live entries, the entry itself included.
	Live []string
	// Known is the last known number of live entries before a partition; 0 means len(Live).
	Known int
}

func (m Members) divisor() int { return max(1, len(m.Live), m.Known) }

// owner returns the instance with the highest rendezvous weight for the key.
func (m Members) owner(k Key) string {
	var best uint64
	owner := ""
	h := hashKey(k)
	for _, name := range m.Live {
		if w := weight(name, h); owner == "" || w > best || (w == best && name < owner) {
			owner, best = name, w
		}
	}
	return owner
}

// rank returns how many live entries precede the instance in the key's rendezvous order.
func (m Members) rank(k Key, instance string) int {
	h := hashKey(k)
	own := weight(instance, h)
	rank := 0
	for _, name := range m.Live {
		if w := weight(name, h); w > own || (w == own && name < instance) {
			rank++
		}
	}
	return rank
}

// share is the part of the limits that a cut-off entry may use; over all entries the parts add up to the limits.
func (m Members) share(l Limits, k Key, instance string) Limits {
	n := m.divisor()
	s := Limits{Version: l.Version, Requests: l.Requests / float64(n), Tokens: l.Tokens / float64(n)}
	s.Concurrency = l.Concurrency / n
	if m.rank(k, instance) < l.Concurrency%n {
		s.Concurrency++
	}
	return s
}

const (
	fnvOffset = 14695981039346656037
	fnvPrime  = 1099511628211
)

func fnv(h uint64, s string) uint64 {
	for i := range len(s) {
		h = (h ^ uint64(s[i])) * fnvPrime
	}
	return (h ^ 0xff) * fnvPrime
}

func hashKey(k Key) uint64 { return fnv(fnv(fnvOffset, k.Class), k.Workspace) }

// weight mixes the hashes of instance and key; FNV alone leaves the order of similar names correlated.
func weight(instance string, key uint64) uint64 {
	z := fnv(fnvOffset, instance) ^ key
	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9
	z = (z ^ (z >> 27)) * 0x94d049bb133111eb
	return z ^ (z >> 31)
}
