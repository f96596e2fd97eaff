// Command stand runs the stand-ins, the clients and the checks of the review's scripts. It starts the
// project's gateway as separate processes and ends all of them before it exits.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// scenario runs a case and reports whether the rule held.
type scenario func(c *cluster, trouble bool) (held bool, err error)

var scenarios = map[string]scenario{
	"release": runRelease,
	"mixed":   runMixed,
	"drain":   runDrain,
}

func main() { os.Exit(run()) }

func run() int {
	name := flag.String("case", "", "name of the case")
	gateway := flag.String("gateway", "target/tealvane-gateway", "the project's gateway")
	record := flag.String("record", "record.txt", "file to write the record to")
	trouble := flag.Bool("trouble", true, "apply the disruption")
	flag.Parse()
	runCase, ok := scenarios[*name]
	if !ok {
		flag.Usage()
		return exitNotRun
	}
	c, err := newCluster(*gateway, *record)
	if err != nil {
		fmt.Fprintln(os.Stderr, "stand:", err)
		return exitNotRun
	}
	defer c.close()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-interrupted
		c.close()
		os.Exit(exitNotRun)
	}()
	held, err := runCase(c, *trouble)
	switch {
	case err != nil:
		c.logf("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, "stand:", err)
		return exitNotRun
	case held:
		c.logf("result: the rule held")
		return exitHeld
	}
	c.logf("result: the rule was broken")
	return exitBroken
}
