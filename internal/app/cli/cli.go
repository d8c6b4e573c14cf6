// Package cli parses the command line and runs the subcommands.
package cli

import (
	"errors"
	"fmt"
	"io"

	"github.com/jessevdk/go-flags"
)

// Exit statuses.
const (
	exitDone   = 0
	exitFailed = 1
	exitUsage  = 2
)

// Run executes one command line and returns the exit status.
func Run(args []string, stdout, stderr io.Writer) int {
	parser := flags.NewNamedParser("dragonflypin", flags.HelpFlag|flags.PassDoubleDash)
	if err := addCommands(parser, stdout, stderr); err != nil {
		panic(err) // the command definitions are constant
	}
	_, err := parser.ParseArgs(args)
	return exitStatus(err, stdout, stderr)
}

func exitStatus(err error, stdout, stderr io.Writer) int {
	var usage *flags.Error
	switch {
	case err == nil:
		return exitDone
	case errors.As(err, &usage) && usage.Type == flags.ErrHelp:
		_, _ = fmt.Fprintln(stdout, usage.Message)
		return exitDone
	case errors.As(err, &usage):
		_, _ = fmt.Fprintln(stderr, usage.Message)
		return exitUsage
	default:
		_, _ = fmt.Fprintln(stderr, err)
		return exitFailed
	}
}
