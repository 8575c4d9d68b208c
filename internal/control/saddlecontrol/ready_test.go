package saddlecontrol_test

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fireflysaddle/fireflysaddle/internal/control/saddlecontrol"
	"github.com/fireflysaddle/fireflysaddle/internal/standin/saddleprocess"
)

// The error of Ready names what a replica is waiting for.
func TestNotReadyErrorNamesCause(t *testing.T) {
	for name, c := range map[string]struct {
		change func(cfg *saddlecontrol.Config)
		want   string
	}{
		"other replicas of a new group": {func(cfg *saddlecontrol.Config) { cfg.Replicas["control-2"] = "127.0.0.1:1" }, "all its replicas"},
		"to be added":                   {func(cfg *saddlecontrol.Config) { cfg.Join = true }, "control-replace"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			cfg := config(t)
			c.change(&cfg)
			s, cleanup, err := saddlecontrol.New(time.Now(), cfg)
			is.NoErr(err)
			ctx, cancel := context.WithCancel(context.Background())
			done := make(chan error, 1)
			go func() { done <- s.Run(ctx) }()
			saddleprocess.Await(t, "Ready to name the cause", waitTimeout, func() error {
				if err := s.Ready(); err == nil || !strings.Contains(err.Error(), c.want) {
					return fmt.Errorf("ready returned %w", err)
				}
				return nil
			})
			cancel()
			is.NoErr(<-done)
			is.NoErr(cleanup())
		})
	}
}
