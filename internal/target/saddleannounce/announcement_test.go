package saddleannounce_test

import (
	"encoding/json"
	"net"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/fireflysaddle/fireflysaddle/internal/target/saddleannounce"
)

const good = `{"id":"mastori-1","kind":"engine","group":"mastori","version":"1","layer_from":0,"layer_to":24,"layers":48,
"slots":8,"address":"10.2.1.31:9000","incarnation":1}`

func TestBadAnnouncementNamesTheField(t *testing.T) {
	tests := []struct{ field, old, new string }{
		{"id", `"mastori-1"`, `"mastori 1"`},
		{"group", `"group":"mastori"`, `"group":""`},
		{"kind", `"engine"`, `"motor"`},
		{"layer range", `"layer_to":24`, `"layer_to":49`},
		{"slots", `"slots":8`, `"slots":0`},
		{"address", `10.2.1.31:9000`, `mastori:9000`},
		{"incarnation", `"incarnation":1`, `"incarnation":0`},
		{"rate", `"slots":8`, `"slots":8,"rate":-1`},
	}
	for _, tt := range tests {
		t.Run(tt.field, func(t *testing.T) {
			is := is.New(t)
			var a saddleannounce.Announcement
			is.NoErr(json.Unmarshal([]byte(strings.Replace(good, tt.old, tt.new, 1)), &a))
			err := a.Check()
			is.True(err != nil && strings.Contains(err.Error(), tt.field))
		})
	}
}

// What passes the check can be dialled and names a layer range within its model.
func FuzzCheck(f *testing.F) {
	f.Add(good)
	f.Add(strings.Replace(good, "engine", "service", 1))
	f.Add(strings.Replace(good, "10.2.1.31:9000", "[::1]:0", 1))
	f.Fuzz(func(t *testing.T, text string) {
		var a saddleannounce.Announcement
		if json.Unmarshal([]byte(text), &a) != nil || a.Check() != nil {
			return
		}
		host, _, err := net.SplitHostPort(a.Address)
		if err != nil || net.ParseIP(host) == nil {
			t.Fatalf("address %q was taken", a.Address)
		}
		if a.Kind == "engine" && (a.LayerFrom >= a.LayerTo || a.LayerTo > a.LayerCount) {
			t.Fatalf("layers [%d,%d) of %d were taken", a.LayerFrom, a.LayerTo, a.LayerCount)
		}
		if a.Rate < 0 || a.LinkMs < 0 {
			t.Fatalf("negative rate or link: %+v", a)
		}
	})
}
