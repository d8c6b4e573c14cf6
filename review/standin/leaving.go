package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

// Times of the case, inside those of the pages (see claim.txt).
const (
	leavingCut     = 6 * time.Second
	leavingAfter   = 900 * time.Millisecond  // from the end of the cut to the removal of the entries
	leavingServes  = 2400 * time.Millisecond // drain_ms and a little longer
	leavingCycle   = 13 * time.Second
	leavingCycles  = 7
	contactTime    = 3 * time.Second // contact_ms
	drainTime      = 2 * time.Second // drain_ms
	leavingClients = 20
)

// leave is a replica whose entry was removed.
type leave struct {
	replica          *Replica
	removed, inTouch time.Time
}

// leaving cuts the edge from the platform for some seconds. Shortly after the cut, replicas leave without having reported
// that they drain: their entries are removed, they serve for drain_ms and a little longer, and exit.
func leaving(rec *Record, trouble bool) (broken bool, err error) {
	f, err := newFleet(rec, 1, 4, 3, 134)
	if f != nil {
		defer f.close()
	}
	if err != nil {
		return false, err
	}
	users := []*user{}
	for range leavingClients {
		users = append(users, &user{edge: f.edges[0]})
	}
	began := time.Now()
	length := leavingCycle*leavingCycles + 2*time.Second
	var mu sync.Mutex
	var leaves []leave
	late, lost := 0, 0
	ends := map[string]int{}
	var done sync.WaitGroup
	for i := range classes {
		c := &classes[i]
		done.Add(1)
		go func() {
			defer done.Done()
			for time.Since(began) < length {
				// The edge serves half of the requests of the sheet.
				time.Sleep(time.Duration(rand.ExpFloat64() / (c.perSecond / 2) * float64(time.Second)))
				u := users[rand.IntN(len(users))]
				done.Add(1)
				go func() {
					defer done.Done()
					q := c.request()
					client := u.take()
					sent := time.Now()
					a := client.do(q)
					u.put(client)
					runs := f.runsOf(q.id)
					ok := a.status == 200 && a.complete
					mu.Lock()
					defer mu.Unlock()
					ends[fmt.Sprintf("%s %d complete=%t", c.name, a.status, a.complete)]++
					names := ""
					for _, run := range runs {
						names += " " + run.replica
						for _, l := range leaves {
							if run.replica == l.replica.id && run.began.Sub(l.removed) > drainTime && sent.After(l.inTouch) {
								late++
								if !ok {
									lost++
								}
								rec.line("DRAIN: %s %s, sent %.3f s after the machine was in touch again, reached %s %.3f s after the store had acknowledged that it left; answered whole: %t",
									c.name, q.id, sent.Sub(l.inTouch).Seconds(), run.replica, run.began.Sub(l.removed).Seconds(), ok)
							}
						}
					}
					rec.line("%s %s: status %d complete %t error %v after %s, run by%s", c.name, q.id, a.status, a.complete, a.err, a.took.Round(time.Millisecond), names)
				}()
			}
		}()
	}
	lm, desk := 0, 4
	for n := range leavingCycles {
		time.Sleep(time.Until(began.Add(leavingCycle*time.Duration(n) + time.Second)))
		// The release starts the new replicas first.
		newLM, err := newReplica(rec, f.store, "127.0.0.1:0", fmt.Sprintf("i-n%d%08x", n, rand.Uint32()), "sachetlm", "furano-1")
		if err != nil {
			return false, err
		}
		newDesk, err := newReplica(rec, f.store, "127.0.0.1:0", fmt.Sprintf("i-m%d%08x", n, rand.Uint32()), "allotdesk", "furano-1")
		if err != nil {
			return false, err
		}
		f.addReplicas(newLM, newDesk)
		time.Sleep(2 * time.Second)
		if trouble {
			f.proxy.setCut(true)
			rec.line("the edge is cut off from the store")
		}
		time.Sleep(leavingCut)
		healed := time.Now()
		if trouble {
			f.proxy.setCut(false)
			rec.line("the cut ends; the machine is in touch again in %s", contactTime)
		}
		time.Sleep(time.Until(healed.Add(leavingAfter)))
		for _, r := range []*Replica{f.replicas[lm], f.replicas[desk]} {
			r.stopBeat()
			f.store.Remove("servers", r.id)
			removed := time.Now()
			mu.Lock()
			leaves = append(leaves, leave{r, removed, healed.Add(contactTime)})
			mu.Unlock()
			rec.line("%s leaves: its entry is removed", r.id)
			time.AfterFunc(leavingServes, func() {
				_ = r.server.Close()
				rec.line("%s exits", r.id)
			})
		}
		lm, desk = len(f.replicas)-2, len(f.replicas)-1
	}
	done.Wait()
	for k, n := range ends {
		rec.result("%6d %s", n, k)
	}
	rec.result("%d requests reached a replica later than %s after it had left; %d of them got no whole answer", late, drainTime, lost)
	return late > 0, nil
}
