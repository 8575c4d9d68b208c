package saddlesettings_test

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/fireflysaddle/fireflysaddle/internal/config/saddlesettings"
)

const validAgent = `node = "agent-1"
centre = "larisa-a"
listen = "10.2.1.31:7200"
announce = "10.2.1.31:7202"
admin = "10.2.1.31:7201"
[attend]
controls = ["10.2.1.10:7100"]
`

func writeFile(t testing.TB, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "settings.toml")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

func TestInvalidSettingsErrorNamesKeyAndAllowedValues(t *testing.T) {
	tests := []struct {
		name, old, new string
		wantTexts      []string
	}{
		{"unknown key", `[attend]`, "colour = 1\n[attend]", []string{"colour", "unknown key"}},
		{"node name missing", `node = "agent-1"`, ``, []string{"node", "must be given"}},
		{"host name instead of an IP", `10.2.1.31:7202`, `volos:7202`, []string{"announce", "volos:7202", "IP:port"}},
		{"address that cannot be dialled", `10.2.1.31:7200`, `0.0.0.0:7200`, []string{"listen", "can dial"}},
		{"no control replica", `"10.2.1.10:7100"`, ``, []string{"attend.controls", "at least one"}},
		{"duplicate control replica", `"10.2.1.10:7100"`, `"10.2.1.10:7100", "10.2.1.10:7100"`, []string{"attend.controls[1]", "twice"}},
		{"duration without a unit", `[attend]`, "probe = \"5\"\n[attend]", []string{"250ms"}},
		{"duration out of range", `[attend]`, "probe = \"5ms\"\n[attend]", []string{"probe", "5ms", "from 10ms"}},
		{"silence timeout below two heartbeat intervals", `[attend]`, "[attend]\nbeat = \"3s\"", []string{"attend.silence", "from 6s"}},
		{"not TOML", `[attend]`, `[attend`, []string{"settings.toml"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			_, err := saddlesettings.LoadAgent(writeFile(t, strings.Replace(validAgent, tt.old, tt.new, 1)), saddlesettings.Overrides{})
			var settingsErr *saddlesettings.Error
			is.True(errors.As(err, &settingsErr))
			for _, want := range tt.wantTexts {
				is.True(strings.Contains(err.Error(), want))
			}
		})
	}
}

func TestAllErrorsOfFileAreReported(t *testing.T) {
	is := is.New(t)
	_, err := saddlesettings.LoadEntry(writeFile(t, "centre = \"volos-b\"\n"), saddlesettings.Overrides{})
	for _, key := range []string{"node", "admin", "listen", "attend.controls"} {
		is.True(strings.Contains(err.Error(), ": "+key+" = "))
	}
}

func TestOverridesCompleteSharedFile(t *testing.T) {
	is := is.New(t)
	shared := strings.NewReplacer(`node = "agent-1"`, ``, "10.2.1.31:72", ":72").Replace(validAgent)
	_, err := saddlesettings.LoadAgent(writeFile(t, shared), saddlesettings.Overrides{})
	is.True(err != nil) // node name and IP are missing
	s, err := saddlesettings.LoadAgent(writeFile(t, shared), saddlesettings.Overrides{Node: "agent-7", IP: "10.2.1.37"})
	is.NoErr(err)
	is.Equal(s.Node, "agent-7")
	is.Equal([]string{s.Listen, s.Announce, s.Admin}, []string{"10.2.1.37:7200", "10.2.1.37:7202", "10.2.1.37:7201"})
}

// Arbitrary text must not cause a panic, and accepted settings must have a node
// name and a listen address.
func FuzzLoadAgent(f *testing.F) {
	f.Add(validAgent)
	f.Add("attend = 3")
	f.Add("[log]\nlevel = \"\\u0000\"")
	f.Fuzz(func(t *testing.T, text string) {
		s, err := saddlesettings.LoadAgent(writeFile(t, text), saddlesettings.Overrides{})
		if err == nil && (s.Listen == "" || s.Node == "") {
			t.Fatalf("settings without node or listen address accepted: %q", text)
		}
	})
}
