package load

import (
	"context"
	"crypto/rand"
	"net/http"
	"sync"
	"time"
)

// idleConnections is the number of connections kept per entry between requests.
const idleConnections = 1024

// Options configure a run.
type Options struct {
	// Targets are the base URLs of the entries, used in turn.
	Targets []string
	// Keys are the workspaces' keys.
	Keys map[string]string
	// Workload says what to send.
	Workload Workload
}

type generator struct {
	workload *Workload
	targets  []string
	keys     map[string]string
	client   *http.Client
	// run makes idempotency keys unique between runs.
	run string
}

// Run sends the workload and returns the report once every answer has ended. When ctx ends, no further request is sent
// and open ones are cancelled.
func Run(ctx context.Context, o Options) (Report, error) {
	if err := o.Workload.Check(o.Keys); err != nil {
		return Report{}, err
	}
	transport := &http.Transport{MaxIdleConnsPerHost: idleConnections}
	defer transport.CloseIdleConnections()
	g := &generator{workload: &o.Workload, targets: o.Targets, keys: o.Keys, client: &http.Client{Transport: transport}, run: rand.Text()}
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
			results[i] = result{class: plan[i].index, outcome: outcomeNotSent}
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
