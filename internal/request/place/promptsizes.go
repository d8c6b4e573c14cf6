package place

import (
	"sync"
	"time"
)

// Bounds of the division of a service's routes into short and long ones.
const (
	// maxShortRatio is the largest mean prompt of a short route, relative to the mean prompt of the longest route. In the
	// published deployment specifications the routes with short prompts are at 0.08 and 0.09, those in between at 0.26 and
	// 0.54.
	maxShortRatio = 0.15
	// minLongTokens is the smallest mean prompt of a service's longest route at which other routes count as short: the
	// prefill of such a prompt stalls the other requests of the engine for about 70 ms.
	minLongTokens = 4000
	// maxUrgentRatio is the largest target of an urgent route, relative to the longest target of its service.
	maxUrgentRatio = 0.5
	// sizeWeight is the weight of a new prompt in the moving average of its route.
	sizeWeight = 0.02
	// routeExpiry is the time without requests after which a route is deleted.
	routeExpiry = 60 * time.Second
)

// PromptSizes tracks the prompt sizes of each route. It is safe for concurrent use.
type PromptSizes struct {
	mu       sync.Mutex
	services map[string]map[string]*routeStats
}

type routeStats struct {
	mean float64
	// count is the number of prompts, up to 1/sizeWeight.
	count       float64
	target      time.Duration
	lastRequest time.Time
}

// Profile compares the prompts of a job's route with those of the other routes of its service.
type Profile struct {
	// Short routes have prompts that take a fraction of the prefill time of the longest ones.
	Short bool
	// LongestTarget is the longest target for the first event of all routes of the service.
	LongestTarget time.Duration
	// TightestTarget is the shortest target for the first event among the routes that are not short.
	TightestTarget time.Duration
}

// NewPromptSizes returns a PromptSizes without routes.
func NewPromptSizes() *PromptSizes {
	return &PromptSizes{services: map[string]map[string]*routeStats{}}
}

// urgent reports whether the job's target is the shortest of the long routes, or far below the longest one. The second
// condition holds after a single request of the longest route, before the prompt sizes are known.
func (p Profile) urgent(job *Job) bool {
	return job.Target <= p.TightestTarget || float64(job.Target) <= maxUrgentRatio*float64(p.LongestTarget)
}

// Record adds the job's prompt to the sizes of its route and returns the profile of the route.
func (m *PromptSizes) Record(job *Job, now time.Time) Profile {
	m.mu.Lock()
	defer m.mu.Unlock()
	routes := m.services[job.Service]
	if routes == nil {
		routes = map[string]*routeStats{}
		m.services[job.Service] = routes
	}
	stats := routes[job.Route]
	if stats == nil {
		stats = &routeStats{}
		routes[job.Route] = stats
	}
	stats.count = min(stats.count+1, 1/sizeWeight)
	stats.mean += (float64(job.Tokens) - stats.mean) / stats.count
	stats.target, stats.lastRequest = job.Target, now
	longest := 0.0
	for name, s := range routes {
		if now.Sub(s.lastRequest) > routeExpiry {
			delete(routes, name)
			continue
		}
		longest = max(longest, s.mean)
	}
	profile := Profile{Short: isShort(stats.mean, longest), TightestTarget: job.Target}
	for _, s := range routes {
		profile.LongestTarget = max(profile.LongestTarget, s.target)
		if !isShort(s.mean, longest) {
			profile.TightestTarget = min(profile.TightestTarget, s.target)
		}
	}
	return profile
}

func isShort(mean, longest float64) bool {
	return longest >= minLongTokens && mean <= maxShortRatio*longest
}
