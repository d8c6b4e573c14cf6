package place

import (
	"sync"
	"time"
)

// Bounds of the division of a service's requests into short and long prompts.
const (
	// shortShare is the largest mean prompt of a short route, as a share of the mean prompt of the longest route. On the
	// sheets the routes with short prompts are at 0.09, the ones between at 0.54.
	shortShare = 0.3
	// longPrompt is the mean prompt, in tokens, from which the longest route disturbs others: reading it stalls the other
	// requests of its engine for about 70 ms.
	longPrompt = 4000
	// mixWeight is the weight of a new prompt in a route's mean.
	mixWeight = 0.02
	// mixMemory is how long a route without requests counts.
	mixMemory = 60 * time.Second
)

// Mix learns the sizes of the prompts of each route. It is safe for concurrent use.
type Mix struct {
	mu       sync.Mutex
	services map[string]map[string]*routeSize
}

type routeSize struct {
	mean float64
	at   time.Time
}

// NewMix returns a Mix that knows no routes.
func NewMix() *Mix { return &Mix{services: map[string]map[string]*routeSize{}} }

// Short notes a prompt of a route and reports whether the route belongs to the short ones of its service.
func (m *Mix) Short(service, route string, tokens int, now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	sizes := m.services[service]
	if sizes == nil {
		sizes = map[string]*routeSize{}
		m.services[service] = sizes
	}
	own := sizes[route]
	if own == nil {
		own = &routeSize{mean: float64(tokens)}
		sizes[route] = own
	}
	own.mean += mixWeight * (float64(tokens) - own.mean)
	own.at = now
	longest := 0.0
	for name, s := range sizes {
		if now.Sub(s.at) > mixMemory {
			delete(sizes, name)
			continue
		}
		longest = max(longest, s.mean)
	}
	return longest >= longPrompt && own.mean <= shortShare*longest
}
