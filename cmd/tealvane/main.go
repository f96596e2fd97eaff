// Command tealvane is the command-line tool for operators.
package main

import (
	"os"

	"github.com/tealvane/tealvane/internal/cli"
)

func main() { os.Exit(cli.Run(os.Args[1:], os.Stdout, os.Stderr)) }
