package storetest

import "testing"

// Guards against an in-memory store that is more lenient than the platform's.
func TestMemoryContract(t *testing.T) { Contract(t, New()) }
