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

func newGatewaySettings(t *testing.T) saddlesettings.Gateway {
	t.Helper()
	is := is.New(t)
	listen, err := saddlestandin.FreeAddress()
	is.NoErr(err)
	admin, err := saddlestandin.FreeAddress()
	is.NoErr(err)
	settings := saddlesettings.DefaultGateway()
	settings.Node, settings.Centre, settings.Listen, settings.Admin = "entry-1", "a", listen, admin
	settings.LameDuck = 0
	return settings
}

// runUntilStopped runs a gateway for which a reload and a stop signal are pending from the
// start, and returns its log.
func runUntilStopped(t *testing.T, settings, next saddlesettings.Gateway) string {
	t.Helper()
	reloads := make(chan saddlesettings.Gateway, 1)
	reloads <- next
	ctx, stop := context.WithCancel(context.Background())
	stop()
	var logs bytes.Buffer
	if err := saddledaemon.RunGateway(ctx, settings, zerolog.SyncWriter(&logs), reloads); err != nil {
		t.Fatal(err)
	}
	return logs.String()
}

// A stop signal follows a reload of the settings so closely that both are pending at the
// same time. The reload must be applied.
func TestReloadBeforeStopIsApplied(t *testing.T) {
	for range reloadStops {
		is := is.New(t)
		settings := newGatewaySettings(t)
		is.True(strings.Contains(runUntilStopped(t, settings, settings), "settings reloaded"))
	}
}

// A reload with one setting that needs a restart changes nothing, so that a process never
// uses half of a file.
func TestReloadIsAppliedAsAWholeOrRefused(t *testing.T) {
	for name, c := range map[string]struct {
		change func(*saddlesettings.Gateway)
		logged []string
		absent string
	}{
		"retry share":            {func(s *saddlesettings.Gateway) { s.RetryShare = 0.1 }, []string{"settings reloaded"}, "settings not reloaded"},
		"longest pause":          {func(s *saddlesettings.Gateway) { s.MaxPause *= 2 }, []string{"settings reloaded"}, "settings not reloaded"},
		"retry share and listen": {func(s *saddlesettings.Gateway) { s.RetryShare, s.Listen = 0.1, "127.0.0.1:1" }, []string{"settings not reloaded", "listen"}, "settings reloaded"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			settings := newGatewaySettings(t)
			next := settings
			c.change(&next)
			logs := runUntilStopped(t, settings, next)
			for _, text := range c.logged {
				is.True(strings.Contains(logs, text))
			}
			is.True(!strings.Contains(logs, c.absent))
			is.True(strings.Contains(logs, `"settings":"`+settings.Digest()+`"`) || strings.Contains(logs, `"before":"`+settings.Digest()+`"`))
		})
	}
}
