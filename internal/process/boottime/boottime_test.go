package boottime_test

import (
	"testing"
	"time"

	"github.com/dragonflypin/dragonflypin/internal/process/boottime"
)

// Guards against a clock that stands still or follows the time of day.
func TestNowAdvancesWithTheMonotonicClock(t *testing.T) {
	monotonic := time.Now()
	began := boottime.Now()
	time.Sleep(20 * time.Millisecond)
	elapsed, want := boottime.Now().Sub(began), time.Since(monotonic)
	if difference := want - elapsed; elapsed < 20*time.Millisecond || difference < -time.Millisecond || difference > time.Second {
		t.Errorf("%v passed on the boot-time clock, %v on the monotonic one", elapsed, want)
	}
	if year := began.UTC().Year(); year > 2000 {
		t.Errorf("year %d: the clock must not be the time of day", year)
	}
}
