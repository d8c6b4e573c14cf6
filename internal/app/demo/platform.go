package demo

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"time"

	"github.com/dragonflypin/dragonflypin/internal/process/eventlog"
	"github.com/dragonflypin/dragonflypin/internal/process/settings"
	"github.com/dragonflypin/dragonflypin/internal/process/store"
	"github.com/dragonflypin/dragonflypin/internal/standin/engine"
	"github.com/dragonflypin/dragonflypin/internal/standin/instances"
	"github.com/dragonflypin/dragonflypin/internal/standin/service"
	standinstore "github.com/dragonflypin/dragonflypin/internal/standin/store"
	"github.com/dragonflypin/dragonflypin/internal/version/directory"
	"github.com/dragonflypin/dragonflypin/internal/version/table"
)

const (
	headerTimeout = 10 * time.Second
	// seedCallsPerSecond is the rate limit of the writes that initialize the store.
	seedCallsPerSecond = 100
	loopback           = "127.0.0.1:0"
)

// platform runs the stand-ins of the demo.
type platform struct {
	list         *instances.List
	storeURL     string
	instancesURL string
	servers      []*http.Server
	log          *eventlog.Log
	// orderLogs holds the orders by plain service; the replicas of a service share them.
	orderLogs map[string]*service.OrderLog
}

func newPlatform(log *eventlog.Log) (*platform, error) {
	p := &platform{list: instances.New(instances.Options{}), log: log, orderLogs: make(map[string]*service.OrderLog)}
	var err error
	if p.storeURL, err = p.serve("store", standinstore.New(standinstore.Options{})); err != nil {
		return nil, err
	}
	if p.instancesURL, err = p.serve("instances", p.list); err != nil {
		p.close()
		return nil, err
	}
	return p, nil
}

// serve starts a stand-in on a free loopback port and returns its base URL. It logs the address, which also serves
// PUT /faults.
func (p *platform) serve(name string, h http.Handler) (string, error) {
	listener, err := net.Listen("tcp", loopback)
	if err != nil {
		return "", fmt.Errorf("listen for a stand-in: %w", err)
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout}
	p.servers = append(p.servers, server)
	go func() { _ = server.Serve(listener) }()
	p.log.Emit(eventlog.StandinStarted, eventlog.Name(name), eventlog.Address(listener.Addr().String()))
	return "http://" + listener.Addr().String(), nil
}

func (p *platform) close() {
	for _, server := range p.servers {
		_ = server.Close()
	}
}

// upstream starts one replica of a service and returns its base URL.
func (p *platform) upstream(s upstreamService, name string) (string, error) {
	if s.kind == settings.KindEngine {
		return p.serve(name, engine.New(engine.Options{Name: name, Models: []string{s.model}, Slots: engineSlots}))
	}
	orderLog := p.orderLogs[s.name]
	if orderLog == nil {
		orderLog = service.NewOrderLog(s.name)
		p.orderLogs[s.name] = orderLog
	}
	return p.serve(name, service.NewReplica(service.Options{Name: name}, orderLog))
}

// accessKeys holds the keys of the demo in plain text; the directory stores only their hashes.
type accessKeys struct {
	workspaces, operators []namedKey
}

type namedKey struct{ name, key string }

// seed writes the directory and the sample table to the store; the table is written as one edit by each owner.
func (p *platform) seed(ctx context.Context) (accessKeys, error) {
	client, err := store.NewHTTP(store.Options{BaseURL: p.storeURL, CallsPerSecond: seedCallsPerSecond})
	if err != nil {
		return accessKeys{}, err
	}
	dir, keys := newDirectory()
	value, err := json.Marshal(dir)
	if err != nil {
		return accessKeys{}, err
	}
	if _, err := client.Create(ctx, directory.Kind, directory.Name, value); err != nil {
		return accessKeys{}, fmt.Errorf("write the directory: %w", err)
	}
	return keys, seedTable(ctx, client)
}

func seedTable(ctx context.Context, client store.Client) error {
	var latest *table.Compiled
	publisher := table.NewPublisher(client, func() *table.Compiled { return latest }, func(v *table.Version) { latest = table.Compile(v) })
	var list []table.Row
	for base, owner := range []string{ownerJadestone, ownerFurano} {
		for _, row := range rows {
			if row.Owner == owner {
				list = append(list, row)
			}
		}
		edit := table.Edit{Author: owner, Reason: "sample table", Base: uint64(base), Rows: slices.Clone(list)}
		if _, err := publisher.Apply(ctx, edit); err != nil {
			return fmt.Errorf("write the sample table: %w", err)
		}
	}
	return nil
}

func newDirectory() (directory.Directory, accessKeys) {
	var dir directory.Directory
	var keys accessKeys
	for _, owner := range []string{ownerJadestone, ownerFurano} {
		operator := namedKey{owner, "op-" + rand.Text()}
		keys.operators = append(keys.operators, operator)
		dir.Operators = append(dir.Operators, directory.Operator{Owner: owner, KeySHA256: directory.HashKey(operator.key)})
		for _, name := range workspaceNames[owner] {
			workspace := namedKey{name, "ws-" + rand.Text()}
			keys.workspaces = append(keys.workspaces, workspace)
			dir.Workspaces = append(dir.Workspaces, directory.Workspace{
				Name: name, Owner: owner, KeySHA256: directory.HashKey(workspace.key),
				Classes: classNames[owner], DefaultClass: classNames[owner][0],
			})
		}
	}
	return dir, keys
}
