// Package usage keeps the usage record: entries and sidecars count independently, sign what they counted in
// hash-chained segments, and hold every record until the store has confirmed it.
package usage

import "slices"

// Side tells which of the two independent counts a record belongs to.
type Side string

// Sides of a record.
const (
	SideEntry   Side = "entry"
	SideSidecar Side = "sidecar"
)

// ChargedTo names who pays for wasted tokens.
type ChargedTo string

// Rules for wasted tokens.
const (
	// ChargeNone applies when nothing was wasted.
	ChargeNone ChargedTo = ""
	// ChargeWorkspace applies when the workspace's caller cancelled.
	ChargeWorkspace ChargedTo = "workspace"
	// ChargeUpstreamOwner applies when the upstream failed.
	ChargeUpstreamOwner ChargedTo = "upstream_owner"
	// ChargeShared applies when the router itself wasted the tokens; owners share them in proportion to their useful tokens.
	ChargeShared ChargedTo = "shared"
)

// Record is the use of one started attempt, as one side counted it.
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
	// WastedTokens are the completion tokens that no caller received as part of a whole answer.
	WastedTokens uint64    `cbor:"15,keyasint,omitempty"`
	ChargedTo    ChargedTo `cbor:"16,keyasint,omitempty"`
	// Folded is the number of attempts in a record that stands for several, 0 for a record of one attempt.
	Folded uint64 `cbor:"17,keyasint,omitempty"`
}

// recordOverhead is the memory of a record beside its strings, in bytes: the struct of 17 fields.
const recordOverhead = 264

func (r *Record) size() int {
	return recordOverhead + len(r.RequestID) + len(r.Owner) + len(r.Workspace) + len(r.Class) + len(r.Model) +
		len(r.Service) + len(r.Upstream) + len(r.UpstreamOwner) + len(r.Outcome)
}

// attempts returns how many attempts the record stands for.
func (r *Record) attempts() uint64 { return max(1, r.Folded) }

// foldKey holds what totals are reported by, so that folding keeps every total right.
type foldKey struct {
	owner, workspace, class, model, service, upstream, upstreamOwner, outcome string
	chargedTo                                                                 ChargedTo
}

func (r *Record) foldKey() foldKey {
	return foldKey{r.Owner, r.Workspace, r.Class, r.Model, r.Service, r.Upstream, r.UpstreamOwner, r.Outcome, r.ChargedTo}
}

// fold merges records that differ only in request, attempt, time and amounts.
// The result carries no request ID, so it cannot be compared with the other side's count.
func fold(records []Record) []Record {
	index := make(map[foldKey]int)
	var out []Record
	for i := range records {
		r := records[i]
		at, ok := index[r.foldKey()]
		if !ok {
			index[r.foldKey()] = len(out)
			r.Folded, r.RequestID, r.Attempt = r.attempts(), "", 0
			out = append(out, r)
			continue
		}
		out[at].add(&r)
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
