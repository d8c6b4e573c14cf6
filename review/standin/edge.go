package main

import (
	"bytes"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Edge runs the project's program with the command of the deploy file, on one loopback address.
type Edge struct {
	name, address string
	memoryMB      int
	dir           string
	settings      string
	rec           *Record

	mu      sync.Mutex
	cmd     *exec.Cmd
	stopped bool
	// kills is the number of times that the platform ended the process for its memory.
	kills  atomic.Int32
	peakKB atomic.Int64
	done   chan struct{}
}

// Ports of an edge.
const (
	portFront   = 8227
	portReady   = 8220
	portControl = 8229
	portPeers   = 7340
)

// deployCommand is the command of deploy/system.toml, run in the repository's root.
var deployCommand = []string{"target/dragonflypin", "edge", "--config", "deploy/edge.json"}

func newEdge(rec *Record, dir, name, address, store string, seeds []string, memoryMB int) (*Edge, error) {
	e := &Edge{name: name, address: address, memoryMB: memoryMB, dir: dir, rec: rec, done: make(chan struct{})}
	e.settings = filepath.Join(dir, name+".conf")
	var control []string
	for _, s := range seeds {
		control = append(control, fmt.Sprintf("%s:%d", s, portControl))
	}
	lines := []string{
		"node_name=" + name, "role=edge", "instance_type=edge", "serves=edge,control_plane", "ip=" + address,
		"zone=furano-1", "region=dochu", "zones.furano-1=dochu",
		fmt.Sprintf("listen.front=%s:%d", address, portFront), fmt.Sprintf("listen.ready=%s:%d", address, portReady),
		fmt.Sprintf("listen.control=%s:%d", address, portControl), fmt.Sprintf("port_range=%d,%d", portPeers, portPeers+15),
		"seeds=" + strings.Join(control, ","), "bootstrap=true", "counts_as_loss=false",
		"limits.cpu_share=0.304", "limits.cores=1", "limits.memory_mb=" + strconv.Itoa(memoryMB), "limits.max_fds=4100",
		"limits.link_mbps=1000.0", "limits.disk_mb=0", "discovery=platform", "entry=vip", "heartbeat_ms=1200",
		"contracts=base,drain,config,cost,retry,recover,engine,stream,tenants,platform",
		"bounds.seed_lag_s=3", "bounds.reuse_after_s=2", "bounds.contact_ms=3000", "bounds.ack_ms=4000", "bounds.catch_up_s=4",
		"bounds.drain_ms=2000", "bounds.grace_s=8", "bounds.loss_slack_ms=200", "bounds.config_ms=2000",
		"bounds.downgrade_slack_ms=250", "bounds.max_stretch_ms=5000", "bounds.strict_revoke=false", "bounds.revoke_ms=5000",
		"bounds.retry_budget_ratio=0.2", "bounds.budget_window_s=10", "bounds.budget_slack=58", "bounds.recovery_s=12",
		"bounds.pass_ms=120", "bounds.reuse_window_s=8.6",
		"provider.address=" + store, "provider.form=objects", "provider.writes_per_s=400", "provider.reads_per_s=2000",
		"provider.history_s=20", "provider.value_bytes=1048576", "provider.min_ttl_ms=1000",
	}
	return e, os.WriteFile(e.settings, []byte(strings.Join(lines, "\n")+"\n"), 0o600)
}

func (e *Edge) addr(port int) string { return fmt.Sprintf("%s:%d", e.address, port) }

func (e *Edge) start() error {
	log, err := os.OpenFile(filepath.Join(e.dir, e.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command(deployCommand[0], deployCommand[1:]...)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "DRAGONFLYPIN_NODE_FILE=" + e.settings}
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.stopped {
		return errStopped
	}
	if err := cmd.Start(); err != nil {
		return err
	}
	e.cmd = cmd
	e.rec.line("%s started", e.name)
	return nil
}

// errStopped is returned by start after stop: the process must not be started again.
var errStopped = errors.New("stopped")

// restartDelay is the platform's delay before it starts an ended process again.
const restartDelay = 500 * time.Millisecond

// supervise does what the platform does: it ends a process that exceeds its memory and starts ended processes again.
func (e *Edge) supervise() {
	defer close(e.done)
	for {
		e.mu.Lock()
		cmd := e.cmd
		e.mu.Unlock()
		exited := make(chan error, 1)
		go func() { exited <- cmd.Wait() }()
		var err error
		for running := true; running; {
			select {
			case err = <-exited:
				running = false
			case <-time.After(5 * time.Millisecond):
				kb := residentKB(cmd.Process.Pid)
				if kb > e.peakKB.Load() {
					e.peakKB.Store(kb)
				}
				if kb > int64(e.memoryMB)<<10 {
					e.kills.Add(1)
					e.rec.line("%s uses %d KB, over its limit of %d MB: the platform kills it", e.name, kb, e.memoryMB)
					_ = cmd.Process.Kill()
					err = <-exited
					running = false
				}
			}
		}
		e.mu.Lock()
		stopped := e.stopped
		e.mu.Unlock()
		if stopped {
			return
		}
		e.rec.line("%s ended: %v", e.name, err)
		time.Sleep(restartDelay)
		err = e.start()
		if errors.Is(err, errStopped) {
			return
		}
		if err != nil {
			e.rec.line("%s does not start: %v", e.name, err)
			return
		}
	}
}

// residentKB returns the resident memory of a process that this one started, without that of files (its program).
func residentKB(pid int) int64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for _, line := range bytes.Split(data, []byte("\n")) {
		if rest, ok := bytes.CutPrefix(line, []byte("RssAnon:")); ok {
			kb, _ := strconv.ParseInt(strings.Fields(string(rest))[0], 10, 64)
			return kb
		}
	}
	return 0
}

func (e *Edge) signal(s syscall.Signal) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.cmd != nil {
		_ = e.cmd.Process.Signal(s)
	}
}

func (e *Edge) stop() {
	e.mu.Lock()
	e.stopped = true
	if e.cmd != nil {
		_ = e.cmd.Process.Kill()
	}
	e.mu.Unlock()
	<-e.done
}

func (e *Edge) ready() bool {
	client := &http.Client{Timeout: 500 * time.Millisecond}
	resp, err := client.Get("http://" + e.addr(portReady) + "/readyz")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}
