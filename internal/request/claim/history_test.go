package claim

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"

	"github.com/dragonflypin/dragonflypin/internal/process/store"
	"github.com/dragonflypin/dragonflypin/internal/process/store/storetest"
	"github.com/dragonflypin/dragonflypin/internal/request/outcome"
)

// historyOp is one call in a history. A failed call and the release that follows it may take effect at any later time.
type historyOp struct {
	key, attempt string
	kind         opKind
	notRun       bool
}

type historyResponse struct {
	state  State
	failed bool
}

// modelClaim is the state of one key in the model.
type modelClaim struct {
	attempt  string
	finished bool
}

var claimModel = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		parts := map[string][]porcupine.Operation{}
		for _, o := range history {
			k := o.Input.(historyOp).key
			parts[k] = append(parts[k], o)
		}
		var all [][]porcupine.Operation
		for _, p := range parts {
			all = append(all, p)
		}
		return all
	},
	Init: func() any { return modelClaim{} },
	Step: func(state, input, output any) (bool, any) {
		return stepClaim(state.(modelClaim), input.(historyOp), output.(historyResponse))
	},
}

func stepClaim(h modelClaim, in historyOp, out historyResponse) (bool, any) {
	own := h.attempt == in.attempt && !h.finished
	switch {
	case in.kind == opRelease || in.kind == opFinish && in.notRun:
		if own {
			return true, modelClaim{}
		}
		return out.failed, h
	case in.kind == opFinish:
		if own {
			return true, modelClaim{attempt: h.attempt, finished: true}
		}
		return out.failed, h
	case out.failed:
		if h.attempt == "" {
			return true, modelClaim{attempt: in.attempt}
		}
		return true, h
	case out.state.Status == Granted:
		return h.attempt == "", modelClaim{attempt: in.attempt}
	case out.state.Status == Finished:
		return h.finished && h.attempt == out.state.Attempt, h
	default:
		return !h.finished && h.attempt == out.state.Attempt && h.attempt != "", h
	}
}

// claimHistory runs clients that compete for a few keys, with faults of store and network, and returns the history of
// their calls. wrap wraps the store client of each entry.
func claimHistory(t *testing.T, seed uint64, wrap func(store.Client) store.Client) (history []porcupine.Operation, granted int) {
	const clients, rounds, keys = 9, 25, 12
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		c := newCluster(ctx)
		defer c.wg.Wait()
		defer cancel()
		var es []*entryProcess
		for i := range 3 {
			es = append(es, c.start(t, fmt.Sprintf("entry-%d", i), func(o *Options) { o.Client = wrap(c.store) }))
		}
		stopFaults := c.injectFaults(ctx, seed)
		var mu sync.Mutex
		now := int64(0)
		tick := func() int64 {
			mu.Lock()
			defer mu.Unlock()
			now++
			return now
		}
		record := func(client int, in historyOp, call int64, out historyResponse) {
			end := tick()
			mu.Lock()
			defer mu.Unlock()
			if out.failed {
				end = 1 << 60
			}
			history = append(history, porcupine.Operation{ClientId: client, Input: in, Call: call, Output: out, Return: end})
			if in.kind == opClaim && out.failed {
				release := historyOp{key: in.key, attempt: in.attempt, kind: opRelease}
				history = append(history, porcupine.Operation{ClientId: client + 1000, Input: release, Call: call, Output: out, Return: end})
			}
			if out.state.Status == Granted {
				granted++
			}
		}
		var wg sync.WaitGroup
		for client := range clients {
			wg.Go(func() {
				random := rand.New(rand.NewPCG(seed, uint64(client)))
				for round := range rounds {
					time.Sleep(time.Duration(random.IntN(400)) * time.Millisecond)
					e := es[random.IntN(len(es))]
					in := historyOp{key: fmt.Sprint("k", random.IntN(keys)), attempt: fmt.Sprintf("c%d-%d", client, round), kind: opClaim}
					call := tick()
					state, err := e.Claim(ctx, key(in.key), body, in.attempt)
					record(client, in, call, historyResponse{state: state, failed: err != nil})
					if err != nil || state.Status != Granted {
						continue
					}
					time.Sleep(time.Duration(random.IntN(100)) * time.Millisecond)
					in.kind, in.notRun = opFinish, random.IntN(3) > 0
					result := Result{Outcome: outcome.Completed, Body: []byte(in.attempt)}
					if in.notRun {
						result.Outcome = outcome.NotRun
					}
					call = tick()
					finishing, done := context.WithTimeout(ctx, 2*time.Second)
					err = e.Finish(finishing, key(in.key), in.attempt, result)
					done()
					record(client, in, call, historyResponse{failed: err != nil})
				}
			})
		}
		wg.Wait()
		stopFaults()
	})
	return history, granted
}

// injectFaults sets random faults of store and network until the returned function is called.
func (c *cluster) injectFaults(ctx context.Context, seed uint64) func() {
	ctx, stop := context.WithCancel(ctx)
	var wg sync.WaitGroup
	wg.Go(func() {
		random := rand.New(rand.NewPCG(seed, 99))
		for ctx.Err() == nil {
			c.store.SetFaults([]storetest.Faults{
				{}, {Delay: 20 * time.Millisecond}, {LoseResponses: true}, {LoseRequests: true}, {Outage: true}, {Delay: time.Second},
				{Delay: 3 * time.Second},
			}[random.IntN(7)])
			lost := fmt.Sprintf("entry-%d", random.IntN(6)) // half of them do not exist
			c.setDrop(func(from, to, _ string) bool { return from == lost || to == lost })
			time.Sleep(time.Duration(random.IntN(300)) * time.Millisecond)
		}
	})
	return func() {
		stop()
		wg.Wait()
	}
}

const checkTimeout = 30 * time.Second

// Guards against interleavings of claims, results and faults in which a key is granted while another attempt holds it or
// after its call was finished. The history must be linearizable.
func TestClaimHistories(t *testing.T) {
	for seed := range uint64(6) {
		history, granted := claimHistory(t, seed, func(c store.Client) store.Client { return c })
		t.Logf("seed %d: %d operations, %d grants", seed, len(history), granted)
		if granted < 10 {
			t.Errorf("seed %d: only %d grants, want at least 10 for a meaningful check", seed, granted)
		}
		if r := porcupine.CheckOperationsTimeout(claimModel, history, checkTimeout); r != porcupine.Ok {
			t.Errorf("seed %d: history is %s", seed, r)
		}
	}
}

// Guards against a check that accepts every history: it must reject the history of a store without conditional create.
func TestClaimHistoryOfBrokenStoreIsRejected(t *testing.T) {
	for seed := range uint64(6) {
		history, _ := claimHistory(t, seed, func(c store.Client) store.Client { return storetest.Overwriting{Client: c} })
		if porcupine.CheckOperationsTimeout(claimModel, history, checkTimeout) == porcupine.Illegal {
			return
		}
	}
	t.Error("no history of a store that overwrites was rejected")
}
