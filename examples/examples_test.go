package examples_test

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/fireflysaddle/fireflysaddle/internal/command/saddlectl"
	"github.com/fireflysaddle/fireflysaddle/internal/config/saddlesettings"
)

const (
	vmFields   = 4 // role, settings file, node, IP
	centres    = 3
	targets    = 43 // 40 runners and 3 desk targets
	workspaces = 10
)

var fleets = []string{"kgotla", "karamanlis"}

// Every VM of both fleets has settings that its role takes, no two have a name
// or an address in common, and every settings file is used.
func TestEveryVMHasGoodSettings(t *testing.T) {
	for _, fleet := range fleets {
		t.Run(fleet, func(t *testing.T) {
			is := is.New(t)
			count := map[string]int{}
			taken := map[string]bool{}
			used := map[string]bool{}
			for _, vm := range vms(t, fleet) {
				role, node, ip := vm[0], vm[2], vm[3]
				path := filepath.Join(fleet, vm[1])
				is.NoErr(load(role, path, saddlesettings.Overrides{Node: node, IP: ip}))
				is.True(!taken[node] && !taken[ip]) // each VM is its own
				taken[node] = true
				taken[ip] = true
				used[path] = true
				count[role]++
			}
			is.Equal(count, map[string]int{"control": centres, "entry": centres, "agent": targets})
			for _, role := range []string{"control", "entry", "agent"} {
				files, err := filepath.Glob(filepath.Join(fleet, role+"-*.toml"))
				is.NoErr(err)
				is.Equal(len(files), centres)
				for _, f := range files {
					is.True(used[f])
				}
			}
		})
	}
}

// Every deployment can be rendered from its template.
func TestEveryDeploymentRenders(t *testing.T) {
	for _, fleet := range fleets {
		t.Run(fleet, func(t *testing.T) {
			is := is.New(t)
			rendered, err := saddlectl.RenderFleet(filepath.Join(fleet, "fleet.toml"))
			is.NoErr(err)
			is.Equal(len(rendered), workspaces)
			large := 0
			keys := map[string]bool{}
			for _, d := range rendered {
				is.Equal(len(d.GetGrants()), 2) // its model and its desk
				is.Equal(len(d.GetKeyHashes()), 1)
				is.True(!keys[d.GetKeyHashes()[0]])
				keys[d.GetKeyHashes()[0]] = true
				if d.GetWeight() > 1 {
					large++
				}
			}
			is.Equal(large, 3)
		})
	}
}

func vms(t *testing.T, fleet string) [][]string {
	t.Helper()
	text, err := os.ReadFile(filepath.Join(fleet, "vms.txt"))
	if err != nil {
		t.Fatal(err)
	}
	var out [][]string
	for line := range strings.SplitSeq(strings.TrimSpace(string(text)), "\n") {
		if strings.HasPrefix(line, "#") {
			continue
		}
		fields := strings.Fields(line)
		if len(fields) != vmFields {
			t.Fatalf("%s: line %q", fleet, line)
		}
		out = append(out, fields)
	}
	return out
}

func load(role, path string, place saddlesettings.Overrides) error {
	var err error
	switch role {
	case "control":
		_, err = saddlesettings.LoadControl(path, place)
	case "entry":
		_, err = saddlesettings.LoadEntry(path, place)
	case "agent":
		_, err = saddlesettings.LoadAgent(path, place)
	default:
		err = fmt.Errorf("role %q", role)
	}
	return err
}
