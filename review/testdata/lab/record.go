package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record writes what was sent, answered and run to a file, each line with the time since the start.
type record struct {
	start time.Time

	mu   sync.Mutex
	file *os.File
}

func newRecord(path string) (*record, error) {
	fil, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{
		start: time.Now(),
		file:  fil,
	}, nil
}

// printf adds a line.
func (rec *record) printf(format string, args ...any) {
	rec.printfAt(time.Now(), format, args...)
}

// printfAt adds a line about something that happened at the time at.
func (rec *record) printfAt(at time.Time, format string, args ...any) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	fmt.Fprintf(rec.file, "%9.3f  %s\n", at.Sub(rec.start).Seconds(), fmt.Sprintf(format, args...))
}

// seconds returns the time at in seconds since the start.
func (rec *record) seconds(at time.Time) float64 {
	return at.Sub(rec.start).Seconds()
}

func (rec *record) close() {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	_ = rec.file.Close()
}
