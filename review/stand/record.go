package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the file that says what was sent, answered and run.
type record struct {
	mu    sync.Mutex // guards the fields below
	file  *os.File
	out   *bufio.Writer
	began time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: file, out: bufio.NewWriter(file), began: time.Now()}, nil
}

// add writes one line with the seconds since the start of the case.
func (rc *record) add(format string, args ...any) {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	if rc.file == nil {
		return
	}
	fmt.Fprintf(rc.out, "%8.3f  %s\n", time.Since(rc.began).Seconds(), fmt.Sprintf(format, args...))
}

// close writes what is buffered. Later lines are dropped.
func (rc *record) close() {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	if rc.file == nil {
		return
	}
	_ = rc.out.Flush()
	_ = rc.file.Close()
	rc.file = nil
}
