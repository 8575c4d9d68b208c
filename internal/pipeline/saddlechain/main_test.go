package saddlechain_test

import (
	"flag"
	"fmt"
	"os"
	"testing"
)

// rapidFlags give the property tests the same verdict on every run; the
// command line goes before them.
var rapidFlags = map[string]string{"rapid.seed": "20", "rapid.checks": "2000", "rapid.nofailfile": "true"}

func TestMain(m *testing.M) {
	for name, value := range rapidFlags {
		if err := flag.Set(name, value); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
	}
	os.Exit(m.Run())
}
