package load

import (
	"context"
	"crypto/rand"
	"net/http"
	"sync"
	"time"
)

// idleConnections is the maximum number of idle connections per entry.
const idleConnections = 1024

// Options configure a run.
type Options struct {
	// Targets are the base URLs of the entries, used round-robin.
	Targets []string
	// Keys are the API keys by workspace.
	Keys map[string]string
	// Workload defines the requests to send.
	Workload Workload
}

type generator struct {
	workload *Workload
	targets  []string
	keys     map[string]string
	client   *http.Client
	// runID makes idempotency keys unique across runs.
	runID string
}

// Run sends the workload and returns the report after the last response. When ctx is done, no further requests are sent
// and those in flight are cancelled.
func Run(ctx context.Context, o Options) (Report, error) {
	if err := o.Workload.Check(o.Keys); err != nil {
		return Report{}, err
	}
	transport := &http.Transport{MaxIdleConnsPerHost: idleConnections}
	defer transport.CloseIdleConnections()
	g := &generator{workload: &o.Workload, targets: o.Targets, keys: o.Keys, client: &http.Client{Transport: transport}, runID: rand.Text()}
	plan := o.Workload.schedule()
	results := make([]result, len(plan))
	slots := make(chan struct{}, o.Workload.MaxInFlight)
	var wg sync.WaitGroup
	start := time.Now()
	sent := 0
	for i := range plan {
		at := start.Add(plan[i].at)
		if !sleepUntil(ctx, at) {
			break
		}
		sent++
		select {
		case slots <- struct{}{}:
		default:
			results[i] = result{classIndex: plan[i].classIndex, outcome: outcomeNotSent}
			continue
		}
		wg.Go(func() {
			results[i] = g.send(ctx, &plan[i], i, at)
			<-slots
		})
	}
	wg.Wait()
	return newReport(&o.Workload, results[:sent], time.Since(start)), nil
}

func sleepUntil(ctx context.Context, at time.Time) bool {
	timer := time.NewTimer(time.Until(at))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
