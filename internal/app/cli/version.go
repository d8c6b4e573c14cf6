package cli

import (
	"fmt"
	"io"
	"runtime"
	"runtime/debug"

	"github.com/jessevdk/go-flags"
)

// Version is the release number.
const Version = "0.1.0"

func addCommands(parser *flags.Parser, stdout, _ io.Writer) error {
	_, err := parser.AddCommand("version", "Print version, commit and Go version", "Prints version, commit and Go version.", &versionCommand{out: stdout})
	return err
}

type versionCommand struct{ out io.Writer }

// Execute implements flags.Commander.
func (c *versionCommand) Execute([]string) error {
	_, err := fmt.Fprintf(c.out, "dragonflypin %s commit %s %s\n", Version, commit(), runtime.Version())
	return err
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
