package lease

import (
	"time"

	"github.com/dragonflypin/dragonflypin/internal/process/store"
)

// eraFenceBits is the size of the range of fencing numbers that each era has for itself. The seconds since 1970 fit into it.
const eraFenceBits = 32

// fenceBase returns a number below all fencing numbers of an era, and above those of the eras before: which numbers were granted after the
// copy from which the store came back is not known.
func fenceBase(era uint64) uint64 {
	return (max(era, store.FirstEra) - store.FirstEra) << eraFenceBits
}

// noteEra records the era that the store's last response named.
func (l *Lease) noteEra() {
	era, now := l.settings.Store.Era(), l.settings.Clock()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.enterEra(era, now)
}

// enterEra ends what this process knows of the lease when the store has come back from an older copy: another process may have acquired
// the lease after that copy, and may still act. l.mu must be locked.
func (l *Lease) enterEra(era uint64, now time.Time) {
	if era <= l.era {
		return
	}
	if l.era > 0 || era > store.FirstEra {
		l.eraSince = now
	}
	l.era, l.held, l.term = era, false, ""
	l.seenVersion, l.seenAt = 0, time.Time{}
}

// mayBeHeld reports whether a holder of the era before may still act.
func (l *Lease) mayBeHeld() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.eraSince.IsZero() && l.settings.Clock().Sub(l.eraSince) < l.settings.Duration
}

// isOfThisEra reports whether a fencing number was granted in the current era. A record with an earlier one is that of the copy, or a write of
// the era before that took effect late and replaced the record of a holder who may still act.
func (l *Lease) isOfThisEra(fence uint64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.eraSince.IsZero() || fence > fenceBase(l.era)
}

// nextFence returns the fencing number of the holder after the one with the given number. If that is one of an earlier era, the time decides:
// the record of a holder of this era may have been replaced by a late write, and two holders are a whole duration apart.
func (l *Lease) nextFence(fence uint64) uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	if base := fenceBase(l.era); !l.eraSince.IsZero() && fence <= base {
		fence = base + uint64(max(0, l.settings.Time().Unix()))
	}
	return max(fence, l.heardFence) + 1
}
