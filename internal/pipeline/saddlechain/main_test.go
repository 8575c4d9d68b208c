package saddlechain_test

import (
	"flag"
	"fmt"
	"os"
	"testing"
)

// rapidFlags make the property tests deterministic. Flags on the command line
// take precedence.
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
