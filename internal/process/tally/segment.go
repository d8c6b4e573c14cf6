package tally

// Source is one run of an edge.
type Source struct {
	// Edge is the edge's address.
	Edge string `json:"edge"`
	// Run is the start of the edge's process, in Unix ms.
	Run uint64 `json:"run"`
}

// Segment has the requests of one window that one run of an edge has counted, by workspace.
type Segment struct {
	Source
	Counts map[string]uint64 `json:"counts"`
}
