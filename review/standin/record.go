package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record writes the lines of record.txt, each with the time since the start of the play.
type record struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	return &record{file: file, began: time.Now()}, err
}

func (r *record) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}
