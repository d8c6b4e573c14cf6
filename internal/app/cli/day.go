package cli

import (
	"fmt"
	"io"
	"os"
	"time"

	"github.com/dragonflypin/dragonflypin/internal/app/day"
)

type dayCommand struct {
	env  environment
	Out  string        `long:"out" value-name:"DIR" description:"directory for index.html and the plots" required:"yes"`
	Bin  time.Duration `long:"bin" value-name:"DURATION" description:"interval covered by each point of a plot" default:"1s"`
	Args struct {
		Logs []string `positional-arg-name:"LOG" description:"event logs of edges; default: standard input"`
	} `positional-args:"yes"`
}

// minBin limits the number of points in a plot.
const minBin = 10 * time.Millisecond

// Execute implements flags.Commander.
func (c *dayCommand) Execute(args []string) error {
	if err := noArguments(args); err != nil {
		return err
	}
	if c.Bin < minBin {
		return newUsageError(fmt.Sprintf("--bin must be at least %s", minBin))
	}
	readers, err := c.open()
	if err != nil {
		return err
	}
	d, err := day.Read(readers...)
	if err != nil {
		return err
	}
	files, err := d.Write(c.Out, c.Bin)
	if err != nil {
		return err
	}
	for _, name := range files {
		if _, err := fmt.Fprintln(c.env.out, name); err != nil {
			return err
		}
	}
	return nil
}

// open opens the log files, or standard input if none is given. The files stay open until the process exits.
func (c *dayCommand) open() ([]io.Reader, error) {
	if len(c.Args.Logs) == 0 {
		return []io.Reader{os.Stdin}, nil
	}
	var readers []io.Reader
	for _, path := range c.Args.Logs {
		f, err := os.Open(path)
		if err != nil {
			return nil, newUsageError(err.Error())
		}
		readers = append(readers, f)
	}
	return readers, nil
}
