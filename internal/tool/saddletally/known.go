package saddletally

import (
	"fmt"
	"os"
	"strings"
)

// knownFailureFields is the number of fields in a line of the list of known failures.
const knownFailureFields = 5

// TestID identifies a test; the test name is empty for the package as a whole.
type TestID struct {
	Package string
	Test    string
}

// ReadKnownFailures returns the lines of the list of known failures by test. A line with
// missing or extra fields is an error.
func ReadKnownFailures(file string) (map[TestID]string, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	known := map[TestID]string{}
	for i, line := range strings.Split(string(text), "\n") {
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		fields := strings.Split(line, "\t")
		if len(fields) != knownFailureFields {
			return nil, fmt.Errorf("%s:%d: %d fields, expected %d", file, i+1, len(fields), knownFailureFields)
		}
		known[TestID{Package: fields[0], Test: fields[1]}] = line
	}
	return known, nil
}
