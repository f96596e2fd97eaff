package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// The results of a case, which are the exit codes.
const (
	held   = 0
	broken = 1
	failed = 2
)

// cases are the cases by the name of their folder.
var cases = map[string]func(r *recorder, trouble bool) (int, error){}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand2 CASE RECORD")
		os.Exit(failed)
	}
	r, err := newRecorder(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(failed)
	}
	go endEarly()
	result, err := cases[os.Args[1]](r, os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		result = failed
	}
	os.Exit(result)
}

// timeLimit is the longest time that a case may run.
const timeLimit = 115 * time.Second

// endEarly ends all processes and this one on a signal or after timeLimit.
func endEarly() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP)
	select {
	case <-signals:
	case <-time.After(timeLimit):
	}
	endRunning()
	os.Exit(failed)
}
