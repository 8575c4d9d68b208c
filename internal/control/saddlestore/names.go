package saddlestore

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
)

const (
	segmentPrefix = "log-"
	snapshotName  = "snapshot"
	tempSuffix    = ".new" // suffix of a temporary file, which is renamed once it is complete and synced
)

func segmentName(number uint64) string {
	return fmt.Sprintf("%s%d", segmentPrefix, number)
}

// segmentNumbers returns the numbers of the segments among files, in ascending
// order.
func segmentNumbers(files []string) []uint64 {
	var out []uint64
	for _, name := range files {
		digits, ok := strings.CutPrefix(name, segmentPrefix)
		if !ok {
			continue
		}
		if n, err := strconv.ParseUint(digits, 10, 64); err == nil {
			out = append(out, n)
		}
	}
	slices.Sort(out)
	return out
}
