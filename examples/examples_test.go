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
	targets    = 43 // 40 engines and 3 services
	workspaces = 10
)

var fleets = []string{"kgotla", "karamanlis"}

// Every VM of both fleets has valid settings for its role. In each fleet, node names and
// IPs are unique, and every settings file is used.
func TestEveryVMHasValidSettings(t *testing.T) {
	for _, fleet := range fleets {
		t.Run(fleet, func(t *testing.T) {
			is := is.New(t)
			vmsByRole := map[string]int{}
			seen := map[string]bool{}
			used := map[string]bool{}
			for _, vm := range readVMs(t, fleet) {
				role, node, ip := vm[0], vm[2], vm[3]
				path := filepath.Join(fleet, vm[1])
				is.NoErr(loadSettings(role, path, saddlesettings.Overrides{Node: node, IP: ip}))
				is.True(!seen[node] && !seen[ip]) // unique node name and IP
				seen[node] = true
				seen[ip] = true
				used[path] = true
				vmsByRole[role]++
			}
			is.Equal(vmsByRole, map[string]int{"control": centres, "entry": centres, "agent": targets})
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

// Every deployment renders from its template and has an API key of its own. Three
// workspaces of each fleet have an increased weight.
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
				is.Equal(len(d.GetGrants()), 2) // one model and one service
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

func readVMs(t *testing.T, fleet string) [][]string {
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
			t.Fatalf("%s/vms.txt: wrong number of fields in line %q", fleet, line)
		}
		out = append(out, fields)
	}
	return out
}

func loadSettings(role, path string, overrides saddlesettings.Overrides) error {
	var err error
	switch role {
	case "control":
		_, err = saddlesettings.LoadControl(path, overrides)
	case "entry":
		_, err = saddlesettings.LoadEntry(path, overrides)
	case "agent":
		_, err = saddlesettings.LoadAgent(path, overrides)
	default:
		err = fmt.Errorf("unknown role %q", role)
	}
	return err
}
