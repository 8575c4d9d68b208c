package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2 // the case could not run
)

// brokenError reports that a rule was broken.
type brokenError struct{ text string }

func (e *brokenError) Error() string { return e.text }

// brokenf returns the error of a broken rule.
func brokenf(format string, args ...any) error {
	return &brokenError{text: fmt.Sprintf(format, args...)}
}

// cases are the cases by name. trouble tells whether the disruption takes place.
var cases = map[string]func(c *cluster, trouble bool) error{
	"foreignreport":      foreignReport,
	"plannedreplacement": plannedReplacement,
	"silentrunner":       silentRunner,
	"foreignrunner":      foreignRunner,
	"lasttenant":         lastTenant,
	"twomodels":          twoModels,
	"stopsinseries":      stopsInSeries,
}

func main() { os.Exit(runCase()) }

func runCase() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig CASE FOLDER")
		return exitFailed
	}
	rec, err := newRecord(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	c, err := newCluster(rec)
	if c != nil {
		defer c.stop()
		stopOnSignal(c)
	}
	if err == nil {
		err = cases[os.Args[1]](c, os.Getenv("TROUBLE") != "0")
	}
	var broken *brokenError
	switch {
	case errors.As(err, &broken):
		rec.addf("broken: %v", err)
		fmt.Println("broken:", err)
		return exitBroken
	case err != nil:
		rec.addf("could not run: %v", err)
		fmt.Println("could not run:", err)
		return exitFailed
	}
	rec.addf("held")
	fmt.Println("held")
	return exitHeld
}

// stopOnSignal ends all processes when this one is to end, for example because a case has
// taken too long.
func stopOnSignal(c *cluster) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		c.stop()
		os.Exit(exitFailed)
	}()
}

// every calls do at an interval until the time is over.
func every(interval, total time.Duration, do func(n int)) {
	start := time.Now()
	for n := 0; time.Since(start) < total; n++ {
		do(n)
		time.Sleep(time.Until(start.Add(time.Duration(n+1) * interval)))
	}
}
