package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record writes what was sent, answered and run, one line for each event, with the time since the start of the script.
type record struct {
	mutex   sync.Mutex
	started time.Time
	file    *os.File
	out     *bufio.Writer
}

func openRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, fmt.Errorf("create record: %w", err)
	}

	return &record{started: time.Now(), file: f, out: bufio.NewWriter(f)}, nil
}

func (r *record) since() time.Duration { return time.Since(r.started) }

func (r *record) add(format string, arguments ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()

	_, _ = fmt.Fprintf(r.out, "%9.4f %s\n", r.since().Seconds(), fmt.Sprintf(format, arguments...))
}

// note adds a line to the record and prints it.
func (r *record) note(format string, arguments ...any) {
	r.add(format, arguments...)
	fmt.Printf("%9.4f %s\n", r.since().Seconds(), fmt.Sprintf(format, arguments...))
}

func (r *record) close() {
	r.mutex.Lock()
	defer r.mutex.Unlock()

	_ = r.out.Flush()
	_ = r.file.Close()
}
