package membership

import (
	"hash/fnv"
	"io"
	"math"
	"slices"
)

// ownZoneWeight is the rendezvous weight of a member in the instance's own availability zone; other members have 1. The
// subset still includes members of other zones, so an entry can reach a service when its own zone fails.
const ownZoneWeight = 3

// Subset returns up to k members for the instance self, by weighted rendezvous hashing. A member's score depends only on
// itself and self, so a change of the list changes as few sessions as possible.
func Subset(self, zone string, members []Member, k int) []Member {
	if len(members) <= k {
		return members
	}
	type scored struct {
		member Member
		score  float64
	}
	all := make([]scored, len(members))
	for i, m := range members {
		all[i] = scored{member: m, score: score(self, zone, m)}
	}
	slices.SortFunc(all, func(a, b scored) int {
		switch {
		case a.score > b.score:
			return -1
		case a.score < b.score:
			return 1
		default:
			return 0
		}
	})
	chosen := make([]Member, k)
	for i := range chosen {
		chosen[i] = all[i].member
	}
	return chosen
}

// score implements the logarithmic method of weighted rendezvous hashing: -weight / ln(uniform hash).
func score(self, zone string, m Member) float64 {
	h := fnv.New64a()
	_, _ = io.WriteString(h, self)
	_, _ = h.Write([]byte{0})
	_, _ = io.WriteString(h, m.Instance.Instance)
	uniform := (float64(mix(h.Sum64())>>11) + 0.5) / (1 << 53)
	weight := 1.0
	if m.Zone == zone {
		weight = ownZoneWeight
	}
	return -weight / math.Log(uniform)
}

// mix is the finalizer of MurmurHash3; it compensates for the weak high bits of FNV.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}
