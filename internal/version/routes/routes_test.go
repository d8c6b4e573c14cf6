package routes_test

import (
	"strings"
	"sync"
	"testing"

	"pgregory.net/rapid"

	"github.com/dragonflypin/dragonflypin/internal/version/routes"
)

// Guards against a route that a longer prefix should have taken.
func TestLongestPrefixMatches(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		segment := rapid.SampledFrom([]string{"a/", "b/", "c/"})
		path := func(name string) string {
			return "/" + strings.Join(rapid.SliceOfN(segment, 0, 4).Draw(t, name), "")
		}
		v := &routes.Version{}
		for range rapid.IntRange(1, 8).Draw(t, "routes") {
			v.Routes = append(v.Routes, routes.Route{Host: "h", Prefix: path("prefix")})
		}
		v.Compile()
		asked := path("path")
		longest := -1
		for _, r := range v.Routes {
			if strings.HasPrefix(asked, r.Prefix) {
				longest = max(longest, len(r.Prefix))
			}
		}
		got, ok := v.Match("H:80", asked)
		if ok != (longest >= 0) || ok && len(got.Prefix) != longest {
			t.Fatalf("%s matches %+v, longest prefix %d", asked, got, longest)
		}
	})
}

// Guards against a configuration that steps back when versions arrive out of order.
func TestHolderNeverStepsBack(t *testing.T) {
	var h routes.Holder
	var offers sync.WaitGroup
	for n := range 64 {
		offers.Go(func() {
			before := uint64(0)
			if v := h.Current(); v != nil {
				before = v.Number
			}
			h.Offer((&routes.Version{Number: uint64(n*37%64) + 1}).Compile())
			if after := h.Current().Number; after < before {
				t.Errorf("version %d after %d", after, before)
			}
		})
	}
	offers.Wait()
	if n := h.Current().Number; n != 64 {
		t.Errorf("version %d in force, want 64", n)
	}
}
