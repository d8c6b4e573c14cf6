package membership

import (
	"fmt"
	"testing"
)

func membersInThreeZones(n int) []Member {
	list := make([]Member, n)
	for i := range list {
		list[i] = Member{Instance: Instance{Instance: fmt.Sprintf("s-%03d", i), Zone: fmt.Sprint("zone-", i%3)}, Combined: Live}
	}
	return list
}

// Guards against a subset that replaces many members when one instance leaves, or that has members of one zone only.
func TestSubsetIsStableAndSpread(t *testing.T) {
	all := membersInThreeZones(300)
	before := map[string]bool{}
	zones := map[string]int{}
	for _, m := range Subset("entry-1", "zone-0", all, 48) {
		before[m.Instance.Instance] = true
		zones[m.Zone]++
	}
	if len(before) != 48 || zones["zone-0"] <= zones["zone-1"] || zones["zone-1"] == 0 || zones["zone-2"] == 0 {
		t.Errorf("%d members, by zone %v", len(before), zones)
	}
	replaced := 0
	for _, m := range Subset("entry-1", "zone-0", all[1:], 48) {
		if !before[m.Instance.Instance] {
			replaced++
		}
	}
	if replaced > 1 {
		t.Errorf("%d members replaced after one instance left, want at most 1", replaced)
	}
}

// Guards against a member that stays live although the list or its session shows it as suspect, draining or leaving.
func TestCombinedState(t *testing.T) {
	tr := New(Options{})
	live := Instance{Instance: "a", Role: RoleSidecar, State: listLive}
	tr.apply([]Instance{live})
	state := func() State { return tr.Members()[0].Combined }
	steps := []struct {
		name string
		act  func()
		want State
	}{
		{"listed", func() {}, Live},
		{"session timed out", func() { tr.SetSuspect("a", true) }, Suspect},
		{"announces draining", func() { tr.SetDraining("a", true) }, Leaving},
		{"restarted", func() { tr.SetDraining("a", false); tr.SetSuspect("a", false) }, Live},
		{"leaving in the list", func() { tr.apply([]Instance{{Instance: "a", Role: RoleSidecar, State: listLeaving}}) }, Leaving},
		{"removed from the list", func() { tr.apply(nil) }, Leaving},
		{"listed again", func() { tr.apply([]Instance{live}) }, Live},
	}
	for _, s := range steps {
		s.act()
		if got := state(); got != s.want {
			t.Errorf("%s: %s, want %s", s.name, got, s.want)
		}
	}
	tr.apply(nil)
	tr.Forget("a")
	if n := len(tr.Members()); n != 0 {
		t.Errorf("%d members after Forget", n)
	}
}
