package quarantine

// Sizes returns the number of suspects, crashes and proven parts that are kept.
func (t *Tracker) Sizes() (suspects, crashes, proven int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.suspects), len(t.crashes), len(t.proven.newer) + len(t.proven.older)
}
