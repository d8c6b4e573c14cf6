package table

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"

	"github.com/dragonflypin/dragonflypin/internal/process/store"
	"github.com/dragonflypin/dragonflypin/internal/process/store/storetest"
)

// historyOp is an edit of one row, or a read of the table if class is empty. Each weight is used once, so that the weight
// of a row in the base version identifies the version of the row.
type historyOp struct {
	class    string
	from, to int
}

type historyResult struct {
	// version is the version of the accepted edit or of the table read; 0 if the outcome is unknown.
	version  uint64
	conflict bool
	// weights are the weights of the table read, by class.
	weights string
}

type historyState struct {
	version uint64
	weights [historyClasses]int
}

const historyClasses = 4

func (h historyState) String() string { return fmt.Sprint(h.weights) }

func classIndex(class string) int { return int(class[0] - 'a') }

var tableModel = porcupine.Model{
	Init: func() any {
		h := historyState{version: 1}
		for i := range h.weights {
			h.weights[i] = i + 1
		}
		return h
	},
	Step: func(state, input, output any) (bool, any) {
		h, in, out := state.(historyState), input.(historyOp), output.(historyResult)
		if in.class == "" {
			return out.version == h.version && out.weights == h.String(), h
		}
		row := &h.weights[classIndex(in.class)]
		switch {
		case out.conflict:
			return *row != in.from, h
		case *row != in.from:
			return out.version == 0, h // an edit with unknown outcome that was not accepted
		default:
			h.version++
			*row = in.to
			return out.version == 0 || out.version == h.version, h
		}
	},
}

func readTable(ctx context.Context, c store.Client) (*Version, error) {
	head, err := Log{Client: c}.Head(ctx, 0)
	if err == nil && head == nil {
		err = ErrNoVersion
	}
	return head, err
}

func weightsOf(v *Version) string {
	var h historyState
	for _, r := range v.Rows {
		h.weights[classIndex(r.Class)] = r.Weight
	}
	return h.String()
}

// tableHistory runs concurrent editors of few rows with store faults, and returns the history of their operations.
func tableHistory(t *testing.T, seed uint64, wrap func(store.Client) store.Client) (history []porcupine.Operation, accepted, refused int) {
	const editors, rounds = 6, 12
	synctest.Test(t, func(t *testing.T) {
		m := storetest.New()
		var rows []Row
		for i := range historyClasses {
			r := row(string(rune('a'+i)), "furano", i+1)
			r.Shared = true
			rows = append(rows, r)
		}
		none := func() *Compiled { return nil }
		if _, err := NewPublisher(m, none, func(*Version) {}).Apply(t.Context(), Edit{Author: "furano", Rows: rows}); err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithCancel(t.Context())
		var faults, edits sync.WaitGroup
		faults.Go(func() {
			random := rand.New(rand.NewPCG(seed, 99))
			for ctx.Err() == nil {
				m.SetFaults([]storetest.Faults{
					{}, {Delay: 20 * time.Millisecond}, {LoseResponses: true}, {LoseRequests: true}, {Outage: true}, {Delay: time.Second},
				}[random.IntN(6)])
				time.Sleep(time.Duration(random.IntN(400)) * time.Millisecond)
			}
		})
		var mu sync.Mutex
		now, weight := int64(0), historyClasses
		tick := func() int64 {
			mu.Lock()
			defer mu.Unlock()
			now++
			return now
		}
		for editor := range editors {
			edits.Go(func() {
				random := rand.New(rand.NewPCG(seed, uint64(editor)))
				client := wrap(m)
				p := NewPublisher(client, none, func(*Version) {})
				for range rounds {
					time.Sleep(time.Duration(random.IntN(200)) * time.Millisecond)
					call := tick()
					base, err := readTable(ctx, client)
					if err != nil {
						continue
					}
					result := historyResult{version: base.Number, weights: weightsOf(base)}
					end := tick()
					mu.Lock()
					history = append(history, porcupine.Operation{ClientId: editor, Input: historyOp{}, Call: call, Output: result, Return: end})
					weight++
					in := historyOp{class: string(rune('a' + random.IntN(historyClasses))), to: weight}
					mu.Unlock()
					changed, _ := base.Find(in.class)
					in.from, changed.Weight = changed.Weight, in.to
					time.Sleep(time.Duration(random.IntN(200)) * time.Millisecond)
					author := []string{"furano", "jadestone"}[random.IntN(2)]
					call = tick()
					deadline, done := context.WithTimeout(ctx, 5*time.Second)
					v, err := p.Apply(deadline, Edit{Author: author, Base: base.Number, Rows: withRow(base.Rows, changed)})
					done()
					end = tick()
					out := historyResult{}
					var conflict *ConflictError
					switch {
					case err == nil:
						out.version = v.Number
					case errors.As(err, &conflict):
						out.conflict = true
					case errors.Is(err, store.ErrUnknown):
						end = 1 << 60
					default:
						continue // known not to be accepted
					}
					mu.Lock()
					if out.version > 0 {
						accepted++
					} else if out.conflict {
						refused++
					}
					history = append(history, porcupine.Operation{ClientId: editor, Input: in, Call: call, Output: out, Return: end})
					mu.Unlock()
				}
			})
		}
		edits.Wait()
		cancel()
		faults.Wait()
	})
	return history, accepted, refused
}

const checkTimeout = 30 * time.Second

// Guards against histories that are not linearizable: an edit that is lost, applied twice, or applied to a row that was
// changed since its base.
func TestEditHistoriesAreLinearizable(t *testing.T) {
	for seed := range uint64(6) {
		history, accepted, refused := tableHistory(t, seed, func(c store.Client) store.Client { return c })
		t.Logf("seed %d: %d operations, %d edits accepted, %d refused", seed, len(history), accepted, refused)
		if accepted < 5 {
			t.Errorf("seed %d: only %d edits accepted, want 5 or more", seed, accepted)
		}
		if r := porcupine.CheckOperationsTimeout(tableModel, history, checkTimeout); r != porcupine.Ok {
			t.Errorf("seed %d: linearizability check returned %s", seed, r)
		}
	}
}

// Guards against a linearizability check that accepts every history: the check must reject a store whose creations
// overwrite existing objects.
func TestEditHistoryOfOverwritingStoreIsRejected(t *testing.T) {
	for seed := range uint64(6) {
		history, _, _ := tableHistory(t, seed, func(c store.Client) store.Client { return storetest.Overwriting{Client: c} })
		if porcupine.CheckOperationsTimeout(tableModel, history, checkTimeout) == porcupine.Illegal {
			return
		}
	}
	t.Error("no history of a store that overwrites was rejected")
}
