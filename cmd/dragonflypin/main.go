// Command dragonflypin routes language-model traffic with service levels and priorities.
package main

import (
	"os"

	"github.com/dragonflypin/dragonflypin/internal/app/cli"
)

func main() { os.Exit(cli.Run(os.Args[1:], os.Stdout, os.Stderr)) }
