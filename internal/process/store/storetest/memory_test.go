package storetest

import "testing"

// Guards against an in-memory store that accepts calls which the platform's store would refuse.
func TestMemoryContract(t *testing.T) { Contract(t, New()) }
