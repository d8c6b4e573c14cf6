package routes

import "sync/atomic"

// Holder stores the configuration in force, whose version number never decreases. It is safe for concurrent use.
type Holder struct{ current atomic.Pointer[Version] }

// Current returns the configuration in force, or nil if there is none yet.
func (h *Holder) Current() *Version { return h.current.Load() }

// Offer puts v in force if its number is higher than that of the current version, and reports whether it did.
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
