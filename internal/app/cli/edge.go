package cli

import (
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/dragonflypin/dragonflypin/internal/app/compose"
	"github.com/dragonflypin/dragonflypin/internal/app/edge"
	"github.com/dragonflypin/dragonflypin/internal/connection/direct"
	"github.com/dragonflypin/dragonflypin/internal/process/boottime"
	"github.com/dragonflypin/dragonflypin/internal/process/duty"
	"github.com/dragonflypin/dragonflypin/internal/process/eventlog"
	"github.com/dragonflypin/dragonflypin/internal/process/metrics"
	"github.com/dragonflypin/dragonflypin/internal/process/settings"
	"github.com/dragonflypin/dragonflypin/internal/process/store"
	"github.com/dragonflypin/dragonflypin/platform"
)

const (
	roleEdge = "edge"
	// storeTimeout is the timeout of a store call. Responses take 4 ms, or 240 ms while the store is slow.
	storeTimeout = 1500 * time.Millisecond
	// storeConnectTimeout is the timeout for connecting to the store.
	storeConnectTimeout = time.Second
	// storeWatchGrace is added to the watch timeout, so that the response of a watch that reached it can still arrive.
	storeWatchGrace = time.Second
)

type edgeCommand struct{ roleOptions }

// Execute implements flags.Commander.
func (c *edgeCommand) Execute(args []string) error {
	if err := noArguments(args); err != nil {
		return err
	}
	cfg, err := settings.Load[settings.Edge](c.Config)
	if err != nil {
		return err
	}
	node, err := platform.LoadNode(platform.NodeFile())
	if err != nil {
		return err
	}
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	defer signal.Stop(hangup)
	lines := eventlog.NewBuffered(c.env.out)
	defer lines.Close()
	m, err := metrics.New(roleEdge, node.Name, node.Zone)
	if err != nil {
		return err
	}
	log := eventlog.New(lines, cfg.Log.Level, roleEdge, node.Name)
	client, err := newPlatformStore(node, cfg, m, log)
	if err != nil {
		return err
	}
	var api duty.Platform
	if node.Duties.Any() {
		api = platform.NewDuties(node.Duties.Address, boottime.Now)
	}
	e, err := edge.New(node, cfg, edge.Deps{
		Platform: api,
		Store:    client, Source: platform.Source(), Front: platform.Front{}, Dialect: platform.Dialect{},
		Log: log, Metrics: m,
		Reload: func() (settings.Node, error) { return platform.LoadNode(platform.NodeFile()) },
		Hangup: hangup, DroppedLines: lines.Dropped,
	})
	if err != nil {
		return err
	}
	return e.Run(c.env.ctx)
}

func newPlatformStore(node settings.Node, cfg settings.Edge, m *metrics.Metrics, log *eventlog.Log) (*store.HTTP, error) {
	return store.NewHTTP(store.Options{
		BaseURL: "http://" + node.StoreAddress.String(), Codec: platform.StoreCodec{},
		CallsPerSecond: cfg.StoreCallsPerSecond, Timeout: storeTimeout, Attempts: 1,
		WatchGrace: storeWatchGrace,
		Observer:   compose.StoreObserver(m),
		OnEra: func(before, era uint64) {
			m.StoreEra(era)
			if before > 0 {
				log.Emit(eventlog.StoreRestored, eventlog.Era(era))
			}
		},
		Transport: &http.Transport{DialContext: direct.Dialer(storeConnectTimeout).DialContext, DisableCompression: true, IdleConnTimeout: time.Minute},
	})
}
