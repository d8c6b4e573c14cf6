package store

// Position is a point in the history of a store. When the store comes back from an older copy, a new era begins: what was written after that
// copy is gone, and its revisions are given out again. So revisions compare only within an era.
type Position struct {
	Era, Revision uint64
}

// FirstEra is the era of a store that has never come back from an older copy.
const FirstEra = 1

// IsZero reports whether p is no point in any history.
func (p Position) IsZero() bool { return p.Revision == 0 }

// Before reports whether p comes before q. Each position of a later era comes after all positions of an earlier one.
func (p Position) Before(q Position) bool {
	return p.Era < q.Era || p.Era == q.Era && p.Revision < q.Revision
}

// IsSameEra reports whether p and q are of one era, so that their revisions compare.
func (p Position) IsSameEra(q Position) bool { return p.Era == q.Era }

// Within reports whether p is between two positions of its own era, which are included.
func (p Position) Within(from, to Position) bool {
	return p.IsSameEra(from) && p.IsSameEra(to) && from.Revision <= p.Revision && p.Revision <= to.Revision
}
