package routes_test

import (
	"strings"
	"sync"
	"testing"

	"pgregory.net/rapid"

	"github.com/dragonflypin/dragonflypin/internal/version/routes"
)

// Guards against matching a route although another one has a longer matching prefix.
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
		requested := path("path")
		longest := -1
		for _, r := range v.Routes {
			if strings.HasPrefix(requested, r.Prefix) {
				longest = max(longest, len(r.Prefix))
			}
		}
		got, ok := v.Match("H:80", requested)
		if ok != (longest >= 0) || ok && len(got.Prefix) != longest {
			t.Fatalf("%s matches %+v, longest prefix %d", requested, got, longest)
		}
	})
}

// Guards against returning to an older configuration if versions arrive out of order.
func TestHolderIgnoresOlderVersions(t *testing.T) {
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
