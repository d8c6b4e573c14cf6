package routes

import "sync/atomic"

// Holder keeps the configuration in force. Its number never decreases within a process. It is safe for concurrent use.
type Holder struct{ current atomic.Pointer[Version] }

// Current returns the configuration in force, or nil before the first one.
func (h *Holder) Current() *Version { return h.current.Load() }

// Offer puts v in force if its number is higher than the current one's, and reports whether it did.
func (h *Holder) Offer(v *Version) bool {
	for {
		old := h.current.Load()
		if old != nil && v.Number <= old.Number {
			return false
		}
		if h.current.CompareAndSwap(old, v) {
			return true
		}
	}
}
