package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// recorder writes what was sent, answered and run.
type recorder struct {
	mu    sync.Mutex
	out   *os.File
	start time.Time
	// runs counts the runs of each attempt, answers holds the status that its client got, 0 for none.
	runs    map[string]int
	answers map[string]int
}

func newRecorder(file string) (*recorder, error) {
	out, err := os.Create(file)
	if err != nil {
		return nil, err
	}
	return &recorder{out: out, start: time.Now(), runs: map[string]int{}, answers: map[string]int{}}, nil
}

// line writes a line.
func (r *recorder) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.write(format, args...)
}

func (r *recorder) write(format string, args ...any) {
	fmt.Fprintf(r.out, "%8.3f "+format+"\n", append([]any{time.Since(r.start).Seconds()}, args...)...)
}

// run records that a worker began to work on an attempt.
func (r *recorder) run(worker, id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs[id]++
	r.write("%s runs %s (run %d of it)", worker, id, r.runs[id])
}

// answer records what a client got, status 0 for a channel that ended without an answer.
func (r *recorder) answer(id string, status int, note string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.answers[id] = status
	r.write("client of %s gets %d %s", id, status, note)
}
