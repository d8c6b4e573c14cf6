package main

import (
	"bufio"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Names of the configuration.
const (
	host   = "shop.example"
	apiKey = "n2ctnfzs989anu6wsjnb"
	tenant = "hule930"
)

// fleet is a small deployment on loopback: edges and replicas as processes, and the store in this one.
type fleet struct {
	dir      string
	root     string
	store    *store
	edges    []*edge
	replicas []*replicaProcess
	began    time.Time

	mu     sync.Mutex
	record *bufio.Writer
	file   *os.File
}

func newFleet(root, recordFile string) (*fleet, error) {
	dir, err := os.MkdirTemp("", "case")
	if err != nil {
		return nil, err
	}
	file, err := os.Create(recordFile)
	if err != nil {
		return nil, err
	}
	f := &fleet{dir: dir, root: root, began: time.Now(), file: file, record: bufio.NewWriter(file)}
	f.store, err = startStore()
	return f, err
}

// note writes a line of the record.
func (f *fleet) note(format string, args ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	fmt.Fprintf(f.record, "%8.3f s  %s\n", time.Since(f.began).Seconds(), fmt.Sprintf(format, args...))
}

// say is note, also on the output.
func (f *fleet) say(format string, args ...any) {
	f.note(format, args...)
	fmt.Printf("%8.3f s  %s\n", time.Since(f.began).Seconds(), fmt.Sprintf(format, args...))
}

// close ends all processes that the fleet has started.
func (f *fleet) close() {
	for _, e := range f.edges {
		e.signal(syscall.SIGCONT)
		e.signal(syscall.SIGKILL)
		e.wait(5 * time.Second)
	}
	for _, r := range f.replicas {
		r.kill()
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	_ = f.record.Flush()
	_ = f.file.Close()
	_ = os.RemoveAll(f.dir)
}

// edge is one machine with the role edge.
type edge struct {
	fleet *fleet
	name  string
	ip    string
	front string
	ready string
	file  string
	log   string

	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
}

// addEdges adds edges with the given fields in their settings, beside the usual ones.
func (f *fleet) addEdges(count int, fields map[string]string) error {
	// The machines of a deployment have the same ports at different addresses.
	net2, net3 := 1+rand.N(250), 1+rand.N(250)
	base := 20000 + rand.N(8000)
	var seeds []string
	for i := range min(count, 3) {
		seeds = append(seeds, fmt.Sprintf("127.%d.%d.%d:%d", net2, net3, 10+i, base+3))
	}
	for i := range count {
		ip := fmt.Sprintf("127.%d.%d.%d", net2, net3, 10+i)
		e := &edge{fleet: f, name: fmt.Sprintf("edge-a-%d", i+1), ip: ip}
		e.front, e.ready = fmt.Sprintf("%s:%d", ip, base), fmt.Sprintf("%s:%d", ip, base+1)
		e.file, e.log = filepath.Join(f.dir, e.name+".conf"), filepath.Join(f.dir, e.name+".log")
		values := map[string]string{
			"node_name": e.name, "role": "edge", "instance_type": "edge", "serves": "edge,control_plane", "ip": ip, "zone": "a", "region": "r", "zones.a": "r",
			"listen.front": e.front, "listen.ready": e.ready, "listen.control": fmt.Sprintf("%s:%d", ip, base+3),
			"port_range": fmt.Sprintf("%d,%d", base+10, base+25), "seeds": strings.Join(seeds, ","),
			"bootstrap": "true", "counts_as_loss": "false", "limits.cpu_share": "0.304", "limits.cores": "1", "limits.memory_mb": "284", "limits.max_fds": "4100",
			"limits.link_mbps": "1000.0", "limits.disk_mb": "0", "discovery": "platform", "entry": "vip", "heartbeat_ms": "1200",
			"contracts":         "base,drain,config,cost,retry,recover,engine,stream,tenants,platform",
			"bounds.contact_ms": "3000", "bounds.drain_ms": "2000", "bounds.grace_s": "8", "bounds.loss_slack_ms": "200", "bounds.config_ms": "2000",
			"bounds.retry_budget_ratio": "0.2", "bounds.budget_window_s": "10", "bounds.budget_slack": "54",
			"provider.address": f.store.address, "provider.form": "objects", "provider.writes_per_s": "400", "provider.reads_per_s": "2000",
			"provider.history_s": "20", "provider.value_bytes": "1048576",
		}
		maps.Copy(values, fields)
		var text strings.Builder
		for _, name := range slices.Sorted(maps.Keys(values)) {
			fmt.Fprintf(&text, "%s=%s\n", name, values[name])
		}
		if err := os.WriteFile(e.file, []byte(text.String()), 0o600); err != nil {
			return err
		}
		f.edges = append(f.edges, e)
		if err := e.start(); err != nil {
			return err
		}
	}
	return nil
}

// start starts the process with the command of the deploy file.
func (e *edge) start() error {
	log, err := os.OpenFile(e.log, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(filepath.Join(e.fleet.root, "target/dragonflypin"), "edge", "--config", "deploy/edge.json")
	cmd.Dir = e.fleet.root
	cmd.Env = []string{"DRAGONFLYPIN_NODE_FILE=" + e.file, "PATH=" + os.Getenv("PATH"), "HOME=" + e.fleet.dir}
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	e.mu.Lock()
	e.cmd, e.exited = cmd, exited
	e.mu.Unlock()
	e.fleet.note("%s starts at %s, process %d", e.name, e.front, cmd.Process.Pid)
	go func() {
		err := cmd.Wait()
		_ = log.Close()
		e.fleet.note("%s: process %d has ended: %v", e.name, cmd.Process.Pid, err)
		close(exited)
	}()
	return nil
}

func (e *edge) signal(s syscall.Signal) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.running() {
		_ = e.cmd.Process.Signal(s)
	}
}

// running is called with the lock.
func (e *edge) running() bool {
	if e.cmd == nil {
		return false
	}
	select {
	case <-e.exited:
		return false
	default:
		return true
	}
}

func (e *edge) hasEnded() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return !e.running()
}

func (e *edge) wait(timeout time.Duration) {
	e.mu.Lock()
	exited := e.exited
	e.mu.Unlock()
	if exited == nil {
		return
	}
	select {
	case <-exited:
	case <-time.After(timeout):
	}
}

func (e *edge) isReady() bool {
	client := http.Client{Timeout: 500 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + e.ready + "/readyz")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// lastLog returns lines of the edge's log that contain the text.
func (e *edge) logLines(text string, most int) []string {
	data, _ := os.ReadFile(e.log)
	var found []string
	for line := range strings.Lines(string(data)) {
		if strings.Contains(line, text) && len(found) < most {
			found = append(found, strings.TrimSpace(line))
		}
	}
	return found
}

// waitReady waits until all edges are ready.
func (f *fleet) waitReady(timeout time.Duration) bool {
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if !slices.ContainsFunc(f.edges, func(e *edge) bool { return !e.isReady() }) {
			return true
		}
	}
	return false
}

// replicaProcess is a replica in a process of its own.
type replicaProcess struct {
	fleet       *fleet
	id, service string
	address     string
	cmd         *exec.Cmd
	input       io.WriteCloser
	exited      chan struct{}
	start       int64
	stopBeats   chan struct{}
	stopOnce    sync.Once

	mu      sync.Mutex
	arrived map[string]int
	ran     map[string]int
	whole   map[string]bool
}

// addReplica starts a replica; its entry is written by register.
func (f *fleet) addReplica(id, service string, flags ...string) (*replicaProcess, error) {
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	r := &replicaProcess{
		fleet: f, id: id, service: service, exited: make(chan struct{}), start: time.Now().UnixMilli(), stopBeats: make(chan struct{}),
		arrived: map[string]int{}, ran: map[string]int{}, whole: map[string]bool{},
	}
	r.cmd = exec.Command(self, append([]string{"replica", "-id", id, "-address", "127.0.0.1:0"}, flags...)...)
	if r.input, err = r.cmd.StdinPipe(); err != nil {
		return nil, err
	}
	output, err := r.cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	r.cmd.Stderr = os.Stderr
	if err := r.cmd.Start(); err != nil {
		return nil, err
	}
	lines := bufio.NewScanner(output)
	if !lines.Scan() {
		return nil, fmt.Errorf("replica %s did not start", id)
	}
	r.address = strings.TrimPrefix(lines.Text(), "listens ")
	f.replicas = append(f.replicas, r)
	f.note("replica %s of %s listens on %s, process %d", id, service, r.address, r.cmd.Process.Pid)
	go func() {
		for lines.Scan() {
			r.onLine(lines.Text())
		}
		_ = r.cmd.Wait()
		f.note("replica %s has ended", id)
		close(r.exited)
	}()
	return r, nil
}

func (r *replicaProcess) onLine(line string) {
	r.fleet.note("replica %s: %s", r.id, line)
	words := strings.Fields(line)
	if len(words) < 2 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	switch words[0] {
	case "arrives":
		r.arrived[words[1]]++
	case "runs":
		r.ran[words[1]]++
	case "ends":
		r.whole[words[1]] = true
	}
}

func (r *replicaProcess) hasRun(attempt string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ran[attempt]
}

func (r *replicaProcess) hasArrived(attempt string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.arrived[attempt] > 0
}

func (r *replicaProcess) hasEndedWhole(attempt string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.whole[attempt]
}

func (r *replicaProcess) entry(address, state string, seq int) map[string]any {
	return map[string]any{
		"service": r.service, "address": address, "zone": "a", "version": "v1", "slots": 64, "state": state, "cold_left_ms": 0, "seq": seq, "born": r.start,
	}
}

// register writes the replica's entry and renews it, as replicas do. The address is that of a proxy in front of it, if there is one.
func (r *replicaProcess) register(address string) {
	r.fleet.store.put("servers", r.id, r.entry(address, "ready", 0))
	go func() {
		for seq := 1; ; seq++ {
			select {
			case <-r.stopBeats:
				return
			case <-time.After(1200 * time.Millisecond):
				r.fleet.store.put("servers", r.id, r.entry(address, "ready", seq))
			}
		}
	}()
}

// drain writes that the replica drains.
func (r *replicaProcess) drain(address string) {
	r.stop()
	r.fleet.store.put("servers", r.id, r.entry(address, "draining", 1<<20))
	r.fleet.note("replica %s is draining in the store", r.id)
}

func (r *replicaProcess) stop() { r.stopOnce.Do(func() { close(r.stopBeats) }) }

// leave makes the process end as servers do at a planned stop.
func (r *replicaProcess) leave() { _, _ = io.WriteString(r.input, "leave\n") }

// kill ends the process.
func (r *replicaProcess) kill() {
	r.stop()
	_ = r.cmd.Process.Kill()
	select {
	case <-r.exited:
	case <-time.After(5 * time.Second):
	}
}

// route returns a route of the configuration.
func route(name, kind, service string, more map[string]any) map[string]any {
	r := map[string]any{
		"name": name, "hostname": host, "path_prefix": "/" + name + "/", "service": service, "kind": kind,
		"timeout_ms": 12000, "target_latency_ms": 1500, "target_gap_ms": 1000, "max_attempts": 1, "priority": 1,
	}
	maps.Copy(r, more)
	return r
}

// configure writes a version of the configuration.
func (f *fleet) configure(version int, routes ...map[string]any) {
	services := map[string]bool{}
	for _, r := range routes {
		services[r["service"].(string)] = true
	}
	var list []map[string]any
	for _, name := range slices.Sorted(maps.Keys(services)) {
		list = append(list, map[string]any{"name": name, "health_path": "/healthz", "max_conns": 360})
	}
	f.store.put("config", "main", map[string]any{
		"version": version, "routes": routes, "services": list,
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 5000, "idle_timeout_ms": 30000},
		"tenants": []map[string]any{{"name": tenant, "api_keys": []string{apiKey}}},
	})
	f.note("configuration %d is in the store", version)
}

// answer is what a client has got.
type answer struct {
	status    int
	signature string
	body      string
	// complete is set if the answer has its regular end.
	complete bool
	// closed is set if the connection ended without a whole answer, and err says how.
	err error
	at  time.Time
}

// client is one connection of a client.
type client struct {
	conn   net.Conn
	reader *bufio.Reader
}

func dial(address string) (*client, error) {
	c, err := net.DialTimeout("tcp4", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &client{c, bufio.NewReader(c)}, nil
}

func (c *client) close() { _ = c.conn.Close() }

// send sends a request and reads its answer.
func (c *client) send(method, path, attempt string, deadline time.Duration) answer {
	_ = c.conn.SetDeadline(time.Now().Add(deadline + time.Second))
	_, err := fmt.Fprintf(c.conn, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Api-Key: %s\r\nX-Deadline-Ms: %d\r\nContent-Length: 0\r\n\r\n",
		method, path, host, attempt, apiKey, deadline.Milliseconds())
	if err != nil {
		return answer{err: err, at: time.Now()}
	}
	resp, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	if err != nil {
		return answer{err: err, at: time.Now()}
	}
	body, err := io.ReadAll(resp.Body)
	return answer{resp.StatusCode, resp.Header.Get("X-Response-Signature"), string(body), err == nil, err, time.Now()}
}

var attempts = rand.Uint64()

var attemptsMu sync.Mutex

// newAttempt returns the ID of a client attempt.
func newAttempt() string {
	attemptsMu.Lock()
	defer attemptsMu.Unlock()
	attempts += 0x9E3779B97F4A7C15
	return fmt.Sprintf("%016x", attempts)
}
