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

	"github.com/dragonflypin/dragonflypin/internal/process/settings"
)

// Exit statuses.
const (
	exitDone   = 0
	exitFailed = 1
	exitUsage  = 2
)

// usageError reports an argument that is not allowed.
type usageError struct{ text string }

func (e *usageError) Error() string { return e.text }

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
		return &usageError{"a command is missing"}
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
	var usage *usageError
	var bad *settings.Error
	switch {
	case err == nil:
		return exitDone
	case errors.As(err, &parse) && parse.Type == flags.ErrHelp:
		_, _ = fmt.Fprintln(stdout, parse.Message)
		return exitDone
	case !errors.As(err, &run), errors.As(err, &usage), errors.As(err, &bad):
		_, _ = fmt.Fprintln(stderr, err)
		return exitUsage
	default:
		_, _ = fmt.Fprintln(stderr, err)
		return exitFailed
	}
}
