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
	Bin  time.Duration `long:"bin" value-name:"DURATION" description:"time that a point of a plot sums up" default:"1s"`
	Args struct {
		Logs []string `positional-arg-name:"LOG" description:"files with the lines of edges; none means standard input"`
	} `positional-args:"yes"`
}

// leastBin bounds the number of points of a plot.
const leastBin = 10 * time.Millisecond

// Execute implements flags.Commander.
func (c *dayCommand) Execute(args []string) error {
	if err := noArguments(args); err != nil {
		return err
	}
	if c.Bin < leastBin {
		return newUsageError(fmt.Sprintf("--bin must be at least %s", leastBin))
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

// open returns the logs; they stay open until the process ends.
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
