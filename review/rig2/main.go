package main

import (
	"fmt"
	"os"
)

// Results of a case.
const (
	ruleHeld   = 0
	ruleBroken = 1
	notRun     = 2
)

func main() {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: rig2 CASE TARGET RECORD")
		os.Exit(notRun)
	}
	cases := map[string]func(rec *record, target string, trouble bool) (int, error){
		"bodies":     playBodies,
		"firststart": playFirstStart,
	}
	play, ok := cases[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such case")
		os.Exit(notRun)
	}
	rec, err := newRecord(os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(notRun)
	}
	result, err := play(rec, os.Args[2], os.Getenv("TROUBLE") != "0")
	if err != nil {
		rec.say("the case could not run: %v", err)
		result = notRun
	}
	rec.close()
	os.Exit(result)
}
