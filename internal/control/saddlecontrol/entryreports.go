package saddlecontrol

import (
	"maps"
	"slices"

	"github.com/fireflysaddle/fireflysaddle"
	"github.com/fireflysaddle/fireflysaddle/internal/control/saddlelimit"
	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

// entryReports sums what the entries report in their heartbeats. Entries receive the sums,
// whose size does not grow with the number of entries, in place of every entry's report.
type entryReports struct {
	drafts   map[fireflysaddle.Section]uint64 // tokens that the drafts of all entries reserve
	suspects map[string]uint32                // entries that suspect a target, by target
	failing  map[string]map[string]uint32     // entries that list an engine as failing, by data centre of the entry and target
	limits   *saddlelimit.Table
}

func newEntryReports() entryReports {
	return entryReports{drafts: map[fireflysaddle.Section]uint64{}, suspects: map[string]uint32{}, failing: map[string]map[string]uint32{}, limits: saddlelimit.New()}
}

// add adds the reports of a member.
func (r *entryReports) add(m *saddlewire.Member) {
	r.limits.Add(m)
	for _, d := range m.GetLoad().GetDrafts() {
		r.drafts[fireflysaddle.SectionOf(d)] += d.GetTokens()
	}
	for _, id := range m.GetSuspects() {
		r.suspects[id]++
	}
	for _, id := range m.GetFailing() {
		if r.failing[m.GetCentre()] == nil {
			r.failing[m.GetCentre()] = map[string]uint32{}
		}
		r.failing[m.GetCentre()][id]++
	}
}

// remove removes the reports of a member that were added before.
func (r *entryReports) remove(m *saddlewire.Member) {
	r.limits.Remove(m)
	for _, d := range m.GetLoad().GetDrafts() {
		r.drafts[fireflysaddle.SectionOf(d)] -= d.GetTokens()
	}
	for _, id := range m.GetSuspects() {
		decrement(r.suspects, id)
	}
	for _, id := range m.GetFailing() {
		decrement(r.failing[m.GetCentre()], id)
	}
}

func decrement(counts map[string]uint32, id string) {
	counts[id]--
	if counts[id] == 0 {
		delete(counts, id)
	}
}

// addTo adds the sums of all entries but one, and that one's shares of limits, to an update
// for that one.
func (r *entryReports) addTo(u *saddlewire.Update, entry *saddlewire.Member) {
	own := map[fireflysaddle.Section]uint64{}
	for _, d := range entry.GetLoad().GetDrafts() {
		own[fireflysaddle.SectionOf(d)] += d.GetTokens()
	}
	for _, section := range slices.SortedFunc(maps.Keys(r.drafts), fireflysaddle.Section.Compare) {
		if tokens := r.drafts[section] - own[section]; tokens > 0 {
			u.PeerDrafts = append(u.PeerDrafts, &saddlewire.SectionLoad{Group: string(section.Group), Centre: string(section.Centre), Tokens: tokens})
		}
	}
	u.Suspects = countsWithout(r.suspects, entry.GetSuspects())
	u.Failing = countsWithout(r.failing[entry.GetCentre()], entry.GetFailing())
	r.limits.AddTo(u, entry)
}

// countsWithout returns the counts, each less one for the targets in own.
func countsWithout(counts map[string]uint32, own []string) []*saddlewire.TargetCount {
	var out []*saddlewire.TargetCount
	for _, id := range slices.Sorted(maps.Keys(counts)) {
		n := counts[id]
		if slices.Contains(own, id) {
			n--
		}
		if n > 0 {
			out = append(out, &saddlewire.TargetCount{Target: id, Entries: n})
		}
	}
	return out
}
