package cli

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/dragonflypin/dragonflypin/internal/process/eventlog"
	"github.com/dragonflypin/dragonflypin/internal/process/settings"
	"github.com/dragonflypin/dragonflypin/internal/standin/engine"
	"github.com/dragonflypin/dragonflypin/internal/standin/instances"
	"github.com/dragonflypin/dragonflypin/internal/standin/service"
	"github.com/dragonflypin/dragonflypin/internal/standin/store"
)

// standinDrainTimeout is the timeout of the graceful shutdown of a stand-in.
const standinDrainTimeout = 10 * time.Second

// headerTimeout is the timeout for reading a request header.
const headerTimeout = 10 * time.Second

type standinOptions struct {
	env    environment
	Listen string `long:"listen" value-name:"HOST:PORT" default:"127.0.0.1:0" description:"address to listen on; port 0 selects a free port"`
	Config string `long:"config" value-name:"FILE" description:"settings file (JSON); default: all settings have their defaults"`
}

// runStandin loads the settings of type T and serves until the context is done.
func runStandin[T any](o standinOptions, args []string, name string, build func(T) http.Handler) error {
	if err := noArguments(args); err != nil {
		return err
	}
	var opts T
	settings.ApplyDefaults(&opts)
	if o.Config != "" {
		loaded, err := settings.Load[T](o.Config)
		if err != nil {
			return err
		}
		opts = loaded
	}
	listener, err := net.Listen("tcp", o.Listen)
	if err != nil {
		return fmt.Errorf("listen on %q: %w", o.Listen, err)
	}
	address := listener.Addr().String()
	log := eventlog.New(o.env.err, "info", "standin", name)
	log.Emit(eventlog.StandinStarted, eventlog.Name(name), eventlog.Address(address))
	_, _ = fmt.Fprintf(o.env.out, "listening http://%s\n", address)
	return serve(o.env.ctx, listener, build(opts))
}

func serve(ctx context.Context, listener net.Listener, handler http.Handler) error {
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}
	serveErr := make(chan error, 1)
	go func() { serveErr <- server.Serve(listener) }()
	select {
	case err := <-serveErr:
		return fmt.Errorf("serve: %w", err)
	case <-ctx.Done():
	}
	drainCtx, cancel := context.WithTimeout(context.Background(), standinDrainTimeout)
	defer cancel()
	if err := server.Shutdown(drainCtx); err != nil && !errors.Is(err, context.DeadlineExceeded) {
		return fmt.Errorf("shut down: %w", err)
	}
	return server.Close()
}

type storeCommand struct{ standinOptions }

// Execute implements flags.Commander.
func (c *storeCommand) Execute(args []string) error {
	return runStandin(c.standinOptions, args, "store", func(o store.Options) http.Handler { return store.New(o) })
}

type instancesCommand struct{ standinOptions }

// Execute implements flags.Commander.
func (c *instancesCommand) Execute(args []string) error {
	return runStandin(c.standinOptions, args, "instances", func(o instances.Options) http.Handler { return instances.New(o) })
}

type engineCommand struct{ standinOptions }

// Execute implements flags.Commander.
func (c *engineCommand) Execute(args []string) error {
	return runStandin(c.standinOptions, args, "engine", func(o engine.Options) http.Handler { return engine.New(o) })
}

type serviceCommand struct{ standinOptions }

// Execute implements flags.Commander.
func (c *serviceCommand) Execute(args []string) error {
	return runStandin(c.standinOptions, args, "service", func(o service.Options) http.Handler { return service.New(o) })
}
