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

// errUsage is the type of errors about arguments that are not allowed.
var errUsage = errorx.NewNamespace("cli").NewType("usage")

func newUsageError(text string) error { return errUsage.New("%s", text) }

// usageMessage returns the text of a usage error, without the name of its type.
func usageMessage(err error) (string, bool) {
	var e *errorx.Error
	if !errors.As(err, &e) || !e.IsOfType(errUsage) {
		return "", false
	}
	return e.Message(), true
}

// Run executes one command line and returns the exit status. SIGINT and SIGTERM end a running command gracefully.
func Run(args []string, stdout, stderr io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	parser := flags.NewNamedParser("dragonflypin", flags.HelpFlag|flags.PassDoubleDash)
	parser.ShortDescription = "router for language-model traffic"
	parser.LongDescription = "Routes language-model traffic with service levels and priorities. " +
		"Start with: dragonflypin demo. Exit status: 0 success, 1 failure, 2 invalid usage or settings."
	if err := addCommands(parser, environment{ctx: ctx, out: stdout, err: stderr}); err != nil {
		panic(err) // the command definitions are constant
	}
	parser.CommandHandler = execute
	_, err := parser.ParseArgs(args)
	return exitStatus(err, stdout, stderr)
}

// commandError is an error of a command, as opposed to one of the command line's parser.
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

// environment is what every command needs.
type environment struct {
	// ctx ends with SIGINT or SIGTERM.
	ctx      context.Context
	out, err io.Writer
}

func exitStatus(err error, stdout, stderr io.Writer) int {
	var parse *flags.Error
	var run *commandError
	var bad *settings.Error
	usage, isUsage := usageMessage(err)
	switch {
	case err == nil:
		return exitDone
	case errors.As(err, &parse) && parse.Type == flags.ErrHelp:
		_, _ = fmt.Fprintln(stdout, parse.Message)
		return exitDone
	case isUsage:
		_, _ = fmt.Fprintln(stderr, usage)
		return exitUsage
	case !errors.As(err, &run), errors.As(err, &bad):
		_, _ = fmt.Fprintln(stderr, err)
		return exitUsage
	default:
		_, _ = fmt.Fprintln(stderr, err)
		return exitFailed
	}
}
