// Package usage implements the usage records. Entries and sidecars count each attempt independently, write their records
// in signed, hash-chained segments, and keep every record in memory until the store has confirmed it.
package usage

import "slices"

// Side identifies which of the two independent counts a record belongs to.
type Side string

// Values of Side.
const (
	SideEntry   Side = "entry"
	SideSidecar Side = "sidecar"
)

// ChargedTo is the party that pays for wasted tokens.
type ChargedTo string

// Values of ChargedTo.
const (
	// ChargeNone applies when nothing was wasted.
	ChargeNone ChargedTo = ""
	// ChargeWorkspace applies when the workspace's caller cancelled.
	ChargeWorkspace ChargedTo = "workspace"
	// ChargeUpstreamOwner applies when the upstream failed.
	ChargeUpstreamOwner ChargedTo = "upstream_owner"
	// ChargeShared applies when the router caused the waste; owners share the cost in proportion to their useful tokens.
	ChargeShared ChargedTo = "shared"
)

// Record is the usage of one started attempt, as counted by one side.
type Record struct {
	RequestID string `cbor:"1,keyasint"`
	Attempt   uint32 `cbor:"2,keyasint"`
	Side      Side   `cbor:"3,keyasint"`
	// UnixMs is when the attempt ended, in milliseconds since 1970 UTC.
	UnixMs int64 `cbor:"4,keyasint"`
	// Owner is the operator that the workspace belongs to.
	Owner     string `cbor:"5,keyasint"`
	Workspace string `cbor:"6,keyasint"`
	Class     string `cbor:"7,keyasint"`
	Model     string `cbor:"8,keyasint,omitempty"`
	Service   string `cbor:"9,keyasint"`
	Upstream  string `cbor:"10,keyasint"`
	// UpstreamOwner is the operator that the upstream belongs to.
	UpstreamOwner string `cbor:"11,keyasint"`
	// Outcome is completed, interrupted or unknown; an attempt that did not run has no record.
	Outcome          string `cbor:"12,keyasint"`
	PromptTokens     uint64 `cbor:"13,keyasint,omitempty"`
	CompletionTokens uint64 `cbor:"14,keyasint,omitempty"`
	// WastedTokens are the completion tokens that no caller received as part of a complete response.
	WastedTokens uint64    `cbor:"15,keyasint,omitempty"`
	ChargedTo    ChargedTo `cbor:"16,keyasint,omitempty"`
	// Folded is the number of attempts merged into this record, 0 for a record of a single attempt.
	Folded uint64 `cbor:"17,keyasint,omitempty"`
}

// recordOverheadBytes is the size of a Record without its strings: the struct of 17 fields.
const recordOverheadBytes = 264

func (r *Record) size() int {
	return recordOverheadBytes + len(r.RequestID) + len(r.Owner) + len(r.Workspace) + len(r.Class) + len(r.Model) +
		len(r.Service) + len(r.Upstream) + len(r.UpstreamOwner) + len(r.Outcome)
}

// attempts returns the number of attempts in the record.
func (r *Record) attempts() uint64 { return max(1, r.Folded) }

// foldKey contains every field that totals are grouped by, so that folding does not change a total.
type foldKey struct {
	owner, workspace, class, model, service, upstream, upstreamOwner, outcome string
	chargedTo                                                                 ChargedTo
}

func (r *Record) foldKey() foldKey {
	return foldKey{r.Owner, r.Workspace, r.Class, r.Model, r.Service, r.Upstream, r.UpstreamOwner, r.Outcome, r.ChargedTo}
}

// fold merges records that differ only in request, attempt, time and token counts, which it adds up.
// A folded record has no request ID, so it cannot be compared with the other side's count.
func fold(records []Record) []Record {
	positions := make(map[foldKey]int)
	var out []Record
	for i := range records {
		r := records[i]
		pos, ok := positions[r.foldKey()]
		if !ok {
			positions[r.foldKey()] = len(out)
			r.Folded, r.RequestID, r.Attempt = r.attempts(), "", 0
			out = append(out, r)
			continue
		}
		out[pos].add(&r)
	}
	return slices.Clip(out)
}

func (r *Record) add(other *Record) {
	r.Folded += other.attempts()
	r.PromptTokens += other.PromptTokens
	r.CompletionTokens += other.CompletionTokens
	r.WastedTokens += other.WastedTokens
	r.UnixMs = max(r.UnixMs, other.UnixMs)
}
