package forward

import (
	"sync"

	"github.com/dragonflypin/dragonflypin/internal/request/retry"
)

// Budgets has the retry budget of each service. It is safe for concurrent use.
type Budgets struct {
	settings func() retry.Settings

	mu  sync.Mutex
	all map[string]*retry.Budget
}

// NewBudgets returns Budgets that read their settings for each decision, because the number of entries that share a
// budget changes.
func NewBudgets(settings func() retry.Settings) *Budgets {
	return &Budgets{settings: settings, all: map[string]*retry.Budget{}}
}

func (b *Budgets) get(service string) *retry.Budget {
	set := b.settings()
	b.mu.Lock()
	defer b.mu.Unlock()
	budget := b.all[service]
	if budget == nil {
		budget = retry.NewBudget(set)
		b.all[service] = budget
	}
	budget.SetReserve(set.Reserve)
	return budget
}
