package main

import (
	"fmt"
	"os"
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
	result, err := cases[os.Args[1]](r, os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		result = failed
	}
	os.Exit(result)
}
