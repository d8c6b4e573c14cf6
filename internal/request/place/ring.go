package place

import (
	"cmp"
	"slices"
	"sort"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Points of each replica on a ring. More points spread keys more evenly; the total is bounded so that rebuilding the ring
// stays cheap with thousands of replicas.
const (
	maxPointsPerReplica = 96
	minPointsPerReplica = 8
	maxTotalPoints      = 1 << 16
)

// ring is a consistent-hash ring: all entries that have the same list of replicas find the same affinity replicas without
// communication, and a change of the list moves only the keys of the replicas that changed.
type ring struct {
	points []point
}

type point struct {
	hash    uint64
	replica int32
}

func newRing(members []member) *ring {
	if len(members) == 0 {
		return &ring{}
	}
	perReplica := min(maxPointsPerReplica, max(minPointsPerReplica, maxTotalPoints/len(members)))
	r := &ring{points: make([]point, 0, perReplica*len(members))}
	for i, m := range members {
		for n := range perReplica {
			r.points = append(r.points, point{xxhash.Sum64String(m.ID + "#" + strconv.Itoa(n)), int32(i)})
		}
	}
	slices.SortFunc(r.points, func(a, b point) int { return cmp.Compare(a.hash, b.hash) })
	return r
}

// lookup writes the first distinct replicas after the key into dst and returns how many it found. It skips the first
// members of the list that the ring was made from.
func (r *ring) lookup(key uint64, dst []int32, skipped int) int {
	if len(r.points) == 0 {
		return 0
	}
	start := sort.Search(len(r.points), func(i int) bool { return r.points[i].hash >= key })
	found := 0
	for i := 0; i < len(r.points) && found < len(dst); i++ {
		replica := r.points[(start+i)%len(r.points)].replica
		if int(replica) >= skipped && !slices.Contains(dst[:found], replica) {
			dst[found] = replica
			found++
		}
	}
	return found
}
