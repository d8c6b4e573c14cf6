package cli

import (
	"fmt"
	"io"
	"runtime"
	"runtime/debug"
)

// Version is the release number.
const Version = "0.1.0"

type versionCommand struct{ out io.Writer }

// Execute implements flags.Commander.
func (c *versionCommand) Execute(args []string) error {
	if err := noArguments(args); err != nil {
		return err
	}
	_, err := fmt.Fprintf(c.out, "dragonflypin %s commit %s %s\n", Version, commit(), runtime.Version())
	return err
}

func noArguments(args []string) error {
	if len(args) > 0 {
		return newUsageError(fmt.Sprintf("unexpected argument %q", args[0]))
	}
	return nil
}

func commit() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" {
			return s.Value
		}
	}
	return "unknown"
}
