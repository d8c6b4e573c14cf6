// Command review2 has the stand-ins of the second review's scripts, and what the scripts do.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// longest is the longest time of a case.
const longest = 110 * time.Second

// Exit codes of a case.
const (
	held = iota
	broken
	notRun
)

// cases are the scripts' cases by name. Each returns an exit code.
var cases = map[string]func(f *fleet, trouble bool) int{
	"large-entries":        largeEntries,
	"leaving-replica":      leavingReplica,
	"forgotten-connection": forgottenConnection,
	"unsigned-success":     unsignedSuccess,
	"incomplete-entry":     incompleteEntry,
}

func main() {
	if len(os.Args) > 1 && os.Args[1] == "replica" {
		var o replicaOptions
		flags := flag.NewFlagSet("replica", flag.ExitOnError)
		flags.StringVar(&o.id, "id", "", "ID of the replica")
		flags.StringVar(&o.address, "address", "127.0.0.1:0", "IP:PORT to listen on")
		flags.DurationVar(&o.work, "work", 50*time.Millisecond, "time of a plain request")
		flags.IntVar(&o.pieces, "pieces", 10, "pieces of a stream")
		flags.DurationVar(&o.gap, "gap", 100*time.Millisecond, "time between two pieces")
		flags.Float64Var(&o.spoil, "spoil", 0, "share of answers with a wrong byte in the head")
		flags.BoolVar(&o.unframed, "unframed", false, "responses have neither a length nor chunks")
		_ = flags.Parse(os.Args[2:])
		if err := runReplica(o); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		return
	}
	root := flag.String("root", ".", "root of the repository")
	record := flag.String("record", "record.txt", "file for the record")
	trouble := flag.Bool("trouble", true, "bring the disruption about")
	flag.Parse()
	run, ok := cases[flag.Arg(0)]
	if !ok {
		fmt.Fprintf(os.Stderr, "unknown case %q\n", flag.Arg(0))
		os.Exit(notRun)
	}
	f, err := newFleet(*root, *record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(notRun)
	}
	go func() {
		stop := make(chan os.Signal, 1)
		signal.Notify(stop, os.Interrupt, syscall.SIGTERM)
		select {
		case <-stop:
		case <-time.After(longest):
		}
		f.say("the case was ended before its end")
		f.close()
		os.Exit(notRun)
	}()
	code := run(f, *trouble)
	f.say("%s", map[int]string{held: "the rule held", broken: "the rule was broken", notRun: "the case could not run"}[code])
	f.close()
	os.Exit(code)
}

// failed ends a case that can't run.
func (f *fleet) failed(err error) int {
	f.say("failed: %v", err)
	return notRun
}
