// Command lab runs the scripted cases of the review: it starts daemons as processes on loopback addresses beside stand-ins
// for the platform, the runners and the clients, and checks one rule.
package main

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
)

// Exit statuses of a case.
const (
	statusHeld   = 0
	statusBroken = 1
	statusNotRun = 2
)

// errBroken reports that the rule of a case was broken.
var errBroken = errors.New("the rule was broken")

// cases holds the cases by name. Each is told whether the disruption is left out.
var cases = map[string]func(lab *lab, trouble bool) error{
	"hangup":       runHangup,
	"large-answer": runLargeAnswer,
	"silent-store": runSilentStore,
}

func main() {
	os.Exit(run())
}

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: lab CASE FOLDER")
		return statusNotRun
	}
	rec, err := newRecord(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return statusNotRun
	}
	defer rec.close()
	lab, err := newLab(rec)
	if err != nil {
		rec.printf("the case could not run: %v", err)
		return statusNotRun
	}
	defer lab.close()
	go lab.endEarly()
	err = cases[os.Args[1]](lab, os.Getenv("TROUBLE") != "0")
	switch {
	case errors.Is(err, errBroken):
		rec.printf("verdict: the rule was broken")
		return statusBroken
	case err != nil:
		rec.printf("the case could not run: %v", err)
		return statusNotRun
	}
	rec.printf("verdict: the rule held")
	return statusHeld
}
