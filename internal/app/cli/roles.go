package cli

import (
	"errors"
	"time"

	"github.com/dragonflypin/dragonflypin/internal/app/compose"
	"github.com/dragonflypin/dragonflypin/internal/app/demo"
	"github.com/dragonflypin/dragonflypin/internal/process/settings"
)

type demoCommand struct {
	env    environment
	Listen string        `long:"listen" value-name:"HOST:PORT" default:"127.0.0.1:8080" description:"address of the first entry"`
	For    time.Duration `long:"for" value-name:"DURATION" description:"end after this time, for example 90s; default: run until SIGINT or SIGTERM"`
}

// Execute implements flags.Commander.
func (c *demoCommand) Execute(args []string) error {
	if err := noArguments(args); err != nil {
		return err
	}
	if c.For < 0 {
		return newUsageError("--for must not be negative")
	}
	return demo.Run(c.env.ctx, demo.Options{Listen: c.Listen, Duration: c.For, Out: c.env.out, Log: c.env.err})
}

type roleOptions struct {
	env    environment
	Config string `long:"config" value-name:"FILE" required:"yes" description:"settings file (JSON)"`
}

// withSettingsFile adds the name of the settings file to an error about a file that the settings refer to.
func withSettingsFile(err error, file string) error {
	var settingsErr *settings.Error
	if errors.As(err, &settingsErr) {
		settingsErr.File = file
	}
	return err
}

type entryCommand struct{ roleOptions }

// Execute implements flags.Commander.
func (c *entryCommand) Execute(args []string) error {
	if err := noArguments(args); err != nil {
		return err
	}
	cfg, err := settings.Load[settings.Entry](c.Config)
	if err != nil {
		return err
	}
	keys, err := compose.LoadKeys(cfg.TLS, cfg.SigningKeyFile)
	if err != nil {
		return withSettingsFile(err, c.Config)
	}
	e, err := compose.NewEntry(cfg, keys, c.env.err)
	if err != nil {
		return err
	}
	return e.Run(c.env.ctx)
}

type sidecarCommand struct{ roleOptions }

// Execute implements flags.Commander.
func (c *sidecarCommand) Execute(args []string) error {
	if err := noArguments(args); err != nil {
		return err
	}
	cfg, err := settings.Load[settings.Sidecar](c.Config)
	if err != nil {
		return err
	}
	keys, err := compose.LoadKeys(cfg.TLS, cfg.SigningKeyFile)
	if err != nil {
		return withSettingsFile(err, c.Config)
	}
	s, err := compose.NewSidecar(cfg, keys, c.env.err)
	if err != nil {
		return err
	}
	return s.Run(c.env.ctx)
}
