package main

import (
	"errors"
	"fmt"
	"os"
)

// verdict is what a case found.
type verdict struct {
	broken  bool
	summary string
}

// cases holds the cases by name. trouble is false for the same play without the disruption.
var cases = map[string]func(record *os.File, trouble bool) verdict{}

func main() {
	os.Exit(play())
}

// play runs the case that the arguments name, and returns 0 if the rule held, 1 if it was
// broken, and 2 if the case could not run.
func play() (status int) {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig3 CASE RECORD")
		return 2
	}
	record, err := os.Create(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer func() { _ = record.Close() }()
	defer func() {
		var cause errCannotRun
		if problem := recover(); problem != nil {
			if err, ok := problem.(error); ok && errors.As(err, &cause) {
				fmt.Println("the case could not run:", cause)
				fmt.Fprintln(record, "the case could not run:", cause)
				status = 2
				return
			}
			panic(problem)
		}
	}()
	found := cases[os.Args[1]](record, os.Getenv("TROUBLE") != "0")
	fmt.Println(found.summary)
	fmt.Fprintln(record, "\n"+found.summary)
	if found.broken {
		return 1
	}
	return 0
}
