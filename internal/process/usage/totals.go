package usage

import (
	"cmp"
	"slices"
)

// TotalKey contains the fields that usage is grouped by.
type TotalKey struct {
	Owner     string `json:"owner"`
	Workspace string `json:"workspace"`
	Class     string `json:"class"`
	Model     string `json:"model"`
	// UpstreamOwner is the operator whose upstreams ran the attempts.
	UpstreamOwner string `json:"upstream_owner"`
}

// Total is the usage of one owner, workspace, class, model and owner of the upstream.
type Total struct {
	TotalKey
	Attempts     uint64 `json:"attempts"`
	PromptTokens uint64 `json:"prompt_tokens"`
	UsefulTokens uint64 `json:"useful_tokens"`
	WastedTokens uint64 `json:"wasted_tokens"`
	// WastedByWorkspace, WastedByUpstreamOwner and WastedShared divide WastedTokens by the party that is charged.
	WastedByWorkspace     uint64 `json:"wasted_by_workspace"`
	WastedByUpstreamOwner uint64 `json:"wasted_by_upstream_owner"`
	WastedShared          uint64 `json:"wasted_shared"`
}

func (t *Total) add(r *Record) {
	t.Attempts += r.attempts()
	t.PromptTokens += r.PromptTokens
	t.UsefulTokens += r.CompletionTokens - min(r.WastedTokens, r.CompletionTokens)
	t.WastedTokens += r.WastedTokens
	switch r.ChargedTo {
	case ChargeWorkspace:
		t.WastedByWorkspace += r.WastedTokens
	case ChargeUpstreamOwner:
		t.WastedByUpstreamOwner += r.WastedTokens
	case ChargeShared:
		t.WastedShared += r.WastedTokens
	case ChargeNone:
	}
}

type keySums struct {
	// union counts each attempt once; entry and sidecar sum all records of one side.
	union, entry, sidecar Total
	folded                bool
}

// Totals sums the usage by owner, workspace, class, model and owner of the upstream. An attempt counted by both sides is
// taken from the entry, one counted by a single side from that side. If either side has folded records for a key, attempts
// cannot be matched, and the larger of the two sides' sums is used.
func Totals(segments []Segment) []Total {
	sums := make(map[TotalKey]*keySums)
	seen := make(map[attemptKey]bool)
	chains := groupByWriter(segments)
	for _, side := range []Side{SideEntry, SideSidecar} {
		for _, chain := range chains {
			for i := range chain {
				if chain[i].Side == side {
					addSegment(sums, seen, &chain[i])
				}
			}
		}
	}
	totals := make([]Total, 0, len(sums))
	for key, s := range sums {
		total := s.result()
		total.TotalKey = key
		totals = append(totals, total)
	}
	slices.SortFunc(totals, func(a, b Total) int {
		return cmp.Or(cmp.Compare(a.Owner, b.Owner), cmp.Compare(a.Workspace, b.Workspace), cmp.Compare(a.Class, b.Class), cmp.Compare(a.Model, b.Model), cmp.Compare(a.UpstreamOwner, b.UpstreamOwner))
	})
	return totals
}

func addSegment(sums map[TotalKey]*keySums, seen map[attemptKey]bool, s *Segment) {
	for i := range s.Records {
		r := &s.Records[i]
		key := TotalKey{Owner: r.Owner, Workspace: r.Workspace, Class: r.Class, Model: r.Model, UpstreamOwner: r.UpstreamOwner}
		sum := sums[key]
		if sum == nil {
			sum = &keySums{}
			sums[key] = sum
		}
		sum.add(r, seen)
	}
}

func (k *keySums) add(r *Record, seen map[attemptKey]bool) {
	side := &k.entry
	if r.Side == SideSidecar {
		side = &k.sidecar
	}
	side.add(r)
	if r.Folded > 0 {
		k.folded = true
		return
	}
	key := attemptKey{r.RequestID, r.Attempt}
	if !seen[key] {
		seen[key] = true
		k.union.add(r)
	}
}

func (k *keySums) result() Total {
	if !k.folded {
		return k.union
	}
	if k.sidecar.UsefulTokens+k.sidecar.WastedTokens > k.entry.UsefulTokens+k.entry.WastedTokens {
		return k.sidecar
	}
	return k.entry
}

// Bill is the usage charged to one owner, in tokens.
type Bill struct {
	Owner        string `json:"owner"`
	PromptTokens uint64 `json:"prompt_tokens"`
	UsefulTokens uint64 `json:"useful_tokens"`
	// WastedByCallers are tokens wasted because the owner's callers cancelled.
	WastedByCallers uint64 `json:"wasted_by_callers"`
	// WastedByUpstreams are tokens wasted by failures of the owner's upstreams, in requests of any owner.
	WastedByUpstreams uint64 `json:"wasted_by_upstreams"`
	// WastedShare is the owner's share of the tokens wasted by the router, in proportion to useful tokens, rounded down.
	WastedShare uint64 `json:"wasted_share"`
}

// Bills divides totals among the owners by the rules given for the values of ChargedTo.
func Bills(totals []Total) []Bill {
	var bills []Bill
	bill := func(owner string) *Bill {
		at := slices.IndexFunc(bills, func(b Bill) bool { return b.Owner == owner })
		if at < 0 {
			bills = append(bills, Bill{Owner: owner})
			at = len(bills) - 1
		}
		return &bills[at]
	}
	var useful, shared uint64
	for i := range totals {
		t := &totals[i]
		b := bill(t.Owner)
		b.PromptTokens += t.PromptTokens
		b.UsefulTokens += t.UsefulTokens
		b.WastedByCallers += t.WastedByWorkspace
		if t.WastedByUpstreamOwner > 0 {
			bill(t.UpstreamOwner).WastedByUpstreams += t.WastedByUpstreamOwner
		}
		useful += t.UsefulTokens
		shared += t.WastedShared
	}
	for i := range bills {
		if useful > 0 {
			bills[i].WastedShare = uint64(float64(shared) * float64(bills[i].UsefulTokens) / float64(useful))
		}
	}
	slices.SortFunc(bills, func(a, b Bill) int { return cmp.Compare(a.Owner, b.Owner) })
	return bills
}
