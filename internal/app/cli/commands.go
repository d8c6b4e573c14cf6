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

// command is a subcommand, or a group of subcommands if data is nil.
type command struct {
	name, short, long string
	data              any
	commands          []command
}

// group is the go-flags data of a command that only has subcommands.
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
		{name: "demo", short: "Run the whole system on loopback", long: "Runs the whole system in one process on loopback: stand-ins " +
			"for the platform, two services of each owner, sidecars, two entries and a sample table. It prints keys and addresses on stdout, " +
			"last \"ready http://HOST:PORT\", and logs to stderr. On SIGINT or SIGTERM it completes requests in flight and exits with status 0.",
			data: &demoCommand{env: env}},
		{name: "entry", short: "Run an entry", long: "Runs an entry: caller API, operator API, and sessions with sidecars and other " +
			"entries. On SIGTERM it completes requests in flight, for at most drain_timeout.\n\n" + settings.Help[settings.Entry](), data: &entryCommand{roleOptions{env: env}}},
		{name: "sidecar", short: "Run a sidecar", long: "Runs the sidecar of one upstream. On SIGTERM it completes requests in flight, for at most " +
			"drain_timeout.\n\n" + settings.Help[settings.Sidecar](), data: &sidecarCommand{roleOptions{env: env}}},
		{name: "edge", short: "Run an edge on the platform", long: "Runs an edge: an entry that serves the platform's HTTP traffic and forwards it " +
			"directly to the replicas. Per-machine settings are read from the file named by DRAGONFLYPIN_NODE_FILE. " +
			"On SIGTERM it completes requests in flight within the platform's grace period; on SIGHUP it reloads the per-machine settings. " +
			"Events are logged to stdout.\n\n" + settings.Help[settings.Edge](), data: &edgeCommand{roleOptions{env: env}}},
		{name: "day", short: "Plot the event logs of edges", long: "Reads the event logs of edges and writes an HTML page with plots: the share of " +
			"requests in time by class, refusals by code, and requests and replicas in use by placement reason. " +
			"Text before a line's first brace, such as a host name, is ignored.", data: &dayCommand{env: env}},
		{name: "standin", short: "Run a stand-in for a platform service", long: "Runs a stand-in for a platform service, for development and tests. " +
			"PUT /faults injects faults given as JSON: delay_ms and stale_ms in milliseconds, slow_factor as a factor, and outage, " +
			"lose_answers and crash as true or a number of calls.", commands: standinCommands(env)},
		{name: "table", short: "Read and change the operators' table", long: "Reads and changes the operators' table. " +
			"Rates are in requests or tokens per second, targets and waiting times are durations such as 600ms.", commands: tableCommands(env)},
		{name: "config", short: "Check configurations", long: "Checks configurations before they are sent.", commands: []command{
			{name: "check", short: "Check a configuration file", long: "Checks a configuration of the platform (JSON), or an operators' table (CSV or JSON with " +
				"the field rows), with the code that loads it, without sending it: errors, entries that can never match and limits that contradict each other. " +
				"With --against it also prints what differs from the configuration in force, by meaning, and what that does to requests under way. " +
				"Times have units, such as 1.5s; sizes are in bytes. API keys are printed as SHA-256 hashes only.\n\n" +
				"Exit status: 0 sound (notes and differences are no fault), 1 errors or warnings were found or the server can't be asked, 2 invalid usage.",
				data: &configCheckCommand{env: env}}}},
		{name: "usage", short: "Read and verify the usage record", long: "Reads and verifies the usage record. Amounts are in tokens at an entry. " +
			"At the metrics address of an edge they are requests that began to run, as reported to the platform.",
			commands: usageCommands(env)},
		{name: "status", short: "Print the state of the fleet", long: "Prints the instances and their state, the table version in " +
			"force at each, queues by class and refusals by reason. At the metrics address of an edge it prints the state of that edge, " +
			"and which edge holds the duties at the platform.", data: &statusCommand{operatorOptions: operatorOptions{env: env}}},
		{name: "explain", short: "Print what happened to one request", long: "Prints what happened to a request and why: class, " +
			"queue time in milliseconds, the upstream chosen, attempts and outcome. An entry keeps its last 4,096 requests.",
			data: &explainCommand{operatorOptions: operatorOptions{env: env}}},
		{name: "quarantine", short: "Show and lift the quarantine of prompt parts", long: "Shows and lifts the quarantine of prompt parts that " +
			"crash replicas. --server is the metrics address of any edge; edges tell each other.", commands: quarantineCommands(env)},
		{name: "load", short: "Send load and report by class", long: "Sends the requests of a workload file at scheduled times, independent of " +
			"response times (open loop), checks the content of every response and reports by class. Times in the report are in milliseconds. " +
			"The exit status is 1 if a response is wrong or no request completed.\n\nWorkload file: " + load.Help(),
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
		{name: "engine", short: "Run a model engine", long: standinHelp[engine.Options]("Serves a model engine. GET /engine/runs lists the executed requests."),
			data: &engineCommand{standinOptions{env: env}}},
		{name: "service", short: "Run a plain order service", long: standinHelp[service.Options]("Serves an order service. GET /orders lists the executed orders."),
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
		{name: "check", short: "Check a table file", long: "Validates a table file (CSV or JSON) without applying it.",
			data: &tableCheckCommand{operatorOptions: o}},
		{name: "apply", short: "Apply a table file", long: "Applies a table file (CSV or JSON) that is based on the version given as --base. " +
			"Concurrent changes of different rows are merged; if another edit changed the same row, the edit is rejected and the row is reported.",
			data: &tableApplyCommand{operatorOptions: o}},
		{name: "history", short: "Print the versions of the table", long: "Prints version, author, time (UTC) and reason of every version.",
			data: &tableHistoryCommand{operatorOptions: o}},
		{name: "diff", short: "Print the differences between two versions", long: "Prints the rows that differ between versions A and B.",
			data: &tableDiffCommand{operatorOptions: o}},
	}
}

func quarantineCommands(env environment) []command {
	o := operatorOptions{env: env}
	return []command{
		{name: "list", short: "Print the known prompt parts", long: "Prints the prompt parts that are quarantined or were in the last 24 hours, with the " +
			"number of crashes and the reason for the last change.", data: &quarantineListCommand{operatorOptions: o}},
		{name: "lift", short: "Send requests with a prompt part again", long: "Ends the quarantine of a prompt part at all edges. It is quarantined again " +
			"after further crashes.", data: &quarantineLiftCommand{operatorOptions: o}},
	}
}

func usageCommands(env environment) []command {
	o := operatorOptions{env: env}
	return []command{
		{name: "show", short: "Print totals", long: "Prints totals by owner, workspace, class and model, in tokens, and the owners' shares. " +
			"An edge prints requests by workspace.",
			data: &usageShowCommand{operatorOptions: o}},
		{name: "verify", short: "Verify the record", long: "Verifies signatures, chains and the two independent counts, and reports the first " +
			"invalid record. An edge recomputes each window's report from the counts of the edges, and reports windows that are missing, that differ " +
			"or of which more became known later. The exit status is 1 if the record is not valid. With --file and --keys it verifies an export without a server.",
			data: &usageVerifyCommand{operatorOptions: o}},
		{name: "export", short: "Print the record as CSV", long: "Prints the signed records as CSV. An edge prints, for each window, what was reported and what each edge counted.",
			data: &usageExportCommand{operatorOptions: o}},
		{name: "keys", short: "Print the writers' public keys", long: "Prints a JSON object that maps each writer to its Ed25519 public key in base64, " +
			"for usage verify --keys. Get the keys after the export, so that they include every writer in it.",
			data: &usageKeysCommand{operatorOptions: o}},
	}
}
