// Package limit enforces the rate and concurrency limits of each (class, workspace) across all entries without a store
// or a coordination service.
//
// Rendezvous hashing over the live entries selects the entry that owns a key. Its Owner grants the other entries
// allowances of requests, tokens and concurrency that expire after Lifetime. The Limiter of each entry admits requests
// from its allowances without I/O and requests more in batches. docs/design/limits.md states by how much a limit can be
// exceeded.
package limit

import "time"

// Method is the name of the peer method with which a Limiter requests allowances from an Owner.
const Method = "limit.allowance"

// Lifetime is the validity of an allowance. The receiving entry counts it from when it sent its request.
const Lifetime = 2 * time.Second

// Key identifies what a limit applies to.
type Key struct {
	Class     string `cbor:"1,keyasint"`
	Workspace string `cbor:"2,keyasint"`
}

// Limits are the limits in one row of the service table; 0 means no limit.
type Limits struct {
	// Version is the table version. An Owner applies the highest version that it has received.
	Version uint64 `cbor:"1,keyasint"`
	// Requests is in requests/s, Tokens in tokens/s.
	Requests float64 `cbor:"2,keyasint,omitempty"`
	Tokens   float64 `cbor:"3,keyasint,omitempty"`
	// Concurrency is in requests in flight.
	Concurrency int `cbor:"4,keyasint,omitempty"`
}

// None reports whether no limit is set.
func (l Limits) None() bool { return l.Requests <= 0 && l.Tokens <= 0 && l.Concurrency <= 0 }

// Result is the outcome of Admit.
type Result uint8

// Results.
const (
	// Admitted means that the request may run; the caller must call Settle when it ends.
	Admitted Result = iota + 1
	// Wait means that the owner has not responded yet; call Admit again after Limiter.Changed.
	Wait
	// RequestRate, TokenRate and Concurrency name the limit that the refused request exceeds.
	RequestRate
	TokenRate
	Concurrency
)

// String returns the name of the result in metrics.
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

// Decision is the outcome of admission for one request.
type Decision struct {
	Result Result
	// RetryAfter is set for refused requests.
	RetryAfter time.Duration
}

// Status is how an Owner handled a demand.
type Status uint8

// Statuses of a Grant.
const (
	// StatusGranted means that the grant applies.
	StatusGranted Status = iota + 1
	// StatusNotOwner means that another entry owns the key, or that the demand is invalid; Grant.Owner is empty then.
	StatusNotOwner
	// StatusTakingOver means that allowances of an earlier owner may still be valid: permits that the entry reports are
	// confirmed, and nothing new is granted.
	StatusTakingOver
	// StatusStale means that the owner had already processed a later batch of the entry.
	StatusStale
)

// AllowanceRequest contains the demands of one entry for keys of one owner.
type AllowanceRequest struct {
	Demands []Demand `cbor:"1,keyasint,omitempty"`
	// Seq increases with every batch of demands that an entry sends; it is 0 for handover requests and for requests to the
	// entry's own Owner. An Owner ignores a batch of demands that arrives after a later one.
	Seq uint64 `cbor:"3,keyasint,omitempty"`
	// Handover lists keys that the sender owns now and whose state it requests from the previous owner.
	Handover []Key `cbor:"2,keyasint,omitempty"`
}

// Demand is the state of one key at one entry and the allowances that the entry requests.
type Demand struct {
	Class     string `cbor:"1,keyasint"`
	Workspace string `cbor:"2,keyasint"`
	Limits    Limits `cbor:"3,keyasint"`
	// UnusedRequests and UnusedTokens are valid allowances that the entry keeps.
	UnusedRequests float64 `cbor:"4,keyasint,omitempty"`
	UnusedTokens   float64 `cbor:"5,keyasint,omitempty"`
	// WantRequests and WantTokens are requested in addition. NeedTokens is the largest waiting reservation.
	WantRequests float64 `cbor:"6,keyasint,omitempty"`
	WantTokens   float64 `cbor:"7,keyasint,omitempty"`
	NeedTokens   float64 `cbor:"8,keyasint,omitempty"`
	// ReturnRequests and ReturnTokens are returned unused; negative if requests used more than they reserved.
	ReturnRequests float64 `cbor:"9,keyasint,omitempty"`
	ReturnTokens   float64 `cbor:"10,keyasint,omitempty"`
	// InUse is the number of running requests, Permits the number of permits the entry has (InUse or more), Waiting the
	// number of requests that wait for a permit, and Spare the number of permits for expected arrivals.
	InUse   int `cbor:"11,keyasint,omitempty"`
	Permits int `cbor:"12,keyasint,omitempty"`
	Waiting int `cbor:"13,keyasint,omitempty"`
	Spare   int `cbor:"14,keyasint,omitempty"`
	// Once is set when waiting requests use the whole grant: the owner keeps no record of it, and the entry sends no
	// further report.
	Once bool `cbor:"15,keyasint,omitempty"`
}

func (d *Demand) key() Key { return Key{d.Class, d.Workspace} }

// idle reports whether the entry neither has nor requests an allowance of the key.
func (d *Demand) idle() bool {
	return d.UnusedRequests == 0 && d.UnusedTokens == 0 && d.WantRequests == 0 && d.WantTokens == 0 &&
		d.NeedTokens == 0 && d.InUse == 0 && d.Permits == 0 && d.Waiting == 0 && d.Spare == 0
}

// AllowanceGrant is the response to an AllowanceRequest.
type AllowanceGrant struct {
	// Grants are in the order of the demands.
	Grants []Grant `cbor:"1,keyasint,omitempty"`
	// Handovers are in the order of the request's Handover.
	Handovers []Handover `cbor:"2,keyasint,omitempty"`
}

// Grant is the allowance that an Owner grants for one Demand.
type Grant struct {
	Status Status `cbor:"1,keyasint"`
	// Requests and Tokens are granted in addition to the unused allowances that the entry reported.
	Requests float64 `cbor:"2,keyasint,omitempty"`
	Tokens   float64 `cbor:"3,keyasint,omitempty"`
	// Permits is the total number of permits granted. It can be lower than the number in use; the entry then admits no
	// request.
	Permits int `cbor:"4,keyasint,omitempty"`
	// RetryMs is the time after which an unmet demand can be met.
	RetryMs uint32 `cbor:"5,keyasint,omitempty"`
	// Contended is set while some entry has too few permits: the others return unused permits in their next batch.
	Contended bool `cbor:"6,keyasint,omitempty"`
	// Owner is the current owner of the key, with StatusNotOwner; empty if unknown or if the demand is invalid.
	Owner string `cbor:"7,keyasint,omitempty"`
}

// Handover is the state of a key that its previous owner passes to the new owner.
type Handover struct {
	// Complete is false when a third entry may have granted allowances that are still valid.
	Complete bool `cbor:"1,keyasint,omitempty"`
	// Granted is false when the previous owner has granted nothing; the fields below are not set then.
	Granted bool   `cbor:"7,keyasint,omitempty"`
	Limits  Limits `cbor:"2,keyasint"`
	// Requests and Tokens are the levels of the token buckets of the rate limits.
	Requests   float64          `cbor:"3,keyasint,omitempty"`
	Tokens     float64          `cbor:"4,keyasint,omitempty"`
	Allowances []EntryAllowance `cbor:"5,keyasint,omitempty"`
}

// EntryAllowance is the allowance that one entry has of a key.
type EntryAllowance struct {
	Instance string  `cbor:"1,keyasint"`
	Requests float64 `cbor:"2,keyasint,omitempty"`
	Tokens   float64 `cbor:"3,keyasint,omitempty"`
	Permits  int     `cbor:"4,keyasint,omitempty"`
	// Need is the number of requests that run or wait for a permit.
	Need int `cbor:"5,keyasint,omitempty"`
	// ValidMs is the remaining validity of the allowance.
	ValidMs uint32 `cbor:"6,keyasint,omitempty"`
}

// Codec encodes and decodes the messages; in production it is wire.Marshal and wire.Unmarshal.
type Codec struct {
	Marshal   func(v any) ([]byte, error)
	Unmarshal func(data []byte, v any) error
}

// Members is one entry's view of the live entries.
type Members struct {
	// Live are the instance names of the live entries, the entry itself included.
	Live []string
	// Known is the last known number of live entries before a partition; 0 means len(Live).
	Known int
}

func (m Members) entryCount() int { return max(1, len(m.Live), m.Known) }

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

// share is the part of the limits that an entry isolated from the owner may use. The shares of all entries add up to
// the limits.
func (m Members) share(l Limits, k Key, instance string) Limits {
	n := m.entryCount()
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

// weight mixes the hashes of instance and key; with FNV alone, similar names have correlated weights.
func weight(instance string, key uint64) uint64 {
	z := fnv(fnvOffset, instance) ^ key
	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9
	z = (z ^ (z >> 27)) * 0x94d049bb133111eb
	return z ^ (z >> 31)
}
