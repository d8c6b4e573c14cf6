package cli

import (
	"github.com/jessevdk/go-flags"

	"github.com/dragonflypin/dragonflypin/internal/app/load"
	"github.com/dragonflypin/dragonflypin/internal/process/settings"
	"github.com/dragonflypin/dragonflypin/internal/standin/engine"
	"github.com/dragonflypin/dragonflypin/internal/standin/instances"
	"github.com/dragonflypin/dragonflypin/internal/standin/service"
	"github.com/dragonflypin/dragonflypin/internal/standin/store"
)

// command is one subcommand; a group has commands instead of data.
type command struct {
	name, short, long string
	data              any
	commands          []command
}

// group is the data of a command that only has subcommands.
type group struct{}

func addCommands(parser *flags.Parser, env environment) error {
	return add(parser.Command, commands(env))
}

func add(parent *flags.Command, list []command) error {
	for _, c := range list {
		if c.data == nil {
			c.data = &group{}
		}
		added, err := parent.AddCommand(c.name, c.short, c.long, c.data)
		if err != nil {
			return err
		}
		if err := add(added, c.commands); err != nil {
			return err
		}
	}
	return nil
}

func commands(env environment) []command {
	return []command{
		{name: "demo", short: "Run the whole system on loopback", long: "Runs the whole system in one process on loopback: the platform's " +
			"stand-ins, two services of each owner, sidecars, two entries and a sample table. It prints keys and addresses on stdout, " +
			"last \"ready http://HOST:PORT\", and logs to stderr. SIGINT or SIGTERM finishes what is in flight and ends it with status 0.",
			data: &demoCommand{env: env}},
		{name: "entry", short: "Run an entry", long: "Runs an entry: caller API, operator API and sessions. SIGTERM finishes what is in " +
			"flight, for at most drain_timeout.\n\n" + settings.Help[settings.Entry](), data: &entryCommand{roleOptions{env: env}}},
		{name: "sidecar", short: "Run a sidecar", long: "Runs the sidecar of one upstream. SIGTERM finishes what is in flight, for at most " +
			"drain_timeout.\n\n" + settings.Help[settings.Sidecar](), data: &sidecarCommand{roleOptions{env: env}}},
		{name: "edge", short: "Run an edge on the platform", long: "Runs an edge: an entry that serves the platform's HTTP traffic and sends " +
			"straight to the replicas. What differs between machines is read from the file that DRAGONFLYPIN_NODE_FILE names. " +
			"SIGTERM finishes what is in flight within the platform's grace time, SIGHUP reads the machine's settings again. " +
			"Events go to stdout.\n\n" + settings.Help[settings.Edge](), data: &edgeCommand{roleOptions{env: env}}},
		{name: "day", short: "Plot what edges logged", long: "Reads the lines of edges and writes a page with plots: the share of requests in " +
			"time by class, refusals by code, requests by the reason for the choice of their replica, and the replicas in use. " +
			"What stands before a line's first brace is left out.", data: &dayCommand{env: env}},
		{name: "standin", short: "Run one of the platform's stand-ins", long: "Runs a stand-in for a part of the platform. " +
			"PUT /faults sets its faults as JSON: delay_ms and stale_ms in milliseconds, slow_factor as a factor, and outage, " +
			"lose_answers and crash as true or a number of calls.", commands: standinCommands(env)},
		{name: "table", short: "Read and change the operators' table", long: "Reads and changes the operators' table. " +
			"Rates are in requests or tokens per second, targets and waits are durations such as 600ms.", commands: tableCommands(env)},
		{name: "usage", short: "Read and verify the usage record", long: "Reads and verifies the usage record. Figures are in tokens.",
			commands: usageCommands(env)},
		{name: "status", short: "Print the state of the fleet", long: "Prints the instances and their state, the table version in " +
			"force at each, queues by class and refusals by reason.", data: &statusCommand{operatorOptions: operatorOptions{env: env}}},
		{name: "explain", short: "Print what happened to one request", long: "Prints what happened to a request and why: class, " +
			"queue time in milliseconds, the upstream chosen, attempts and outcome. An entry remembers its last 4,096 requests.",
			data: &explainCommand{operatorOptions: operatorOptions{env: env}}},
		{name: "load", short: "Send load and report by class", long: "Sends the requests of a workload file at their times, however long " +
			"answers take, checks every answer's content and reports by class. Times in the report are in milliseconds. " +
			"Exit status 1 when an answer is wrong or none completed.\n\nWorkload file: " + load.Help(),
			data: &loadCommand{env: env}},
		{name: "version", short: "Print version, commit and Go version", long: "Prints version, commit and Go version.",
			data: &versionCommand{out: env.out}},
	}
}

func standinCommands(env environment) []command {
	return []command{
		{name: "store", short: "Run the object API", long: standinHelp[store.Options]("Serves the object API. GET /calls returns the number of calls."),
			data: &storeCommand{standinOptions{env: env}}},
		{name: "instances", short: "Run the instance list", long: standinHelp[instances.Options]("Serves the instance list."),
			data: &instancesCommand{standinOptions{env: env}}},
		{name: "engine", short: "Run a model engine", long: standinHelp[engine.Options]("Serves a model engine. GET /engine/runs lists its executions."),
			data: &engineCommand{standinOptions{env: env}}},
		{name: "service", short: "Run a plain order service", long: standinHelp[service.Options]("Serves an order service. GET /orders lists its executions."),
			data: &serviceCommand{standinOptions{env: env}}},
	}
}

func standinHelp[T any](text string) string {
	return text + " It prints \"listening http://HOST:PORT\" and logs to stderr.\n\n" + settings.Help[T]()
}

func tableCommands(env environment) []command {
	o := operatorOptions{env: env}
	return []command{
		{name: "get", short: "Print the table in force", long: "Prints the table in force as CSV, or as JSON with --json or --format json.",
			data: &tableGetCommand{operatorOptions: o}},
		{name: "check", short: "Check a table file", long: "Checks a table file (CSV or JSON) and changes nothing.",
			data: &tableCheckCommand{operatorOptions: o}},
		{name: "apply", short: "Apply a table file", long: "Applies a table file (CSV or JSON) that was made from the version given as --base. " +
			"Changes of different rows are merged; when another change edited the same row, nothing is changed and the row is named.",
			data: &tableApplyCommand{operatorOptions: o}},
		{name: "history", short: "Print the versions of the table", long: "Prints version, author, time (UTC) and reason of every version.",
			data: &tableHistoryCommand{operatorOptions: o}},
		{name: "diff", short: "Print the difference of two versions", long: "Prints the rows that differ between versions A and B.",
			data: &tableDiffCommand{operatorOptions: o}},
	}
}

func usageCommands(env environment) []command {
	o := operatorOptions{env: env}
	return []command{
		{name: "show", short: "Print totals", long: "Prints totals by owner, workspace, class and model, in tokens, and the owners' shares.",
			data: &usageShowCommand{operatorOptions: o}},
		{name: "verify", short: "Verify the record", long: "Verifies signatures, chains and the two independent counts, and names the first " +
			"invalid record. Exit status 1 when the record is not valid. With --file and --keys it verifies an export and calls no server.",
			data: &usageVerifyCommand{operatorOptions: o}},
		{name: "export", short: "Print the record as CSV", long: "Prints the signed records as CSV.",
			data: &usageExportCommand{operatorOptions: o}},
		{name: "keys", short: "Print the writers' public keys", long: "Prints a JSON object of writer and Ed25519 public key in base64, " +
			"for usage verify --keys. Read the keys after the export, so that they include every writer in it.",
			data: &usageKeysCommand{operatorOptions: o}},
	}
}
