// Package day shows how a fleet of edges did over time, from the lines that they wrote.
package day

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"time"

	"github.com/dragonflypin/dragonflypin/internal/process/eventlog"
	"github.com/dragonflypin/dragonflypin/internal/request/forward"
)

// maxLine bounds a line of a log, in bytes; edges write far shorter ones.
const maxLine = 1 << 20

// maxSpan bounds the time between the first and the last request, and so the memory of a page.
const maxSpan = 48 * time.Hour

// line is the part of a log line that counts here.
type line struct {
	Time       time.Time `json:"time"`
	Event      string    `json:"event"`
	Class      string    `json:"class"`
	Outcome    string    `json:"outcome"`
	RefusedFor string    `json:"refused_for"`
	Reason     string    `json:"reason"`
	Upstream   string    `json:"upstream"`
	Fetched    string    `json:"fetched_from"`
	InTime     bool      `json:"in_time"`
}

// Day is what the lines tell.
type Day struct {
	// Requests are the ended requests in the order of their ends.
	Requests []Request
	// Unreadable is the number of lines that look like an event but can't be read.
	Unreadable int
}

// Request is one ended request.
type Request struct {
	// Ended is when the line was written.
	Ended time.Time
	Class string
	// InTime is set when the answer met the targets of its route.
	InTime bool
	// Refused is the code of a refusal as not run; empty for other ends.
	Refused string
	// Upstream is the last replica that was chosen, and Reason why; both are empty when none was.
	Upstream, Reason string
	// Fetched is set when that replica fetched shared parts of the prompt from another one.
	Fetched bool
}

// Read reads lines as edges write them. What stands before a line's first brace, such as the name of a machine, is left
// out, as are all other lines.
func Read(readers ...io.Reader) (*Day, error) {
	d := &Day{}
	for _, r := range readers {
		lines := bufio.NewScanner(r)
		lines.Buffer(nil, maxLine)
		for lines.Scan() {
			d.add(lines.Bytes())
		}
		if err := lines.Err(); err != nil {
			return nil, fmt.Errorf("read lines: %w", err)
		}
	}
	slices.SortStableFunc(d.Requests, func(a, b Request) int { return a.Ended.Compare(b.Ended) })
	if n := len(d.Requests); n > 0 && d.Requests[n-1].Ended.Sub(d.Requests[0].Ended) > maxSpan {
		return nil, fmt.Errorf("the lines span %s, at most %s fit on a page", d.Requests[n-1].Ended.Sub(d.Requests[0].Ended), maxSpan)
	}
	return d, nil
}

func (d *Day) add(text []byte) {
	from := bytes.IndexByte(text, '{')
	if from < 0 {
		return
	}
	var l line
	if err := json.Unmarshal(text[from:], &l); err != nil || l.Event == "" {
		d.Unreadable++
		return
	}
	if l.Event != eventlog.EdgeRequestEnded.Name {
		return
	}
	r := Request{Ended: l.Time, Class: l.Class, InTime: l.InTime, Upstream: l.Upstream, Reason: l.Reason, Fetched: l.Fetched != ""}
	if l.Outcome == forward.OutcomeRefused {
		r.Refused = l.RefusedFor
	}
	d.Requests = append(d.Requests, r)
}

// Start is the end of the first request, from which bins count.
func (d *Day) Start() time.Time {
	if len(d.Requests) == 0 {
		return time.Time{}
	}
	return d.Requests[0].Ended
}

// Bins is the number of bins of a length that the day has.
func (d *Day) Bins(length time.Duration) int {
	if len(d.Requests) == 0 {
		return 0
	}
	return int(d.Requests[len(d.Requests)-1].Ended.Sub(d.Start())/length) + 1
}

// Series is a number for each bin, by name.
type Series map[string][]float64

func (s Series) add(name string, bin, bins int, value float64) {
	if s[name] == nil {
		s[name] = make([]float64, bins)
	}
	s[name][bin] += value
}

// Names returns the names in order.
func (s Series) Names() []string { return slices.Sorted(maps.Keys(s)) }

// count sums value(request) over the requests of each bin and name; a request without a name is left out.
func (d *Day) count(length time.Duration, name func(*Request) string, value func(*Request) float64) Series {
	s, bins := Series{}, d.Bins(length)
	for i := range d.Requests {
		r := &d.Requests[i]
		if n := name(r); n != "" {
			s.add(n, int(r.Ended.Sub(d.Start())/length), bins, value(r))
		}
	}
	return s
}

func one(*Request) float64 { return 1 }

// Attainment is the share of the requests of each class that were in time. Bins without a request of the class have the
// share of the bin before, or 1.
func (d *Day) Attainment(length time.Duration) Series {
	class := func(r *Request) string { return r.Class }
	all := d.count(length, class, one)
	good := d.count(length, class, func(r *Request) float64 {
		if r.InTime {
			return 1
		}
		return 0
	})
	for name, counts := range all {
		last := 1.0
		for bin, n := range counts {
			if n > 0 {
				last = good[name][bin] / n
			}
			good[name][bin] = last
		}
	}
	return good
}

// Refusals is the number of requests that were refused as not run, by code.
func (d *Day) Refusals(length time.Duration) Series {
	return d.count(length, func(r *Request) string { return r.Refused }, one)
}

// Choices is the number of requests by the reason for which their replica was chosen, and how many of them fetched shared
// parts of their prompts.
func (d *Day) Choices(length time.Duration) Series {
	sent := func(r *Request) bool { return r.Upstream != "" && r.Refused == "" }
	s := d.count(length, func(r *Request) string {
		if !sent(r) {
			return ""
		}
		return r.Reason
	}, one)
	fetched := d.count(length, func(r *Request) string {
		if !sent(r) || !r.Fetched {
			return ""
		}
		return "fetched"
	}, one)
	maps.Copy(s, fetched)
	return s
}

// Replicas is the number of different replicas that were chosen for each reason.
func (d *Day) Replicas(length time.Duration) Series {
	type use struct {
		bin              int
		reason, upstream string
	}
	s, bins, seen := Series{}, d.Bins(length), map[use]bool{}
	for i := range d.Requests {
		r := &d.Requests[i]
		u := use{int(r.Ended.Sub(d.Start()) / length), r.Reason, r.Upstream}
		if r.Upstream == "" || r.Refused != "" || seen[u] {
			continue
		}
		seen[u] = true
		s.add(r.Reason, u.bin, bins, 1)
	}
	return s
}
