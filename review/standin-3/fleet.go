package main

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// fleet is a small deployment on loopback addresses: a store, replicas and edges, with the ports of the pages' examples.
type fleet struct {
	net     string // the first three numbers of its addresses
	root    string // the repository
	temp    string
	store   *objectStore
	record  *recorder
	mu      sync.Mutex
	edges   []*edgeProcess
	bounds  map[string]string
	next    int
	version int
	stop    chan struct{}
}

const storePort, frontPort, readyPort, controlPort, metricsPort, peerPort = 8223, 8227, 8220, 8229, 9180, 7340

func newFleet(record *recorder) (*fleet, error) {
	root, err := os.Getwd()
	if err != nil {
		return nil, err
	}
	temp, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		return nil, err
	}
	f := &fleet{root: root, temp: temp, record: record, next: 40, stop: make(chan struct{}), bounds: map[string]string{}}
	for range 50 {
		f.net = fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), 1+rand.IntN(250))
		if f.store, err = newStore(f.ip(7) + fmt.Sprintf(":%d", storePort)); err == nil {
			return f, nil
		}
	}
	return nil, err
}

func (f *fleet) ip(n int) string { return fmt.Sprintf("%s.%d", f.net, n) }

// end ends all processes of the fleet.
func (f *fleet) end() {
	close(f.stop)
	for _, e := range f.edges {
		e.kill()
	}
	_ = f.store.server.Close()
	if os.Getenv("KEEP_LOGS") == "" {
		_ = os.RemoveAll(f.temp)
	}
}

// edgeProcess is one edge machine with its process.
type edgeProcess struct {
	name, ip string
	// store is the address at which the machine calls the store.
	store string
	cmd   *exec.Cmd
	done  chan struct{}
}

func (e *edgeProcess) front() string { return fmt.Sprintf("%s:%d", e.ip, frontPort) }

// newEdge returns a machine at a new address, without a process.
func (f *fleet) newEdge(name string) *edgeProcess {
	f.next++
	e := &edgeProcess{name: name, ip: f.ip(f.next)}
	f.edges = append(f.edges, e)
	return e
}

// start starts the machine's process with the command of the deploy file.
func (f *fleet) start(e *edgeProcess, seeds ...*edgeProcess) error {
	var list []string
	for _, s := range seeds {
		list = append(list, fmt.Sprintf("%s:%d", s.ip, controlPort))
	}
	if e.store == "" {
		e.store = f.store.address
	}
	values := []string{
		"node_name=" + e.name, "role=edge", "instance_type=edge", "serves=edge,control_plane", "ip=" + e.ip, "zone=tw-central-a", "region=tw-central",
		"zones.tw-central-a=tw-central", "zones.tw-central-b=tw-central", "zones.tw-central-c=tw-central",
		fmt.Sprintf("listen.front=%s:%d", e.ip, frontPort), fmt.Sprintf("listen.ready=%s:%d", e.ip, readyPort), fmt.Sprintf("listen.control=%s:%d", e.ip, controlPort),
		fmt.Sprintf("port_range=%d,%d", peerPort, peerPort+15), "seeds=" + strings.Join(list, ","), "bootstrap=true", "counts_as_loss=false",
		"limits.cpu_share=0.304", "limits.cores=1", "limits.memory_mb=284", "limits.max_fds=4100", "limits.link_mbps=1000.0", "limits.disk_mb=0",
		"discovery=platform", "entry=vip", "heartbeat_ms=1200", "contracts=base,drain,config,cost,retry,recover,engine,stream,tenants,platform",
		"fault_tolerance.machines=2", "fault_tolerance.zones=0", "fault_tolerance.regions=0",
		"bounds.seed_lag_s=3", "bounds.reuse_after_s=2", "bounds.contact_ms=3000", "bounds.ack_ms=4000", "bounds.catch_up_s=4", "bounds.drain_ms=2000",
		"bounds.grace_s=8", "bounds.loss_slack_ms=200", "bounds.config_ms=2000", "bounds.downgrade_slack_ms=250", "bounds.max_stretch_ms=5000",
		"bounds.strict_revoke=false", "bounds.revoke_ms=5000", "bounds.retry_budget_ratio=0.2", "bounds.budget_window_s=10", "bounds.budget_slack=54",
		"bounds.recovery_s=12", "bounds.pass_ms=120", "bounds.reuse_window_s=10",
		"provider.address=" + e.store, "provider.form=objects", "provider.writes_per_s=400", "provider.reads_per_s=2000", "provider.history_s=20",
		"provider.value_bytes=1048576", "provider.min_ttl_ms=1000",
	}
	file := filepath.Join(f.temp, e.name+".conf")
	if err := os.WriteFile(file, []byte(strings.Join(values, "\n")+"\n"), 0o600); err != nil {
		return err
	}
	out, err := os.OpenFile(filepath.Join(f.temp, e.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	e.cmd = exec.Command("target/dragonflypin", "edge", "--config", "deploy/edge.json")
	e.cmd.Dir, e.cmd.Stdout, e.cmd.Stderr = f.root, out, out
	e.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C", "DRAGONFLYPIN_NODE_FILE=" + file}
	e.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := e.cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	e.done = done
	go func(cmd *exec.Cmd) { _ = cmd.Wait(); _ = out.Close(); close(done) }(e.cmd)
	f.record.line("start %s", e.name)
	return nil
}

// kill ends the machine's process, if it has one.
func (e *edgeProcess) kill() {
	if e.cmd != nil {
		_ = e.cmd.Process.Kill()
		<-e.done
		e.cmd = nil
	}
}

// waitReady waits until the edges say that they are ready.
func (f *fleet) waitReady(within time.Duration, edges ...*edgeProcess) error {
	end := time.Now().Add(within)
	for _, e := range edges {
		for !e.ready() {
			if time.Now().After(end) {
				return fmt.Errorf("%s is not ready", e.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
		f.record.line("ready %s", e.name)
	}
	return nil
}

func (e *edgeProcess) ready() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	r, err := client.Get(fmt.Sprintf("http://%s:%d/readyz", e.ip, readyPort))
	if err != nil {
		return false
	}
	_ = r.Body.Close()
	return r.StatusCode == http.StatusOK
}

// recorder writes record.txt.
type recorder struct {
	mu    sync.Mutex
	out   *bufio.Writer
	file  *os.File
	began time.Time
}

func newRecorder(path string) (*recorder, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &recorder{out: bufio.NewWriter(file), file: file, began: time.Now()}, nil
}

func (r *recorder) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.out, "%8.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

func (r *recorder) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.out.Flush()
	_ = r.file.Close()
}

// answer is what a client has received.
type answer struct {
	status   int
	header   http.Header
	body     []byte
	complete bool
	err      error
}

// client is a caller that keeps one connection open.
type client struct{ http *http.Client }

func newClient() *client {
	return &client{&http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1, DisableCompression: true, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}}}
}

// send sends a request to the edge and reads the whole answer.
func (c *client) send(e *edgeProcess, method, host, path, attempt string, deadline time.Duration, header http.Header, body []byte) answer {
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+e.front()+path, bytes.NewReader(body))
	if err != nil {
		return answer{err: err}
	}
	for name, values := range header {
		req.Header[name] = values
	}
	req.Host = host
	req.Header.Set("X-Attempt-Id", attempt)
	req.Header.Set("X-Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	resp, err := c.http.Do(req)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	return answer{status: resp.StatusCode, header: resp.Header, body: data, complete: err == nil, err: err}
}

var attempts struct {
	sync.Mutex
	n int
}

// newAttempt returns a new attempt ID.
func newAttempt() string {
	attempts.Lock()
	defer attempts.Unlock()
	attempts.n++
	return fmt.Sprintf("%08x%08x", rand.Uint32(), attempts.n)
}

var errNotRun = errors.New("the case could not run")
