package forward

import (
	"sync"
	"time"

	"github.com/dragonflypin/dragonflypin/internal/request/retry"
)

// perService keeps one retry budget a service.
type perService struct {
	settings func() retry.Settings

	mu  sync.Mutex
	all map[string]*retry.Budget
}

func newPerService(settings func() retry.Settings) *perService {
	return &perService{settings: settings, all: map[string]*retry.Budget{}}
}

func (p *perService) get(service string) *retry.Budget {
	p.mu.Lock()
	defer p.mu.Unlock()
	b := p.all[service]
	if b == nil {
		b = retry.NewBudget(p.settings())
		p.all[service] = b
	}
	b.SetReserve(p.settings().Reserve)
	return b
}

func (p *perService) requested(service string, now time.Time) { p.get(service).OnRequest(now) }
