// Command standin runs the scripts of the review: each starts the project's edges as processes and plays clients, replicas
// and the platform itself. It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
)

var cases = map[string]func(rec *Record, trouble bool) (broken bool, err error){
	"endless": endless,
	"leaving": leaving,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE RECORD")
		os.Exit(2)
	}
	rec, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	broken, err := cases[os.Args[1]](rec, os.Getenv("TROUBLE") != "0")
	status := 0
	switch {
	case err != nil:
		rec.result("the case could not run: %v", err)
		status = 2
	case broken:
		rec.result("the rule was broken")
		status = 1
	default:
		rec.result("the rule held")
	}
	rec.close()
	os.Exit(status)
}
