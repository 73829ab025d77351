// Command rig2 plays the scripts of the second review. Each case starts the project's
// daemon in processes of its own, beside stand-ins of the store, the backend servers and
// the clients, which run in this process.
//
// Usage: rig2 CASE FOLDER. It writes record.txt in the folder, and exits with 1 if the
// rule was broken, 0 if it held and 2 if the case couldn't run. With TROUBLE=0 it leaves
// the disruption out.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// The exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// longest is the time after which a case is given up.
const longest = 100 * time.Second

// cases holds the cases by name. Each returns the number of breaks of its rule.
var cases = map[string]func(f *fleet, trouble bool) (breaks int, err error){
	"cutoff":   playCutoff,
	"pipeline": playPipeline,
	"foreign":  playForeign,
	"storm":    playStorm,
	"trickle":  playTrickle,
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig2 CASE FOLDER")
		return exitFailed
	}
	record, err := os.Create(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, "rig2:", err)
		return exitFailed
	}
	defer func() { _ = record.Close() }()
	f, err := newFleet(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, "rig2:", err)
		return exitFailed
	}
	defer f.close()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGTERM, syscall.SIGINT)
	type result struct {
		breaks int
		err    error
	}
	ended := make(chan result, 1)
	trouble := os.Getenv("TROUBLE") != "0"
	go func() {
		breaks, err := cases[os.Args[1]](f, trouble)
		ended <- result{breaks, err}
	}()
	var of result
	select {
	case of = <-ended:
	case <-time.After(longest):
		of.err = fmt.Errorf("no end after %v", longest)
	case received := <-interrupted:
		of.err = fmt.Errorf("ended by %v", received)
	}
	switch {
	case of.err != nil:
		f.note("could not run: %v", of.err)
		return exitFailed
	case of.breaks > 0:
		f.note("RULE BROKEN %d times (trouble: %t)", of.breaks, trouble)
		return exitBroken
	}
	f.note("rule held (trouble: %t)", trouble)
	return exitHeld
}
