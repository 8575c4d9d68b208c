package saddlecontrol_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/fireflysaddle/fireflysaddle/internal/control/saddlecontrol"
)

// Pattern: hundreds of entries start together and each asks for a large snapshot; some of them
// end before their turn. A replica sends few at once, none waits while fewer are sent, and an
// entry for which another replica is the first source waits for those that have none.
func TestSnapshotsTakeTurns(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var q saddlecontrol.SnapshotQueue
		waits := map[bool][]saddlecontrol.SnapshotTurn{} // by whether this replica is the first source
		var sent []saddlecontrol.SnapshotTurn
		for range rapid.IntRange(1, 100).Draw(t, "steps") {
			list := rapid.Bool().Draw(t, "first")
			switch action := rapid.IntRange(0, 3).Draw(t, "action"); {
			case action <= 1:
				waits[list] = append(waits[list], q.Join(list))
			case action == 2 && len(sent) > 0:
				q.Leave(sent[0])
				sent = sent[1:]
			case action == 3 && len(waits[list]) > 0:
				q.Leave(waits[list][0])
				waits[list] = waits[list][1:]
			}
			for _, first := range []bool{true, false} {
				for len(waits[first]) > 0 && waits[first][0].Granted() {
					sent = append(sent, waits[first][0])
					waits[first] = waits[first][1:]
				}
			}
			waiting := len(waits[true]) + len(waits[false])
			if len(sent) > saddlecontrol.MaxSnapshots || (waiting > 0 && len(sent) < saddlecontrol.MaxSnapshots) {
				t.Fatalf("%d are sent and %d wait", len(sent), waiting)
			}
		}
		for len(waits[true]) > 0 && len(sent) > 0 {
			q.Leave(sent[0])
			sent = sent[1:]
			if !waits[true][0].Granted() {
				t.Fatal("an entry waits for one that has another first source")
			}
			sent = append(sent, waits[true][0])
			waits[true] = waits[true][1:]
		}
	})
}

// Each entry has one first source, every replica about as many entries, and an entry changes its
// source only if that one is gone.
func TestFirstSourcesAreEvenAndStable(t *testing.T) {
	is := is.New(t)
	replicas := []string{"10.0.0.1:7000", "10.0.0.2:7000", "10.0.0.3:7000", "10.0.0.4:7000", "10.0.0.5:7000"}
	const entries = 300
	counts := map[string]int{}
	for i := range entries {
		entry := fmt.Sprint("front-joburg-a-", i)
		var sources, rest []string
		for _, r := range replicas {
			if saddlecontrol.IsFirstSource(r, entry, replicas) {
				sources = append(sources, r)
			}
			if r != replicas[4] && saddlecontrol.IsFirstSource(r, entry, replicas[:4]) {
				rest = append(rest, r)
			}
		}
		is.Equal(len(sources), 1)
		is.Equal(len(rest), 1)
		is.True(sources[0] == replicas[4] || sources[0] == rest[0])
		counts[sources[0]]++
	}
	for _, r := range replicas {
		is.True(counts[r] > entries/10 && counts[r] < entries*3/10) // a fifth each would be even
	}
}
