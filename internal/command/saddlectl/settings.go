package saddlectl

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"time"

	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

// roleSettings says which settings the processes of a role use, as these report it
// themselves.
type roleSettings struct {
	Role    string           `json:"role"`
	Digest  string           `json:"digest"` // the one that most of the processes report
	Members int              `json:"members"`
	Differ  []differentNodes `json:"differ,omitempty"`
}

// differentNodes are the processes of a role that use other settings than most.
type differentNodes struct {
	Digest string   `json:"digest"`          // empty: not reported
	Since  string   `json:"since,omitempty"` // time at which the first of them began to use it
	Nodes  []string `json:"nodes"`
}

// settingsByRole groups the members by role and by the settings that they use. Members that
// report no settings, which run an earlier version, are listed as different unless all do.
func settingsByRole(members []*saddlewire.Member) []roleSettings {
	byRole := map[string]map[string][]*saddlewire.Member{}
	for _, m := range members {
		if byRole[m.GetRole()] == nil {
			byRole[m.GetRole()] = map[string][]*saddlewire.Member{}
		}
		byRole[m.GetRole()][m.GetSettings()] = append(byRole[m.GetRole()][m.GetSettings()], m)
	}
	var out []roleSettings
	for _, role := range slices.Sorted(maps.Keys(byRole)) {
		byDigest := byRole[role]
		digests := slices.SortedFunc(maps.Keys(byDigest), func(a, b string) int {
			return cmp.Or(cmp.Compare(len(byDigest[b]), len(byDigest[a])), cmp.Compare(a, b))
		})
		s := roleSettings{Role: role, Digest: digests[0]}
		for i, digest := range digests {
			s.Members += len(byDigest[digest])
			if i > 0 {
				s.Differ = append(s.Differ, newDifferentNodes(digest, byDigest[digest]))
			}
		}
		out = append(out, s)
	}
	return out
}

func newDifferentNodes(digest string, members []*saddlewire.Member) differentNodes {
	out := differentNodes{Digest: digest}
	first := int64(0)
	for _, m := range members {
		out.Nodes = append(out.Nodes, m.GetNode())
		if ns := m.GetSettingsNs(); ns > 0 && (first == 0 || ns < first) {
			first = ns
		}
	}
	if first > 0 {
		out.Since = time.Unix(0, first).UTC().Format(time.RFC3339)
	}
	slices.Sort(out.Nodes)
	return out
}

func (s roleSettings) write(w io.Writer) {
	digest := cmp.Or(s.Digest, "not reported")
	different := 0
	for _, d := range s.Differ {
		different += len(d.Nodes)
	}
	_, _ = fmt.Fprintf(w, "settings of role %s: %s on %d of %d\n", s.Role, digest, s.Members-different, s.Members)
	for _, d := range s.Differ {
		_, _ = fmt.Fprintf(w, "  %s", cmp.Or(d.Digest, "not reported"))
		if d.Since != "" {
			_, _ = fmt.Fprintf(w, " since %s", d.Since)
		}
		for _, node := range d.Nodes {
			_, _ = fmt.Fprintf(w, " %s", node)
		}
		_, _ = fmt.Fprintln(w)
	}
}
