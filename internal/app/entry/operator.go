package entry

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/dragonflypin/dragonflypin/internal/app/operator"
	"github.com/dragonflypin/dragonflypin/internal/connection/wire"
	"github.com/dragonflypin/dragonflypin/internal/process/usage"
	"github.com/dragonflypin/dragonflypin/internal/version/table"
)

// statusTimeout bounds the wait for one entry's part of the fleet's status.
const statusTimeout = 2 * time.Second

// serveOperator answers the health checks and passes the rest on.
func (t *T) serveOperator(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/healthz":
		_, _ = io.WriteString(w, "ok\n")
	case "/readyz":
		if reason := t.notReady(); reason != "" {
			http.Error(w, reason, http.StatusServiceUnavailable)
			return
		}
		_, _ = io.WriteString(w, "ok\n")
	default:
		(*t.operator.Load()).ServeHTTP(w, r)
	}
}

// notReady returns why the entry should get no callers, or an empty text.
func (t *T) notReady() string {
	switch {
	case t.draining.Load():
		return "draining"
	case t.control.follower.Current() == nil:
		return "no table"
	case t.control.directory.Current() == nil:
		return "no directory"
	default:
		return ""
	}
}

// operatorAPI composes the operator API on this entry's own parts.
func (t *T) operatorAPI() http.Handler {
	opts := operator.Options{
		Directory: t.control.directory.Current, Current: t.control.follower.Current,
		Publisher: table.NewPublisher(t.deps.Store, t.control.follower.Current, t.control.follower.Offer),
		Log:       table.Log{Client: t.deps.Store}, Usage: usage.NewService(t.deps.Store),
		Status: operatorView{t}, Explain: operatorView{t},
	}
	if t.deps.Metrics != nil {
		opts.Metrics = t.deps.Metrics.Handler()
	}
	return operator.New(opts)
}

// operatorView serves status and explain to operators.
type operatorView struct{ t *T }

// Status implements operator.Status.
func (v operatorView) Status(ctx context.Context) (any, error) { return v.t.FleetStatus(ctx), nil }

// Explain implements operator.Explainer.
func (v operatorView) Explain(ctx context.Context, id string) (any, error) {
	x, err := v.t.Explain(ctx, id)
	if errors.Is(err, ErrUnknownRequest) {
		return nil, operator.ErrNotFound
	}
	return x, err
}

// FleetStatus is the status of every entry that could be asked.
type FleetStatus struct {
	// Entries begin with the one that was asked.
	Entries []Status `json:"entries"`
	// Unreachable are entries in the instance list that did not answer.
	Unreachable []string `json:"unreachable,omitempty"`
}

// FleetStatus asks all live entries for their status.
func (t *T) FleetStatus(ctx context.Context) FleetStatus {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	fleet := FleetStatus{Entries: []Status{t.Status()}}
	var mu sync.Mutex
	var wg sync.WaitGroup
	for _, name := range t.entries() {
		if name == t.cfg.Instance {
			continue
		}
		wg.Go(func() {
			s, err := t.statusOf(ctx, name)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				fleet.Unreachable = append(fleet.Unreachable, name)
				return
			}
			fleet.Entries = append(fleet.Entries, s)
		})
	}
	wg.Wait()
	return fleet
}

func (t *T) statusOf(ctx context.Context, name string) (Status, error) {
	payload, err := t.node.Call(ctx, name, MethodStatus, nil)
	if err != nil {
		return Status{}, err
	}
	var s Status
	return s, wire.Unmarshal(payload, &s)
}
