package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// recorder writes record.txt: what was sent, answered and run, with the time since the start of the script in milliseconds.
type recorder struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

// log is the record of this run. It is set before anything starts.
var log *recorder

// newRecorder creates the file at path.
func newRecorder(path string) (*recorder, error) {
	file, err := os.Create(path)
	return &recorder{file: file, start: time.Now()}, err
}

// add writes a line.
func (r *recorder) add(who, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.1f  %-10s %s\n", float64(time.Since(r.start).Microseconds())/1000, who, fmt.Sprintf(format, args...))
}

// verdict is the result of a case, which is the exit code of the script.
type verdict int

// The exit codes that the review asks for.
const (
	held   verdict = 0
	broken verdict = 1
	notRun verdict = 2
)
