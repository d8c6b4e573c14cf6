// Package cli parses the command line and runs the subcommands.
package cli

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os/signal"
	"syscall"

	"github.com/jessevdk/go-flags"
	"github.com/joomcode/errorx"

	"github.com/dragonflypin/dragonflypin/internal/process/settings"
)

// Exit statuses.
const (
	exitDone   = 0
	exitFailed = 1
	exitUsage  = 2
)

// errUsage is the type of errors about invalid arguments.
var errUsage = errorx.NewNamespace("cli").NewType("usage")

func newUsageError(text string) error { return errUsage.New("%s", text) }

// usageMessage returns the text of a usage error without the errorx type name, and whether err is a usage error.
func usageMessage(err error) (string, bool) {
	var e *errorx.Error
	if !errors.As(err, &e) || !e.IsOfType(errUsage) {
		return "", false
	}
	return e.Message(), true
}

// Run executes one command line and returns the exit status. SIGINT and SIGTERM shut down a running command gracefully.
func Run(args []string, stdout, stderr io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	parser := flags.NewNamedParser("dragonflypin", flags.HelpFlag|flags.PassDoubleDash)
	parser.ShortDescription = "router for language-model traffic"
	parser.LongDescription = "Routes language-model traffic with service levels and priorities. " +
		"Start with: dragonflypin demo. Exit status: 0 success, 1 failure, 2 invalid usage or settings."
	if err := addCommands(parser, environment{ctx: ctx, out: stdout, err: stderr}); err != nil {
		panic(err) // a bug in the command definitions, which are constant
	}
	parser.CommandHandler = execute
	_, err := parser.ParseArgs(args)
	return exitStatus(err, stdout, stderr)
}

// commandError is an error returned by a command, as opposed to an error of the command-line parser.
type commandError struct{ err error }

// Error implements error.
func (e *commandError) Error() string { return e.err.Error() }

// Unwrap returns the command's error.
func (e *commandError) Unwrap() error { return e.err }

func execute(c flags.Commander, args []string) error {
	if c == nil {
		return newUsageError("a command is missing")
	}
	if err := c.Execute(args); err != nil {
		return &commandError{err}
	}
	return nil
}

// environment holds the context and output streams of a command.
type environment struct {
	// ctx is cancelled on SIGINT or SIGTERM.
	ctx      context.Context
	out, err io.Writer
}

func exitStatus(err error, stdout, stderr io.Writer) int {
	var parseErr *flags.Error
	var runErr *commandError
	var settingsErr *settings.Error
	usage, isUsage := usageMessage(err)
	switch {
	case err == nil:
		return exitDone
	case errors.As(err, &parseErr) && parseErr.Type == flags.ErrHelp:
		_, _ = fmt.Fprintln(stdout, parseErr.Message)
		return exitDone
	case isUsage:
		_, _ = fmt.Fprintln(stderr, usage)
		return exitUsage
	case !errors.As(err, &runErr), errors.As(err, &settingsErr):
		_, _ = fmt.Fprintln(stderr, err)
		return exitUsage
	default:
		_, _ = fmt.Fprintln(stderr, err)
		return exitFailed
	}
}
