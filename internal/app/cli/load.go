package cli

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"

	"github.com/dragonflypin/dragonflypin/internal/app/load"
	"github.com/dragonflypin/dragonflypin/internal/process/settings"
)

type loadCommand struct {
	env     environment
	Targets []string `long:"target" value-name:"URL" description:"base URL of an entry; repeat the flag to use several round-robin"`
	Keys    string   `long:"keys" value-name:"FILE" description:"file with lines \"key WORKSPACE KEY\", for example the output of demo"`
	Seed    *int     `long:"seed" value-name:"N" description:"override the seed of the workload file"`
	JSON    bool     `long:"json" description:"print the report as JSON"`
	Report  string   `long:"report" value-name:"FILE" description:"also write the report as JSON to this file"`
	Sample  bool     `long:"sample" description:"print a sample workload for the demo and exit"`
	Args    struct {
		Workload string `positional-arg-name:"WORKLOAD" description:"workload file (JSON)"`
	} `positional-args:"yes"`
}

var (
	errWrongContent  = errors.New("completed responses had wrong content")
	errNoneCompleted = errors.New("no request completed")
)

// Execute implements flags.Commander.
func (c *loadCommand) Execute(args []string) error {
	if err := noArguments(args); err != nil {
		return err
	}
	if c.Sample {
		_, err := c.env.out.Write(load.Sample)
		return err
	}
	options, err := c.options()
	if err != nil {
		return err
	}
	report, err := load.Run(c.env.ctx, options)
	if err != nil {
		return err
	}
	if err := c.print(&report); err != nil {
		return err
	}
	switch {
	case report.Wrong() > 0:
		return fmt.Errorf("%w: %d", errWrongContent, report.Wrong())
	case report.Completed() == 0:
		return errNoneCompleted
	}
	return nil
}

func (c *loadCommand) options() (load.Options, error) {
	if len(c.Targets) == 0 || c.Keys == "" || c.Args.Workload == "" {
		return load.Options{}, newUsageError("--target, --keys and a workload file are required")
	}
	workload, err := settings.Load[load.Workload](c.Args.Workload)
	if err != nil {
		return load.Options{}, err
	}
	if c.Seed != nil {
		workload.Seed = *c.Seed
	}
	keys, err := os.ReadFile(c.Keys)
	if err != nil {
		return load.Options{}, newUsageError(fmt.Sprintf("keys file: %v", err))
	}
	return load.Options{Targets: c.Targets, Keys: load.ParseKeys(string(keys)), Workload: workload}, nil
}

func (c *loadCommand) print(report *load.Report) error {
	data, err := json.MarshalIndent(report, "", "  ")
	if err != nil {
		return err
	}
	data = append(data, '\n')
	if c.Report != "" {
		if err := os.WriteFile(c.Report, data, 0o600); err != nil {
			return err
		}
	}
	if c.JSON {
		_, err := c.env.out.Write(data)
		return err
	}
	return report.Print(c.env.out)
}
