// Package day plots the outcomes of requests over time from the event logs of a fleet of edges.
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

// maxLineBytes is the maximum length of a log line; the lines of edges are far shorter.
const maxLineBytes = 1 << 20

// maxSpan limits the time between the first and the last request, and so the number of bins and their memory.
const maxSpan = 48 * time.Hour

// line holds the fields of a log line that are evaluated.
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

// Dataset holds the requests of a set of logs.
type Dataset struct {
	// Requests are the finished requests in order of their end times.
	Requests []Request
	// Unreadable is the number of lines that contain a brace but can't be parsed as an event.
	Unreadable int
}

// Request is one finished request.
type Request struct {
	// Ended is the time of the log line.
	Ended time.Time
	Class string
	// InTime is set if the response met the targets of its route.
	InTime bool
	// Refused is the code of a request that was refused without being run; it is empty for other outcomes.
	Refused string
	// Upstream is the last replica that was chosen and Reason the placement reason; both are empty if none was chosen.
	Upstream, Reason string
	// Fetched is set if that replica fetched shared parts of the prompt from another replica.
	Fetched bool
}

// Read parses the event logs of edges. It ignores any text before a line's first brace, such as a host name, and lines
// that aren't the end of a request.
func Read(readers ...io.Reader) (*Dataset, error) {
	d := &Dataset{}
	for _, r := range readers {
		lines := bufio.NewScanner(r)
		lines.Buffer(nil, maxLineBytes)
		for lines.Scan() {
			d.add(lines.Bytes())
		}
		if err := lines.Err(); err != nil {
			return nil, fmt.Errorf("read lines: %w", err)
		}
	}
	slices.SortStableFunc(d.Requests, func(a, b Request) int { return a.Ended.Compare(b.Ended) })
	if n := len(d.Requests); n > 0 && d.Requests[n-1].Ended.Sub(d.Requests[0].Ended) > maxSpan {
		return nil, fmt.Errorf("the logs span %s; the maximum is %s", d.Requests[n-1].Ended.Sub(d.Requests[0].Ended), maxSpan)
	}
	return d, nil
}

func (d *Dataset) add(text []byte) {
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

// Start returns the end time of the first request, at which the first bin begins.
func (d *Dataset) Start() time.Time {
	if len(d.Requests) == 0 {
		return time.Time{}
	}
	return d.Requests[0].Ended
}

// Bins returns the number of bins of the given length between the first and the last request.
func (d *Dataset) Bins(length time.Duration) int {
	if len(d.Requests) == 0 {
		return 0
	}
	return int(d.Requests[len(d.Requests)-1].Ended.Sub(d.Start())/length) + 1
}

// Series holds a value for each bin, by name.
type Series map[string][]float64

func (s Series) add(name string, bin, bins int, value float64) {
	if s[name] == nil {
		s[name] = make([]float64, bins)
	}
	s[name][bin] += value
}

// Names returns the names in alphabetical order.
func (s Series) Names() []string { return slices.Sorted(maps.Keys(s)) }

// count sums value(request) over the requests of each bin and name; requests with an empty name are skipped.
func (d *Dataset) count(length time.Duration, name func(*Request) string, value func(*Request) float64) Series {
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

// Attainment returns the share of requests that met their targets, by class. Bins without a request of the class repeat
// the value of the previous bin, or 1 if there is none.
func (d *Dataset) Attainment(length time.Duration) Series {
	class := func(r *Request) string { return r.Class }
	all := d.count(length, class, one)
	inTime := d.count(length, class, func(r *Request) float64 {
		if r.InTime {
			return 1
		}
		return 0
	})
	for name, counts := range all {
		last := 1.0
		for bin, n := range counts {
			if n > 0 {
				last = inTime[name][bin] / n
			}
			inTime[name][bin] = last
		}
	}
	return inTime
}

// Refusals returns the number of requests that were refused without being run, by code.
func (d *Dataset) Refusals(length time.Duration) Series {
	return d.count(length, func(r *Request) string { return r.Refused }, one)
}

// PlacementReasons returns the number of requests by placement reason. The series "fetched" is the number of those that
// fetched shared parts of their prompts.
func (d *Dataset) PlacementReasons(length time.Duration) Series {
	placed := func(r *Request) bool { return r.Upstream != "" && r.Refused == "" }
	s := d.count(length, func(r *Request) string {
		if !placed(r) {
			return ""
		}
		return r.Reason
	}, one)
	fetched := d.count(length, func(r *Request) string {
		if !placed(r) || !r.Fetched {
			return ""
		}
		return "fetched"
	}, one)
	maps.Copy(s, fetched)
	return s
}

// Replicas returns the number of distinct replicas that were chosen for requests, by placement reason.
func (d *Dataset) Replicas(length time.Duration) Series {
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
