package forward

import (
	"sync"

	"github.com/dragonflypin/dragonflypin/internal/request/retry"
)

// Budgets holds the retry budget of each service. It is safe for concurrent use.
type Budgets struct {
	settings func() retry.Settings

	mu  sync.Mutex
	all map[string]*retry.Budget
}

// NewBudgets returns budgets whose settings are read at each decision, because the number of entries that share a budget
// changes.
func NewBudgets(settings func() retry.Settings) *Budgets {
	return &Budgets{settings: settings, all: map[string]*retry.Budget{}}
}

func (p *Budgets) get(service string) *retry.Budget {
	set := p.settings()
	p.mu.Lock()
	defer p.mu.Unlock()
	b := p.all[service]
	if b == nil {
		b = retry.NewBudget(set)
		p.all[service] = b
	}
	b.SetReserve(set.Reserve)
	return b
}
