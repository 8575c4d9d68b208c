package saddleplacer

import (
	"github.com/fireflysaddle/fireflysaddle"
	"github.com/fireflysaddle/fireflysaddle/internal/node/saddleview"
	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

// suspicions counts the entries that suspect targets, by the entries' data centre.
type suspicions struct {
	entriesIn map[string]int            // entries of a data centre
	byTarget  map[string]map[string]int // entries that suspect a target, by data centre
}

func newSuspicions(view *saddleview.View) suspicions {
	s := suspicions{entriesIn: map[string]int{}, byTarget: map[string]map[string]int{}}
	for _, m := range view.Members {
		if fireflysaddle.Role(m.GetRole()) != fireflysaddle.RoleEntry {
			continue
		}
		s.entriesIn[m.GetCentre()]++
		for _, id := range m.GetSuspects() {
			if s.byTarget[id] == nil {
				s.byTarget[id] = map[string]int{}
			}
			s.byTarget[id][m.GetCentre()]++
		}
	}
	return s
}

// entries returns the number of entries that suspect a target.
func (s suspicions) entries(target string) int {
	n := 0
	for _, count := range s.byTarget[target] {
		n += count
	}
	return n
}

// lost reports whether a target counts as lost. The entries of its data centre decide, if
// there are enough of them.
func (s suspicions) lost(reg *saddlewire.Registration) bool {
	if s.entriesIn[reg.GetCentre()] >= minSuspectingEntries {
		return s.byTarget[reg.GetId()][reg.GetCentre()] >= minSuspectingEntries
	}
	return s.entries(reg.GetId()) >= minSuspectingEntries
}
