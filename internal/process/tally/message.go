package tally

import (
	"encoding/binary"
	"net/netip"
	"slices"
)

const (
	// maxMessageBytes keeps a message within one datagram.
	maxMessageBytes = 1350
	// headBytes is the largest size of an encoded message without its counts, and countBytes what a count takes in addition to the
	// name of its workspace: a head of 3 bytes for the name, and up to 9 bytes for the number.
	headBytes, countBytes = 50, 12
)

// Message carries counts of one source in a window. Counts only grow, so that messages may be lost, repeated and reordered: of each count
// the largest is kept.
type Message struct {
	_ struct{} `cbor:",toarray"`
	// Edge is the IPv4 address of the edge that counted, or 0 for the sender itself.
	Edge uint32
	// Run is the start of the counting process, in Unix milliseconds.
	Run    uint64
	Window uint64
	// Age is the number of windows since the one in which the process began to count.
	Age uint32
	// Final is 0, or the sum of all counts of the window plus 1 once it is known.
	Final uint64
	// Workspaces and Counts have the same length.
	Workspaces []string
	Counts     []uint64
}

// Send is a message and the edges that it is for.
type Send struct {
	To      []netip.Addr
	Message Message
}

// count is what a source has counted for a workspace.
type count struct {
	workspace string
	number    uint64
}

// split divides counts among copies of a message that each fit into a datagram. Without counts it returns one message.
func split(head Message, counts []count) []Message {
	slices.SortFunc(counts, func(a, b count) int {
		if a.workspace < b.workspace {
			return -1
		}
		return 1
	})
	messages := []Message{head}
	size := headBytes
	for _, c := range counts {
		last := &messages[len(messages)-1]
		if size += len(c.workspace) + countBytes; size > maxMessageBytes && len(last.Counts) > 0 {
			messages = append(messages, head)
			last = &messages[len(messages)-1]
			size = headBytes + len(c.workspace) + countBytes
		}
		last.Workspaces, last.Counts = append(last.Workspaces, c.workspace), append(last.Counts, c.number)
	}
	return messages
}

func addrToUint32(a netip.Addr) uint32 {
	if !a.Is4() {
		return 0
	}
	b := a.As4()
	return binary.BigEndian.Uint32(b[:])
}

func addrFromUint32(n uint32) netip.Addr {
	var b [4]byte
	binary.BigEndian.PutUint32(b[:], n)
	return netip.AddrFrom4(b)
}
