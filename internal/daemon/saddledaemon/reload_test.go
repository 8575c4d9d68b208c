package saddledaemon_test

import (
	"bytes"
	"context"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/fireflysaddle/fireflysaddle/internal/config/saddlesettings"
	"github.com/fireflysaddle/fireflysaddle/internal/daemon/saddledaemon"
	"github.com/fireflysaddle/fireflysaddle/internal/standin/saddlestandin"
)

// reloadStops is the number of stops. Dropping a reload was a matter of which of two ready
// channels the scheduler chose, so a single stop could miss it.
const reloadStops = 20

// A stop signal follows a reload of the settings so closely that both are pending at the
// same time. The reload must be applied.
func TestReloadBeforeStopIsApplied(t *testing.T) {
	for range reloadStops {
		is := is.New(t)
		listen, err := saddlestandin.FreeAddress()
		is.NoErr(err)
		admin, err := saddlestandin.FreeAddress()
		is.NoErr(err)
		settings := saddlesettings.DefaultGateway()
		settings.Node, settings.Centre, settings.Listen, settings.Admin = "entry-1", "a", listen, admin
		settings.LameDuck = 0
		reloads := make(chan saddlesettings.Gateway, 1)
		reloads <- settings
		ctx, stop := context.WithCancel(context.Background())
		stop()
		var logs bytes.Buffer
		is.NoErr(saddledaemon.RunGateway(ctx, settings, zerolog.SyncWriter(&logs), reloads))
		is.True(strings.Contains(logs.String(), "settings reloaded"))
	}
}
