package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

const limitHost = "shop.example"

// Figures of the LIMIT rule and of its play.
const (
	contact       = 3 * time.Second
	limitWindow   = 4 * time.Second
	limitFactor   = 1.5
	limitSlack    = 5
	passedBefore  = 500 * time.Millisecond
	namedLimit    = 4.0 // requests a second
	limitTraffic  = 12  // requests a second to each edge
	limitDuration = 14 * time.Second
)

// playLimit lets two replicas in need name a limit while three edges serve that were added when the machines of their seeds were down.
func playLimit(f *fleet, trouble bool) (bool, error) {
	var replicas []*replica
	for n := range 2 {
		r, err := f.newReplica(fmt.Sprintf("i-order%d", n+1), "order-svc", 100+n, 20*time.Millisecond)
		if err != nil {
			return false, err
		}
		replicas = append(replicas, r)
	}
	f.configure([]map[string]any{{
		"name": "stock-lookup", "hostname": limitHost, "path_prefix": "/stock/", "service": "order-svc", "kind": "idempotent", "timeout_ms": 1200,
		"target_latency_ms": 150, "max_attempts": 2, "priority": 2,
	}}, []map[string]any{{"name": "order-svc", "health_path": "/healthz", "max_conns": 100}})
	serving, err := f.addEdgesWithoutSeeds(trouble)
	if err != nil {
		return false, err
	}
	l := &limitClients{f: f, sentTo: map[string]*edgeProcess{}, passed: map[string]time.Time{}}
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for _, e := range serving {
		for n := range limitTraffic {
			clients.Go(func() { l.run(e, time.Duration(n)*time.Second/limitTraffic, stop) })
		}
	}
	time.Sleep(3 * time.Second)
	for _, r := range replicas {
		r.setLimit(namedLimit)
		f.record.line("replica %s names Server-Limit %.0f", r.id, namedLimit)
	}
	time.Sleep(limitDuration)
	close(stop)
	clients.Wait()
	f.record.line("%d answers with success, %d others", l.served, l.others)
	isBroken := false
	for _, r := range replicas {
		most, at := l.mostInWindow(r)
		allowed := limitFactor*namedLimit*limitWindow.Seconds() + limitSlack
		f.record.line("replica %s got at most %d requests in %v (from %.3f s on); the rule allows %.0f", r.id, most, limitWindow, at.Sub(f.record.began).Seconds(), allowed)
		isBroken = isBroken || float64(most) > allowed
	}
	if l.served < 30 {
		return false, fmt.Errorf("%w: %d answers", errNotRun, l.served)
	}
	return isBroken, nil
}

// addEdgesWithoutSeeds starts three edges and then three others, whose settings name the first ones as seeds. With trouble the first ones
// are lost before, and stay down.
func (f *fleet) addEdgesWithoutSeeds(trouble bool) ([]*edgeProcess, error) {
	first := []*edgeProcess{f.newEdge("edge-tw-central-a-1"), f.newEdge("edge-tw-central-a-2"), f.newEdge("edge-tw-central-a-3")}
	added := []*edgeProcess{f.newEdge("edge-tw-central-a-4"), f.newEdge("edge-tw-central-a-5"), f.newEdge("edge-tw-central-a-6")}
	for _, e := range first {
		if err := f.start(e, first...); err != nil {
			return nil, err
		}
	}
	if err := f.waitReady(10*time.Second, first...); err != nil {
		return nil, err
	}
	time.Sleep(2 * time.Second)
	if trouble {
		for _, e := range first {
			e.kill()
			f.record.line("%s is lost", e.name)
		}
	}
	for n, e := range added {
		e.store = fmt.Sprintf("%s:%d", f.ip(200+n), storePort)
		if err := f.store.listen(e.store); err != nil {
			return nil, err
		}
		if err := f.start(e, first...); err != nil {
			return nil, err
		}
	}
	if err := f.waitReady(10*time.Second, added...); err != nil {
		return nil, err
	}
	time.Sleep(5 * time.Second) // longer than contact_ms
	return added, nil
}

type limitClients struct {
	f      *fleet
	mu     sync.Mutex
	sentTo map[string]*edgeProcess
	// passed is when an edge first passed on an answer of a replica with a limit.
	passed         map[string]time.Time
	served, others int
}

// run sends a request a second on a kept connection.
func (l *limitClients) run(e *edgeProcess, offset time.Duration, stop chan struct{}) {
	time.Sleep(offset)
	c := newClient()
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	for {
		attempt := newAttempt()
		l.mu.Lock()
		l.sentTo[attempt] = e
		l.mu.Unlock()
		a := c.send(e, http.MethodGet, limitHost, "/stock/7", attempt, 2500*time.Millisecond, nil, nil)
		now := time.Now()
		l.f.record.line("%s answers %s: %d %v", e.name, attempt, a.status, a.err)
		l.mu.Lock()
		if a.status == http.StatusOK {
			l.served++
		} else {
			l.others++
		}
		if a.header.Get("Server-Limit") != "" {
			key := e.name + " " + replicaOf(a.header)
			if _, ok := l.passed[key]; !ok {
				l.passed[key] = now
			}
		}
		l.mu.Unlock()
		select {
		case <-stop:
			return
		case <-ticker.C:
		}
	}
}

// replicaOf returns the replica that has signed an answer.
func replicaOf(h http.Header) string {
	var id string
	_, _ = fmt.Sscanf(h.Get("X-Response-Signature"), "sig.%s", &id)
	for i := range id {
		if id[i] == '.' {
			return id[:i]
		}
	}
	return id
}

// mostInWindow returns the largest number of requests that count in a window, and its start.
func (l *limitClients) mostInWindow(r *replica) (most int, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	l.mu.Lock()
	defer l.mu.Unlock()
	var counted []time.Time
	for _, a := range r.arrivals {
		passed, ok := l.passed[l.sentTo[a.attempt].name+" "+r.id]
		if ok && a.at.Sub(passed) >= passedBefore && a.at.Sub(r.namedAt) >= contact {
			counted = append(counted, a.at)
		}
	}
	for i, begin := range counted {
		n := 0
		for _, t := range counted[i:] {
			if t.Sub(begin) < limitWindow {
				n++
			}
		}
		if n > most {
			most, at = n, begin
		}
	}
	return most, at
}
