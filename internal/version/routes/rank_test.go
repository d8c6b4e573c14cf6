package routes_test

import (
	"testing"

	"github.com/dragonflypin/dragonflypin/internal/version/routes"
)

// Guards against equal ranks for all routes of a workspace with a priority: engines then preempt the streams with the
// tightest targets for less urgent prompts. Guards also against a rank that puts a workspace's route before a more urgent
// workspace.
func TestRankOrdersWorkspacesThenRoutes(t *testing.T) {
	urgent, relaxed := routes.Route{Priority: 0}, routes.Route{Priority: 2}
	first, second := routes.Workspace{Priority: 0, HasPriority: true}, routes.Workspace{Priority: 1, HasPriority: true}
	v := (&routes.Version{Routes: []routes.Route{urgent, relaxed}, Workspaces: []routes.Workspace{first, second}}).Compile()
	ranks := []int{v.Rank(first, &urgent), v.Rank(first, &relaxed), v.Rank(second, &urgent), v.Rank(second, &relaxed)}
	for i := 1; i < len(ranks); i++ {
		if ranks[i] <= ranks[i-1] {
			t.Errorf("ranks %v are not in ascending order", ranks)
		}
	}
	if last := ranks[len(ranks)-1]; last > 9 {
		t.Errorf("rank %d, engines know 0 to 9", last)
	}
}

// Guards against ranks that exceed what engines know when a configuration has many priorities.
func TestRankWithManyPriorities(t *testing.T) {
	r := routes.Route{Priority: 7}
	w := routes.Workspace{Priority: 5, HasPriority: true}
	v := (&routes.Version{Routes: []routes.Route{r}, Workspaces: []routes.Workspace{w}}).Compile()
	if got := v.Rank(w, &r); got != 5 {
		t.Errorf("rank %d, want the workspace's priority 5", got)
	}
	if got := v.Rank(routes.Workspace{}, &r); got != 7 {
		t.Errorf("rank %d without a workspace priority, want the route's priority 7", got)
	}
}
