// Command review-3 plays the cases of the third review: it starts the edges of the deploy file as separate processes beside stand-ins of
// the platform's store, replicas and clients, and checks one rule.
package main

import (
	"fmt"
	"os"
	"path/filepath"
)

// Exit statuses.
const (
	held = iota
	broken
	notRun
)

// play runs a case and reports whether the rule was broken. trouble is false for a run without the disruption.
type play func(f *fleet, trouble bool) (bool, error)

var cases = map[string]play{"limit": playLimit, "stopping": playStopping, "prompts": playPrompts, "blame": playBlame, "withdrawn": playWithdrawn, "stops": playStops, "entries": playEntries, "garble": playGarble, "gap": playGap}

func main() {
	if len(os.Args) == 5 && os.Args[1] == "replica" {
		os.Exit(runReplica(os.Args[2], os.Args[3], os.Args[4] == "true"))
	}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-3 CASE FOLDER")
		os.Exit(notRun)
	}
	os.Exit(run(cases[os.Args[1]], os.Args[2]))
}

func run(p play, folder string) int {
	record, err := newRecorder(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	defer record.close()
	f, err := newFleet(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	defer f.end()
	isBroken, err := p(f, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		record.line("not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return notRun
	case isBroken:
		record.line("broken")
		return broken
	default:
		record.line("held")
		return held
	}
}
