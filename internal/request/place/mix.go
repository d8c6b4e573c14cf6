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
	// urgentTarget is the largest target of an urgent route, as a share of the longest target of its service.
	urgentTarget = 0.5
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
	mean   float64
	target time.Duration
	at     time.Time
}

// Profile says how the prompts of a job's route relate to those of the other routes of its service.
type Profile struct {
	// Short routes have prompts that are read in a fraction of the time that the longest ones take.
	Short bool
	// Longest is the longest target to a first event of all routes of the service.
	Longest time.Duration
	// Tightest is the shortest target to a first event among the routes that are not short.
	Tightest time.Duration
}

// NewMix returns a Mix that knows no routes.
func NewMix() *Mix { return &Mix{services: map[string]map[string]*routeSize{}} }

// urgent reports whether the job's target is the tightest of the long routes, or far below the longest one. The second
// holds as soon as one request of the longest route was seen, also before the sizes of the prompts are known.
func (p Profile) urgent(job *Job) bool {
	return job.Target <= p.Tightest || float64(job.Target) <= urgentTarget*float64(p.Longest)
}

// Note counts a job and returns the profile of its route.
func (m *Mix) Note(job *Job, now time.Time) Profile {
	m.mu.Lock()
	defer m.mu.Unlock()
	sizes := m.services[job.Service]
	if sizes == nil {
		sizes = map[string]*routeSize{}
		m.services[job.Service] = sizes
	}
	own := sizes[job.Route]
	if own == nil {
		own = &routeSize{mean: float64(job.Tokens)}
		sizes[job.Route] = own
	}
	own.mean += mixWeight * (float64(job.Tokens) - own.mean)
	own.target, own.at = job.Target, now
	longest := 0.0
	for name, s := range sizes {
		if now.Sub(s.at) > mixMemory {
			delete(sizes, name)
			continue
		}
		longest = max(longest, s.mean)
	}
	profile := Profile{Short: isShort(own.mean, longest), Tightest: job.Target}
	for _, s := range sizes {
		profile.Longest = max(profile.Longest, s.target)
		if !isShort(s.mean, longest) {
			profile.Tightest = min(profile.Tightest, s.target)
		}
	}
	return profile
}

func isShort(mean, longest float64) bool { return longest >= longPrompt && mean <= shortShare*longest }
