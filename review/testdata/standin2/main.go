package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// Exit codes of a case.
const (
	held   = 0
	broken = 1
	failed = 2
)

var cases = map[string]func(wld *world) (int, error){
	"lookups":     playLookups,
	"poison":      playPoison,
	"tokens":      playTokens,
	"slowreaders": playSlowReaders,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin2 CASE RECORD")
		os.Exit(failed)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

func play(name, path string) int {
	wld, err := newWorld(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	defer wld.close()
	go func() {
		stops := make(chan os.Signal, 1)
		signal.Notify(stops, syscall.SIGTERM, syscall.SIGINT)
		<-stops
		wld.close()
		os.Exit(failed)
	}()
	code, err := cases[name](wld)
	if err != nil {
		wld.logf("the case couldn't run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	fmt.Printf("%s: exit %d\n", name, code)
	return code
}
